//! Crowds against an instance that forwards requests by the sites' own routes.

use std::thread;

use crate::{
    clients::*,
    common::{self, exchange, wait_until},
    platform_standins::{
        endpoint::{ConnectionEnd, Endpoint, Script},
        http, wire,
    },
    process::*,
};

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

/// Guards against the kernel's buffers of connections whose requests are in service, which count as
/// the process's memory. A long body lets their receive buffers grow.
#[test]
fn input_behind_a_request_in_service() {
    let head = wire::request_head("/o/held", &format!("Content-Length: {MAX_BODY}\r\n"));
    let mut body = vec![b'x'; MAX_BODY];
    body.extend_from_slice(&head.repeat(8 * MAX_BODY / head.len()).into_bytes());
    bears_bodies(
        "input behind a request",
        "/o/held",
        &format!("Content-Length: {MAX_BODY}\r\n"),
        &body,
        CROWD,
    );
}

/// Guards against answers to many requests that were sent at once, on connections that nobody reads.
#[test]
fn answers_to_many_requests_that_nobody_reads() {
    let _alone = alone();
    let mut router = Router::start(endpoint_script());
    let address = router.address();
    let request = wire::request_head("/r/large", "Content-Length: 4\r\n") + "body";
    let requests = request.repeat(1_000);
    let connect = || connect_with_small_window(address);
    let clients = crowd(CROWD, connect, send_all([requests.as_bytes()]));
    router.process.bears("many requests at once", clients);
}

/// Guards against bodies and answers that an instance holds for the callers of its peers.
#[test]
fn requests_that_peers_pass_on() {
    let _alone = alone();
    let mut router = Router::start(endpoint_script());
    let peers = router.peers;
    let forwarded = format!("Forwarded-Attempts: 1\r\nContent-Length: {MAX_BODY}\r\n");
    let held = wire::request_head("/o/held", &forwarded);
    let whole = vec![b'x'; MAX_BODY];
    let large = wire::request_head("/r/large", "Forwarded-Attempts: 1\r\nContent-Length: 4\r\n");
    let mut clients = crowd(CROWD, || connect(peers), send_all([held.as_bytes(), &whole]));
    let connect = || connect_with_small_window(peers);
    clients.extend(crowd(CROWD, connect, send_all([large.as_bytes(), b"body"])));
    router.process.bears("requests of peers", clients);
}

/// Guards against pages for collectors and probes that nobody reads.
#[test]
fn pages_that_nobody_reads() {
    let _alone = alone();
    let mut router = Router::start(endpoint_script());
    let mut clients = Vec::new();
    for (address, path) in [(router.metrics, "/metrics"), (router.ready, "/readyz")] {
        let requests = format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n").repeat(5_000);
        let connect = || connect_with_small_window(address);
        clients.extend(crowd(CROWD, connect, send_all([requests.as_bytes()])));
    }
    router.process.bears("pages", clients);
}

/// Guards against memory for trailers and for extensions of chunks, which are no part of a body.
#[test]
fn bodies_with_long_framing() {
    let long = "x".repeat(4 << 20);
    let extension = format!("1;{long}\r\nx\r\n");
    bears_bodies("extensions of chunks", "/r/x", CHUNKED, extension.as_bytes(), CROWD);
    let trailers = format!("1\r\nx\r\n0\r\n{}", "a: b\r\n".repeat(1 << 20));
    bears_bodies("trailers", "/r/x", CHUNKED, trailers.as_bytes(), CROWD);
}

/// Guards against small requests that are sent all at once, whose answers nobody reads: they wait in
/// the kernel's buffers.
#[test]
fn small_requests_at_once_that_nobody_reads() {
    let _alone = alone();
    let mut router = Router::start(answer());
    let address = router.address();
    let request = wire::request_head("/r/x", "Content-Length: 4\r\n") + "body";
    let requests = request.repeat(2 * MAX_BODY / request.len());
    let connect = || connect_with_small_window(address);
    let clients = crowd(CROWD, connect, send_all([requests.as_bytes()]));
    router.process.bears("small requests at once", clients);
}

/// Guards against callers that stop reading once the kernel has enlarged its buffers for them.
#[test]
fn events_that_are_read_in_part() {
    let _alone = alone();
    let mut router = Router::start(endpoint_script());
    let address = router.address();
    let head = wire::request_head("/s/events", "Content-Length: 4\r\n");
    let clients = crowd(
        CROWD,
        || connect(address),
        |stream| {
            send_all([head.as_bytes(), b"body"])(stream)?;
            read_some(stream, 4 * MAX_BODY)
        },
    );
    router.process.bears("events read in part", clients);
}

/// Guards against a large limit of heads that lets bodies take up more than their size.
#[test]
fn unfinished_bodies_where_heads_may_be_long() {
    let _alone = alone();
    let mut router = Router::start(endpoint_script());
    router.set_max_head(4 << 20);
    let address = router.address();
    let head = wire::request_head("/r/x", CHUNKED);
    let body = chunks(MAX_BODY - (64 << 10), 64 << 10);
    let clients = crowd(CROWD, || connect(address), send_all([head.as_bytes(), &body]));
    router.process.bears("bodies, heads may be long", clients);
}

/// Guards against a large limit of heads that lets answers which nobody reads go uncounted.
#[test]
fn long_answers_where_heads_may_be_long() {
    let _alone = alone();
    let mut router = Router::start(endpoint_script());
    router.set_max_head(4 << 20);
    let address = router.address();
    let head = wire::request_head("/r/large", "Content-Length: 4\r\n");
    let connect = || connect_with_small_window(address);
    let clients = crowd(CROWD, connect, send_all([head.as_bytes(), b"body"]));
    router.process.bears("answers, heads may be long", clients);
}

/// Guards against an endpoint that looks silent, and is replaced, while its stream waits for memory.
#[test]
fn a_stream_that_waits_for_memory_stays_at_its_endpoint() {
    let _alone = alone();
    let event = "x".repeat(MAX_BODY - (24 << 10));
    let stream = leaked(format!(
        "HTTP/1.1 200 x\r\nSEAL\r\ncontent-type: text/event-stream\r\n\r\n\
         id: 1\ndata: x\n\nid: 2\ndata: {event}\n\n"
    ));
    let stream = Box::new(Script::Raw(stream, ConnectionEnd::Close));
    let script = Script::For("waits", stream, Box::new(endpoint_script()));
    let mut router = Router::start(script.clone());
    let other = Endpoint::start("i-2", vec![script]);
    wire::register_large(&router.store, &other);
    wait_until("the other endpoint is used", || {
        router.process.is_answered() && !other.seen_at_path("/r/x").is_empty()
    });
    let address = router.address();
    let held = wire::request_head("/o/held", &format!("Content-Length: {MAX_BODY}\r\n"));
    let body = vec![b'x'; MAX_BODY];
    let mut clients = crowd(CROWD, || connect(address), send_all([held.as_bytes(), &body]));
    thread::sleep(SETTLE_TIME);
    let head = wire::request_head("/s/waits", "Content-Length: 4\r\n");
    clients.extend(crowd(1, || connect(address), send_all([head.as_bytes(), b"body"])));
    router.process.bears("a stream that waits", clients);
    let sent = [&router.endpoint, &other].map(|endpoint| endpoint.seen_at_path("/s/waits").len());
    assert_eq!(sent.iter().sum::<usize>(), 1, "{sent:?} requests at the endpoints");
}
