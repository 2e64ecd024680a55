//! One request on its way to an answer: where it may be sent next, and how it ends.

use std::{
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use http::{Response, StatusCode};
use policy::{
    EndpointId, FailCause, Incarnation, Time,
    placement::{Helper, JobId, Placement, PlacementRefusal, PlacementRequest},
};

use super::{
    Received, Refusal, ResponseBody,
    dispatch::{DispatchContext, ROOM_SOON},
    hedge,
    refusal::Reason,
    run::{Live, Run},
};
use crate::{dialect::Dialect, lock, state::Group};

/// When to come back if no endpoint may run a request now: what it takes to hear of new ones.
pub(super) const ENDPOINTS_SOON: Duration = Duration::from_millis(400);

/// The latest time to come back that is told: bursts last for seconds, and a caller that stays
/// away longer than needed finds nobody before it.
const LATEST_RETURN: Duration = Duration::from_millis(2_500);

/// Connections that may fail and wrong servers that may be met for one request. Each costs its
/// caller up to a third of a second.
const MAX_NOT_SENT: u32 = 3;

/// The outcome of a request whose caller has the whole answer.
pub(super) const FINISHED: &str = "finished";

/// One request on its way to an answer. Two attempts of what is idempotent may be under way at
/// once, so what they change stands under a lock.
pub(super) struct Call<D> {
    pub(super) parts: Arc<DispatchContext<D>>,
    pub(super) received: Received,
    pub(super) group: Arc<Group>,
    pub(super) progress: Mutex<Progress>,
}

/// Helpers as they stand in a log line.
fn names(helpers: &[Helper]) -> String {
    let names: Vec<&str> = helpers.iter().map(|helper| helper.endpoint.as_str()).collect();
    names.join(",")
}

/// Whether another attempt of the same request is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Beside {
    /// None is.
    Nothing,
    /// One is, and takes long.
    Another,
}

/// How far a request is.
#[derive(Default)]
pub(super) struct Progress {
    pub(super) tried: Vec<(EndpointId, Incarnation)>,
    /// Endpoints that got it.
    pub(super) sent: u32,
    /// Attempts at which nothing was sent, or another server was met.
    pub(super) not_sent: u32,
    /// Attempts of which it is unknown whether they ran.
    pub(super) doubtful: u32,
    /// The last event that the caller has.
    pub(super) last_event: Option<u64>,
    /// When it got that.
    pub(super) last_event_at: Option<Time>,
    /// How long after its arrival the first byte of its answer went out.
    pub(super) began: Option<Duration>,
    /// The longest wait between two events of its answer.
    pub(super) longest_pause: Duration,
    /// The last answer of an endpoint that was a failure of its own.
    pub(super) failure: Option<Response<ResponseBody>>,
}

impl<D: Dialect> Call<D> {
    pub(super) fn new(
        parts: Arc<DispatchContext<D>>,
        received: Received,
        group: Arc<Group>,
    ) -> Self {
        let last_event = received.caller.last_event_id;
        group.record_first_attempt(parts.clock.now());
        let progress = Mutex::new(Progress { last_event, ..Progress::default() });
        Call { parts, received, group, progress }
    }

    pub(super) fn id(&self) -> &str {
        self.received.caller.request_id.as_deref().unwrap_or("-")
    }

    pub(super) fn left(&self) -> Duration {
        self.parts.clock.until(self.received.deadline)
    }

    /// The last event that the caller has.
    pub(super) fn last_event(&self) -> Option<u64> {
        lock(&self.progress).last_event
    }

    /// Notes that the caller has an event.
    pub(super) fn set_last_event(&self, id: u64) {
        let mut progress = lock(&self.progress);
        progress.last_event = Some(id);
        progress.last_event_at = Some(self.parts.clock.now());
    }

