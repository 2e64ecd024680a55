//! How long answers hold their slots, and whether requests queue for them.
//!
//! **Load pattern.** Questions keep coming faster than engines have slots for their answers.
//!
//! **Without it.** Each is taken on although its slot comes too late, so the queue stands at the longest
//! wait that is accepted, and every answer is late.
//!
//! **Rule.** The queue of a burst drains, and a late answer is better than none. Where a good part of the
//! requests finds no slot free for longer than a burst lasts, what would be late is refused, so that those who are
//! taken on are on time. The same idea as in Nichols and Jacobson, "Controlling Queue Delay" (2012).

use crate::Time;

use super::{BURST_HALF_LIFE, decaying::DecayingSum, running_mean::RunningMean};

/// Answers over which the time that slots are held is averaged.
const AVERAGED_ANSWERS: f64 = 50.0;

/// Share of the latest requests that found no slot free from which on the queue is taken to stand. At
/// twice what the slots can bear it is a half.
const OVERLOAD_SHARE: f64 = 0.3;

#[derive(Debug)]
pub(super) struct SlotUsage {
    held_ms: RunningMean,
    requests: DecayingSum,
    /// Of these, the ones that found no slot free.
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
    /// An answer is whole that held a slot for so long.
    pub(super) fn record_held(&mut self, held_ms: f64) {
        self.held_ms.add(held_ms);
    }

    /// Mean time that an answer holds its slot, in milliseconds.
    pub(super) fn held_ms(&self) -> Option<f64> {
        self.held_ms.get()
    }

    /// Notes whether the best place for a request has a slot free.
    pub(super) fn record_request(&mut self, is_free: bool, now: Time) {
        self.requests.add(1.0, now);
        self.queued.add(if is_free { 0.0 } else { 1.0 }, now);
    }

    /// Whether requests queue for longer than a burst lasts.
    pub(super) fn is_overloaded(&self, now: Time) -> bool {
        self.queued.sum(now) > OVERLOAD_SHARE * self.requests.sum(now).max(1.0)
    }
}
