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

use super::{decaying::Decaying, mean::Mean};

/// Half-life of the rate: a herd comes within tens of milliseconds.
const HALF_LIFE: Duration = Duration::from_millis(20);

/// The time that word of a placement takes until anything was measured: a round trip between machines
/// of one site.
const USUAL_ROUND_TRIP: Duration = Duration::from_millis(1);

/// Round trips over which the mean is taken, as TCP does.
pub(super) const ROUND_TRIPS: f64 = 8.0;

/// How long after its first endpoints an instance may not have found the others, who may have started
/// with it: the directory has to be written and read by all, and everybody greeted.
const STARTING: Duration = Duration::from_millis(500);

#[derive(Debug)]
pub(super) struct Herd {
    /// When the first endpoints were known.
    began: Option<Time>,
    placed: Decaying,
    round_trip_ms: Mean,
}

impl Default for Herd {
    fn default() -> Herd {
        let mut round_trip_ms = Mean::over(ROUND_TRIPS);
        round_trip_ms.add(USUAL_ROUND_TRIP.as_secs_f64() * 1000.0);
        Herd { began: None, placed: Decaying::new(HALF_LIFE), round_trip_ms }
    }
}

impl Herd {
    /// Endpoints are known.
    pub(super) fn begin(&mut self, now: Time) {
        self.began.get_or_insert(now);
    }

    /// Whether the others may not be known yet.
    pub(super) fn is_starting(&self, now: Time) -> bool {
        self.began.is_some_and(|began| now.since(began) < STARTING)
    }

    /// Heard of other instances' placements.
    pub(super) fn heard(&mut self, placements: usize, now: Time) {
        if placements > 0 {
            self.placed.add(placements as f64, now);
        }
    }

    pub(super) fn round_trip(&mut self, ms: f64) {
        self.round_trip_ms.add(ms);
    }

    /// Placements of others that aren't known here yet.
    pub(super) fn unheard(&self, now: Time) -> f64 {
        self.placed.rate(now) * self.round_trip_ms.get().unwrap_or_default() / 1000.0
    }
}
