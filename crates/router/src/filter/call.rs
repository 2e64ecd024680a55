//! One call: where the request may be sent next, and how it ends.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use futures_lite::FutureExt;
use http::{Response, StatusCode};
use policy::{
    EndpointId, FailCause, Fingerprint, Incarnation, Time,
    forwarding::Peer,
    placement::{Helper, JobId, Placement, PlacementRefusal, PlacementRequest},
    waiting::Class,
};

use super::{
    Received, Refusal, ResponseBody, death,
    dispatch::{CAPACITY_RETRY_AFTER, DispatchContext},
    hedge,
    refusal::Reason,
    run::{ActiveResponse, Run},
};
use crate::{dialect::Dialect, lock, payload::Payload, state::Group};

/// `Retry-After` of requests that no endpoint may run now: the time it takes to learn of new
/// endpoints.
pub(super) const ENDPOINTS_RETRY_AFTER: Duration = Duration::from_millis(400);

/// `Retry-After` of requests whose endpoints are all in drained data centres: a drain lasts for
/// seconds at least.
const DRAINED_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Upper bound of `Retry-After` before randomisation. Bursts last for seconds, and capacity that
/// becomes free before a caller returns is left unused.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(2_500);

/// Maximum attempts per request that weren't sent, because the connection failed or another server
/// had the address. Each one takes up to a third of a second of the caller's time.
const MAX_UNSENT_ATTEMPTS: u32 = 3;

/// Outcome of a request whose caller has received the whole response.
pub(super) const OUTCOME_FINISHED: &str = "finished";

/// One request until it has its response. Two attempts of an idempotent request may be in flight at
/// once, so its mutable state is behind a lock.
pub(super) struct Call<D> {
    pub(super) context: Arc<DispatchContext<D>>,
    pub(super) received: Received,
    /// The caller's deadline, or the end of a stop if that is earlier.
    deadline: Time,
    pub(super) group: Arc<Group>,
    pub(super) progress: Mutex<Progress>,
}

/// Formats helpers for a log line.
fn helper_names(helpers: &[Helper]) -> String {
    let names: Vec<&str> = helpers.iter().map(|helper| helper.endpoint.as_str()).collect();
    names.join(",")
}

/// Formats fingerprints of parts for a log line, shortened to what tells them apart.
fn part_names(parts: &[Fingerprint]) -> String {
    let names: Vec<String> = parts.iter().map(|part| format!("{:08x}", part.0 as u32)).collect();
    names.join(",")
}

/// Where the next attempt is sent.
pub(super) enum Target {
    Endpoint(Placement),
    Peer(Peer),
}

impl Target {
    /// Name of the endpoint or the peer.
    pub(super) fn name(&self) -> &str {
        match self {
            Target::Endpoint(placement) => placement.endpoint.as_str(),
            Target::Peer(peer) => peer.instance.as_str(),
        }
    }

    /// The scheduler's job, on an endpoint.
    pub(super) fn job(&self) -> Option<JobId> {
        match self {
            Target::Endpoint(placement) => Some(placement.job),
            Target::Peer(_) => None,
        }
    }
}

/// Whether another attempt of the same request is in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OtherAttempt {
    /// No other attempt is in flight.
    None,
    /// One is in flight and slow.
    InFlight,
}

/// Mutable state of a call.
#[derive(Default)]
pub(super) struct Progress {
    pub(super) tried: Vec<(EndpointId, Incarnation)>,
    /// It has waited until it could only be late.
    is_late: bool,
    /// Its first attempt has earned retry budget.
    is_counted: bool,
    /// A retry was taken from the budget: the first attempt takes none again when it is placed anew.
    is_paid: bool,
    /// Number of attempts that were sent to an endpoint, or given to a peer.
    pub(super) sent: u32,
    /// Number of attempts at which nothing was sent, or another server had the endpoint's address.
    pub(super) not_sent: u32,
    /// Number of attempts whose endpoint wasn't reached.
    pub(super) unreached: u32,
    /// Peers that the request was passed on to.
    pub(super) peers_tried: Vec<Peer>,
    /// The endpoints that a peer asked have failed, or refused the request.
    pub(super) has_failed_at_peer: bool,
    /// Number of attempts that may have run.
    pub(super) unknown_outcomes: u32,
    /// Id of the last event sent to the caller.
    pub(super) last_event_id: Option<u64>,
    /// When that event was sent.
    pub(super) last_event_at: Option<Time>,
    /// Time from the request's arrival to the first byte of its response.
    pub(super) first_byte_after: Option<Duration>,
    /// The longest pause between two events of the stream.
    pub(super) longest_pause: Duration,
    /// The request has been placed.
    pub(super) is_placed: bool,
    /// The last response that reported an error of the endpoint itself.
    pub(super) endpoint_failure: Option<Response<ResponseBody>>,
}

