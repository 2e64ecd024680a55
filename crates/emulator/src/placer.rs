//! What places requests: the product's own arranger, and what it is compared with.

use policy::{
    EndpointId, FailCause, InstanceId, Time,
    placement::{
        EndpointUpdate, GroupScheduler, JobId, Member, Placement, PlacementRefusal,
        PlacementRequest, PlacementRules,
    },
    routes::EngineRules,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Names a way to place requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacerName {
    /// The product's own.
    Arranger,
    /// The same, but every prompt is read by one engine.
    NoSplitting,
    /// The same, but nothing is held until its engines have read what came before.
    NoHolding,
    /// One engine after the other.
    RoundRobin,
    /// The engine with the fewest requests of this instance.
    LeastOutstanding,
}

impl PlacerName {
    /// The name as it stands in files and tables.
    pub fn as_str(self) -> &'static str {
        match self {
            PlacerName::Arranger => "arranger",
            PlacerName::NoSplitting => "no_splitting",
            PlacerName::NoHolding => "no_holding",
            PlacerName::RoundRobin => "round_robin",
            PlacerName::LeastOutstanding => "least_outstanding",
        }
    }
}

impl std::fmt::Display for PlacerName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}

/// One way to place requests, as an experiment tries it.
#[derive(Debug, Clone, PartialEq)]
pub struct Trial {
    /// Its name in tables.
    pub name: String,
    /// What places.
    pub policy: PlacerName,
    /// What the product's own goes by.
    pub placement: PlacementRules,
}

impl From<PlacerName> for Trial {
    fn from(policy: PlacerName) -> Trial {
        Trial { name: policy.to_string(), policy, placement: PlacementRules::default() }
    }
}

/// One instance's way to place requests.
#[derive(Debug)]
pub enum Placer {
    /// The product's own.
    Arranged {
        /// Decides.
        scheduler: Box<GroupScheduler>,
        /// Requests are sent as soon as they are placed.
        sends_at_once: bool,
    },
    /// A baseline.
    Naive(Naive),
}

impl Placer {
    /// A placer for these engines.
    pub fn new(trial: &Trial, rules: &EngineRules, members: &[Member], seed: u64) -> Placer {
        let name = trial.policy;
        let sends_at_once = name == PlacerName::NoHolding;
        match name {
            PlacerName::Arranger | PlacerName::NoSplitting | PlacerName::NoHolding => {
                let mut rules = rules.clone();
                if name == PlacerName::NoSplitting {
                    rules.max_helpers = 0;
                }
                let mut scheduler = Box::new(GroupScheduler::with_rules(trial.placement, seed));
                scheduler.set_rules(Some(rules));
                scheduler.set_members(members.to_vec(), Time::ZERO);
                Placer::Arranged { scheduler, sends_at_once }
            }
            PlacerName::RoundRobin | PlacerName::LeastOutstanding => {
                let outstanding = vec![0; members.len()];
                let members = members.to_vec();
                Placer::Naive(Naive { name, members, outstanding, jobs: Vec::new() })
            }
        }
    }

    /// Finds a place.
    ///
    /// # Errors
    ///
    /// Where there is none.
    pub fn place(
        &mut self,
        ask: &PlacementRequest,
        now: Time,
    ) -> Result<Placement, PlacementRefusal> {
        match self {
            Placer::Arranged { scheduler, sends_at_once } => {
                let mut placement = scheduler.place(ask, now)?;
                if *sends_at_once {
                    placement.hold = Duration::ZERO;
                }
                Ok(placement)
            }
            Placer::Naive(naive) => naive.place(ask),
        }
    }

    /// Whether a held request may be sent as placed.
    pub fn stands(&self, job: JobId, now: Time) -> bool {
        match self {
            Placer::Arranged { scheduler, .. } => scheduler.is_still_valid(job, now),
            Placer::Naive(_) => true,
        }
    }

