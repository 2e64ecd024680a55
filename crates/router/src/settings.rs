//! Settings that an instance needs at its start.

use std::{net::SocketAddr, time::Duration};

use indexmap::IndexMap;
use policy::{DataCentre, InstanceId, Region, retry::RetryRules};

use crate::{resources::ResourceLimits, state::Scheduling};

/// Settings of one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Unique name among all instances.
    pub instance: InstanceId,
    /// Data centre that the instance runs in.
    pub data_centre: DataCentre,
    /// Region of each data centre.
    pub regions: IndexMap<DataCentre, Region>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address of the balancer's readiness check.
    pub ready_listen: SocketAddr,
    /// Addresses for messages of some other instances, by which an instance that starts finds the
    /// others. They may be out of date, and include this instance's own.
    pub seeds: Vec<SocketAddr>,
    /// Address for other instances: UDP for datagrams, TCP for snapshots.
    pub link_listen: SocketAddr,
    /// Address of the metrics page; none disables it.
    pub metrics_listen: Option<SocketAddr>,
    /// Number of worker threads.
    pub threads: usize,
    /// Limits that the operators set.
    pub bounds: Bounds,
    /// What callers may make the instance hold.
    pub resources: ResourceLimits,
    /// How requests are scheduled on endpoints.
    pub scheduling: Scheduling,
}

/// Limits that the operators set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// A key that was revoked is refused everywhere after this time.
    pub revoke_within: Duration,
    /// A leaving endpoint gets no new requests after this time.
    pub leave_within: Duration,
    /// Time from the order to stop until remaining requests are cut.
    pub stop_within: Duration,
    /// Retries that all instances together may add, as a share of first attempts.
    pub retry_share: f64,
    /// Time window over which retries are counted.
    pub retry_window: Duration,
    /// Retries per window, over all instances, that are allowed beyond the share.
    pub retry_slack: f64,
    /// What cold endpoints bear beyond their configured rate; none where they need no warm-up.
    pub cold_tolerance: Option<ColdTolerance>,
}

/// Requests that a cold endpoint bears in a second, from all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdTolerance {
    /// Multiple of its configured rate.
    pub factor: f64,
    /// Requests in addition to that.
    pub slack: f64,
}

impl ColdTolerance {
    /// The limit for an endpoint with this configured rate.
    pub fn limit_per_s(&self, rate_per_s: f64) -> f64 {
        rate_per_s * self.factor + self.slack
    }
}

impl Bounds {
    /// The limits on retries, as the policy takes them.
    pub fn retry_rules(&self) -> RetryRules {
        RetryRules {
            share: self.retry_share,
            slack: self.retry_slack,
            window_s: self.retry_window.as_secs(),
        }
    }
}
