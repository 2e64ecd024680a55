//! How long answers hold their slots, which tells how soon one becomes free.
//!
//! **Load pattern.** Questions keep coming faster than engines have slots for their answers.
//!
//! **Without it.** A wait is reckoned with one site's figure. Where answers are shorter or engines have more slots,
//! the queue stands at the longest wait that is accepted, and every answer is late.

/// Answers over which the time is averaged.
const AVERAGED: f64 = 50.0;

#[derive(Debug, Default)]
pub(super) struct Slots {
    held_ms: Option<f64>,
}

impl Slots {
    /// An answer is whole that held a slot for so long.
    pub(super) fn freed(&mut self, held_ms: f64) {
        let mean = self.held_ms.get_or_insert(held_ms);
        *mean += (held_ms - *mean) / AVERAGED;
    }

    /// Mean time that an answer holds its slot, in milliseconds.
    pub(super) fn held_ms(&self) -> Option<f64> {
        self.held_ms
    }
}