    /// An answer that is passed on once it is whole, so that what breaks off can be asked again.
    pub(super) async fn whole(self) -> Result<Response<ResponseBody>, Refusal> {
        let answered = hedge::first(&self, Beside::Nothing, async |call, live: Live<D>| {
            let head = live.upstream.head.clone();
            match live.upstream.collect(call.left()).await {
                Ok(body) => {
                    live.run.end(None);
                    Ok((head, body))
                }
                Err(cause) => {
                    call.failed(live.run, cause);
                    Err(cause)
                }
            }
        });
        match answered.await {
            Ok((head, body)) => {
                self.note_began();
                self.note_end(FINISHED, head.status);
                Ok(self.answer(&head, body))
            }
            Err(refusal) => self.take_failure().ok_or(refusal),
        }
    }

    /// The caller's answer with an endpoint's head.
    pub(super) fn answer(
        &self,
        head: &http::response::Parts,
        body: bytes::Bytes,
    ) -> Response<ResponseBody> {
        self.answer_with(head, ResponseBody::whole(body))
    }

    pub(super) fn answer_with(
        &self,
        head: &http::response::Parts,
        body: ResponseBody,
    ) -> Response<ResponseBody> {
        let mut resp = Response::new(body);
        *resp.status_mut() = head.status;
        *resp.headers_mut() = self.parts.dialect.response_headers(&head.headers);
        resp
    }

    /// A run failed after it began.
    pub(super) fn failed(&self, run: Run<D>, cause: FailCause) {
        log::info!(id = self.id(), endpoint = run.endpoint.as_str(), cause:? = cause,
            last_event:? = self.last_event(); "attempt_failed");
        self.parts.metrics.failed(cause);
        run.end(Some(cause));
    }

    /// Another endpoint answered first although it was asked later.
    pub(super) fn outrun(&self, job: JobId) {
        let now = self.parts.clock.now();
        lock(&self.group.scheduler).finish(job, Some(FailCause::Silent), now);
    }

    /// The next place for it, if one more attempt is allowed.
    pub(super) fn next_place(&self, beside: Beside) -> Result<Placement, Refusal> {
        if self.left().is_zero() {
            return Err(self.give_up(Reason::Expired));
        }
        if !self.may_send() {
            let reason = if self.may_have_run() { Reason::Unknown } else { Reason::Rejected };
            return Err(self.give_up(reason));
        }
        self.place(beside)
    }

    fn may_have_run(&self) -> bool {
        lock(&self.progress).doubtful > 0
    }

    /// Whether one more endpoint may get it.
    fn may_send(&self) -> bool {
        let route = &self.received.route;
        let progress = lock(&self.progress);
        if progress.not_sent > MAX_NOT_SENT || progress.sent >= route.max_attempts {
            return false;
        }
        if progress.doubtful > 0 && !route.repeat.is_idempotent() {
            return false;
        }
        let instances = self.parts.instances.load(Ordering::Relaxed);
        let now = self.parts.clock.now();
        progress.sent + progress.not_sent == 0
            || self.group.may_retry(&self.parts.retry_rules, instances, now)
    }

    fn place(&self, beside: Beside) -> Result<Placement, Refusal> {
        let now = self.parts.clock.now();
        let ask = self.ask(beside, now);
        let placed = lock(&self.group.scheduler).place(&ask, now);
        match placed {
            Ok(placement) => {
                log::info!(
                    id = self.id(),
                    route = self.received.route.name.as_str(),
                    prompt = ask.prompt_tokens,
                    endpoint = placement.endpoint.as_str(),
                    helpers = names(&placement.helpers).as_str(),
                    predicted_ms = placement.predicted_ms as u64,
                    hold_ms = placement.hold.as_millis() as u64,
                    attempt = ask.tried.len() + 1;
                    "placed"
                );
                if ask.prompt_tokens > 0 {
                    self.parts.urgent.raise();
                }
                Ok(placement)
            }
            Err(PlacementRefusal::NoEndpoint) => Err(self.give_up(Reason::NoEndpoint)),
            Err(PlacementRefusal::Quarantined(_)) => Err(self.give_up(Reason::Quarantined)),
            Err(PlacementRefusal::TooLate(by)) => {
                log::info!(id = self.id(), prompt = ask.prompt_tokens, late_ms = by.as_millis() as u64;
                    "too_late");
                Err(self.come_back(Reason::TooLate, by))
            }
            Err(PlacementRefusal::Crowded(after)) => {
                log::info!(id = self.id(), prompt = ask.prompt_tokens; "crowded");
                Err(self.come_back(Reason::Crowded, after))
            }
        }
    }

