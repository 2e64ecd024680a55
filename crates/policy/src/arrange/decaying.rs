//! Sums that fade, for what has come of late.

use crate::Time;

/// Half-life of the share of long prompts: a burst begins and ends within seconds.
const HALF_LIFE_S: f64 = 1.5;

/// A sum that fades.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Decaying {
    value: f64,
    at: Time,
}

impl Decaying {
    pub(super) fn add(&mut self, amount: f64, now: Time) {
        self.value = self.read(now) + amount;
        self.at = now;
    }

    /// The sum as faded by now.
    pub(super) fn read(&self, now: Time) -> f64 {
        self.value * (-now.since(self.at).as_secs_f64() / HALF_LIFE_S).exp2()
    }

    /// The mean of what was added a second.
    pub(super) fn rate(&self, now: Time) -> f64 {
        self.read(now) * std::f64::consts::LN_2 / HALF_LIFE_S
    }
}
