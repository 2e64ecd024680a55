//! Instances that help each other: configuration from a peer, and status of the fleet.

#![allow(clippy::unwrap_used)]

mod common;

use common::{Daemon, Site, exchange, post, prompt, unused_address, wait_until};
use standin::{Engine, EngineConfig};

fn peer_of(daemon: &Daemon) -> String {
    format!(r#""balancer_wait_ms":100,"peers":["{}"]"#, daemon.peer_address)
}

/// Guards against an instance that stays out of service for the length of a log outage: the
/// platform starts it while the log service is down, so that it has no configuration of its own and
/// has to take the one in force from its peer.
#[test]
fn a_start_beside_a_dead_log_takes_the_configuration_from_a_peer() {
    let engine = Engine::start(EngineConfig::default()).unwrap();
    let site = Site::of_engines(&[engine.address()]);
    let first = Daemon::start("with-config", &site);
    let more = format!(r#"{},"log":"{}""#, peer_of(&first), unused_address());
    let second = Daemon::start_with("without-config", &site, &more);
    let body = prompt("after all", 3, false);
    let answer = exchange(second.address, &post("/v1/completions", &body));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// An operator queries one instance for the state of the fleet, before and after another instance
/// stops.
#[test]
fn the_status_names_the_other_instances() {
    let engine = Engine::start(EngineConfig::default()).unwrap();
    let site = Site::of_engines(&[engine.address()]);
    let mut first = Daemon::start("first", &site);
    let second = Daemon::start_with("second", &site, &peer_of(&first));
    let status = || second.get("/admin/status");
    let first_is = |state: &str| format!(r#""instance":"first","incarnation":{state}"#);
    wait_until("the link is established", || status().contains(r#""linked":true"#));
    assert!(status().contains(&first_is("")), "{}", status());
    first.signal("-TERM");
    assert!(first.child.wait().unwrap().success());
    wait_until("the first instance is removed", || status().contains(r#""peers":[]"#));
}
