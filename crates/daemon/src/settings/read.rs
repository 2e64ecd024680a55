//! Reads the settings from the member `settings` of a configuration folder. All errors are
//! collected and reported together.

use std::net::SocketAddr;

use policy::config::{Findings, SETTINGS_MEMBER, fields::Fields, tree::Node};

use super::{RoutingSettings, Settings, balancer_wait_ms, max_body, max_connections};

/// Maximum value of `threads`.
const MAX_THREADS: u64 = 1_024;
/// Maximum value of `memory_mb`: 16 terabytes.
const MAX_MEMORY_MB: u64 = 16 << 20;
/// Maximum value of `open_files`.
const MAX_OPEN_FILES: u64 = 1 << 30;
/// Maximum value of `balancer_wait_ms`: ten minutes.
const MAX_BALANCER_WAIT_MS: u64 = 600_000;
/// Maximum value of `max_connections`; the ports and file descriptors of an instance don't suffice
/// for more.
const MAX_CONNECTIONS: u64 = 1_000_000;
/// Maximum value of `max_body`: 1 GiB.
const MAX_BODY_LIMIT_BYTES: u64 = 1 << 30;

impl Settings {
    /// Reads the settings from `node`, the merged member `settings`. Errors go to `findings`.
    pub fn read(node: &Node, findings: &mut Findings) -> Option<Settings> {
        let mut fields = Fields::open(node, SETTINGS_MEMBER, findings)?;
        let instance = fields.required("instance", "this instance's name", findings);
        let data_centre = fields.required("data_centre", "a data centre's name", findings);
        let listen = required_address(&mut fields, "listen", findings);
        let peer_listen = required_address(&mut fields, "peer_listen", findings);
        let admin_listen = fields.optional("admin_listen", ADDRESS_FORMAT, findings);
        let log = fields.optional("log", ADDRESS_FORMAT, findings);
        let instances = fields.optional("instances", ADDRESS_FORMAT, findings);
        let weights = fields.optional("weights", ADDRESS_FORMAT, findings);
        let peers = fields.optional("peers", "a list of addresses", findings);
        let threads = fields.optional_whole("threads", 1..=MAX_THREADS, findings);
        let balancer_wait_ms = fields.whole(
            "balancer_wait_ms",
            0..=MAX_BALANCER_WAIT_MS,
            balancer_wait_ms(),
            findings,
        );
        let max_connections = size_or_default(
            &mut fields,
            "max_connections",
            MAX_CONNECTIONS,
            max_connections(),
            findings,
        );
        let memory_mb = fields.optional_whole("memory_mb", 1..=MAX_MEMORY_MB, findings);
        let open_files = fields.optional_whole("open_files", 1..=MAX_OPEN_FILES, findings);
        let max_body =
            size_or_default(&mut fields, "max_body", MAX_BODY_LIMIT_BYTES, max_body(), findings);
        let routing = fields.node("routing");
        let routing = routing.and_then(|node| RoutingSettings::read(node, findings));
        fields.close(findings);
        Some(Settings {
            instance: instance?,
            data_centre: data_centre?,
            listen: listen?,
            peer_listen: peer_listen?,
            admin_listen,
            log,
            instances,
            weights,
            peers: peers.unwrap_or_default(),
            threads: threads.and_then(|threads| usize::try_from(threads).ok()),
            balancer_wait_ms,
            max_connections,
            memory_mb,
            open_files,
            max_body,
            routing,
        })
    }
}

pub(super) const ADDRESS_FORMAT: &str = "an address as 10.0.0.7:8080";

fn required_address(
    fields: &mut Fields<'_>,
    name: &'static str,
    findings: &mut Findings,
) -> Option<SocketAddr> {
    fields.required(name, ADDRESS_FORMAT, findings)
}

fn size_or_default(
    fields: &mut Fields<'_>,
    name: &'static str,
    max: u64,
    default: usize,
    findings: &mut Findings,
) -> usize {
    let number = fields.whole(name, 1..=max, default as u64, findings);
    usize::try_from(number).unwrap_or(default)
}
