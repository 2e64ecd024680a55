//! The scheduler that a deployment's configuration names, without `dyn` on the request path.

use std::sync::Arc;

use crate::{
    Admission, Decision, EndpointChange, Event, Incarnation, InstanceId, LoadDigest, RequestSpec,
    Scheduler, Time,
    adaptive::AdaptiveScheduler,
    baseline::{BaselineScheduler, FirstComeFirstServed, LeastOutstanding, RoundRobin},
    config::{self, PolicyName},
};

/// One of the schedulers. The daemon and the bench hold this, so that a baseline runs in exactly
/// the place of the product's own.
#[derive(Debug)]
pub enum AnyScheduler {
    /// The product's own.
    Adaptive(Box<AdaptiveScheduler>),
    /// Endpoints in turn.
    RoundRobin(BaselineScheduler<RoundRobin>),
    /// The endpoint with the fewest own requests.
    LeastOutstanding(BaselineScheduler<LeastOutstanding>),
    /// One queue in order of arrival.
    FirstCome(BaselineScheduler<FirstComeFirstServed>),
}

impl AnyScheduler {
    /// The scheduler named `policy` for one life of `instance`; `seed` starts its generator.
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

macro_rules! each {
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
        each!(self, scheduler => scheduler.configure(rules, workspaces, endpoints, now));
    }

    fn offer(&mut self, req: Arc<RequestSpec>, now: Time) -> Admission {
        each!(self, scheduler => scheduler.offer(req, now))
    }

    fn poll(&mut self, now: Time) -> Vec<Decision> {
        each!(self, scheduler => scheduler.poll(now))
    }

    fn next_wakeup(&self, now: Time) -> Option<Time> {
        each!(self, scheduler => scheduler.next_wakeup(now))
    }

    fn observe(&mut self, event: Event, now: Time) {
        each!(self, scheduler => scheduler.observe(event, now));
    }

    fn digest(&mut self, now: Time) -> LoadDigest {
        each!(self, scheduler => scheduler.digest(now))
    }
}
