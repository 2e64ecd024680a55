//! Crowds of clients that take up connections and memory, against real processes.
//!
//! Each case checks that the process lives, that its memory and descriptors stay within those of its
//! machine, and that an ordinary caller is answered while the crowd is still connected. Nothing here
//! depends on the speed of the machine. One case runs at a time.

#![allow(clippy::unwrap_used)]

mod common;

/// Stand-ins of the platform's log service and endpoints.
#[allow(dead_code, unreachable_pub, missing_docs)]
#[path = "../../../platform/tests/common"]
mod platform_standins {
    pub mod endpoint;
    pub mod http;
    pub mod store;
    pub mod wire;
}

use std::{
    fs,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, Stdio},
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use common::{Daemon, TempFolder, exchange, wait_until};
use platform_standins::{
    endpoint::{Endpoint, Script},
    http,
    store::Store,
    wire,
};
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

/// Memory of the machine that a process runs on.
const MACHINE_MB: u64 = 64;

/// Descriptors of that machine.
const MACHINE_FILES: usize = 500;

/// Connections of callers that the process may hold open.
const MAX_CONNECTIONS: usize = 200;

/// Clients of one crowd, fewer than the connections allowed.
const CROWD: usize = 120;

/// Largest body that is allowed, in bytes.
const MAX_BODY: usize = 1 << 20;

/// Largest head that is allowed, in bytes.
const MAX_HEAD: usize = 16 << 10;

/// An answer of which a crowd's copies don't fit the machine.
const LARGE_ANSWER: usize = 3 << 20;

/// An event of which a crowd's copies, some for each client, don't fit the machine.
const LARGE_EVENT: usize = 60 << 10;

/// Time a client spends on sending, at most, when the process doesn't read.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Time in which a process that doesn't bound its memory takes up what it is sent.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Segment size of an ordinary network; with loopback's the kernel takes over whole answers at once.
const SEGMENT_BYTES: u32 = 1_400;

/// Runs one case at a time.
fn alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A process under test.
struct Process {
    child: Child,
    address: SocketAddr,
    /// An ordinary request, whose answer has status 200.
    ordinary: String,
}

impl Process {
    fn id(&self) -> u32 {
        self.child.id()
    }