impl<D: Dialect> Call<D> {
    pub(super) fn new(
        context: Arc<DispatchContext<D>>,
        received: Received,
        group: Arc<Group>,
    ) -> Self {
        let stop = context.lifecycle.time_until_cutoff().map(|left| context.clock.now() + left);
        let deadline = stop.map_or(received.deadline, |stop| stop.min(received.deadline));
        let last_event_id = received.caller.last_event_id;
        let progress = Mutex::new(Progress { last_event_id, ..Progress::default() });
        Call { context, received, deadline, group, progress }
    }

    pub(super) fn id(&self) -> &str {
        self.received.caller.request_id.as_deref().unwrap_or("-")
    }

    pub(super) fn time_left(&self) -> Duration {
        self.context.clock.until(self.deadline)
    }

    /// Why the call ends when no time is left.
    pub(super) fn timeout_reason(&self) -> Reason {
        if self.deadline < self.received.deadline { Reason::CutOff } else { Reason::Expired }
    }

    /// Id of the last event sent to the caller.
    pub(super) fn last_event_id(&self) -> Option<u64> {
        lock(&self.progress).last_event_id
    }

    /// Records that an event is being sent to the caller.
    pub(super) fn set_last_event_id(&self, id: u64) {
        let mut progress = lock(&self.progress);
        progress.last_event_id = Some(id);
        progress.last_event_at = Some(self.context.clock.now());
    }

    /// Collects the whole response before any of it goes to the caller, so that a request whose
    /// response breaks off can be retried.
    pub(super) async fn respond_buffered(self) -> Result<Response<ResponseBody>, Refusal> {
        let outcome = self.until_cut_off(hedge::first_accepted(
            &self,
            OtherAttempt::None,
            async |call, active: ActiveResponse<D>| {
                let head = active.response.head.clone();
                match active.response.receive(call.time_left(), &call.received.holder).await {
                    Ok(body) => {
                        active.run.end(None);
                        Ok((head, body))
                    }
                    Err(cause) => {
                        call.attempt_failed(active.run, cause);
                        Err(cause)
                    }
                }
            },
        ));
        match outcome.await {
            Ok((head, body)) => {
                self.record_first_byte();
                self.record_end(OUTCOME_FINISHED, head.status);
                Ok(self.response(&head, body))
            }
            Err(refusal) => self.take_endpoint_failure().ok_or(refusal),
        }
    }

    /// Waits for a response until a stop cuts the request off. Without an answer of the instance,
    /// the end of the process would be the only one.
    pub(super) async fn until_cut_off<T>(
        &self,
        response: impl Future<Output = Result<T, Refusal>>,
    ) -> Result<T, Refusal> {
        let cut_off = async {
            self.context.lifecycle.wait_for_cutoff().await;
            Err(self.give_up(Reason::CutOff))
        };
        response.or(cut_off).await
    }

    /// Builds the caller's response from an endpoint's head and a complete body.
    pub(super) fn response(
        &self,
        head: &http::response::Parts,
        body: Payload,
    ) -> Response<ResponseBody> {
        self.response_with_body(head, ResponseBody::whole(body))
    }

    pub(super) fn response_with_body(
        &self,
        head: &http::response::Parts,
        body: ResponseBody,
    ) -> Response<ResponseBody> {
        let mut resp = Response::new(body);
        *resp.status_mut() = head.status;
        *resp.headers_mut() = self.context.dialect.response_headers(&head.headers);
        resp
    }

