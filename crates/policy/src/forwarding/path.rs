//! Whether this instance's own path to the endpoints of a group works.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{EndpointId, Time};

/// Endpoints that weren't reached one after the other when the path counts as cut. Fewer may have
/// failed by themselves.
const UNREACHED_UNTIL_CUT: usize = 3;

/// The same where a peer has served a request afterwards.
const UNREACHED_UNTIL_CUT_WITH_HELP: usize = 2;

/// How long a failed connection counts.
const FAILURE_TTL: Duration = Duration::from_secs(5);

/// Time between two probes of a path that is cut.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a probe without a result counts as lost.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether requests may use the path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathState {
    /// It works, as far as is known.
    Open,
    /// It is cut.
    Cut {
        /// The caller has to probe it now, and to report the result.
        probe: bool,
    },
}

/// Evidence about the path.
#[derive(Debug, Default)]
pub struct Path {
    /// Endpoints that weren't reached since the last answer of any, with the time of the latest
    /// failure.
    unreached: IndexMap<EndpointId, Time>,
    /// When to probe next, while the path is cut.
    probe_at: Option<Time>,
    /// A probe has succeeded since the last cut, and no endpoint has answered yet.
    is_on_trial: bool,
}

impl Path {
    /// Records that an endpoint answered.
    pub fn record_answer(&mut self) {
        self.unreached.clear();
        self.probe_at = None;
        self.is_on_trial = false;
    }

    /// Records that a connection to an endpoint failed, or was closed before the endpoint can have
    /// run anything. Returns true if the path counts as cut from now on.
    pub fn record_unreached(&mut self, endpoint: &EndpointId, now: Time) -> bool {
        self.unreached.insert(endpoint.clone(), now);
        let enough = if self.is_on_trial { 1 } else { UNREACHED_UNTIL_CUT };
        self.cut_after(enough, now)
    }

    /// Records that a peer has served a request. Returns true if the path counts as cut from now on.
    pub fn record_help(&mut self, now: Time) -> bool {
        self.cut_after(UNREACHED_UNTIL_CUT_WITH_HELP, now)
    }

    fn cut_after(&mut self, enough: usize, now: Time) -> bool {
        self.unreached.retain(|_, at| now.since(*at) < FAILURE_TTL);
        if self.is_cut() || self.unreached.len() < enough {
            return false;
        }
        self.is_on_trial = false;
        self.probe_at = Some(now);
        true
    }

    /// Records the result of a probe. Returns true if the path counts as open from now on.
    pub fn record_probe(&mut self, is_reached: bool, now: Time) -> bool {
        if !self.is_cut() {
            return false;
        }
        if !is_reached {
            self.probe_at = Some(now + PROBE_INTERVAL);
            return false;
        }
        self.unreached.clear();
        self.probe_at = None;
        self.is_on_trial = true;
        true
    }

    /// Whether the path counts as cut.
    pub fn is_cut(&self) -> bool {
        self.probe_at.is_some()
    }

    /// State of the path for the next request.
    pub fn state(&mut self, now: Time) -> PathState {
        match self.probe_at {
            None => PathState::Open,
            Some(at) if at <= now => {
                self.probe_at = Some(now + PROBE_TIMEOUT);
                PathState::Cut { probe: true }
            }
            Some(_) => PathState::Cut { probe: false },
        }
    }
}
