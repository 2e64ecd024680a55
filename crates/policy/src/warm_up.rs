//! Slow start of cold endpoints.
//!
//! **Load pattern.** An endpoint that has just started is slow for seconds and crashes if it gets
//! many more requests a second than it bears. A whole data centre may come back cold at once.
//!
//! **Without it.** A new endpoint looks idle to all instances, so all of them send their next
//! request there.
//!
//! **Rule.** Other endpoints come first. A cold one gets requests only within a limit that all
//! instances share ([`crate::shared_limit`]).
//!
//! **Grounds.** The period is counted from when it is first heard of, which is later than it began.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Time, freshness::Position};

/// The beginning of a cold period.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Position of the registration that reported it, which distinguishes successive ones.
    pub reported_at: Position,
    /// How long it lasts from then on.
    pub lasts: Duration,
}

/// The cold period of one endpoint.
#[derive(Debug, Default)]
pub struct WarmUp {
    reported_at: Option<Position>,
    cold_until: Time,
}

impl WarmUp {
    /// Records what the endpoint's registration states: its latest cold start, or none where it
    /// isn't cold.
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
}
