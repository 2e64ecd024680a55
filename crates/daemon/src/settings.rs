//! What a process must know before it can read the configuration: its own addresses, its data
//! centre, and where the platform's services are. Read from the folder given by `--config`;
//! `docs/CONFIG.md` is the reference.

mod read;
mod routing;

use std::net::SocketAddr;

use policy::{DataCentre, InstanceId};
use serde::{Deserialize, Serialize};

pub use routing::RoutingSettings;

/// Settings of one process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this instance.
    pub instance: InstanceId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where other instances connect.
    pub peer_listen: SocketAddr,
    /// Where operators' tools, probes and metrics connect; the callers' address where absent.
    #[serde(default)]
    pub admin_listen: Option<SocketAddr>,
    /// The log service. Where absent, the configuration comes from the same folder, and calls
    /// that may not be repeated are refused.
    #[serde(default)]
    pub log: Option<SocketAddr>,
    /// The list of instances.
    #[serde(default)]
    pub instances: Option<SocketAddr>,
    /// The weight store.
    #[serde(default)]
    pub weights: Option<SocketAddr>,
    /// Other instances' peer addresses to try first, before the list is read.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Threads; as many as cores where absent.
    #[serde(default)]
    pub threads: Option<usize>,
    /// How long readiness is off before the listener closes on a stop, in milliseconds, so that
    /// the platform's balancer notices.
    #[serde(default = "balancer_wait_ms")]
    pub balancer_wait_ms: u64,
    /// The most connections of callers at once.
    #[serde(default = "max_connections")]
    pub max_connections: usize,
    /// The largest accepted body in bytes.
    #[serde(default = "max_body")]
    pub max_body: usize,
    /// Where present, the instance passes requests on by the sites' own routes instead of serving
    /// the project's interface.
    #[serde(default)]
    pub routing: Option<RoutingSettings>,
}

fn balancer_wait_ms() -> u64 {
    5_000
}

fn max_connections() -> usize {
    20_000
}

fn max_body() -> usize {
    // A million tokens are about 4 to 6 MB of text; JSON escapes may double that.
    16 << 20
}
