//! Which endpoints get less work, none, or a probe.
//!
//! **Load pattern.** One of a few endpoints turns slow, answers with errors, refuses connections,
//! or falls silent on its open connections while new ones work.
//!
//! **Without it.** A slow endpoint takes its full share, and its callers set the worst answer. A
//! failing one is the fastest to be free again and draws all traffic. Ejecting without a floor is
//! worse still: when a shared cause slows all endpoints, the first ones to cross the line are taken
//! out, the rest get their load and cross it as well.
//!
//! **Rule.** Each endpoint has a slowness (time to first token over the predicted one, smoothed)
//! and a count of failures in a row. Slower than the group's median means a higher `caution` in
//! placement's cost. [`FAILURES`] failures in a row, or [`FAR_SLOWER`] times the median, eject it
//! for a time that doubles; then a probe decides. Ejections on suspicion never take more than a
//! third of the group, and never leave fewer than the present load needs. An endpoint that refuses
//! connections is out whatever the floor says, because it couldn't take the work anyway. One that
//! returns gets a share that rises over [`RAMP`]. Silence alone ejects nobody: see [`silence`].
//!
//! **Grounds.** A third: with three or four endpoints exactly one may go, with two none. The other
//! figures stand with their constants.

mod record;
pub mod silence;

use std::time::Duration;

use fastrand::Rng;
use indexmap::IndexMap;

use crate::{EndpointId, FailCause, Time};

use record::HealthRecord;

/// Failures in a row that eject an endpoint. One is an accident and two may share one cause; at
/// today's rates three come within a second at a broken endpoint.
pub const FAILURES_TO_EJECT: u32 = 3;

/// Refused connections in a row after which an endpoint counts as dead. The second one rules out a
/// listener that was just being replaced.
pub const REFUSED_CONNECTIONS_TO_EJECT: u32 = 2;

/// How many times the median's slowness ejects an endpoint. Below it the cost already sends less
/// there; at five times, one such answer is the worst of its minute.
pub const SLOWNESS_RATIO_TO_EJECT: f64 = 5.0;

/// Answers that have to be seen before slowness counts, so that one odd answer doesn't.
pub const MIN_SLOWNESS_SAMPLES: u32 = 5;

/// Of so many endpoints one may be ejected on suspicion.
pub const ENDPOINTS_PER_EJECTION: usize = 3;

/// The first ejection's length: a few times what a process takes to start again.
pub const FIRST_EJECTION_PERIOD: Duration = Duration::from_secs(5);

/// The longest time between two probes of an endpoint that is out.
pub const MAX_EJECTION_PERIOD: Duration = Duration::from_secs(60);

/// A probe that was given out and not heard of again is given out anew after this long.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long an endpoint's share takes to rise again after it returned.
pub const RAMP_UP_PERIOD: Duration = Duration::from_secs(10);

/// The caution of an endpoint at the moment of its return.
pub const RAMP_UP_PENALTY: f64 = 4.0;

/// Whether and how cautiously an endpoint may be used.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HealthState {
    /// It may be used; its cost is multiplied by this number, which is at least 1.
    Usable(f64),
    /// It gets nothing but probes.
    Ejected,
}

/// What became of an endpoint in [`Health::assess`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ejection {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Why it is out.
    pub cause: EjectionCause,
}

/// Why an endpoint was taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionCause {
    /// It failed several times in a row.
    Failures,
    /// It is far slower than the others.
    Slow,
    /// It refuses connections.
    Dead,
}

/// The health of one group's endpoints as one instance sees it.
#[derive(Debug)]
pub struct Health {
    records: IndexMap<EndpointId, HealthRecord>,
    /// The group's median slowness as of the last assessment: sorting it anew for each request
    /// would cost more than the whole placement.
    median: f64,
}

impl Default for Health {
    fn default() -> Self {
        Health { records: IndexMap::new(), median: 1.0 }
    }
}

impl Health {
    /// No endpoints yet.
    pub fn new() -> Health {
        Health::default()
    }

