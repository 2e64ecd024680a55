//! Exponentially decaying sums, for recent rates.

use std::time::Duration;

use crate::Time;

/// A sum whose terms lose half of their value each half-life.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DecayingSum {
    value: f64,
    updated_at: Time,
    half_life_s: f64,
}

impl DecayingSum {
    pub(crate) fn new(half_life: Duration) -> DecayingSum {
        DecayingSum { value: 0.0, updated_at: Time::ZERO, half_life_s: half_life.as_secs_f64() }
    }

    pub(crate) fn add(&mut self, amount: f64, now: Time) {
        self.value = self.sum(now) + amount;
        self.updated_at = now;
    }

    /// The sum, decayed until now.
    pub(crate) fn sum(&self, now: Time) -> f64 {
        self.value * (-now.since(self.updated_at).as_secs_f64() / self.half_life_s).exp2()
    }

    /// Recent mean of the added amounts per second.
    pub(crate) fn rate(&self, now: Time) -> f64 {
        self.sum(now) * std::f64::consts::LN_2 / self.half_life_s
    }
}
