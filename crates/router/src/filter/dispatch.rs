//! Chooses an endpoint group for a request and starts the call, unless the instance will stop
//! before the response could be complete.

use std::{
    sync::{Arc, Mutex, atomic::AtomicUsize},
    time::Duration,
};

use http::Response;
use policy::{answers::AnswerTimes, retry::RetryRules, routes::Route};

use super::{
    Handler, Received, Refusal, ResponseBody,
    attempt::SharedExecutor,
    call::{Call, ENDPOINTS_RETRY_AFTER},
    refusal::Reason,
    relay,
    reservations::ReservationIds,
};
use crate::{
    clock::Clock,
    dialect::Dialect,
    lock,
    metrics::Metrics,
    signal::Signal,
    state::{Group, Groups, Lifecycle, Stage},
};

/// `Retry-After` of requests that endpoints refused for lack of capacity: about the time of a few
/// short answers.
pub(super) const CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Upper estimate of the duration of a call without token counts, as a multiple of its route's
/// goal. Used to decide whether the call fits in before a stop.
const PLAIN_CALL_GOAL_MULTIPLE: u32 = 3;

/// How much slower than predicted or observed an answer may be that is lost if it is cut off, and
/// that begins after connections are being closed. Engines slow down under load and after faults of
/// their neighbours.
const MAX_SLOWDOWN: u32 = 4;

/// State of the instance that dispatching shares with its other tasks.
pub struct DispatchContext<D> {
    /// Reads and writes the headers of the outside system.
    pub dialect: Arc<D>,
    /// Clock of the instance.
    pub clock: Clock,
    /// All known endpoint groups.
    pub groups: Arc<Groups>,
    /// Executor of the tasks that feed streams and send reservations.
    pub executor: SharedExecutor,
    /// Stage of the instance and its requests in flight.
    pub lifecycle: Arc<Lifecycle>,
    /// The operators' limits on retries.
    pub retry_rules: RetryRules,
    /// Number of live instances, including this one.
    pub instances: Arc<AtomicUsize>,
    /// Wakes the links to report new work to other instances immediately.
    pub urgent: Signal,
    /// Metrics of the instance.
    pub metrics: Arc<Metrics>,
    /// Generates ids for reservations of engine memory.
    pub reservation_ids: ReservationIds,
    /// Observed times of finished answers by route: of streams from their first event, of calls from
    /// their arrival.
    pub answer_times: Mutex<AnswerTimes>,
}

impl<D> DispatchContext<D> {
    /// Refuses a request that is expected to outlast a stop in progress.
    ///
    /// Guards against a planned stop that cuts answers off: requests keep arriving long after the
    /// stop has begun, because their connection is still open or because all other instances are
    /// stopping too. A caller that learns at once that its request hasn't run can retry elsewhere
    /// with all its time left. Requests that would finish in time are served, since the other
    /// instances may be stopping as well ([`policy::answers`]).
    pub(super) fn check_stop_deadline(
        &self,
        received: &Received,
        group: &Group,
    ) -> Result<(), Refusal> {
        let Some(left) = self.lifecycle.time_until_cutoff() else { return Ok(()) };
        let expected = match received.caller.tokens {
            Some(tokens) => self.expected_duration(&received.route.name, tokens, group),
            None => received.route.goal * PLAIN_CALL_GOAL_MULTIPLE,
        };
        // A stream can't be ended by an answer once it has begun, and a call that may run once can't
        // be repeated after it was cut off.
        let Route { is_streaming, retry_safety, .. } = *received.route;
        let is_lost_if_cut = is_streaming || !retry_safety.is_idempotent();
        let may_be_lost = is_lost_if_cut && self.lifecycle.stage() == Stage::Closing;
        let is_predicted =
            received.caller.tokens.is_some() && lock(&group.scheduler).has_engine_rules();
        let time_limit = self.clock.until(received.deadline);
        let needed = match (may_be_lost, is_predicted) {
            (true, true) => time_limit.min(expected * MAX_SLOWDOWN),
            (true, false) if is_streaming => time_limit,
            (true, false) => {
                let observed = lock(&self.answer_times).upper_bound(&received.route.name);
                let slowed_down = observed.unwrap_or_default() * MAX_SLOWDOWN;
                time_limit.min(expected.max(slowed_down))
            }
            (false, _) => expected,
        };
        match needed > left {
            true => Err(Refusal::not_run(Reason::Stopping, CAPACITY_RETRY_AFTER)),
            false => Ok(()),
        }
    }

    /// Expected duration of a prompt and its answer, from the decoding times observed on the route.
    /// Without observations the answer is assumed to have its maximum length.
    fn expected_duration(
        &self,
        route: &str,
        (prompt, output): (u64, u64),
        group: &Group,
    ) -> Duration {
        let decode_bound = lock(&self.answer_times).upper_bound(route);
        let scheduler = lock(&group.scheduler);
        match decode_bound {
            Some(decode_time) => scheduler.typical_duration(prompt, 0) + decode_time,
            None => scheduler.typical_duration(prompt, output),
        }
    }
}

/// The last filter: sends requests to endpoints.
pub struct Dispatch<D>(Arc<DispatchContext<D>>);

impl<D> Dispatch<D> {
    /// Creates the filter.
    pub fn new(context: DispatchContext<D>) -> Self {
        Dispatch(Arc::new(context))
    }
}

impl<D: Dialect> Handler<Received> for Dispatch<D> {
    async fn handle(&self, received: Received) -> Result<Response<ResponseBody>, Refusal> {
        let draw = fastrand::f64();
        let name = received.route.group(draw).cloned();
        let name =
            name.ok_or_else(|| Refusal::not_run(Reason::NoEndpoint, ENDPOINTS_RETRY_AFTER))?;
        let group = self.0.groups.get_or_create(&name);
        self.0.check_stop_deadline(&received, &group)?;
        let call = Call::new(self.0.clone(), received, group);
        if call.received.route.is_streaming {
            return relay::stream(call).await;
        }
        call.respond_buffered().await
    }
}
