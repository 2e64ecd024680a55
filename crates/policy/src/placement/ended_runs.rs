//! Requests whose runs ended without an answer, kept until it is known whether their endpoint died.
//!
//! **Load pattern.** An endpoint crashes and closes its connections. The attempts there fail at
//! once; that the endpoint died is learned later, from a refused connection, from another instance
//! or from its registration.
//!
//! **Without it.** When the death is learned of, the requests that may have caused it are no longer
//! listed, and none of them is suspected.
//!
//! **Rule.** A run that ended without an answer is remembered for some seconds. A death counts
//! against those that a break ended there, and against those that the caller ended shortly before.
//! A broken connection alone is no death, and an answer of the same incarnation shows that it lives
//! on.
//!
//! **Grounds.** Links break without any death. Registrations lapse some three seconds after a
//! death.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use indexmap::IndexMap;

use crate::{FailCause, Fingerprint, Time, quarantine::DeathId};

use super::request::Job;

/// How long a run that a break ended is remembered: until registrations have lapsed and been read.
const BREAK_TTL: Duration = Duration::from_secs(6);

/// How long before a death a caller may have ended its run for it to count: the endpoint may have
/// continued until it noticed.
const ABANDONED_TTL: Duration = Duration::from_secs(1);

/// How long a proven death is remembered, for runs whose end is noticed later.
const DEATH_TTL: Duration = Duration::from_secs(30);

/// Time between two checks of one endpoint, and the longest that one may take: breaks of one endpoint's
/// connections are noticed within milliseconds of each other.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of runs remembered: what 60 endpoints run.
const MAX_RUNS: usize = 1_024;

/// Maximum number of deaths and checks remembered.
const MAX_ENDPOINTS: usize = 1_024;

#[derive(Debug)]
struct EndedRun {
    fingerprint: Fingerprint,
    parts: Arc<[Fingerprint]>,
    ran_on: Vec<DeathId>,
    at: Time,
    is_broken: bool,
}

impl EndedRun {
    fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        std::iter::once(self.fingerprint).chain(self.parts.iter().copied())
    }
}

/// A death, and the fingerprints that ran there: those of requests and of parts of their prompts.
#[derive(Debug, PartialEq)]
pub(super) struct ProvenDeath {
    pub(super) id: DeathId,
    pub(super) at: Time,
    pub(super) present: Vec<Fingerprint>,
}

/// Runs of this instance that ended without an answer, and deaths of their endpoints.
#[derive(Debug, Default)]
pub(super) struct EndedRuns {
    runs: VecDeque<EndedRun>,
    deaths: IndexMap<DeathId, Time>,
    checked: IndexMap<DeathId, Time>,
}

impl EndedRuns {
    /// Records that a run ended without an answer. Returns the known deaths after its start.
    pub(super) fn record_end(
        &mut self,
        job: &Job,
        cause: FailCause,
        now: Time,
    ) -> Vec<ProvenDeath> {
        let is_broken = match cause {
            FailCause::Broken | FailCause::EndpointDied | FailCause::Silent => true,
            FailCause::Deadline => false,
            _ => return Vec::new(),
        };
        let ran_on: Vec<DeathId> = job.death_ids().collect();
        let (fingerprint, parts) = (job.fingerprint, job.parts.clone());
        let run = EndedRun { fingerprint, parts, ran_on, at: now, is_broken };
        let known = run.ran_on.iter().filter_map(|id| {
            let is_cause = |at: &&Time| **at >= job.placed_at && now.since(**at) < DEATH_TTL;
            let at = *self.deaths.get(id).filter(is_cause)?;
            Some(ProvenDeath { id: *id, at, present: run.fingerprints().collect() })
        });
        let known = known.collect();
        if self.runs.len() == MAX_RUNS {
            self.runs.pop_front();
        }
        self.runs.push_back(run);
        known
    }

    /// Records proof that an endpoint died, known since `learned_at`; returns what ran there.
    pub(super) fn record_death(&mut self, id: DeathId, learned_at: Time, now: Time) -> ProvenDeath {
        let death = self.death(id, learned_at, now);
        if !self.deaths.contains_key(&id) && self.deaths.len() == MAX_ENDPOINTS {
            self.deaths.shift_remove_index(0);
        }
        self.deaths.insert(id, death.at);
        death
    }

    /// What ran on an endpoint that is likely to have died.
    pub(super) fn death(&self, id: DeathId, learned_at: Time, now: Time) -> ProvenDeath {
        let ran_there = self.runs.iter().filter(|run| run.ran_on.contains(&id));
        let broken = ran_there.clone().filter(|run| run.is_broken && now.since(run.at) < BREAK_TTL);
        let at = broken.clone().map(|run| run.at).min().unwrap_or(learned_at).min(learned_at);
        let abandoned = ran_there
            .filter(|run| !run.is_broken && run.at <= at && at.since(run.at) < ABANDONED_TTL);
        let present = broken.chain(abandoned).flat_map(EndedRun::fingerprints).collect();
        ProvenDeath { id, at, present }
    }

    /// Records an answer to a request that was placed at `placed_at`: the endpoint hadn't died
    /// before.
    pub(super) fn record_answer(&mut self, id: DeathId, placed_at: Time) {
        self.deaths.swap_remove(&id);
        self.runs.retain(|run| run.at > placed_at || !run.ran_on.contains(&id));
    }

    /// Whether it has to be checked if an endpoint lives, after a run was broken there.
    pub(super) fn begin_check(&mut self, id: DeathId, now: Time) -> bool {
        self.checked.retain(|_, at| now.since(*at) < CHECK_INTERVAL);
        let is_new = !self.deaths.contains_key(&id) && !self.checked.contains_key(&id);
        if is_new && self.checked.len() < MAX_ENDPOINTS {
            self.checked.insert(id, now);
        }
        is_new
    }

    /// Drops what is too old to matter.
    pub(super) fn expire(&mut self, now: Time) {
        self.runs.retain(|run| now.since(run.at) < BREAK_TTL);
        self.deaths.retain(|_, at| now.since(*at) < DEATH_TTL);
    }
}