    /// Highest resident memory so far, in megabytes.
    fn peak_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() >> 10
    }

    fn open_files(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.id())).unwrap().count()
    }

    fn is_answered(&self) -> bool {
        exchange(self.address, &self.ordinary).starts_with("HTTP/1.1 200")
    }

    fn assert_bounds(&mut self, crowd: &str) {
        assert_eq!(self.child.try_wait().unwrap(), None, "the process has ended: {crowd}");
        let (peak, files) = (self.peak_mb(), self.open_files());
        eprintln!("{crowd}: {peak} MB, {files} open files");
        assert!(peak <= MACHINE_MB, "{crowd}: {peak} MB of {MACHINE_MB}");
        assert!(files <= MACHINE_FILES, "{crowd}: {files} open files of {MACHINE_FILES}");
    }

    /// Checks the process beside a crowd that is still connected, and an ordinary caller's answer.
    fn bears(&mut self, crowd: &str, clients: Vec<TcpStream>) {
        thread::sleep(SETTLE_TIME);
        self.assert_bounds(crowd);
        let answer = exchange(self.address, &self.ordinary);
        assert!(answer.starts_with("HTTP/1.1 200"), "{crowd}: {answer}");
        drop(clients);
        self.assert_bounds(crowd);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Settings of the machine that both interfaces take.
fn machine_settings() -> Value {
    json!({
        "max_connections": MAX_CONNECTIONS, "max_body": MAX_BODY, "threads": 1,
        "memory_mb": MACHINE_MB, "open_files": MACHINE_FILES,
    })
}

/// A process that forwards requests by the sites' own routes.
struct Router {
    process: Process,
    /// For the balancer's readiness probes.
    ready: SocketAddr,
    /// For other instances.
    peers: SocketAddr,
    endpoint: Endpoint,
    store: Store,
    config: Value,
    _folder: TempFolder,
}

impl Router {
    /// Starts it with one endpoint that follows this script.
    fn start(script: Script) -> Router {
        let endpoint = Endpoint::start("i-1", vec![script]);
        let store = Store::start();
        // A crowd that stays is not cut off by the time limits of its requests.
        let config = wire::bounded_config(MAX_HEAD, MAX_BODY, 60_000);
        wire::publish(&store, &config);
        wire::register_large(&store, &endpoint);
        let [listen, ready, peers] = [(); 3].map(|()| common::unused_address());
        let mut settings = machine_settings();
        settings["instance"] = "entry-1".into();
        settings["data_centre"] = "a".into();
        settings["listen"] = listen.to_string().into();
        settings["peer_listen"] = peers.to_string().into();
        settings["routing"] = json!({
            "log_service": store.address.to_string(), "ready_listen": ready.to_string(),
            "regions": {"a": "r"},
        });
        let folder = TempFolder::new("entry-1");
        folder.write("10-settings.json", &json!({"settings": settings}).to_string());
        let child = Command::new(env!("CARGO_BIN_EXE_trefoilhalld"))
            .arg("--config")
            .arg(&folder.0)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let ordinary = wire::request("/r/x", wire::KEY, 10_000, "Connection: close\r\n");
        let process = Process { child, address: listen, ordinary };
        wait_until("the router is ready", || process.address_is_open());
        wait_until("an ordinary request is answered", || process.is_answered());
        Router { process, ready, peers, endpoint, store, config, _folder: folder }
    }

    fn address(&self) -> SocketAddr {
        self.process.address
    }

    /// Publishes another limit of heads, and waits until it is in force.
    fn set_max_head(&mut self, bytes: usize) {
        self.config = wire::with_head_bytes(&self.config, bytes);
        wire::publish(&self.store, &self.config);
        wait_until("the limit is in force", || {
            let probe = self.process.ordinary.replace("/r/x", "/new/x");
            !exchange(self.address(), &probe).starts_with("HTTP/1.1 404")
        });
    }
}

impl Process {
    fn address_is_open(&self) -> bool {
        TcpStream::connect(self.address).is_ok()
    }
}

/// A process that serves the project's own interface, with a plain service.
struct Own {
    process: Process,
    _daemon: Daemon,
    _service: Endpoint,
}

/// Head of a request to the own interface, without the header that frames its body.
fn own_head(path: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {}\r\nx-deadline-ms: 60000\r\n\
         {framing}\r\n",
        common::KEY
    )
}

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_write_timeout(Some(SEND_TIMEOUT)).unwrap();
    stream
}

/// A connection that takes over little of an answer before it is read.
fn connect_with_small_window(address: SocketAddr) -> TcpStream {
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
fn crowd(
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
fn chunks(len: usize, chunk: usize) -> Vec<u8> {
    let one = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
    one.repeat(len / chunk).into_bytes()
}

fn send_all<'a, const N: usize>(
    parts: [&'a [u8]; N],
) -> impl Fn(&mut TcpStream) -> io::Result<()> + Sync + 'a {
    move |stream| parts.iter().try_for_each(|part| stream.write_all(part))
}

/// A head of the largest size that is allowed, of the shortest headers.
fn head_of_short_headers(head: &str) -> String {
    let (lines, end) = head.split_at(head.len() - 2);
    let count = (MAX_HEAD - head.len()) / "a:\r\n".len();
    format!("{lines}{}{end}", "a:\r\n".repeat(count))
}

fn answer() -> Script {
    Script::Answer(200, "entered")
}

/// Text that lives as long as the test process.
fn leaked(text: String) -> &'static str {
    Box::leak(text.into_boxed_str())
}

