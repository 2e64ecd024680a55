//! Plain services: calls are forwarded, a fault of one server costs no answer, and calls that
//! aren't idempotent aren't repeated.

#![allow(clippy::unwrap_used)]

mod common;

use common::{Daemon, KEY, Site, exchange, post, unused_address};
use standin::{
    proxy::{Direction, FaultProxy, Mode},
    service::{Service, ServiceConfig},
};

fn service() -> Service {
    Service::start(ServiceConfig::default()).unwrap()
}

fn site(services: &[std::net::SocketAddr]) -> Site {
    Site { engines: Vec::new(), services: services.to_vec(), policy: "trefoilhall", more: "" }
}

fn get(path: &str, more: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {KEY}\r\nconnection: close\r\n{more}\r\n"
    )
}

#[test]
fn a_call_passes_through() {
    let service = service();
    let daemon = Daemon::start("pass", &site(&[service.address()]));
    let answer = exchange(daemon.address, &get("/services/desk/status?entry=7", ""));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("x-request-id: "), "{answer}");
    assert_eq!(service.calls(), 1);
}

/// Guards against lookups that fail because nothing listens at the address of one of two servers.
#[test]
fn a_dead_server_costs_no_lookup() {
    let service = service();
    let daemon = Daemon::start("dead", &site(&[unused_address(), service.address()]));
    for _ in 0..5 {
        let answer = exchange(daemon.address, &get("/services/desk/status", ""));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

/// Guards against lookups that wait for a server whose connections are all silent: each is retried
/// on the other server before its deadline.
#[test]
fn a_silent_server_costs_no_lookup() {
    let services = [service(), service()];
    let proxy = FaultProxy::start(services[0].address()).unwrap();
    let daemon = Daemon::start("mute", &site(&[proxy.address(), services[1].address()]));
    proxy.set_mode(Mode::SilenceAll(Direction::Both)).unwrap();
    for _ in 0..3 {
        let call = get("/services/desk/status", "x-deadline-ms: 4000\r\n");
        let answer = exchange(daemon.address, &call);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

/// Guards against a call that isn't idempotent and runs although it can't be recorded, because
/// there is no log service: it is refused with the statement that it didn't run.
#[test]
fn without_a_log_a_registration_is_not_run() {
    let service = service();
    let daemon = Daemon::start("nolog", &site(&[service.address()]));
    let call = post("/services/desk/registrations", "{}").replacen(
        "host: h",
        "host: h\r\nidempotency-key: k1",
        1,
    );
    let answer = exchange(daemon.address, &call);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains(r#""ran":"no""#), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    assert_eq!(service.effects(), 0);
}
