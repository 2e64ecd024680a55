//! Settings that a process needs before it can read the configuration: its own addresses, its data
//! centre and the addresses of the platform's services. They are read from the folder given by
//! `--config`; `docs/CONFIG.md` is the reference.

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
    /// The data centre that this instance runs in.
    pub data_centre: DataCentre,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for other instances.
    pub peer_listen: SocketAddr,
    /// The address for operators' tools, probes and metrics; the callers' address if absent.
    #[serde(default)]
    pub admin_listen: Option<SocketAddr>,
    /// The address of the log service. If absent, the configuration is read from the same folder,
    /// and calls that may not be repeated are refused.
    #[serde(default)]
    pub log: Option<SocketAddr>,
    /// The address of the service that lists the instances.
    #[serde(default)]
    pub instances: Option<SocketAddr>,
    /// The address of the weight store.
    #[serde(default)]
    pub weights: Option<SocketAddr>,
    /// Peer addresses of other instances to connect to before the list of instances is read.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The number of threads; the number of cores if absent.
    #[serde(default)]
    pub threads: Option<usize>,
    /// How long a shutdown fails readiness probes before new requests are refused, in milliseconds,
    /// so that the platform's balancer notices.
    #[serde(default = "balancer_wait_ms")]
    pub balancer_wait_ms: u64,
    /// Maximum number of open connections of callers.
    #[serde(default = "max_connections")]
    pub max_connections: usize,
    /// Memory of the machine in megabytes; what the system reports if absent.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// Descriptors that the process may open; what the system allows if absent.
    #[serde(default)]
    pub open_files: Option<u64>,
    /// Maximum size of a request's body, in bytes.
    #[serde(default = "max_body")]
    pub max_body: usize,
    /// If present, the instance forwards requests by the sites' own routes instead of serving the
    /// project's interface.
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
