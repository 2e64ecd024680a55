//! Outlier detection: which endpoints receive less traffic, none, or only probes.
//!
//! **Load pattern.** One of a few endpoints becomes slow, responds with errors, refuses
//! connections, or stops sending on its open connections while new connections work.
//!
//! **Without it.** A slow endpoint receives its full share, and its callers see the worst latency.
//! An endpoint that fails fast is the first to be free again and attracts all traffic. Ejection
//! without a limit is worse still: when a shared cause slows all endpoints, the first ones above
//! the threshold are ejected, the rest take over their load and exceed the threshold as well.
//!
//! **Rule.** Each endpoint has a slowness (time to first token divided by the predicted time,
//! smoothed) and a count of consecutive failures. An endpoint that is slower than the group's
//! median gets a higher `penalty` in the cost of placement. [`FAILURES_TO_EJECT`] consecutive
//! failures, or a slowness of [`SLOWNESS_RATIO_TO_EJECT`] times the median, eject it for a period
//! that doubles with each ejection; then a probe decides. These ejections never remove more than a
//! third of the group, and never leave fewer endpoints than the present load needs. An endpoint
//! that refuses connections is ejected regardless of these limits, because it couldn't take the
//! work anyway. A restored endpoint gets a share that rises over [`RAMP_UP_PERIOD`]. Silence alone
//! ejects no endpoint: see [`silence`].
//!
//! **Grounds.** A third means that of three or four endpoints exactly one may be ejected, and of
//! two none. The other figures are explained at their constants.

mod record;
pub mod silence;

use std::time::Duration;

use fastrand::Rng;
use indexmap::IndexMap;

use crate::{EndpointId, FailCause, Time};

use record::HealthRecord;

/// Consecutive failures that eject an endpoint. A single failure may be chance, and two may share
/// one cause; at present request rates a broken endpoint reaches three within a second.
pub const FAILURES_TO_EJECT: u32 = 3;

/// Consecutive refused connections after which an endpoint counts as dead. Requiring a second one
/// rules out a listener that was just being replaced.
pub const REFUSED_CONNECTIONS_TO_EJECT: u32 = 2;

/// Multiple of the median slowness at which an endpoint is ejected. Below it, the cost of placement
/// already sends less there; at five times, a single such answer is the slowest of its minute.
pub const SLOWNESS_RATIO_TO_EJECT: f64 = 5.0;

/// Answers needed before an endpoint's slowness is used, so that a single outlier has no effect.
pub const MIN_SLOWNESS_SAMPLES: u32 = 5;

/// One endpoint may be ejected for failures or slowness per this many endpoints in the group.
pub const ENDPOINTS_PER_EJECTION: usize = 3;

/// Duration of the first ejection: a few times what a process needs to restart.
pub const FIRST_EJECTION_PERIOD: Duration = Duration::from_secs(5);

/// Maximum time between two probes of an ejected endpoint, before jitter.
pub const MAX_EJECTION_PERIOD: Duration = Duration::from_secs(60);

/// Time after which a probe without a result counts as lost and is issued again.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time over which the share of a restored endpoint rises to normal.
pub const RAMP_UP_PERIOD: Duration = Duration::from_secs(10);

/// Penalty of an endpoint at the moment it is restored; it falls to 1 over [`RAMP_UP_PERIOD`].
pub const RAMP_UP_PENALTY: f64 = 4.0;

/// Whether an endpoint may receive requests, and at which cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HealthState {
    /// Requests may be placed on it; its cost is multiplied by this penalty, which is at least 1.
    Usable(f64),
    /// It receives only probes.
    Ejected,
}

/// An ejection decided by [`Health::assess`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ejection {
    /// The ejected endpoint.
    pub endpoint: EndpointId,
    /// Why it was ejected.
    pub cause: EjectionCause,
}

/// Reason of an ejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionCause {
    /// [`FAILURES_TO_EJECT`] consecutive failures.
    Failures,
    /// Its slowness exceeds [`SLOWNESS_RATIO_TO_EJECT`] times the median.
    Slow,
    /// [`REFUSED_CONNECTIONS_TO_EJECT`] consecutive refused connections.
    Dead,
}

/// Health of a group's endpoints, as observed by one instance.
#[derive(Debug)]
pub struct Health {
    records: IndexMap<EndpointId, HealthRecord>,
    /// The group's median slowness at the last assessment; sorting for every request would cost
    /// more than the whole placement.
    median: f64,
}

impl Default for Health {
    fn default() -> Self {
        Health { records: IndexMap::new(), median: 1.0 }
    }
}

impl Health {
    /// Creates a tracker without endpoints.
    pub fn new() -> Health {
        Health::default()
    }