/// Large answers to requests whose path contains `large`, endless events where it contains `events`,
/// and no answer at all where it contains `held`.
fn endpoint_script() -> Script {
    let large = Script::Answer(200, leaked("x".repeat(LARGE_ANSWER)));
    let event = leaked(format!("data: {}\n\n", "x".repeat(LARGE_EVENT)));
    let head = "HTTP/1.1 200 x\r\nSEAL\r\ncontent-type: text/event-stream\r\n\r\n";
    let events = Script::Endless { head, repeated: event };
    let held = Script::For("held", Box::new(Script::Silent), Box::new(answer()));
    let events = Script::For("events", Box::new(events), Box::new(held));
    Script::For("large", Box::new(large), Box::new(events))
}

mod router {
    use super::*;

    fn bears_bodies(name: &str, path: &str, framing: &str, body: &[u8], count: usize) {
        let _alone = alone();
        let mut router = Router::start(endpoint_script());
        let address = router.address();
        let head = wire::request_head(path, framing);
        let clients = crowd(count, || connect(address), send_all([head.as_bytes(), body]));
        router.process.bears(name, clients);
    }

    /// Guards against memory for bodies that never end, sent in large chunks.
    #[test]
    fn unfinished_bodies_in_large_chunks() {
        let body = chunks(MAX_BODY - (64 << 10), 64 << 10);
        bears_bodies("large chunks", "/r/x", CHUNKED, &body, CROWD);
    }

    /// Guards against memory that each chunk takes up beside its bytes.
    #[test]
    fn unfinished_bodies_in_small_chunks() {
        let body = chunks(MAX_BODY / 4, 1);
        bears_bodies("small chunks", "/r/x", CHUNKED, &body, CROWD);
    }

    /// Guards against a request within the limits that takes up many times its size.
    #[test]
    fn one_body_in_small_chunks_is_served() {
        let _alone = alone();
        let mut router = Router::start(endpoint_script());
        let mut stream = connect(router.address());
        stream.set_read_timeout(Some(common::WAIT_TIMEOUT)).unwrap();
        let head = wire::request_head("/o/x", CHUNKED);
        stream.set_write_timeout(None).unwrap();
        let mut body = chunks(MAX_BODY, 1);
        body.extend_from_slice(b"0\r\n\r\n");
        send_all([head.as_bytes(), &body])(&mut stream).unwrap();
        let answer = http::read_message(&mut stream).unwrap().unwrap();
        assert_eq!(answer.status(), 200, "{answer:?}");
        let seen = router.endpoint.seen_at_path("/o/x");
        assert_eq!(seen[0].1.body.len(), MAX_BODY);
        router.process.assert_bounds("one body in small chunks");
    }

    /// Guards against memory for bodies with a length of which the last byte never comes.
    #[test]
    fn unfinished_bodies_with_a_length() {
        let framing = format!("Content-Length: {MAX_BODY}\r\n");
        let body = vec![b'x'; MAX_BODY - 1];
        bears_bodies("bodies with a length", "/r/x", &framing, &body, CROWD);
    }

    /// Guards against memory that is set aside for a body because its caller announces it.
    #[test]
    fn announced_bodies_that_dont_come() {
        let framing = format!("Content-Length: {MAX_BODY}\r\n");
        bears_bodies("announced bodies", "/r/x", &framing, b"x", CROWD);
    }

    /// Guards against bodies over the limit whose callers announce their size.
    #[test]
    fn announced_bodies_over_the_limit() {
        let len = MAX_BODY * 20;
        let framing = format!("Content-Length: {len}\r\n");
        bears_bodies("announced over the limit", "/r/x", &framing, &vec![b'x'; len], CROWD);
    }

    /// Guards against bodies over the limit that are just sent.
    #[test]
    fn chunked_bodies_over_the_limit() {
        let body = chunks(MAX_BODY * 20, 64 << 10);
        bears_bodies("sent over the limit", "/r/x", CHUNKED, &body, CROWD);
    }

