//! Crowds that are connected while an instance starts, stops, reads its settings or gets other limits.

use std::net::TcpStream;

use crate::{
    clients::*,
    common::{exchange, wait_until},
    platform_standins::wire,
    process::*,
};

/// Clients with an unfinished body each, and as many that don't read their answers.
fn mixed_crowd(router: &Router) -> Vec<TcpStream> {
    let address = router.address();
    let unfinished = wire::request_head("/r/x", CHUNKED);
    let body = chunks(MAX_BODY - (64 << 10), 64 << 10);
    let large = wire::request_head("/r/large", "Content-Length: 4\r\n");
    let send = send_all([unfinished.as_bytes(), &body]);
    let mut clients = crowd(CROWD / 2, || connect(address), send);
    let send = send_all([large.as_bytes(), b"body"]);
    clients.extend(crowd(CROWD / 2, || connect_with_small_window(address), send));
    clients
}

/// Guards against bodies that are kept until the instance knows its configuration.
#[test]
fn bodies_before_there_is_a_configuration() {
    let _alone = alone();
    let mut router = Router::start_unready(endpoint_script());
    let clients = mixed_crowd(&router);
    router.process.assert_bounds("without a configuration");
    router.publish();
    router.process.bears("with the first configuration", clients);
}

/// Guards against a crowd that keeps an instance from stopping, or that takes up memory meanwhile.
#[test]
fn a_stop_beside_a_crowd() {
    let _alone = alone();
    let mut router = Router::start(endpoint_script());
    let clients = mixed_crowd(&router);
    router.process.assert_bounds("before the stop");
    router.process.signal("-TERM");
    let later = crowd(CROWD, || connect(router.address()), |_| Ok(()));
    wait_until("the process has ended", || router.process.child.try_wait().unwrap().is_some());
    assert!(router.process.child.wait().unwrap().success());
    drop((clients, later));
}

/// Guards against limits that hold only for connections which were opened after a change of them.
#[test]
fn limits_and_settings_that_change_under_a_crowd() {
    let _alone = alone();
    let mut router = Router::start(endpoint_script());
    let mut clients = mixed_crowd(&router);
    for max_head in [4 << 20, MAX_HEAD] {
        router.process.signal("-HUP");
        router.set_max_head(max_head);
        clients.extend(mixed_crowd(&router));
        router.process.assert_bounds("after a change");
    }
    router.process.bears("after two changes", clients);
}

/// Guards against memory that one crowd leaves behind for the next one.
#[test]
fn crowds_one_after_another() {
    let _alone = alone();
    let mut router = Router::start(endpoint_script());
    let address = router.address();
    let held = wire::request_head("/o/held", &format!("Content-Length: {MAX_BODY}\r\n"));
    let small = wire::request_head("/r/x", CHUNKED);
    let (whole, body) = (vec![b'x'; MAX_BODY], chunks(MAX_BODY / 4, 1));
    for _ in 0..2 {
        let clients = mixed_crowd(&router);
        router.process.bears("mixed", clients);
        let clients = crowd(CROWD, || connect(address), send_all([held.as_bytes(), &whole]));
        router.process.bears("held", clients);
        let clients = crowd(CROWD, || connect(address), send_all([small.as_bytes(), &body]));
        router.process.bears("small chunks", clients);
    }
    let probe =
        exchange(router.ready, "GET /readyz HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    assert!(probe.starts_with("HTTP/1.1 200"), "{probe}");
}
