//! What instances do for one another.

#![allow(clippy::unwrap_used)]

mod common;

use common::{Daemon, Site, exchange, post, prompt, unused_address, wait_until};
use standin::{Engine, EngineConfig};

fn peer_of(daemon: &Daemon) -> String {
    format!(r#""balancer_wait_ms":100,"peers":["{}"]"#, daemon.peer_address)
}

/// The platform replaces an instance while its log service is down. The new instance has no
/// configuration of its own, and takes the one in force from its peer instead of staying out of
/// service for the length of the outage.
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

/// An operator asks any instance for the state of the site, before and after another one stops.
#[test]
fn the_status_names_the_other_instances() {
    let engine = Engine::start(EngineConfig::default()).unwrap();
    let site = Site::of_engines(&[engine.address()]);
    let mut first = Daemon::start("first", &site);
    let second = Daemon::start_with("second", &site, &peer_of(&first));
    let status = || second.get("/admin/status");
    let first_is = |state: &str| format!(r#""instance":"first","incarnation":{state}"#);
    wait_until("the link stands", || status().contains(r#""linked":true"#));
    assert!(status().contains(&first_is("")), "{}", status());
    first.signal("-TERM");
    assert!(first.child.wait().unwrap().success());
    wait_until("it is gone", || status().contains(r#""peers":[]"#));
}
