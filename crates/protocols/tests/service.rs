//! Answers of plain services for which there is no memory.

#![allow(clippy::unwrap_used)]

use std::{
    future,
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use protocols::service::{AnswerRoom, ServiceCall, ServiceError, http::HttpService};

const TIMEOUT: Duration = Duration::from_secs(1);

/// Much longer than a body without a stated length waits for room.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// Room that never becomes free.
struct NoRoom;

impl AnswerRoom for NoRoom {
    type Permit = ();

    async fn acquire(&self, _: usize) {
        future::pending().await
    }
}

/// A server that sends `answer` and keeps the connection open.
fn server(answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut conn, _) = listener.accept().unwrap();
        let _ = conn.read(&mut [0; 1024]).unwrap();
        conn.write_all(answer).unwrap();
        thread::sleep(2 * LONG_TIMEOUT);
    });
    address
}

fn call(answer: &'static [u8], timeout: Duration) -> Option<ServiceError> {
    let call = ServiceCall {
        method: http_types::Method::Get,
        path: "/".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
        timeout,
    };
    let service = HttpService::new(server(answer));
    smol::block_on(service.call_if(call, || true, &NoRoom)).err()
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $answer:expr => $expected:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { assert_eq!(call($answer, TIMEOUT), Some($expected)); })*
    };
}

/// Guards against answers that have come in part and wait for each other until their time ends.
#[test]
fn an_answer_without_a_length_that_waits() {
    let started = Instant::now();
    let answer = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n";
    assert_eq!(call(answer, LONG_TIMEOUT), Some(ServiceError::NoRoom));
    assert!(started.elapsed() < LONG_TIMEOUT / 2, "{:?}", started.elapsed());
}

cases! {
    /// Guards against a server that counts as silent while its answer waits for memory.
    an_answer_with_a_length_that_waits: b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
        => ServiceError::NoRoom;

    /// Guards against a silent server that looks like a lack of memory.
    a_server_that_sends_nothing: b"" => ServiceError::Silent;
}
