//! Clients that send and read what a crowd of them does.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use socket2::{Domain, Socket, Type};

use crate::process::{MAX_HEAD, SETTLE_TIME};

/// Clients of one crowd, fewer than the connections allowed.
pub const CROWD: usize = 120;

/// Time a client spends on sending, at most, when the process doesn't read.
pub const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Segment size of an ordinary network; with loopback's the kernel takes over whole answers at once.
pub const SEGMENT_BYTES: u32 = 1_400;

pub const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_write_timeout(Some(SEND_TIMEOUT)).unwrap();
    stream
}

/// A connection that takes over little of an answer before it is read.
pub fn connect_with_small_window(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(16 << 10).unwrap();
    socket.set_tcp_mss(SEGMENT_BYTES).unwrap();
    socket.connect(&address.into()).unwrap();
    let stream = TcpStream::from(socket);
    stream.set_write_timeout(Some(SEND_TIMEOUT)).unwrap();
    stream
}

/// Opens `count` connections at once and sends `bytes` on each as far as they are taken. The
/// connections stay open.
pub fn crowd(
    count: usize,
    connect: impl Fn() -> TcpStream + Sync,
    send: impl Fn(&mut TcpStream) -> io::Result<()> + Sync,
) -> Vec<TcpStream> {
    thread::scope(|scope| {
        let client = || {
            let mut stream = connect();
            // The process may refuse the request or close the connection.
            send(&mut stream).ok();
            stream
        };
        let clients: Vec<_> = (0..count).map(|_| scope.spawn(client)).collect();
        clients.into_iter().map(|client| client.join().unwrap()).collect()
    })
}

/// A chunked body of `len` bytes in chunks of `chunk` bytes, without its end.
pub fn chunks(len: usize, chunk: usize) -> Vec<u8> {
    let one = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
    one.repeat(len / chunk).into_bytes()
}

pub fn send_all<'a, const N: usize>(
    parts: [&'a [u8]; N],
) -> impl Fn(&mut TcpStream) -> io::Result<()> + Sync + 'a {
    move |stream| parts.iter().try_for_each(|part| stream.write_all(part))
}

/// A head of the largest size that is allowed, of the shortest headers.
pub fn head_of_short_headers(head: &str) -> String {
    let (lines, end) = head.split_at(head.len() - 2);
    let count = (MAX_HEAD - head.len()) / "a:\r\n".len();
    format!("{lines}{}{end}", "a:\r\n".repeat(count))
}

/// Sends small chunks for some seconds.
pub fn trickle(stream: &mut TcpStream) -> io::Result<()> {
    let end = Instant::now() + SETTLE_TIME;
    while Instant::now() < end {
        stream.write_all(b"1\r\nx\r\n")?;
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Reads a few bytes at a time for some seconds.
pub fn read_slowly(stream: &mut TcpStream) -> io::Result<()> {
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    let end = Instant::now() + SETTLE_TIME;
    while Instant::now() < end {
        if stream.read(&mut [0; 2_000])? == 0 {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

/// Reads up to `len` bytes as fast as they come.
pub fn read_some(stream: &mut TcpStream, len: usize) -> io::Result<()> {
    stream.set_read_timeout(Some(SEND_TIMEOUT))?;
    let mut buf = vec![0; 64 << 10];
    let mut read = 0;
    while read < len {
        match stream.read(&mut buf)? {
            0 => break,
            n => read += n,
        }
    }
    Ok(())
}
