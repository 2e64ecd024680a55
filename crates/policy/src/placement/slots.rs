//! How long answers hold their slots, and whether requests keep queueing for them.
//!
//! **Load pattern.** Questions keep arriving faster than engines free slots for their answers.
//!
//! **Without it.** Each question is accepted although it gets a slot too late, so the queue stays
//! at the longest accepted wait, and every answer is late.
//!
//! **Rule.** The queue of a burst drains, and a late answer is better than none. If a considerable
//! share of the requests finds no free slot for longer than a burst lasts, requests that would be
//! late are refused, so that accepted ones are on time. The same idea as in Nichols and Jacobson,
//! "Controlling Queue Delay" (2012).

use crate::Time;

use super::{BURST_HALF_LIFE, decaying::DecayingSum, running_mean::RunningMean};

/// Number of answers over which the mean time that slots are held is taken.
const AVERAGED_ANSWERS: f64 = 50.0;

/// Share of recent requests without a free slot above which the queue counts as permanent. At twice
/// the load that the slots can serve, the share is a half.
const OVERLOAD_SHARE: f64 = 0.3;

#[derive(Debug)]
pub(super) struct SlotUsage {
    held_ms: RunningMean,
    requests: DecayingSum,
    /// Those of `requests` that found no slot free.
    queued: DecayingSum,
}

impl Default for SlotUsage {
    fn default() -> SlotUsage {
        SlotUsage {
            held_ms: RunningMean::new(AVERAGED_ANSWERS),
            requests: DecayingSum::new(BURST_HALF_LIFE),
            queued: DecayingSum::new(BURST_HALF_LIFE),
        }
    }
}

impl SlotUsage {
    /// Records that an answer ended that had held a slot for this long.
    pub(super) fn record_held(&mut self, held_ms: f64) {
        self.held_ms.add(held_ms);
    }

    /// Mean time that an answer holds its slot, in milliseconds; none before the first answer.
    pub(super) fn held_ms(&self) -> Option<f64> {
        self.held_ms.get()
    }

    /// Records whether the best endpoint for a request has a free slot.
    pub(super) fn record_request(&mut self, is_free: bool, now: Time) {
        self.requests.add(1.0, now);
        self.queued.add(if is_free { 0.0 } else { 1.0 }, now);
    }

    /// Whether requests have been queueing for longer than a burst lasts.
    pub(super) fn is_overloaded(&self, now: Time) -> bool {
        self.queued.sum(now) > OVERLOAD_SHARE * self.requests.sum(now).max(1.0)
    }
}