    /// Guards against bodies that are read for callers without a key.
    #[test]
    fn unfinished_bodies_without_a_key() {
        let _alone = alone();
        let mut router = Router::start(endpoint_script());
        let address = router.address();
        let head = wire::request_head("/r/x", CHUNKED).replace(wire::KEY, "k-unknown");
        let body = chunks(MAX_BODY, 64 << 10);
        let clients = crowd(CROWD, || connect(address), send_all([head.as_bytes(), &body]));
        router.process.bears("without a key", clients);
    }

    /// Guards against memory for heads of many short headers, which takes up many times their size.
    #[test]
    fn heads_of_short_headers() {
        let framing = format!("Content-Length: {MAX_BODY}\r\n");
        let head = head_of_short_headers(&wire::request_head("/r/x", &framing));
        let _alone = alone();
        let mut router = Router::start(endpoint_script());
        let address = router.address();
        let clients = crowd(CROWD, || connect(address), send_all([head.as_bytes(), b"x"]));
        router.process.bears("heads of short headers", clients);
    }

    /// Guards against whole bodies that wait for an endpoint which doesn't answer.
    #[test]
    fn bodies_of_requests_in_flight() {
        let _alone = alone();
        let mut router = Router::start(endpoint_script());
        let address = router.address();
        let head = wire::request_head("/o/held", &format!("Content-Length: {MAX_BODY}\r\n"));
        let body = vec![b'x'; MAX_BODY];
        let clients = crowd(CROWD, || connect(address), send_all([head.as_bytes(), &body]));
        router.process.bears("requests in flight", clients);
    }

    fn bears_slow_readers(name: &str, path: &str, count: usize) {
        let _alone = alone();
        let mut router = Router::start(endpoint_script());
        let address = router.address();
        let head = wire::request_head(path, "Content-Length: 4\r\n");
        let connect = || connect_with_small_window(address);
        let clients = crowd(count, connect, send_all([head.as_bytes(), b"body"]));
        router.process.bears(name, clients);
    }

    /// Guards against memory for answers that their callers don't read.
    #[test]
    fn long_answers_that_nobody_reads() {
        bears_slow_readers("long answers", "/r/large", CROWD);
    }

    /// Guards against memory for events that their callers don't read.
    #[test]
    fn long_events_that_nobody_reads() {
        bears_slow_readers("long events", "/s/events", CROWD);
    }

    /// Guards against callers that keep their answer alive by reading a little of it.
    #[test]
    fn long_answers_that_are_read_slowly() {
        let _alone = alone();
        let mut router = Router::start(endpoint_script());
        let address = router.address();
        let head = wire::request_head("/r/large", "Content-Length: 4\r\n");
        let connect = || connect_with_small_window(address);
        let clients = crowd(CROWD, connect, |stream| {
            send_all([head.as_bytes(), b"body"])(stream)?;
            read_slowly(stream)
        });
        router.process.bears("long answers read slowly", clients);
    }

    /// Guards against a large limit of heads that leaves no memory, or no connections, to others.
    #[test]
    fn long_heads_that_dont_end() {
        let _alone = alone();
        let mut router = Router::start(endpoint_script());
        router.set_max_head(4 << 20);
        let address = router.address();
        let head = format!("{}x-note: {}", wire::request_head("/r/x", ""), "n".repeat(3 << 20));
        let head = head.replacen("\r\n\r\n", "\r\n", 1);
        let clients = crowd(CROWD, || connect(address), send_all([head.as_bytes()]));
        router.process.bears("long heads", clients);
    }

    /// Guards against bodies that look alive because a few bytes of them still come.
    #[test]
    fn unfinished_bodies_that_trickle() {
        let _alone = alone();
        let mut router = Router::start(endpoint_script());
        let address = router.address();
        let head = wire::request_head("/r/x", CHUNKED);
        let body = chunks(MAX_BODY - (64 << 10), 64 << 10);
        let clients = crowd(
            CROWD,
            || connect(address),
            |stream| {
                send_all([head.as_bytes(), &body])(stream)?;
                trickle(stream)
            },
        );
        router.process.bears("trickling bodies", clients);
    }

