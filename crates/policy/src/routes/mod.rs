//! Which service a request belongs to, and what may be done with it.
//!
//! A request's host and path select a route; the route names the endpoint groups that serve it and
//! the rules for repeating, waiting and failing. `docs/decisions/platform.md` says why this table
//! stands beside the deployments of the project's own interface.

mod engine;
mod keys;

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

pub use engine::EngineRules;
pub use keys::{KeyOwner, KeyTable};

use crate::{EndpointGroup, config::Version};

/// What may be done again with a request, in the order of how much is allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetrySafety {
    /// It runs once at most: a second run may register a name twice.
    Once,
    /// It may run any number of times.
    Idempotent,
    /// A stream of events that may go on at another endpoint behind the last event passed on.
    Resumable,
}

impl RetrySafety {
    /// Whether a run whose outcome is unknown may be followed by another.
    pub fn is_idempotent(self) -> bool {
        self != RetrySafety::Once
    }
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: String,
    /// What may be done again.
    pub retry_safety: RetrySafety,
    /// Whether answers are streams of events.
    pub is_streaming: bool,
    /// The longest that a caller is kept waiting for the end of the answer.
    pub timeout: Duration,
    /// Within this a first byte is on time.
    pub goal: Duration,
    /// The longest pause between two events that is still on time.
    pub pause_goal: Duration,
    /// A wait for the first event, or between two, after which callers leave a stream.
    pub gap_timeout: Duration,
    /// Rank; zero is the most urgent.
    pub priority: u8,
    /// The most endpoints that one request may run on.
    pub max_attempts: u32,
    /// Whether requests without a key are served.
    pub is_public: bool,
    /// The endpoint groups that serve it, with their shares.
    pub split: Vec<GroupShare>,
}

/// The least time that is taken to be left until an event is late: a few passes of an engine. What takes
/// them anyway can't be hurried.
const LEAST_BOUND: Duration = Duration::from_millis(200);

/// One group's share of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupShare {
    /// The group.
    pub group: EndpointGroup,
    /// Its share relative to the others'.
    pub weight: u32,
}

impl Route {
    /// How long until an event that comes later is worth less: until it is late, or else until its caller
    /// leaves. `since_event` is the time since the last event that the caller has.
    ///
    /// Guards against streams that are late already and whose every further millisecond would look as dear
    /// as a whole goal: each would be read by a dozen idle engines at once, and write alone on one of
    /// them, so that one engine's silence takes a dozen from everybody.
    pub fn time_to_event_deadline(
        &self,
        since_arrival: Duration,
        since_event: Option<Duration>,
    ) -> Duration {
        let (waited, goal) = match since_event {
            Some(waited) => (waited, self.pause_goal),
            None => (since_arrival, self.goal),
        };
        let bound = if waited < goal { goal } else { self.gap_timeout };
        bound.saturating_sub(waited).max(LEAST_BOUND)
    }

    /// The group for one request, `draw` being drawn evenly from 0 to 1. A group with weight zero
    /// gets nothing, unless all have none.
    pub fn group(&self, draw: f64) -> Option<&EndpointGroup> {
        let total: u32 = self.split.iter().map(|share| share.weight).sum();
        let mut left = draw * f64::from(total);
        for share in self.split.iter().filter(|share| share.weight > 0) {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return Some(&share.group);
            }
        }
        self.split.last().map(|share| &share.group)
    }
}

/// Rules for one endpoint group.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct GroupRules {
    /// How fast its engines are and what they hold; none for a plain service.
    pub engine: Option<EngineRules>,
}

/// What callers may send, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head.
    pub head_timeout: Duration,
    /// Time that a connection may stay without a request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// In force until the first configuration says otherwise: the customary bounds of HTTP servers.
    fn default() -> Self {
        CallerLimits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration, in the form that requests look things up in.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RouteTable {
    /// Its version; zero where none is in force.
    pub version: Version,
    /// Routes by host, then by path prefix. Each prefix begins and ends with a slash.
    pub hosts: IndexMap<String, IndexMap<String, Arc<Route>>>,
    /// Rules by endpoint group.
    pub groups: IndexMap<EndpointGroup, GroupRules>,
    /// Whose key is whose.
    pub keys: KeyTable,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// The route of a request: among those of the host the one with the longest prefix of `path`.
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
