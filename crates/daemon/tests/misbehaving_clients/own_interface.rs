//! Crowds against the project's own interface.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    process::{Child, Command},
};

use crate::{
    clients::*,
    common::{self, Daemon, wait_until},
    platform_standins::endpoint::{ConnectionEnd, Endpoint, Script},
    process::*,
};

/// A process that serves the project's own interface, with a plain service.
pub struct Own {
    pub process: Process,
    daemon: Daemon,
    _service: Endpoint,
}

/// Head of a request to the own interface, without the header that frames its body.
pub fn own_head(path: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {}\r\nx-deadline-ms: 60000\r\n\
         {framing}\r\n",
        common::KEY
    )
}

impl Own {
    pub fn start() -> Own {
        Own::start_with(endpoint_script())
    }

    fn start_with(script: Script) -> Own {
        let service = Endpoint::start("i-1", vec![script]);
        let site = common::Site {
            engines: Vec::new(),
            services: vec![service.address],
            policy: "trefoilhall",
            more: "",
        };
        let mut settings = machine_settings().to_string();
        settings.pop();
        let more = settings.trim_start_matches('{').replace(r#","threads":1"#, "");
        let mut daemon = Daemon::start_with("own", &site, &more);
        let child = std::mem::replace(&mut daemon.child, placeholder());
        let ordinary = common::post("/services/desk/x", "body");
        let process = Process { child, address: daemon.address, ordinary };
        wait_until("an ordinary request is answered", || process.is_answered());
        Own { process, daemon, _service: service }
    }
}

/// A process that has ended, in place of one that is watched elsewhere.
fn placeholder() -> Child {
    Command::new("true").spawn().unwrap()
}

fn bears(
    name: &str,
    count: usize,
    connect: impl Fn(SocketAddr) -> TcpStream + Sync,
    send: impl Fn(&mut TcpStream) -> io::Result<()> + Sync,
) {
    let _alone = alone();
    let mut own = Own::start();
    let address = own.process.address;
    let clients = crowd(count, || connect(address), send);
    own.process.bears(name, clients);
}

/// Guards against memory for bodies that never end, sent in large chunks.
#[test]
fn own_unfinished_bodies_in_large_chunks() {
    let head = own_head("/services/desk/x", CHUNKED);
    let body = chunks(MAX_BODY - (64 << 10), 64 << 10);
    bears("own, large chunks", CROWD, connect, send_all([head.as_bytes(), &body]));
}

/// Guards against the same in small chunks.
#[test]
fn own_unfinished_bodies_in_small_chunks() {
    let head = own_head("/services/desk/x", CHUNKED);
    let body = chunks(MAX_BODY / 4, 1);
    bears("own, small chunks", CROWD, connect, send_all([head.as_bytes(), &body]));
}

/// Guards against memory for bodies with a length of which the last byte never comes.
#[test]
fn own_unfinished_bodies_with_a_length() {
    let framing = format!("Content-Length: {MAX_BODY}\r\n");
    let head = own_head("/services/desk/x", &framing);
    let body = vec![b'x'; MAX_BODY - 1];
    bears("own, with a length", CROWD, connect, send_all([head.as_bytes(), &body]));
}

/// Guards against room for bodies that is taken up by callers who announce them.
#[test]
fn own_announced_bodies_that_dont_come() {
    let framing = format!("Content-Length: {MAX_BODY}\r\n");
    let head = own_head("/services/desk/x", &framing);
    bears("own, announced", CROWD, connect, send_all([head.as_bytes(), b"x"]));
}

/// Guards against bodies over the limit, announced or just sent.
#[test]
fn own_bodies_over_the_limit() {
    let framing = format!("Content-Length: {}\r\n", 20 * MAX_BODY);
    let announced = own_head("/services/desk/x", &framing);
    let sent = own_head("/services/desk/x", CHUNKED);
    let (plain, chunked) = (vec![b'x'; 20 * MAX_BODY], chunks(20 * MAX_BODY, 64 << 10));
    let send = send_all([announced.as_bytes(), &plain]);
    bears("own, announced over the limit", CROWD, connect, send);
    let send = send_all([sent.as_bytes(), &chunked]);
    bears("own, sent over the limit", CROWD, connect, send);
}

/// Guards against memory for answers that their callers don't read.
#[test]
fn own_long_answers_that_nobody_reads() {
    let head = own_head("/services/desk/large", "Content-Length: 4\r\n");
    let send = send_all([head.as_bytes(), b"body"]);
    bears("own, long answers", CROWD, connect_with_small_window, send);
}

/// Guards against connections without a request that keep ordinary callers out.
#[test]
fn own_connections_without_a_request() {
    bears("own, idle connections", 3 * MAX_CONNECTIONS, connect, |_| Ok(()));
}

/// Guards against connections with a part of a request that keep ordinary callers out.
#[test]
fn own_connections_with_an_unfinished_body() {
    let head = own_head("/services/desk/x", CHUNKED);
    let send = send_all([head.as_bytes(), b"1\r\nx\r\n"]);
    bears("own, unfinished bodies", 3 * MAX_CONNECTIONS, connect, send);
}

/// Guards against memory for configurations that never end.
#[test]
fn own_configurations_that_never_end() {
    let len = 8 << 20;
    let head = own_head("/admin/publish", &format!("Content-Length: {len}\r\n"));
    let body = vec![b'{'; len - 1];
    bears("own, configurations", CROWD, connect, send_all([head.as_bytes(), &body]));
}

/// Guards against requests on the connections for other instances.
#[test]
fn own_connections_to_the_listener_for_peers() {
    let _alone = alone();
    let mut own = Own::start();
    let peers = own.daemon.peer_address;
    let mut clients = crowd(3 * MAX_CONNECTIONS, || connect(peers), |_| Ok(()));
    let junk = vec![0xff; 1 << 20];
    clients.extend(crowd(CROWD, || connect(peers), send_all([&junk])));
    own.process.bears("own, peers", clients);
}

/// Guards against input that the kernel keeps behind requests in service.
#[test]
fn own_input_behind_a_request_in_service() {
    let head = own_head("/services/desk/held", &format!("Content-Length: {MAX_BODY}\r\n"));
    let mut body = vec![b'x'; MAX_BODY];
    body.extend_from_slice(&head.repeat(8 * MAX_BODY / head.len()).into_bytes());
    bears("own, input behind a request", CROWD, connect, send_all([head.as_bytes(), &body]));
}

/// Guards against callers that stop reading once the kernel has enlarged its buffers for them.
#[test]
fn own_long_answers_that_are_read_in_part() {
    let head = own_head("/services/desk/large", "Content-Length: 4\r\n");
    let send = |stream: &mut TcpStream| {
        send_all([head.as_bytes(), b"body"])(stream)?;
        read_some(stream, LARGE_ANSWER / 2)
    };
    bears("own, long answers read in part", CROWD, connect, send);
}

/// Guards against small requests that are sent all at once, whose answers nobody reads.
#[test]
fn own_small_requests_at_once_that_nobody_reads() {
    let request = own_head("/services/desk/x", "Content-Length: 4\r\n") + "body";
    let requests = request.repeat(MAX_BODY / request.len());
    let send = send_all([requests.as_bytes()]);
    bears("own, small requests at once", CROWD, connect_with_small_window, send);
}

/// Guards against answers without a stated length that are received before there is room for them.
#[test]
fn own_long_answers_without_a_length() {
    let _alone = alone();
    let body = "x".repeat(LARGE_ANSWER);
    let chunked = leaked(format!(
        "HTTP/1.1 200 x\r\nSEAL\r\ntransfer-encoding: chunked\r\n\r\n{LARGE_ANSWER:x}\r\n{body}\r\n\
         0\r\n\r\n"
    ));
    let script = Box::new(Script::Raw(chunked, ConnectionEnd::Close));
    let mut own = Own::start_with(Script::For("chunked", script, Box::new(answer())));
    let address = own.process.address;
    let head = own_head("/services/desk/chunked", "Content-Length: 4\r\n");
    let send = send_all([head.as_bytes(), b"body"]);
    let clients = crowd(CROWD, || connect_with_small_window(address), send);
    own.process.bears("own, answers without a length", clients);
}
