//! Herd avoidance: estimates how many placements of other instances are not yet reported here.
//!
//! **Load pattern.** Hundreds of callers come back at once, and a hundred instances place their
//! requests within milliseconds.
//!
//! **Without it.** All instances see the same engine as the best one. Until they receive the
//! updates about each other's placements, all of them choose it, and a dozen prompts queue there
//! while other engines are idle (a thundering herd).
//!
//! **Rule.** The number of unreported placements is the rate at which others place, times the delay
//! of their updates. That many more of the best endpoints are candidates, and the request goes to
//! one of them drawn at random. Just after its start, an instance doesn't know the other instances,
//! which may have started at the same time, so it draws from all endpoints. Compare Mitzenmacher,
//! "How Useful Is Old Information?" (2000), and Dahlin, "Interpreting Stale Load Information"
//! (2000).

use std::time::Duration;

use crate::Time;

use super::{decaying::DecayingSum, running_mean::RunningMean};

/// Half-life of the rate: a herd arrives within tens of milliseconds.
const PLACEMENT_RATE_HALF_LIFE: Duration = Duration::from_millis(20);

/// Assumed update delay before any measurement: a round trip between machines of one site.
const DEFAULT_ROUND_TRIP: Duration = Duration::from_millis(1);

/// Number of round trips over which the mean is taken, as in TCP.
pub(super) const AVERAGED_ROUND_TRIPS: f64 = 8.0;

/// How long after its first endpoints an instance may not know the other instances that started at
/// the same time: the directory has to be written and read by all, and the peers connected.
const STARTUP_PERIOD: Duration = Duration::from_millis(500);

#[derive(Debug)]
pub(super) struct UnreportedPlacements {
    /// When the first endpoints were known.
    started_at: Option<Time>,
    placed: DecayingSum,
    round_trip_ms: RunningMean,
}

impl Default for UnreportedPlacements {
    fn default() -> UnreportedPlacements {
        let mut round_trip_ms = RunningMean::new(AVERAGED_ROUND_TRIPS);
        round_trip_ms.add(DEFAULT_ROUND_TRIP.as_secs_f64() * 1000.0);
        UnreportedPlacements {
            started_at: None,
            placed: DecayingSum::new(PLACEMENT_RATE_HALF_LIFE),
            round_trip_ms,
        }
    }
}

impl UnreportedPlacements {
    /// Records that endpoints are known; later calls change nothing.
    pub(super) fn record_start(&mut self, now: Time) {
        self.started_at.get_or_insert(now);
    }

    /// Whether the other instances may not be known yet.
    pub(super) fn is_starting(&self, now: Time) -> bool {
        self.started_at.is_some_and(|started_at| now.since(started_at) < STARTUP_PERIOD)
    }

    /// Records placements that other instances have reported.
    pub(super) fn record(&mut self, placements: usize, now: Time) {
        if placements > 0 {
            self.placed.add(placements as f64, now);
        }
    }

    pub(super) fn record_round_trip(&mut self, ms: f64) {
        self.round_trip_ms.add(ms);
    }

    /// Expected number of placements that aren't reported yet.
    pub(super) fn estimate(&self, now: Time) -> f64 {
        self.placed.rate(now) * self.round_trip_ms.get().unwrap_or_default() / 1000.0
    }
}
