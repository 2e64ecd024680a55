//! Takes a request on, unless the instance stops before it would be done, and has it answered.

use std::{
    sync::{Arc, Mutex, atomic::AtomicUsize},
    time::Duration,
};

use http::Response;
use policy::{answers::AnswerTimes, retry::RetryRules};

use super::{
    Handler, Received, Refusal, ResponseBody,
    attempt::Spawner,
    call::{Call, ENDPOINTS_SOON},
    memory::ReservationIds,
    refusal::Reason,
    relay,
};
use crate::{
    clock::Clock,
    dialect::Dialect,
    lock,
    metrics::Metrics,
    signal::Signal,
    state::{Group, Groups, Lifecycle},
};

/// When to come back if endpoints refused a request as full: a few short answers' time.
pub(super) const ROOM_SOON: Duration = Duration::from_millis(250);

/// How many times its goal a plain call is expected to take at most, before a stop.
const PLAIN_GOALS: u32 = 3;

/// What dispatching needs of its instance.
pub struct DispatchContext<D> {
    /// The outside system's headers.
    pub dialect: Arc<D>,
    /// The instance's clock.
    pub clock: Clock,
    /// All endpoint groups.
    pub groups: Arc<Groups>,
    /// Where tasks run.
    pub executor: Spawner,
    /// Counts requests under way.
    pub lifecycle: Arc<Lifecycle>,
    /// Repeats that operators allow.
    pub retry_rules: RetryRules,
    /// Instances that share what is allowed, this one included.
    pub instances: Arc<AtomicUsize>,
    /// Wakes the links for work that other instances have to hear of at once.
    pub urgent: Signal,
    /// Counts what happens.
    pub metrics: Arc<Metrics>,
    /// Names reservations of engines' memory.
    pub reservation_ids: ReservationIds,
    /// How long answers take to be written.
    pub answer_times: Mutex<AnswerTimes>,
}

/// Sends requests to endpoints.
pub struct Dispatch<D>(Arc<DispatchContext<D>>);

impl<D> Dispatch<D> {
    /// A dispatcher.
    pub fn new(parts: DispatchContext<D>) -> Self {
        Dispatch(Arc::new(parts))
    }

    /// Refuses a request that a stop under way would cut.
    ///
    /// Guards against a planned stop that cuts answers: callers still come long after its
    /// beginning, because their connection is open or every other instance is stopping too. One
    /// that hears at once that it hasn't run goes elsewhere with all its time. What would be done
    /// in time is served, as the other instances may be stopping as well ([`policy::answers`]).
    fn outlasts(&self, received: &Received, group: &Group) -> Result<(), Refusal> {
        let Some(left) = self.0.lifecycle.time_until_cutoff() else { return Ok(()) };
        let needed = match received.caller.tokens {
            Some(tokens) => self.needed(&received.route.name, tokens, group),
            None => received.route.goal * PLAIN_GOALS,
        };
        match needed > left {
            true => Err(Refusal::not_run(Reason::Stopping, ROOM_SOON)),
            false => Ok(()),
        }
    }

    /// How long a prompt and its answer take: by what was seen on the route, or else as if the answer
    /// were as long as it may be.
    fn needed(&self, route: &str, (prompt, output): (u64, u64), group: &Group) -> Duration {
        let seen = lock(&self.0.answer_times).upper_bound(route);
        let scheduler = lock(&group.scheduler);
        match seen {
            Some(writing) => scheduler.typical_duration(prompt, 0) + writing,
            None => scheduler.typical_duration(prompt, output),
        }
    }
}

impl<D: Dialect> Handler<Received> for Dispatch<D> {
    async fn handle(&self, received: Received) -> Result<Response<ResponseBody>, Refusal> {
        let draw = fastrand::f64();
        let name = received.route.group(draw).cloned();
        let name = name.ok_or_else(|| Refusal::not_run(Reason::NoEndpoint, ENDPOINTS_SOON))?;
        let group = self.0.groups.get_or_create(&name);
        self.outlasts(&received, &group)?;
        let call = Call::new(self.0.clone(), received, group);
        if call.received.route.streams {
            return relay::stream(call).await;
        }
        call.whole().await
    }
}