    /// Ends an attempt that failed after it was sent.
    pub(super) fn attempt_failed(&self, run: Run<D>, cause: FailCause) {
        log::info!(id = self.id(), endpoint = run.name(), cause:? = cause,
            last_event:? = self.last_event_id(); "attempt_failed");
        self.context.metrics.failed(cause);
        let died = match &run {
            Run::Endpoint(run) if cause == FailCause::Broken => {
                Some((run.endpoint.clone(), run.incarnation))
            }
            // With a single attempt, the failure may be that of the peer's endpoint.
            Run::Peer(run)
                if run.attempts > 1 && matches!(cause, FailCause::Broken | FailCause::Silent) =>
            {
                let now = self.context.clock.now();
                self.context.groups.peers().record_decline(&run.peer, self.group.tag, now);
                None
            }
            _ => None,
        };
        run.end(Some(cause));
        if let Some((endpoint, incarnation)) = died {
            death::check(&self.context, &self.group, endpoint, incarnation);
        }
    }

    /// Ends the first attempt because the hedge that was sent later answered first.
    pub(super) fn hedge_won(&self, job: JobId) {
        let now = self.context.clock.now();
        self.group.finish(self.received.workspace(), job, Some(FailCause::Silent), now);
    }

    /// Chooses where the next attempt is sent, if one more is allowed.
    pub(super) fn next_target(&self, other: OtherAttempt) -> Result<Target, Refusal> {
        if self.time_left().is_zero() {
            return Err(self.give_up(self.timeout_reason()));
        }
        let prefers_peer = self.prefers_peer();
        if prefers_peer && self.received.forwarded.is_some() {
            return Err(self.give_up(Reason::Unreachable));
        }
        if prefers_peer && let Some(peer) = self.choose_peer() {
            return Ok(Target::Peer(peer));
        }
        // The path on which that peer's endpoints failed works, unlike this instance's own.
        if prefers_peer && lock(&self.progress).has_failed_at_peer {
            return Err(self.give_up_after_failures());
        }
        let refusal = match self.next_placement(other) {
            Ok(placement) => return Ok(Target::Endpoint(placement)),
            Err(refusal) => refusal,
        };
        // A peer may reach endpoints, but decides everything else alike.
        let may_help = matches!(refusal.reason, Reason::Rejected | Reason::NoEndpoint);
        if may_help
            && self.has_unreached()
            && let Some(peer) = self.choose_peer()
        {
            return Ok(Target::Peer(peer));
        }
        Err(refusal)
    }

    /// Places the next attempt on an endpoint, if one more is allowed.
    fn next_placement(&self, other: OtherAttempt) -> Result<Placement, Refusal> {
        if self.may_send() {
            return self.place(other);
        }
        Err(self.give_up_after_failures())
    }

    fn give_up_after_failures(&self) -> Refusal {
        let reason = if self.may_have_run() { Reason::OutcomeUnknown } else { Reason::Rejected };
        self.give_up(reason)
    }

    pub(super) fn may_have_run(&self) -> bool {
        lock(&self.progress).unknown_outcomes > 0
    }

    /// Whether the request may be sent to one more endpoint.
    fn may_send(&self) -> bool {
        let mut progress = lock(&self.progress);
        if progress.not_sent > MAX_UNSENT_ATTEMPTS || !self.may_run_again(&progress) {
            return false;
        }
        let is_first = progress.sent + progress.not_sent == 0;
        let forwarded = self.received.forwarded.as_ref();
        let is_repeated = forwarded.is_some_and(|forwarded| forwarded.is_repeated);
        if !is_first || is_repeated && !progress.is_paid {
            let is_allowed = self.may_retry();
            progress.is_paid |= is_allowed;
            return is_allowed;
        }
        self.count_first_attempt(&mut progress);
        true
    }

    /// Has the request's first attempt earn retry budget, once: it may be placed more than once until
    /// it is sent, and be passed on after that. A request that a peer passed on has earned at the peer.
    pub(super) fn count_first_attempt(&self, progress: &mut Progress) {
        let is_counted = std::mem::replace(&mut progress.is_counted, true);
        if !is_counted && self.received.forwarded.is_none() {
            self.group.record_first_attempt(self.context.clock.now());
        }
    }

    /// Whether nothing was sent or passed on yet.
    pub(super) fn is_first_attempt(&self) -> bool {
        let progress = lock(&self.progress);
        progress.sent + progress.not_sent == 0
            && progress.tried.is_empty()
            && progress.peers_tried.is_empty()
            && progress.last_event_id.is_none()
    }

    /// Sets whether the request can only be late.
    pub(super) fn set_late(&self, is_late: bool) {
        lock(&self.progress).is_late = is_late;
    }

