//! What an instance must know before it can route.

use std::{net::SocketAddr, time::Duration};

use policy::{DataCentre, InstanceId, placement::PlacementRules, retry::RetryRules};

/// Settings of one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Its name.
    pub instance: InstanceId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub ready_listen: SocketAddr,
    /// Where other instances send datagrams.
    pub link_listen: SocketAddr,
    /// Where metrics are read, if anywhere.
    pub metrics_listen: Option<SocketAddr>,
    /// Threads.
    pub threads: usize,
    /// Bounds that the operators set.
    pub bounds: Bounds,
    /// How places are chosen.
    pub placement: PlacementRules,
}

/// Bounds that the operators set; all of them are times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// A key that was taken away is refused everywhere after this.
    pub revoke_within: Duration,
    /// An endpoint that leaves gets nothing new after this.
    pub leave_within: Duration,
    /// From the order to stop to the end by force.
    pub stop_within: Duration,
    /// Repeats that all instances together may add, as a share of first attempts.
    pub retry_share: f64,
    /// The window over which repeats are counted.
    pub retry_window: Duration,
    /// Repeats in a window that are free, over all instances.
    pub retry_slack: f64,
}

impl Bounds {
    /// What repeats are allowed.
    pub fn retry_rules(&self) -> RetryRules {
        RetryRules {
            share: self.retry_share,
            slack: self.retry_slack,
            window_s: self.retry_window.as_secs(),
        }
    }
}
