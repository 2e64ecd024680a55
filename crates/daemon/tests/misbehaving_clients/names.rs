//! Requests whose names differ each time: tables by what callers choose would grow with them.

use std::{
    io::{self, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
};

use crate::{
    common,
    own_interface::{Own, own_head},
    platform_standins::wire,
    process::*,
};

/// Requests of one kind. With what differs between them they don't fit the machine.
const REQUESTS: usize = 12_000;

/// Length of a name in bytes.
const NAME_BYTES: usize = 7 << 10;

/// Clients that send them.
const SENDERS: usize = 4;

/// Text that no other request has.
fn name(number: usize) -> String {
    let name = format!("{number:08x}");
    name.repeat(NAME_BYTES / name.len())
}

/// Sends requests on one connection, each after the answer to the one before.
fn send_each(address: SocketAddr, requests: impl Iterator<Item = String>) -> io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(common::WAIT_TIMEOUT))?;
    let mut buf = [0; 4096];
    for request in requests {
        if stream.write_all(request.as_bytes()).is_err() || stream.read(&mut buf).unwrap_or(0) == 0
        {
            stream = TcpStream::connect(address)?;
            stream.set_read_timeout(Some(common::WAIT_TIMEOUT))?;
        }
    }
    Ok(())
}

fn bears_names(process: &mut Process, kind: &str, request: impl Fn(usize) -> String + Sync) {
    let address = process.address;
    thread::scope(|scope| {
        for sender in 0..SENDERS {
            let requests = (sender..REQUESTS).step_by(SENDERS).map(&request);
            scope.spawn(move || send_each(address, requests).unwrap());
        }
    });
    process.bears(kind, Vec::new());
}

/// Guards against tables by path, id, key, model or part of a prompt that only grow.
#[test]
fn names_that_callers_choose() {
    let _alone = alone();
    let mut router = Router::start(answer());
    let head = wire::request_head("/r/x", "Content-Length: 0\r\n");
    let process = &mut router.process;
    bears_names(process, "paths", |n| head.replace("/r/x", &format!("/r/{}", name(n))));
    bears_names(process, "unknown routes", |n| head.replace("/r/x", &format!("/{}", name(n))));
    bears_names(process, "keys", |n| head.replace(wire::KEY, &name(n)));
    bears_names(process, "ids", |n| head.replace("Id: r1", &format!("Id: {}", name(n))));
    bears_names(process, "parts", |n| {
        let parts: Vec<String> =
            (0..NAME_BYTES / 20).map(|i| format!("{n:08x}{i:08x}:1")).collect();
        wire::request_head("/r/x", &format!("{}Content-Length: 0\r\n", wire::parts(&parts)))
    });
    bears_names(process, "models", |n| {
        wire::request_head("/r/x", &format!("{}Content-Length: 0\r\n", wire::model(&name(n))))
    });
}

/// Guards against the same in the project's own interface.
#[test]
fn own_names_that_callers_choose() {
    let _alone = alone();
    let mut own = Own::start();
    let head = own_head("/services/desk/x", "Content-Length: 0\r\n");
    let process = &mut own.process;
    let path = |n| head.replace("/desk/x", &format!("/desk/{}", name(n)));
    bears_names(process, "own, paths", path);
    bears_names(process, "own, services", |n| head.replace("/desk/x", &format!("/{}/x", name(n))));
    bears_names(process, "own, keys", |n| head.replace(common::KEY, &name(n)));
    bears_names(process, "own, idempotency keys", |n| {
        let more = format!("idempotency-key: {}\r\n", name(n));
        head.replacen("host: h\r\n", &format!("host: h\r\n{more}"), 1)
            .replace("/desk/x", "/desk/registrations")
    });
    bears_names(process, "own, request ids", |n| {
        let more = format!("x-request-id: {}\r\n", name(n));
        head.replacen("host: h\r\n", &format!("host: h\r\n{more}"), 1)
    });
}