    /// Guards against limits that hold for each kind of memory but not for their sum.
    #[test]
    fn all_kinds_at_once() {
        let _alone = alone();
        let mut router = Router::start(endpoint_script());
        let address = router.address();
        let body = chunks(MAX_BODY - (64 << 10), 64 << 10);
        let unfinished = wire::request_head("/r/x", CHUNKED);
        let held = wire::request_head("/o/held", &format!("Content-Length: {MAX_BODY}\r\n"));
        let [large, events] =
            ["/r/large", "/s/events"].map(|path| wire::request_head(path, "Content-Length: 4\r\n"));
        let whole = vec![b'x'; MAX_BODY];
        let requests: [[&[u8]; 2]; 4] = [
            [unfinished.as_bytes(), &body],
            [held.as_bytes(), &whole],
            [large.as_bytes(), b"body"],
            [events.as_bytes(), b"body"],
        ];
        let mut clients = Vec::new();
        for request in requests {
            let connect = || connect_with_small_window(address);
            clients.extend(crowd(CROWD / 4, connect, send_all(request)));
        }
        clients.extend(crowd(CROWD, || connect(address), |_| Ok(())));
        router.process.bears("all kinds at once", clients);
    }

    /// Guards against the listeners for probes and for other instances, whose connections take up
    /// the same descriptors.
    #[test]
    fn connections_to_other_listeners() {
        let _alone = alone();
        let mut router = Router::start(endpoint_script());
        let mut clients = Vec::new();
        for address in [router.ready, router.peers] {
            clients.extend(crowd(3 * MAX_CONNECTIONS, || connect(address), |_| Ok(())));
        }
        router.process.bears("other listeners", clients);
        let probe =
            exchange(router.ready, "GET /readyz HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
        assert!(probe.starts_with("HTTP/1.1 200"), "{probe}");
    }

    /// Guards against connections without a request that use up the descriptors.
    #[test]
    fn connections_without_a_request() {
        let _alone = alone();
        let mut router = Router::start(endpoint_script());
        let address = router.address();
        let clients = crowd(3 * MAX_CONNECTIONS, || connect(address), |_| Ok(()));
        router.process.bears("idle connections", clients);
    }

    /// Guards against the same where a request has begun.
    #[test]
    fn connections_with_an_unfinished_body() {
        let head = wire::request_head("/r/x", CHUNKED);
        let _alone = alone();
        let mut router = Router::start(endpoint_script());
        let address = router.address();
        let send = send_all([head.as_bytes(), b"1\r\nx\r\n"]);
        let clients = crowd(3 * MAX_CONNECTIONS, || connect(address), send);
        router.process.bears("unfinished bodies", clients);
    }

    /// Guards against the same where a head has begun.
    #[test]
    fn connections_with_an_unfinished_head() {
        let head = head_of_short_headers(&wire::request_head("/r/x", CHUNKED));
        let _alone = alone();
        let mut router = Router::start(endpoint_script());
        let address = router.address();
        let send = send_all([&head.as_bytes()[..head.len() - 1]]);
        let clients = crowd(3 * MAX_CONNECTIONS, || connect(address), send);
        router.process.bears("unfinished heads", clients);
    }
}

/// Sends small chunks for some seconds.
fn trickle(stream: &mut TcpStream) -> io::Result<()> {
    let end = Instant::now() + SETTLE_TIME;
    while Instant::now() < end {
        stream.write_all(b"1\r\nx\r\n")?;
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Reads a few bytes at a time for some seconds.
fn read_slowly(stream: &mut TcpStream) -> io::Result<()> {
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

mod own_interface {
    use super::*;

    impl Own {
        fn start() -> Own {
            let service = Endpoint::start("i-1", vec![endpoint_script()]);
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
            Own { process, _daemon: daemon, _service: service }
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
}
