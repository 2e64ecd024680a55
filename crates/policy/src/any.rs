//! Static dispatch to the scheduler that a deployment's configuration names, without `dyn` on the
//! request path.

use std::sync::Arc;

use crate::{
    Admission, Decision, EndpointChange, Event, Incarnation, InstanceId, LoadDigest, RequestSpec,
    Scheduler, Time,
    adaptive::AdaptiveScheduler,
    baseline::{BaselineScheduler, FirstComeFirstServed, LeastOutstanding, RoundRobin},
    config::{self, PolicyName},
};

/// Any of the schedulers. The daemon and the bench use this type, so that a baseline runs in
/// exactly the same place as the adaptive scheduler.
#[derive(Debug)]
pub enum AnyScheduler {
    /// The adaptive scheduler, named `trefoilhall` in configurations.
    Adaptive(Box<AdaptiveScheduler>),
    /// Baseline that uses the endpoints in turn.
    RoundRobin(BaselineScheduler<RoundRobin>),
    /// Baseline that chooses the endpoint with the fewest requests of this instance.
    LeastOutstanding(BaselineScheduler<LeastOutstanding>),
    /// Baseline with one queue in order of arrival.
    FirstCome(BaselineScheduler<FirstComeFirstServed>),
}

impl AnyScheduler {
    /// Creates the scheduler named `policy` for one incarnation of `instance`. `seed` initialises
    /// its random number generator.
    pub fn new(
        policy: PolicyName,
        instance: InstanceId,
        incarnation: Incarnation,
        seed: u64,
    ) -> Self {
        match policy {
            PolicyName::RoundRobin => {
                AnyScheduler::RoundRobin(BaselineScheduler::new(instance, incarnation))
            }
            PolicyName::Trefoilhall => AnyScheduler::Adaptive(Box::new(AdaptiveScheduler::new(
                instance,
                incarnation,
                seed,
            ))),
            PolicyName::LeastOutstanding => {
                AnyScheduler::LeastOutstanding(BaselineScheduler::new(instance, incarnation))
            }
            PolicyName::FirstComeFirstServed => {
                AnyScheduler::FirstCome(BaselineScheduler::new(instance, incarnation))
            }
        }
    }
}

macro_rules! dispatch {
    ($self:ident, $scheduler:ident => $call:expr) => {
        match $self {
            AnyScheduler::Adaptive($scheduler) => $call,
            AnyScheduler::RoundRobin($scheduler) => $call,
            AnyScheduler::LeastOutstanding($scheduler) => $call,
            AnyScheduler::FirstCome($scheduler) => $call,
        }
    };
}

impl Scheduler for AnyScheduler {
    fn configure(
        &mut self,
        rules: &config::DeploymentRules,
        workspaces: &config::WorkspaceTable,
        endpoints: &[EndpointChange],
        now: Time,
    ) {
        dispatch!(self, scheduler => scheduler.configure(rules, workspaces, endpoints, now));
    }

    fn offer(&mut self, req: Arc<RequestSpec>, now: Time) -> Admission {
        dispatch!(self, scheduler => scheduler.offer(req, now))
    }

    fn poll(&mut self, now: Time) -> Vec<Decision> {
        dispatch!(self, scheduler => scheduler.poll(now))
    }

    fn next_wakeup(&self, now: Time) -> Option<Time> {
        dispatch!(self, scheduler => scheduler.next_wakeup(now))
    }

    fn observe(&mut self, event: Event, now: Time) {
        dispatch!(self, scheduler => scheduler.observe(event, now));
    }

    fn digest(&mut self, now: Time) -> LoadDigest {
        dispatch!(self, scheduler => scheduler.digest(now))
    }
}
