//! Placement policies of an experiment: the scheduler of `policy::placement` and the baselines.

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

/// Name of a placement policy, as experiment files and result tables write it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacerName {
    /// [`GroupScheduler`], the scheduler that the daemon runs.
    Arranger,
    /// [`GroupScheduler`] without splitting: one engine prefills the whole prompt.
    NoSplitting,
    /// [`GroupScheduler`] without holding: requests are sent at once, and not only when their
    /// engines have prefilled earlier ones.
    NoHolding,
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the fewest requests of this instance in flight.
    LeastOutstanding,
}

impl PlacerName {
    /// The name as experiment files and result tables write it.
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

/// A placement policy with its parameters, as one row of an experiment.
#[derive(Debug, Clone, PartialEq)]
pub struct Trial {
    /// Name in result tables.
    pub name: String,
    /// The placement policy.
    pub policy: PlacerName,
    /// Parameters of [`GroupScheduler`]; baselines ignore them.
    pub placement: PlacementRules,
}

impl From<PlacerName> for Trial {
    fn from(policy: PlacerName) -> Trial {
        Trial { name: policy.to_string(), policy, placement: PlacementRules::default() }
    }
}

/// The placement policy of one instance, with its state.
#[derive(Debug)]
pub enum Placer {
    /// A policy that is based on [`GroupScheduler`].
    Scheduled {
        /// The scheduler, as in the daemon.
        scheduler: Box<GroupScheduler>,
        /// Whether requests are sent as soon as they are placed, without a hold.
        sends_at_once: bool,
    },
    /// A simple policy for comparison.
    Baseline(Baseline),
}

impl Placer {
    /// A placer for the engines `members`. `seed` initialises the scheduler's random generator.
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
                Placer::Scheduled { scheduler, sends_at_once }
            }
            PlacerName::RoundRobin | PlacerName::LeastOutstanding => {
                let outstanding = vec![0; members.len()];
                let members = members.to_vec();
                Placer::Baseline(Baseline { name, members, outstanding, jobs: Vec::new() })
            }
        }
    }

    /// Selects the engines of a request.
    ///
    /// # Errors
    ///
    /// If the policy refuses the request.
    pub fn place(
        &mut self,
        request: &PlacementRequest,
        now: Time,
    ) -> Result<Placement, PlacementRefusal> {
        match self {
            Placer::Scheduled { scheduler, sends_at_once } => {
                let mut placement = scheduler.place(request, now)?;
                if *sends_at_once {
                    placement.hold = Duration::ZERO;
                }
                Ok(placement)
            }
            Placer::Baseline(baseline) => baseline.place(request),
        }
    }

    /// Whether the placement of a held request is still valid when it is sent.
    pub fn is_still_valid(&self, job: JobId, now: Time) -> bool {
        match self {
            Placer::Scheduled { scheduler, .. } => scheduler.is_still_valid(job, now),
            Placer::Baseline(_) => true,
        }
    }

    /// Records how long a connection to an engine took.
    pub fn record_connect_time(&mut self, engine: &EndpointId, duration: Duration) {
        if let Placer::Scheduled { scheduler, .. } = self {
            scheduler.record_connect_time(engine, duration);
        }
    }

    /// Records the first event of a request.
    pub fn record_first_event(&mut self, job: JobId, now: Time) {
        if let Placer::Scheduled { scheduler, .. } = self {
            scheduler.record_first_event(job, now);
        }
    }

    /// Records the pause between two events of a request.
    pub fn record_pause(&mut self, job: JobId, pause: Duration, now: Time) {
        if let Placer::Scheduled { scheduler, .. } = self {
            scheduler.record_pause(job, pause, now);
        }
    }

    /// Ends a request; `failed` is the cause if it wasn't completed.
    pub fn finish(&mut self, job: JobId, failed: Option<FailCause>, now: Time) {
        match self {
            Placer::Scheduled { scheduler, .. } => scheduler.finish(job, failed, now),
            Placer::Baseline(baseline) => baseline.finish(job),
        }
    }

    /// Records that a run failed because of this helper.
    pub fn record_helper_refusal(&mut self, engine: &EndpointId, now: Time) {
        if let Placer::Scheduled { scheduler, .. } = self {
            scheduler.record_helper_refusal(engine, now);
        }
    }

    /// Takes the updates to be sent to the other instances. `is_due` includes the periodic ones.
    pub fn take_updates(&mut self, is_due: bool) -> Vec<EndpointUpdate> {
        match self {
            Placer::Scheduled { scheduler, .. } => scheduler.take_updates(is_due),
            Placer::Baseline(_) => Vec::new(),
        }
    }

    /// Applies the updates received from another instance.
    pub fn apply_updates(&mut self, peer: &InstanceId, updates: &[EndpointUpdate], now: Time) {
        if let Placer::Scheduled { scheduler, .. } = self {
            scheduler.apply_updates(peer, updates, now);
        }
    }

    /// Sets the engines that are still members of the group.
    pub fn set_members(&mut self, members: Vec<Member>, now: Time) {
        match self {
            Placer::Scheduled { scheduler, .. } => scheduler.set_members(members, now),
            Placer::Baseline(baseline) => baseline.members = members,
        }
    }
}

/// A baseline policy that only knows the requests of its own instance and never sheds load.
#[derive(Debug)]
pub struct Baseline {
    name: PlacerName,
    members: Vec<Member>,
    outstanding: Vec<u32>,
    /// Index of the engine of each job.
    jobs: Vec<usize>,
}

impl Baseline {
    fn place(&mut self, request: &PlacementRequest) -> Result<Placement, PlacementRefusal> {
        let was_tried = |m: &Member| request.tried.contains(&(m.endpoint.clone(), m.incarnation));
        let untried = (0..self.members.len()).filter(|i| !was_tried(&self.members[*i]));
        let next = self.jobs.len() % self.members.len().max(1);
        let turns_until = |i: &usize| (i + self.members.len() - next) % self.members.len();
        let index = match self.name {
            PlacerName::LeastOutstanding => {
                untried.min_by_key(|i| (self.outstanding[*i], turns_until(i)))
            }
            _ => untried.min_by_key(turns_until),
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

    fn finish(&mut self, job: JobId) {
        let index = usize::try_from(job.0).ok().and_then(|job| self.jobs.get(job));
        if let Some(index) = index {
            self.outstanding[*index] = self.outstanding[*index].saturating_sub(1);
        }
    }
}

/// The identifier of the engine with this index.
pub fn engine_id(index: usize) -> Option<EndpointId> {
    EndpointId::new(&format!("engine-{index}")).ok()
}