    /// A connection took so long to be made.
    pub fn connected(&mut self, engine: &EndpointId, took: Duration) {
        if let Placer::Arranged { scheduler, .. } = self {
            scheduler.record_connect_time(engine, took);
        }
    }

    /// The first event came.
    pub fn began(&mut self, job: JobId, now: Time) {
        if let Placer::Arranged { scheduler, .. } = self {
            scheduler.record_first_event(job, now);
        }
    }

    /// There was a pause.
    pub fn paused(&mut self, job: JobId, pause: Duration, now: Time) {
        if let Placer::Arranged { scheduler, .. } = self {
            scheduler.record_pause(job, pause, now);
        }
    }

    /// A request is over.
    pub fn ended(&mut self, job: JobId, failed: Option<FailCause>, now: Time) {
        match self {
            Placer::Arranged { scheduler, .. } => scheduler.finish(job, failed, now),
            Placer::Naive(naive) => naive.ended(job),
        }
    }

    /// An engine was named as the one that a run broke on.
    pub fn at_fault(&mut self, engine: &EndpointId, now: Time) {
        if let Placer::Arranged { scheduler, .. } = self {
            scheduler.record_helper_refusal(engine, now);
        }
    }

    /// What the others have to hear.
    pub fn take_updates(&mut self, is_due: bool) -> Vec<EndpointUpdate> {
        match self {
            Placer::Arranged { scheduler, .. } => scheduler.take_updates(is_due),
            Placer::Naive(_) => Vec::new(),
        }
    }

    /// What another instance told.
    pub fn apply_updates(&mut self, peer: &InstanceId, words: &[EndpointUpdate], now: Time) {
        if let Placer::Arranged { scheduler, .. } = self {
            scheduler.apply_updates(peer, words, now);
        }
    }

    /// Takes over the engines that are left.
    pub fn set_members(&mut self, members: Vec<Member>, now: Time) {
        match self {
            Placer::Arranged { scheduler, .. } => scheduler.set_members(members, now),
            Placer::Naive(naive) => naive.members = members,
        }
    }
}

/// A baseline that knows its own requests only and refuses nothing.
#[derive(Debug)]
pub struct Naive {
    name: PlacerName,
    members: Vec<Member>,
    outstanding: Vec<u32>,
    jobs: Vec<usize>,
}

impl Naive {
    fn place(&mut self, ask: &PlacementRequest) -> Result<Placement, PlacementRefusal> {
        let was_tried = |m: &Member| ask.tried.contains(&(m.endpoint.clone(), m.incarnation));
        let free = (0..self.members.len()).filter(|i| !was_tried(&self.members[*i]));
        let next = self.jobs.len() % self.members.len().max(1);
        let turn = |i: &usize| (i + self.members.len() - next) % self.members.len();
        let index = match self.name {
            PlacerName::LeastOutstanding => free.min_by_key(|i| (self.outstanding[*i], turn(i))),
            _ => free.min_by_key(turn),
        };
        let index = index.ok_or(PlacementRefusal::NoEndpoint)?;
        self.outstanding[index] += 1;
        self.jobs.push(index);
        let member = &self.members[index];
        Ok(Placement {
            job: JobId(self.jobs.len() as u64 - 1),
            endpoint: member.endpoint.clone(),
            incarnation: member.incarnation,
            helpers: Vec::new(),
            priority: 5,
            predicted_ms: 0.0,
            hold: Duration::ZERO,
        })
    }

    fn ended(&mut self, job: JobId) {
        let index = usize::try_from(job.0).ok().and_then(|job| self.jobs.get(job));
        if let Some(index) = index {
            self.outstanding[*index] = self.outstanding[*index].saturating_sub(1);
        }
    }
}

/// The name of an engine.
pub fn engine_id(index: usize) -> Option<EndpointId> {
    EndpointId::new(&format!("engine-{index}")).ok()
}