    /// Replaces the set of endpoints. New ones start as healthy; the others keep their record.
    pub fn configure<'a>(&mut self, endpoints: impl IntoIterator<Item = &'a EndpointId>) {
        let mut old = std::mem::take(&mut self.records);
        for endpoint in endpoints {
            let record = old.swap_remove(endpoint).unwrap_or_default();
            self.records.insert(endpoint.clone(), record);
        }
    }

    /// Clears the endpoint's record, because it has a new incarnation.
    pub fn reset(&mut self, endpoint: &EndpointId) {
        if let Some(record) = self.records.get_mut(endpoint) {
            *record = HealthRecord::default();
        }
    }

    /// Forgets failures of an endpoint, and restores it if it is ejected. One that is too slow is
    /// ejected again at the next assessment.
    pub fn forget_failures(&mut self, endpoint: &EndpointId) {
        if let Some(record) = self.records.get_mut(endpoint) {
            record.forget_failures();
        }
    }

    /// Records a first token that arrived after `taken` where `predicted` was expected.
    pub fn record_answer(&mut self, endpoint: &EndpointId, taken: Duration, predicted: Duration) {
        if let Some(record) = self.records.get_mut(endpoint) {
            record.record_answer(taken, predicted);
        }
    }

    /// Records a failed attempt. Causes that aren't the endpoint's fault are ignored, and so is
    /// silence, which [`silence::SilenceDetector`] examines first.
    pub fn record_failure(&mut self, endpoint: &EndpointId, cause: FailCause) {
        let Some(record) = self.records.get_mut(endpoint) else {
            return;
        };
        match cause {
            FailCause::NotSent => record.refused += 1,
            FailCause::Broken
            | FailCause::EndpointError
            | FailCause::BadAnswer
            | FailCause::EndpointDied => record.failures += 1,
            FailCause::Deadline
            | FailCause::TooLate
            | FailCause::Rejected
            | FailCause::Silent
            | FailCause::Quarantined
            | FailCause::Shed
            | FailCause::RetryBudget
            | FailCause::NoEndpoint => {}
        }
    }

    /// Records that another instance received an answer from the endpoint. This resets the
    /// consecutive failures but doesn't end an ejection, because the link from this instance may be
    /// the broken one.
    pub fn record_peer_answer(&mut self, endpoint: &EndpointId) {
        if let Some(record) = self.records.get_mut(endpoint) {
            record.failures = 0;
        }
    }

    /// Records a probe's result. A success restores an ejected endpoint, with its share ramping up;
    /// a failure doubles the time to the next probe.
    pub fn record_probe(&mut self, endpoint: &EndpointId, healthy: bool, now: Time, rng: &mut Rng) {
        let Some(record) = self.records.get_mut(endpoint) else {
            return;
        };
        match (healthy, record.is_ejected()) {
            (true, true) => record.restore(now),
            (true, false) => record.refused = 0,
            (false, true) => record.eject(now, rng),
            (false, false) => record.refused += 1,
        }
    }

    /// Ejects endpoints that exceed a threshold, the worst first, as far as the limits allow.
    /// `needed` is the number of endpoints that the present load requires. To be called about once
    /// a second.
    pub fn assess(&mut self, needed: usize, now: Time, rng: &mut Rng) -> Vec<Ejection> {
        let mut ejected = self.eject_dead(now, rng);
        self.median = self.median_slowness();
        let mut candidates: Vec<EjectionCandidate> = self
            .records
            .iter()
            .enumerate()
            .filter_map(|(index, (_, record))| {
                Some(EjectionCandidate {
                    index,
                    cause: record.ejection_cause(self.median)?,
                    severity: record.severity(),
                })
            })
            .collect();
        candidates.sort_by(|a, b| b.severity.total_cmp(&a.severity));
        candidates.truncate(self.ejectable(needed));
        for candidate in candidates {
            ejected.extend(self.eject(candidate.index, candidate.cause, now, rng));
        }
        ejected
    }

    /// State of an endpoint. If all endpoints are ejected, all count as usable, since trying one is
    /// better than refusing every request.
    pub fn state(&self, endpoint: &EndpointId, now: Time) -> HealthState {
        let Some(record) = self.records.get(endpoint) else {
            return HealthState::Usable(1.0);
        };
        if record.is_ejected() && self.records.values().any(|record| !record.is_ejected()) {
            return HealthState::Ejected;
        }
        HealthState::Usable(record.penalty(self.median, now))
    }

    /// Endpoints whose probe is due. Each is returned once until its probe ends or counts as lost.
    pub fn due_probes(&mut self, now: Time) -> Vec<EndpointId> {
        self.records
            .iter_mut()
            .filter_map(|(endpoint, record)| record.take_probe(now).then(|| endpoint.clone()))
            .collect()
    }

    /// Time of the earliest due probe; none where no endpoint is ejected.
    pub fn next_probe(&self) -> Option<Time> {
        self.records.values().filter_map(|record| record.probe_at()).min()
    }

    fn eject_dead(&mut self, now: Time, rng: &mut Rng) -> Vec<Ejection> {
        let is_dead = |record: &HealthRecord| {
            !record.is_ejected() && record.refused >= REFUSED_CONNECTIONS_TO_EJECT
        };
        (0..self.records.len())
            .filter(|index| is_dead(&self.records[*index]))
            .collect::<Vec<usize>>()
            .into_iter()
            .filter_map(|index| self.eject(index, EjectionCause::Dead, now, rng))
            .collect()
    }

    /// How many more endpoints may be ejected for failures or slowness. Dead ones count as ejected.
    fn ejectable(&self, needed: usize) -> usize {
        let ejected = self.records.values().filter(|record| record.is_ejected()).count();
        let by_share = (self.records.len() / ENDPOINTS_PER_EJECTION).saturating_sub(ejected);
        let by_load = (self.records.len() - ejected).saturating_sub(needed.max(1));
        by_share.min(by_load)
    }

    fn eject(
        &mut self,
        index: usize,
        cause: EjectionCause,
        now: Time,
        rng: &mut Rng,
    ) -> Option<Ejection> {
        let (endpoint, record) = self.records.get_index_mut(index)?;
        record.eject(now, rng);
        Some(Ejection { endpoint: endpoint.clone(), cause })
    }

    /// Median over the endpoints with enough answers. Of an even count it takes the lower middle,
    /// so that of two endpoints the slow one is compared with the fast one.
    fn median_slowness(&self) -> f64 {
        let mut known_slowness: Vec<f64> =
            self.records.values().filter_map(|record| record.slowness()).collect();
        known_slowness.sort_by(f64::total_cmp);
        known_slowness.get(known_slowness.len().saturating_sub(1) / 2).copied().unwrap_or(1.0)
    }
}

struct EjectionCandidate {
    index: usize,
    cause: EjectionCause,
    severity: f64,
}
