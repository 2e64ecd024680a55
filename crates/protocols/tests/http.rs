//! The HTTP client distinguishes calls that weren't sent from those that may have taken effect.

#![allow(clippy::unwrap_used)]

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use protocols::http::{HttpCall, HttpError};

const TIMEOUT: Duration = Duration::from_millis(500);

/// Starts a server that accepts one connection, reads from it once and responds with `answer`. With
/// `hold` it keeps the connection open beyond the client's timeout.
fn server(answer: &'static [u8], hold: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut conn, _) = listener.accept().unwrap();
        let _ = conn.read(&mut [0; 1024]).unwrap();
        conn.write_all(answer).unwrap();
        if hold {
            thread::sleep(4 * TIMEOUT);
        }
    });
    address
}

fn call(address: SocketAddr) -> Result<u16, HttpError> {
    let call = HttpCall::get(address, "/", TIMEOUT);
    smol::block_on(call.send()).map(|answer| answer.status)
}

macro_rules! answers {
    ($($case:ident: $answer:expr, hold $hold:expr => $expected:pat),* $(,)?) => {$(
        #[test]
        fn $case() {
            let got = call(server($answer, $hold));
            assert!(matches!(got, $expected), "{got:?}");
        }
    )*};
}

answers! {
    a_whole_answer: b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", hold false => Ok(200),
    a_refusal_is_an_answer: b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n", hold false => Ok(503),
    a_cut_body: b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok", hold false => Err(HttpError::Broken),
    no_answer_at_all: b"", hold false => Err(HttpError::Broken),
    a_silent_server: b"", hold true => Err(HttpError::Silent),
}

#[test]
fn a_refused_connection_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(call(address), Err(HttpError::NotSent));
}
