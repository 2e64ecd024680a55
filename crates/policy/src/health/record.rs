//! Health record of one endpoint.

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

/// Weight of the newest answer in the smoothed slowness; about the last ten answers count.
const NEWEST_ANSWER_WEIGHT: f64 = 0.2;

/// Predictions below this are raised to it, so that a millisecond of jitter on a tiny prompt
/// doesn't look like a slow endpoint.
const MIN_PREDICTION: Duration = Duration::from_millis(20);

#[derive(Debug, Default)]
pub(super) struct HealthRecord {
    /// Consecutive failures.
    pub(super) failures: u32,
    /// Consecutive refused connections.
    pub(super) refused: u32,
    slowness: f64,
    answers: u32,
    ejected: Option<EjectedState>,
    /// Consecutive ejections; each one doubles the ejection period.
    ejections: u32,
    restored_at: Option<Time>,
}

#[derive(Debug)]
struct EjectedState {
    probe_at: Time,
}

impl HealthRecord {
    pub(super) fn record_answer(&mut self, taken: Duration, predicted: Duration) {
        let ratio = taken.as_secs_f64() / predicted.max(MIN_PREDICTION).as_secs_f64();
        let weight = if self.answers == 0 { 1.0 } else { NEWEST_ANSWER_WEIGHT };
        self.slowness += (ratio - self.slowness) * weight;
        self.answers = self.answers.saturating_add(1);
        self.failures = 0;
        self.refused = 0;
    }

    pub(super) fn forget_failures(&mut self) {
        (self.failures, self.refused, self.ejections, self.ejected) = (0, 0, 0, None);
    }

    pub(super) fn is_ejected(&self) -> bool {
        self.ejected.is_some()
    }

    pub(super) fn slowness(&self) -> Option<f64> {
        (self.answers >= MIN_SLOWNESS_SAMPLES && !self.is_ejected()).then_some(self.slowness)
    }

    pub(super) fn ejection_cause(&self, median: f64) -> Option<EjectionCause> {
        if self.is_ejected() {
            return None;
        }
        if self.failures >= FAILURES_TO_EJECT {
            return Some(EjectionCause::Failures);
        }
        let is_slow = self
            .slowness()
            .is_some_and(|slowness| slowness > median.max(1.0) * SLOWNESS_RATIO_TO_EJECT);
        is_slow.then_some(EjectionCause::Slow)
    }

    /// Order of ejection. Failures weigh more than slowness, since a failing endpoint serves no
    /// requests.
    pub(super) fn severity(&self) -> f64 {
        f64::from(self.failures) * SLOWNESS_RATIO_TO_EJECT + self.slowness
    }

    pub(super) fn penalty(&self, median: f64, now: Time) -> f64 {
        let slow_factor =
            self.slowness().map_or(1.0, |slowness| slowness / median.max(1.0)).max(1.0);
        let failure_factor = f64::from(1 + self.failures.max(self.refused).min(FAILURES_TO_EJECT));
        slow_factor * failure_factor * self.ramp(now)
    }

    pub(super) fn restore(&mut self, now: Time) {
        let ejections = self.ejections;
        *self = HealthRecord { ejections, restored_at: Some(now), ..HealthRecord::default() };
    }

    /// Ejects the endpoint, or extends its ejection after a failed probe. A random extra of up to a
    /// quarter keeps the probes of different instances from arriving together.
    pub(super) fn eject(&mut self, now: Time, rng: &mut Rng) {
        let was_stable = self.restored_at.is_some_and(|at| now.since(at) > MAX_EJECTION_PERIOD);
        self.ejections = if was_stable { 1 } else { self.ejections.saturating_add(1) };
        let period = FIRST_EJECTION_PERIOD.saturating_mul(1 << (self.ejections - 1).min(8));
        let period = period.min(MAX_EJECTION_PERIOD).mul_f64(1.0 + rng.f64() / 4.0);
        self.ejected = Some(EjectedState { probe_at: now + period });
        self.restored_at = None;
    }

    pub(super) fn probe_at(&self) -> Option<Time> {
        self.ejected.as_ref().map(|ejected| ejected.probe_at)
    }

    pub(super) fn take_probe(&mut self, now: Time) -> bool {
        match &mut self.ejected {
            Some(ejected) if ejected.probe_at <= now => {
                ejected.probe_at = now + PROBE_TIMEOUT;
                true
            }
            _ => false,
        }
    }

    fn ramp(&self, now: Time) -> f64 {
        let Some(restored_at) = self.restored_at else {
            return 1.0;
        };
        let remaining_share =
            1.0 - now.since(restored_at).as_secs_f64() / RAMP_UP_PERIOD.as_secs_f64();
        1.0 + (RAMP_UP_PENALTY - 1.0) * remaining_share.max(0.0)
    }
}