    fn ask(&self, beside: Beside, now: Time) -> PlacementRequest {
        let received = &self.received;
        let (prompt, output) = received.caller.tokens.unwrap_or((0, 0));
        let progress = lock(&self.progress);
        let since_event = progress.last_event_at.map(|at| now.since(at));
        let goal = received.route.time_to_bound(now.since(received.arrived), since_event);
        let rank = received.owner.as_ref().and_then(|owner| owner.priority);
        PlacementRequest {
            prompt_tokens: prompt,
            max_output_tokens: output,
            remaining_ms: self.left().as_secs_f64() * 1000.0,
            goal_ms: goal.as_secs_f64() * 1000.0,
            max_pause_ms: received.route.pause_goal.as_secs_f64() * 1000.0,
            priority: rank.unwrap_or(received.route.priority),
            fingerprint: received.fingerprint,
            is_hedge: beside == Beside::Another,
            tried: progress.tried.clone(),
        }
    }

    /// The end of a request that there is no room for before `after`. Callers refused together
    /// come back spread out.
    fn come_back(&self, reason: Reason, after: Duration) -> Refusal {
        if self.may_have_run() {
            return Refusal::unknown(reason);
        }
        let after = after.clamp(ROOM_SOON, LATEST_RETURN).mul_f64(1.0 + 0.25 * fastrand::f64());
        Refusal::not_run(reason, after)
    }

    /// The end of the request without an answer to pass on.
    pub(super) fn give_up(&self, reason: Reason) -> Refusal {
        if self.may_have_run() {
            return Refusal::unknown(reason);
        }
        let after = match reason {
            Reason::Rejected => ROOM_SOON,
            _ => ENDPOINTS_SOON,
        };
        Refusal::not_run(reason, after)
    }

    /// An endpoint's own failure, where there was one.
    pub(super) fn take_failure(&self) -> Option<Response<ResponseBody>> {
        lock(&self.progress).failure.take()
    }

    /// Tokens of its prompt, where its caller counts them.
    fn prompt(&self) -> Option<u64> {
        self.received.caller.tokens.map(|(prompt, _)| prompt)
    }

    /// The first byte of the answer is about to go to the caller.
    pub(super) fn note_began(&self) {
        let taken = self.parts.clock.now().since(self.received.arrived);
        lock(&self.progress).began = Some(taken);
        self.parts.metrics.first_byte_received(self.prompt(), taken);
    }

    /// The caller waited for an event.
    pub(super) fn note_pause(&self, pause: Duration) {
        let mut progress = lock(&self.progress);
        progress.longest_pause = progress.longest_pause.max(pause);
    }

    pub(super) fn note_end(&self, outcome: &'static str, status: StatusCode) {
        let total = self.parts.clock.now().since(self.received.arrived);
        self.parts.metrics.ended(outcome, self.prompt(), total);
        let progress = lock(&self.progress);
        let route = self.received.route.name.as_str();
        if let Some(began) = progress.began.filter(|_| outcome == FINISHED) {
            lock(&self.parts.answer_times).record(route, total.saturating_sub(began));
        }
        log::info!(
            id = self.id(),
            route,
            outcome,
            status = status.as_u16(),
            attempts = progress.tried.len(),
            first_ms = progress.began.map_or(-1, |taken| taken.as_millis() as i64),
            goal_ms = self.received.route.goal.as_millis() as u64,
            pause_ms = progress.longest_pause.as_millis() as u64,
            pause_goal_ms = self.received.route.pause_goal.as_millis() as u64,
            total_ms = total.as_millis() as u64;
            "request"
        );
    }
}