    /// What the request competes for.
    pub(super) fn class(&self) -> Class {
        lock(&self.group.scheduler).class(self.prompt_tokens().unwrap_or_default())
    }

    /// Whether the request may run once more, as far as its route says.
    pub(super) fn may_run_again(&self, progress: &Progress) -> bool {
        let is_idempotent = self.received.route.retry_safety.is_idempotent();
        progress.sent < self.max_attempts() && (is_idempotent || progress.unknown_outcomes == 0)
    }

    /// Takes a retry from the budget, if there is one.
    pub(super) fn may_retry(&self) -> bool {
        let now = self.context.clock.now();
        let is_allowed = self.group.may_retry(&self.context.retry_rules, now);
        self.context.metrics.retry_decided(is_allowed);
        if !is_allowed {
            log::info!(id = self.id(), group = self.group.name.as_str(); "retry_denied");
        }
        is_allowed
    }

    /// Number of endpoints that may get the request.
    pub(super) fn max_attempts(&self) -> u32 {
        let of_route = self.received.route.max_attempts;
        self.received
            .forwarded
            .as_ref()
            .map_or(of_route, |forwarded| forwarded.attempts.min(of_route))
    }

    fn place(&self, other: OtherAttempt) -> Result<Placement, Refusal> {
        let now = self.context.clock.now();
        let request = self.placement_request(other, now);
        let placed = lock(&self.group.scheduler).place(&request, now);
        match placed {
            Ok(placement) => {
                self.group.charge_prefill(self.received.workspace(), placement.job, now);
                log::info!(
                    id = self.id(),
                    route = self.received.route.name.as_str(),
                    prompt = request.prompt_tokens,
                    endpoint = placement.endpoint.as_str(),
                    helpers = helper_names(&placement.helpers).as_str(),
                    predicted_ms = placement.predicted_ms as u64,
                    hold_ms = placement.hold.as_millis() as u64,
                    attempt = request.tried.len() + 1,
                    fingerprint:% = request.fingerprint,
                    parts = part_names(&self.received.parts).as_str();
                    "placed"
                );
                if request.prompt_tokens > 0 {
                    self.context.urgent.raise();
                }
                self.record_placed();
                Ok(placement)
            }
            Err(PlacementRefusal::NoEndpoint) => Err(self.give_up(Reason::NoEndpoint)),
            Err(PlacementRefusal::Drained) => {
                Err(self.refuse_with_retry_after(Reason::Drained, DRAINED_RETRY_AFTER))
            }
            Err(PlacementRefusal::WarmingUp(after)) => {
                Err(self.refuse_with_retry_after(Reason::WarmingUp, after))
            }
            Err(PlacementRefusal::Limited(after)) => {
                Err(self.refuse_with_retry_after(Reason::Limited, after))
            }
            // Sooner than after the rest, the caller would only be refused again.
            Err(PlacementRefusal::Resting(left)) => Err(match self.may_have_run() {
                true => Refusal::outcome_unknown(Reason::Resting),
                false => Refusal::not_run(Reason::Resting, left),
            }),
            Err(PlacementRefusal::Quarantined(left)) => {
                log::info!(id = self.id(), fingerprint:% = request.fingerprint,
                    parts = part_names(&request.parts).as_str(),
                    left_ms = left.as_millis() as u64; "quarantined");
                Err(match self.may_have_run() {
                    true => Refusal::outcome_unknown(Reason::Quarantined),
                    false => Refusal::not_run(Reason::Quarantined, left),
                })
            }
            Err(PlacementRefusal::TooLate(by)) => {
                log::info!(id = self.id(), prompt = request.prompt_tokens,
                    late_ms = by.as_millis() as u64; "too_late");
                Err(self.refuse_with_retry_after(Reason::TooLate, by))
            }
            Err(PlacementRefusal::Crowded(after)) => {
                log::info!(id = self.id(), prompt = request.prompt_tokens; "crowded");
                Err(self.refuse_with_retry_after(Reason::Crowded, after))
            }
        }
    }

