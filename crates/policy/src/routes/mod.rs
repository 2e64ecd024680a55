//! Routing table: maps a request's host and path to a route.
//!
//! The route names the endpoint groups that serve the request and sets its timeouts, its priority
//! and whether it may be retried. `docs/decisions/platform.md` explains why this table exists in
//! addition to the deployments of the project's own interface.

mod engine;
mod homes;
mod keys;

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

pub use engine::EngineRules;
pub use homes::Homes;
pub use keys::{KeyOwner, KeyTable};

use crate::{EndpointGroup, config::Version};

/// Whether and how a request may be retried, from the most restrictive variant to the least.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetrySafety {
    /// Runs at most once, because a second run could have side effects, such as registering a name
    /// twice.
    Once,
    /// May run any number of times.
    Idempotent,
    /// An event stream that another endpoint may resume after the last event that was passed on.
    Resumable,
}

impl RetrySafety {
    /// Whether the request may be retried after an attempt whose outcome is unknown.
    pub fn is_idempotent(self) -> bool {
        self != RetrySafety::Once
    }
}

/// Rules for the requests of one route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route in logs and metrics.
    pub name: String,
    /// Whether requests may be retried.
    pub retry_safety: RetrySafety,
    /// Whether responses are event streams.
    pub is_streaming: bool,
    /// Maximum time until the end of the response.
    pub timeout: Duration,
    /// Time within which the first byte is on time.
    pub goal: Duration,
    /// Longest pause between two events that is still on time.
    pub pause_goal: Duration,
    /// Wait for the first or the next event of a stream after which callers disconnect.
    pub gap_timeout: Duration,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Maximum number of endpoints that one request is tried on.
    pub max_attempts: u32,
    /// Whether requests are served without an API key.
    pub is_public: bool,
    /// The endpoint groups that serve the route, with their weights.
    pub split: Vec<GroupShare>,
    /// Regions whose endpoints may run its requests.
    pub homes: Homes,
}

/// Minimum time that is assumed to be left until an event's deadline: a few passes of an engine,
/// which no placement can make faster.
const MIN_TIME_TO_DEADLINE: Duration = Duration::from_millis(200);

/// An endpoint group's share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupShare {
    /// The endpoint group that receives the share.
    pub group: EndpointGroup,
    /// Its weight relative to the route's other groups.
    pub weight: u32,
}

impl Route {
    /// Time until the deadline of the next event: until the event is late, or if it is late
    /// already, until its caller disconnects. `since_event` is the time since the last event that
    /// the caller received, `None` before the first one.
    ///
    /// Guards against streams that are already late and for which every further millisecond would
    /// appear as costly as a whole goal. Each would be prefilled by a dozen idle engines at once
    /// and decode alone on one of them, so that one silent engine would occupy a dozen engines that
    /// other requests need.
    pub fn time_to_event_deadline(
        &self,
        since_arrival: Duration,
        since_event: Option<Duration>,
    ) -> Duration {
        let (waited, goal) = match since_event {
            Some(waited) => (waited, self.pause_goal),
            None => (since_arrival, self.goal),
        };
        let deadline = if waited < goal { goal } else { self.gap_timeout };
        deadline.saturating_sub(waited).max(MIN_TIME_TO_DEADLINE)
    }

    /// Selects the endpoint group of one request by weight. `draw` is a uniform random number from
    /// 0 to 1. Groups with weight zero receive no requests, unless all weights are zero.
    pub fn group(&self, draw: f64) -> Option<&EndpointGroup> {
        let total: f64 = self.split.iter().map(|share| f64::from(share.weight)).sum();
        let mut remaining = draw * total;
        for share in self.split.iter().filter(|share| share.weight > 0) {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return Some(&share.group);
            }
        }
        self.split.last().map(|share| &share.group)
    }
}

/// Rules of one endpoint group.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct GroupRules {
    /// Speed and capacity of its engines; `None` for a plain service.
    pub engine: Option<EngineRules>,
    /// Requests a second that an endpoint bears while it warms up; none where it needs no warm-up.
    pub cold_requests_per_s: Option<f64>,
}

/// Limits on the size and the duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request's head.
    pub head_timeout: Duration,
    /// Timeout after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits until the first configuration arrives: those that are common for HTTP servers.
    fn default() -> Self {
        CallerLimits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The lookup tables of one version of the configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RouteTable {
    /// Version of the configuration; zero before the first one.
    pub version: Version,
    /// Routes by host, then by path prefix. Each prefix begins and ends with a slash.
    pub hosts: IndexMap<String, IndexMap<String, Arc<Route>>>,
    /// Rules of the endpoint groups, by name.
    pub groups: IndexMap<EndpointGroup, GroupRules>,
    /// API keys and their owners.
    pub keys: KeyTable,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// The route of a request: among the host's routes the one with the longest prefix that matches
    /// `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(host)?;
        let mut end = path.len();
        loop {
            let slash = path.get(..end)?.rfind('/')?;
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
    }
}
