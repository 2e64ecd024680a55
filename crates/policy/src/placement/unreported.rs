//! How many placements of others are under way that this instance hasn't heard of.
//!
//! **Load pattern.** Hundreds of callers come back at once, and a hundred instances place their
//! requests within milliseconds.
//!
//! **Without it.** All instances see the same engine as the best one. Until word of each other's
//! placements arrives, all choose it, and a dozen prompts queue there while other engines idle.
//!
//! **Rule.** The rate at which others place, times the time that word of it takes, is how many
//! placements are unknown. A request goes to one of that many more of the best places, drawn at random.
//! In its first moments an instance doesn't know who else there is, and others may have started with
//! it, so all places are drawn from. Compare Mitzenmacher, "How Useful Is Old Information?" (2000), and
//! Dahlin, "Interpreting Stale Load Information" (2000).

use std::time::Duration;

use crate::Time;

use super::{decaying::DecayingSum, running_mean::RunningMean};

/// Half-life of the rate: a herd comes within tens of milliseconds.
const PLACEMENT_RATE_HALF_LIFE: Duration = Duration::from_millis(20);

/// The time that word of a placement takes until anything was measured: a round trip between machines
/// of one site.
const DEFAULT_ROUND_TRIP: Duration = Duration::from_millis(1);

/// Round trips over which the mean is taken, as TCP does.
pub(super) const AVERAGED_ROUND_TRIPS: f64 = 8.0;

/// How long after its first endpoints an instance may not have found the others, who may have started
/// with it: the directory has to be written and read by all, and everybody greeted.
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
    /// Endpoints are known.
    pub(super) fn record_start(&mut self, now: Time) {
        self.started_at.get_or_insert(now);
    }

    /// Whether the others may not be known yet.
    pub(super) fn is_starting(&self, now: Time) -> bool {
        self.started_at.is_some_and(|started_at| now.since(started_at) < STARTUP_PERIOD)
    }

    /// Heard of other instances' placements.
    pub(super) fn record(&mut self, placements: usize, now: Time) {
        if placements > 0 {
            self.placed.add(placements as f64, now);
        }
    }

    pub(super) fn record_round_trip(&mut self, ms: f64) {
        self.round_trip_ms.add(ms);
    }

    /// Placements of others that aren't known here yet.
    pub(super) fn estimate(&self, now: Time) -> f64 {
        self.placed.rate(now) * self.round_trip_ms.get().unwrap_or_default() / 1000.0
    }
}
