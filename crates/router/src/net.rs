//! Creates sockets and connections with the options that an instance needs.

use std::{io, net::SocketAddr, time::Duration};

use smol::{
    Async, Timer,
    future::FutureExt,
    net::{TcpListener, TcpStream, UdpSocket},
};
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};

/// Connections that may wait to be accepted. With a shorter queue, callers that connect in a burst
/// wait a second for their retransmission.
const ACCEPT_BACKLOG: i32 = 4096;

/// A connection whose data stays unacknowledged for this long is closed. A machine that has lost
/// power or its network sends no reset, and the operating system's own timeout takes minutes. It also
/// ends a connection whose keep-alive probe is unanswered, counted from the last byte received, and so
/// has to exceed the probes' interval by more than a sound machine may be silent.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Idle time before a connection is probed, and between two probes; the shortest that can be set.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which the connection is closed.
const MAX_KEEP_ALIVE_PROBES: u32 = 3;

/// Bytes that the kernel takes over from this process and doesn't send yet, because the other side
/// doesn't read. Without a limit it takes megabytes, which count as the process's memory.
const MAX_UNSENT_BYTES: u32 = 16 << 10;

/// Receive buffer of connections on which only short requests come.
const PROBE_RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// Binds a TCP listener.
///
/// # Errors
///
/// Fails where the address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    bind(address, None)
}

/// Binds a TCP listener for probes and collectors of metrics, whose requests are short.
///
/// # Errors
///
/// As [`listen`].
pub fn listen_for_probes(address: SocketAddr) -> io::Result<TcpListener> {
    bind(address, Some(PROBE_RECEIVE_BUFFER_BYTES))
}

fn bind(address: SocketAddr, receive_buffer: Option<usize>) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // Connections in TIME_WAIT must not keep a restarted process from binding.
    socket.set_reuse_address(true)?;
    if let Some(bytes) = receive_buffer {
        // Accepted connections inherit it.
        socket.set_recv_buffer_size(bytes)?;
    }
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(Async::new(std::net::TcpListener::from(socket))?.into())
}

/// Binds a UDP socket.
///
/// # Errors
///
/// Fails where the address can't be bound.
pub async fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}

/// Connects, and sets the options of the connection.
///
/// # Errors
///
/// Fails where the connection is refused, or not established within `timeout`.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let timed_out = async {
        Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = TcpStream::connect(address).or(timed_out).await?;
    set_connection_options(&stream);
    Ok(stream)
}

/// Bounds what the kernel holds of a connection whose other side doesn't read. Its throughput doesn't
/// suffer, as what is in transit isn't bounded.
pub fn limit_unsent_bytes(stream: &TcpStream) {
    if let Err(e) = SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
        log::debug!(cause:% = e; "unsent_bytes_not_limited");
    }
}

/// Bounds what the kernel holds of a connection that isn't read for a while.
pub fn limit_receive_buffer(stream: &TcpStream, bytes: usize) {
    if let Err(e) = SockRef::from(stream).set_recv_buffer_size(bytes) {
        log::debug!(cause:% = e; "receive_buffer_not_limited");
    }
}

/// Sets the options of a connection. Failures are logged, and the connection is used without them.
pub fn set_connection_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_INTERVAL)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(MAX_KEEP_ALIVE_PROBES);
    let result = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keep_alive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(e) = result {
        log::debug!(cause:% = e; "socket_options_not_set");
    }
}
