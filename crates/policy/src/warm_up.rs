//! Slow start of cold endpoints.
//!
//! **Load pattern.** An endpoint that has just started is slow for seconds and crashes if it gets
//! many more requests a second than it bears. A whole data centre may come back cold at once.
//!
//! **Without it.** A new endpoint looks idle to all instances, so all of them send their next
//! request there.
//!
//! **Rule.** Other endpoints come first. A cold one gets requests only within a limit that all
//! instances share: each may send its [quota](crate::instances::Instances::quota) in any [`WINDOW`]. Where there are
//! more instances than the limit allows requests, rendezvous hashing chooses those that may send
//! one. Unused quota isn't saved up, because the savings of hundreds of instances could be spent
//! in the same second. An instance that doesn't know the others sends nothing to cold endpoints.
//!
//! **Grounds.** Instances that are silent still count for minutes, so a cut between them doesn't
//! raise anyone's quota.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{Time, freshness::Position};

/// Span in which an instance sends at most its quota: the second for which the limit holds, and a
/// tenth of it for different delays of the requests.
pub const WINDOW: Duration = Duration::from_millis(1_100);

/// The beginning of a cold period.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Position of the registration that reported it, which distinguishes successive ones.
    pub reported_at: Position,
    /// How long it lasts from then on.
    pub lasts: Duration,
}

/// The cold period of one endpoint, and what this instance sent there meanwhile.
#[derive(Debug, Default)]
pub struct WarmUp {
    reported_at: Option<Position>,
    cold_until: Time,
    /// When this instance's latest requests are sent, in any order.
    sent: VecDeque<Time>,
}

impl WarmUp {
    /// Records what the endpoint's registration states: its latest cold start, or none where it
    /// isn't cold. The period is counted from when it is first heard of, which is later than it
    /// began.
    pub fn record_start(&mut self, start: Option<ColdStart>, now: Time) {
        let reported_at = start.map(|start| start.reported_at);
        if std::mem::replace(&mut self.reported_at, reported_at) != reported_at {
            self.cold_until = start.map_or(now, |start| now + start.lasts);
        }
    }

    /// Whether the endpoint is warming up.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Records a request that is sent there at `at`.
    pub fn record_sent(&mut self, at: Time) {
        if self.is_cold(at) {
            self.sent.push_back(at);
        }
        self.sent.retain(|sent| at.since(*sent) < WINDOW);
    }

    /// Number of requests sent there in the window that ends now, or still to be sent.
    pub fn sent_within_window(&self, now: Time) -> usize {
        self.sent.iter().filter(|sent| now.since(**sent) < WINDOW).count()
    }
}
