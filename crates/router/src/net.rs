//! Sockets with the options that every connection here needs.

use std::{io, net::SocketAddr, time::Duration};

use smol::{
    Async, Timer,
    future::FutureExt,
    net::{TcpListener, TcpStream, UdpSocket},
};
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};

/// Connections that may wait to be accepted. With fewer, callers that come at once wait a second
/// for their next try.
const BACKLOG: i32 = 4096;

/// Unacknowledged data ends a connection after this. A machine without power or behind a cut
/// answers nothing, and the system's own patience is minutes.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_000);

/// An idle connection asks after this whether its other end lives, the least that can be set.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Questions without an answer until the other end counts as gone.
const KEEP_ALIVE_TRIES: u32 = 3;

/// Binds a listener.
///
/// # Errors
///
/// Where the address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // A successor must not wait for connections in their last state.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(Async::new(std::net::TcpListener::from(socket))?.into())
}

/// Binds a socket for datagrams.
///
/// # Errors
///
/// Where the address can't be bound.
pub async fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}

/// Connects within `patience`.
///
/// # Errors
///
/// Where nobody listens, or nobody answers in time.
pub async fn connect(address: SocketAddr, patience: Duration) -> io::Result<TcpStream> {
    let late = async {
        Timer::after(patience).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = TcpStream::connect(address).or(late).await?;
    set_connection_options(&stream);
    Ok(stream)
}

/// Sets the options of a connection. One that can't be set is told and does without.
pub fn set_connection_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE)
        .with_interval(KEEP_ALIVE)
        .with_retries(KEEP_ALIVE_TRIES);
    let set = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keep_alive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)));
    if let Err(e) = set {
        log::debug!(cause:% = e; "socket_options_not_set");
    }
}