    /// Takes over the group's endpoints. New ones count as healthy, others keep their record.
    pub fn configure<'a>(&mut self, endpoints: impl IntoIterator<Item = &'a EndpointId>) {
        let mut old = std::mem::take(&mut self.records);
        for endpoint in endpoints {
            let record = old.swap_remove(endpoint).unwrap_or_default();
            self.records.insert(endpoint.clone(), record);
        }
    }

    /// Starts the endpoint's record anew, for it has a new incarnation.
    pub fn reset(&mut self, endpoint: &EndpointId) {
        if let Some(record) = self.records.get_mut(endpoint) {
            *record = HealthRecord::default();
        }
    }

    /// Takes note of a first token that came after `taken` where `predicted` was expected.
    pub fn record_answer(&mut self, endpoint: &EndpointId, taken: Duration, predicted: Duration) {
        if let Some(record) = self.records.get_mut(endpoint) {
            record.record_answer(taken, predicted);
        }
    }

    /// Takes note of a failed attempt. Causes that say nothing about the endpoint are ignored, and
    /// so is silence, which [`silence::SilenceDetector`] looks into first.
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

    /// Takes note that another instance had an answer from the endpoint. Failures in a row end with
    /// it; an ejection doesn't, because the link from here may be the one that is broken.
    pub fn record_peer_answer(&mut self, endpoint: &EndpointId) {
        if let Some(record) = self.records.get_mut(endpoint) {
            record.failures = 0;
        }
    }

    /// Takes note of a probe's end. A good one brings an ejected endpoint back on the ramp; a bad
    /// one doubles the time to the next.
    pub fn record_probe(&mut self, endpoint: &EndpointId, healthy: bool, now: Time, rng: &mut Rng) {
        let Some(record) = self.records.get_mut(endpoint) else {
            return;
        };
        match (healthy, record.is_out()) {
            (true, true) => record.restore(now),
            (true, false) => record.refused = 0,
            (false, true) => record.eject(now, rng),
            (false, false) => record.refused += 1,
        }
    }

    /// Ejects what has to be ejected now; the worst first, as the floor allows. `needed` is how
    /// many endpoints the present load takes. To be called about once a second.
    pub fn assess(&mut self, needed: usize, now: Time, rng: &mut Rng) -> Vec<Ejection> {
        let mut ejected = self.eject_dead(now, rng);
        self.median = self.median_slowness();
        let mut suspects: Vec<EjectionCandidate> = self
            .records
            .iter()
            .enumerate()
            .filter_map(|(index, (_, record))| {
                Some(EjectionCandidate {
                    index,
                    cause: record.suspicion(self.median)?,
                    severity: record.severity(),
                })
            })
            .collect();
        suspects.sort_by(|a, b| b.severity.total_cmp(&a.severity));
        suspects.truncate(self.ejectable(needed));
        for suspect in suspects {
            ejected.extend(self.eject(suspect.index, suspect.cause, now, rng));
        }
        ejected
    }

    /// Whether and how cautiously to use an endpoint. Where all are out, all may be used, as a
    /// chance is better than none.
    pub fn state(&self, endpoint: &EndpointId, now: Time) -> HealthState {
        let Some(record) = self.records.get(endpoint) else {
            return HealthState::Usable(1.0);
        };
        if record.is_out() && self.records.values().any(|record| !record.is_out()) {
            return HealthState::Ejected;
        }
        HealthState::Usable(record.penalty(self.median, now))
    }

    /// The endpoints whose probe is due. Each is given out once until its probe has ended or got
    /// lost.
    pub fn due_probes(&mut self, now: Time) -> Vec<EndpointId> {
        self.records
            .iter_mut()
            .filter_map(|(endpoint, record)| record.take_probe(now).then(|| endpoint.clone()))
            .collect()
    }

    /// When the next probe is due.
    pub fn next_probe(&self) -> Option<Time> {
        self.records.values().filter_map(|record| record.probe_at()).min()
    }

    fn eject_dead(&mut self, now: Time, rng: &mut Rng) -> Vec<Ejection> {
        let dead = |record: &HealthRecord| {
            !record.is_out() && record.refused >= REFUSED_CONNECTIONS_TO_EJECT
        };
        (0..self.records.len())
            .filter(|index| dead(&self.records[*index]))
            .collect::<Vec<usize>>()
            .into_iter()
            .filter_map(|index| self.eject(index, EjectionCause::Dead, now, rng))
            .collect()
    }

    /// How many more endpoints may go on suspicion. Dead ones count as gone already.
    fn ejectable(&self, needed: usize) -> usize {
        let out = self.records.values().filter(|record| record.is_out()).count();
        let by_share = (self.records.len() / ENDPOINTS_PER_EJECTION).saturating_sub(out);
        let by_load = (self.records.len() - out).saturating_sub(needed.max(1));
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

    /// The median over endpoints with enough answers; the lower one of an even count, so that with
    /// two endpoints the slow one is compared with the fast one.
    fn median_slowness(&self) -> f64 {
        let mut known: Vec<f64> =
            self.records.values().filter_map(|record| record.slowness()).collect();
        known.sort_by(f64::total_cmp);
        known.get(known.len().saturating_sub(1) / 2).copied().unwrap_or(1.0)
    }
}

struct EjectionCandidate {
    index: usize,
    cause: EjectionCause,
    severity: f64,
}