    fn placement_request(&self, other: OtherAttempt, now: Time) -> PlacementRequest {
        let received = &self.received;
        let (prompt, output) = received.caller.tokens.unwrap_or((0, 0));
        let progress = lock(&self.progress);
        let since_event = progress.last_event_at.map(|at| now.since(at));
        let goal = received.route.time_to_event_deadline(now.since(received.arrived), since_event);
        let workspace_priority = received.owner.as_ref().and_then(|owner| owner.priority);
        PlacementRequest {
            prompt_tokens: prompt,
            max_output_tokens: output,
            remaining_ms: self.time_left().as_secs_f64() * 1000.0,
            goal_ms: goal.as_secs_f64() * 1000.0,
            max_pause_ms: received.route.pause_goal.as_secs_f64() * 1000.0,
            priority: workspace_priority.unwrap_or(received.route.priority),
            fingerprint: received.fingerprint,
            parts: received.parts.clone(),
            is_hedge: other == OtherAttempt::InFlight,
            is_late: progress.is_late,
            tried: progress.tried.clone(),
            homes: match &received.owner {
                Some(owner) => received.route.homes.intersection(&owner.homes),
                None => received.route.homes.clone(),
            },
        }
    }

    /// Refuses a request that has no capacity before `after`. `Retry-After` is randomised, so that
    /// callers refused together don't return together.
    fn refuse_with_retry_after(&self, reason: Reason, after: Duration) -> Refusal {
        if self.may_have_run() {
            return Refusal::outcome_unknown(reason);
        }
        let after = after
            .clamp(CAPACITY_RETRY_AFTER, MAX_RETRY_AFTER)
            .mul_f64(1.0 + 0.25 * fastrand::f64());
        Refusal::not_run(reason, after)
    }

    /// Ends the call without a response to pass on.
    pub(super) fn give_up(&self, reason: Reason) -> Refusal {
        if self.may_have_run() {
            return Refusal::outcome_unknown(reason);
        }
        let after = match reason {
            Reason::Rejected | Reason::CutOff => CAPACITY_RETRY_AFTER,
            _ => ENDPOINTS_RETRY_AFTER,
        };
        Refusal::not_run(reason, after)
    }

    /// Takes the last error response of an endpoint, if there was one.
    pub(super) fn take_endpoint_failure(&self) -> Option<Response<ResponseBody>> {
        lock(&self.progress).endpoint_failure.take()
    }

    /// Prompt length, if the caller stated it.
    pub(super) fn prompt_tokens(&self) -> Option<u64> {
        self.received.caller.tokens.map(|(prompt, _)| prompt)
    }

    /// Records that the first byte of the response is about to be sent to the caller.
    pub(super) fn record_first_byte(&self) {
        let elapsed = self.context.clock.now().since(self.received.arrived);
        lock(&self.progress).first_byte_after = Some(elapsed);
        self.context.metrics.first_byte_received(self.prompt_tokens(), elapsed);
        self.record_served();
    }

    /// Records a pause between two events.
    pub(super) fn record_pause(&self, pause: Duration) {
        let mut progress = lock(&self.progress);
        progress.longest_pause = progress.longest_pause.max(pause);
    }

    pub(super) fn record_end(&self, outcome: &'static str, status: StatusCode) {
        let total = self.context.clock.now().since(self.received.arrived);
        self.context.metrics.ended(outcome, self.prompt_tokens(), total);
        let progress = lock(&self.progress);
        let route = self.received.route.name.as_str();
        if let Some(first_byte_after) =
            progress.first_byte_after.filter(|_| outcome == OUTCOME_FINISHED)
        {
            let elapsed = match self.received.route.is_streaming {
                true => total.saturating_sub(first_byte_after),
                false => total,
            };
            lock(&self.context.answer_times).record(route, elapsed);
        }
        log::info!(
            id = self.id(),
            route,
            outcome,
            status = status.as_u16(),
            attempts = progress.tried.len(),
            first_ms = progress.first_byte_after.map_or(-1, |elapsed| elapsed.as_millis() as i64),
            goal_ms = self.received.route.goal.as_millis() as u64,
            pause_ms = progress.longest_pause.as_millis() as u64,
            pause_goal_ms = self.received.route.pause_goal.as_millis() as u64,
            total_ms = total.as_millis() as u64;
            "request"
        );
    }
}

impl<D> Drop for Call<D> {
    fn drop(&mut self) {
        if let Some(forwarded) = &self.received.forwarded {
            forwarded.set_spent(lock(&self.progress).sent);
        }
    }
}
