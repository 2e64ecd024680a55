//! What is known of one endpoint's health.

use std::time::Duration;

use fastrand::Rng;

use crate::{
    Time,
    health::{
        EjectionCause, FAILURES_TO_EJECT, FIRST_EJECTION_PERIOD, MAX_EJECTION_PERIOD,
        MIN_SLOWNESS_SAMPLES, PROBE_TIMEOUT, RAMP_UP_PENALTY, RAMP_UP_PERIOD,
        SLOWNESS_RATIO_TO_EJECT,
    },
};

/// Weight of the newest answer in the smoothed slowness: about the last ten answers count.
const NEWEST_ANSWER_WEIGHT: f64 = 0.2;

/// Predictions below this are stretched to it, so that a jitter of a millisecond on a tiny prompt
/// doesn't look like a slow endpoint.
const MIN_PREDICTION: Duration = Duration::from_millis(20);

#[derive(Debug, Default)]
pub(super) struct HealthRecord {
    /// Failures in a row.
    pub(super) failures: u32,
    /// Refused connections in a row.
    pub(super) refused: u32,
    slowness: f64,
    answers: u32,
    out: Option<EjectedState>,
    /// Ejections in a row, for the doubling.
    ejections: u32,
    returned: Option<Time>,
}

#[derive(Debug)]
struct EjectedState {
    probe_at: Time,
}

impl HealthRecord {
    pub(super) fn record_answer(&mut self, taken: Duration, predicted: Duration) {
        let ratio = taken.as_secs_f64() / predicted.max(MIN_PREDICTION).as_secs_f64();
        let newest = if self.answers == 0 { 1.0 } else { NEWEST_ANSWER_WEIGHT };
        self.slowness += (ratio - self.slowness) * newest;
        self.answers = self.answers.saturating_add(1);
        self.failures = 0;
        self.refused = 0;
    }

    pub(super) fn is_out(&self) -> bool {
        self.out.is_some()
    }

    pub(super) fn slowness(&self) -> Option<f64> {
        (self.answers >= MIN_SLOWNESS_SAMPLES && !self.is_out()).then_some(self.slowness)
    }

    pub(super) fn suspicion(&self, median: f64) -> Option<EjectionCause> {
        if self.is_out() {
            return None;
        }
        if self.failures >= FAILURES_TO_EJECT {
            return Some(EjectionCause::Failures);
        }
        let slow = self
            .slowness()
            .is_some_and(|slowness| slowness > median.max(1.0) * SLOWNESS_RATIO_TO_EJECT);
        slow.then_some(EjectionCause::Slow)
    }

    /// By which suspects are ordered: failures weigh more than slowness, since a failing endpoint
    /// serves nobody.
    pub(super) fn severity(&self) -> f64 {
        f64::from(self.failures) * SLOWNESS_RATIO_TO_EJECT + self.slowness
    }

    pub(super) fn penalty(&self, median: f64, now: Time) -> f64 {
        let slow = self.slowness().map_or(1.0, |slowness| slowness / median.max(1.0)).max(1.0);
        let failing = f64::from(1 + self.failures.max(self.refused).min(FAILURES_TO_EJECT));
        slow * failing * self.ramp(now)
    }

    pub(super) fn restore(&mut self, now: Time) {
        let ejections = self.ejections;
        *self = HealthRecord { ejections, returned: Some(now), ..HealthRecord::default() };
    }

    /// Ejects, or prolongs an ejection after a bad probe. Up to a quarter is drawn on top, so that
    /// the instances' probes don't arrive together.
    pub(super) fn eject(&mut self, now: Time, rng: &mut Rng) {
        let quiet = self.returned.is_some_and(|at| now.since(at) > MAX_EJECTION_PERIOD);
        self.ejections = if quiet { 1 } else { self.ejections.saturating_add(1) };
        let span = FIRST_EJECTION_PERIOD.saturating_mul(1 << (self.ejections - 1).min(8));
        let span = span.min(MAX_EJECTION_PERIOD).mul_f64(1.0 + rng.f64() / 4.0);
        self.out = Some(EjectedState { probe_at: now + span });
        self.returned = None;
    }

    pub(super) fn probe_at(&self) -> Option<Time> {
        self.out.as_ref().map(|out| out.probe_at)
    }

    pub(super) fn take_probe(&mut self, now: Time) -> bool {
        match &mut self.out {
            Some(out) if out.probe_at <= now => {
                out.probe_at = now + PROBE_TIMEOUT;
                true
            }
            _ => false,
        }
    }

    fn ramp(&self, now: Time) -> f64 {
        let Some(returned) = self.returned else {
            return 1.0;
        };
        let left = 1.0 - now.since(returned).as_secs_f64() / RAMP_UP_PERIOD.as_secs_f64();
        1.0 + (RAMP_UP_PENALTY - 1.0) * left.max(0.0)
    }
}
