//! What callers lose, as one number.

use crate::Time;

/// Milliseconds of reading that weigh one. About what a short question takes.
const UNIT_MS: f64 = 20.0;

/// How weight grows with a prompt's reading time: less than in proportion, as a long prompt is one caller's
/// loss all the same.
const WEIGHT_POWER: f64 = 0.57;

/// Parts of a bound between which the chance to miss it rises from none to certainty: predictions
/// err by about a pass, which is a quarter of a short question's bound.
const RAMP: (f64, f64) = (0.75, 1.1);

/// What each further bound's length of lateness adds, in weights, so that of two late places the
/// earlier one is taken.
const PER_BOUND: f64 = 0.1;

/// What each further bound's length of a pause adds: a question's caller leaves after ten bounds, which
/// costs the quarter that a late answer is still worth, and its place is taken for as long.
const PER_LONGER_PAUSE: f64 = 0.05;

/// Half-life of the share of long prompts: a burst begins and ends within seconds.
const HALF_LIFE_S: f64 = 1.5;

/// What the lateness of a prompt that takes `read_ms` alone weighs.
pub(super) fn weight(read_ms: f64) -> f64 {
    (read_ms / UNIT_MS).max(0.2).powf(WEIGHT_POWER)
}

/// The chance to miss `bound_ms` with `expected_ms`, from 0 to 1.
pub(super) fn miss(expected_ms: f64, bound_ms: f64) -> f64 {
    let part = expected_ms / bound_ms.max(1.0);
    ((part - RAMP.0) / (RAMP.1 - RAMP.0)).clamp(0.0, 1.0)
}

/// The same, and a little for each millisecond.
pub(super) fn lateness(expected_ms: f64, bound_ms: f64) -> f64 {
    miss(expected_ms, bound_ms) + PER_BOUND * expected_ms / bound_ms.max(1.0)
}

/// What those who write lose by a pass that takes `pass_ms` where they bear `bears_ms`.
///
/// Guards against parts of seconds on engines full of questions: once a pause is too long, a longer
/// one seems to cost nothing more, and a few large parts look cheaper than many small ones. But their
/// callers leave after two seconds, and their places stay taken meanwhile.
pub(super) fn disturbance(pass_ms: f64, bears_ms: f64) -> f64 {
    miss(pass_ms, bears_ms) + PER_LONGER_PAUSE * pass_ms / bears_ms.max(1.0)
}

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
