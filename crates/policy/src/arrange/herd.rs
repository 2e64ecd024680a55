//! How many placements of others are under way that this instance hasn't heard of.
//!
//! **Load pattern.** Hundreds of callers come back at once, and a hundred instances place their requests within
//! milliseconds.
//!
//! **Without it.** All instances see the same engine as the best one. Until word of each other's placements arrives, all
//! choose it, and a dozen prompts queue there while other engines idle.
//!
//! **Rule.** The rate at which others place, times the time that word of it takes, is how many placements are unknown. A
//! request goes to one of that many more of the best places, drawn at random. Compare Mitzenmacher, "How Useful Is
//! Old Information?" (2000), and Dahlin, "Interpreting Stale Load Information" (2000).

use std::time::Duration;

use crate::Time;

use super::decaying::Decaying;

/// Half-life of the rate: a herd comes within tens of milliseconds.
const HALF_LIFE: Duration = Duration::from_millis(20);

/// The time that word of a placement takes until anything was measured: a round trip between machines of one site.
const USUAL_ROUND_TRIP: Duration = Duration::from_millis(1);

/// Round trips over which the mean is taken, as TCP does.
const AVERAGED: f64 = 8.0;

#[derive(Debug)]
pub(super) struct Herd {
    placed: Decaying,
    round_trip_ms: f64,
}

impl Default for Herd {
    fn default() -> Herd {
        Herd {
            placed: Decaying::new(HALF_LIFE),
            round_trip_ms: USUAL_ROUND_TRIP.as_secs_f64() * 1000.0,
        }
    }
}

impl Herd {
    /// Heard of other instances' placements.
    pub(super) fn heard(&mut self, placements: usize, now: Time) {
        if placements > 0 {
            self.placed.add(placements as f64, now);
        }
    }

    pub(super) fn round_trip(&mut self, took: Duration) {
        self.round_trip_ms = average(self.round_trip_ms, took);
    }

    /// Placements of others that aren't known here yet.
    pub(super) fn unheard(&self, now: Time) -> f64 {
        self.placed.rate(now) * self.round_trip_ms / 1000.0
    }
}

/// A mean of round trips, in milliseconds, with one more.
pub(super) fn average(mean_ms: f64, took: Duration) -> f64 {
    mean_ms + (took.as_secs_f64() * 1000.0 - mean_ms) / AVERAGED
}
