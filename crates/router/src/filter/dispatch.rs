//! Sends a request to endpoints until one has answered or nothing more may be tried.
//!
//! What may not be repeated is sent again only after proof that it hasn't run: a connection that
//! failed, or an answer that says so. Everything else is an unknown outcome, and the caller hears
//! that and not "not run".

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::{Response, StatusCode};
use policy::{
    EndpointId, FailCause, Incarnation, Time,
    arrange::{Ask, JobId, Placement, Refused},
    retry::RetryRules,
};

use super::{
    AnswerBody, Handler, Received, Refusal,
    attempt::{self, AttemptError, Spawner, Upstream},
    refusal::Reason,
    relay,
};
use crate::{
    clock::Clock,
    dialect::{AnswerFacts, AttemptFacts, Dialect},
    links::Nudge,
    lock,
    state::{Group, Groups, Lifecycle},
};

/// When to come back if no endpoint may run a request now: what it takes to hear of new ones.
const ENDPOINTS_SOON: Duration = Duration::from_millis(400);

/// When to come back if endpoints refused a request as full: a few short answers' time.
const ROOM_SOON: Duration = Duration::from_millis(250);

/// Connections that may fail and wrong servers that may be met for one request. Each costs its
/// caller up to a third of a second.
const MAX_NOT_SENT: u32 = 3;

/// The part of the time left that an idempotent call waits for its first endpoint, so that a
/// second one still has as much.
const FIRST_PART: f64 = 0.45;

/// How long the first event may take beyond three times its prediction.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(900);

/// What dispatching needs of its instance.
pub struct Parts<D> {
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
    pub nudge: Nudge,
}

/// Sends requests to endpoints.
pub struct Dispatch<D>(Arc<Parts<D>>);

impl<D> Dispatch<D> {
    /// A dispatcher.
    pub fn new(parts: Parts<D>) -> Self {
        Dispatch(Arc::new(parts))
    }
}

impl<D: Dialect> Handler<Received> for Dispatch<D> {
    async fn handle(&self, received: Received) -> Result<Response<AnswerBody>, Refusal> {
        let draw = fastrand::f64();
        let name = received.route.group(draw).cloned();
        let name = name.ok_or_else(|| Refusal::not_run(Reason::NoEndpoint, ENDPOINTS_SOON))?;
        let group = self.0.groups.get_or_add(&name);
        let call = Call::new(self.0.clone(), received, group);
        if call.received.route.streams {
            return relay::stream(call).await;
        }
        call.whole().await
    }
}

/// One request on its way to an answer.
pub(super) struct Call<D> {
    pub(super) parts: Arc<Parts<D>>,
    pub(super) received: Received,
    group: Arc<Group>,
    tried: Vec<(EndpointId, Incarnation)>,
    /// Endpoints that got it.
    sent: u32,
    /// Attempts at which nothing was sent, or another server was met.
    not_sent: u32,
    /// It may have run somewhere.
    pub(super) may_have_run: bool,
    /// The last event that the caller has.
    pub(super) last_event: Option<u64>,
    /// The last answer of an endpoint that was a failure of its own.
    failure: Option<Response<AnswerBody>>,
}

/// A request that an endpoint answers.
pub(super) struct Live {
    pub(super) upstream: Upstream,
    pub(super) run: Run,
    pub(super) predicted: Duration,
}

/// A request's place. Dropping it gives the place back.
pub(super) struct Run {
    group: Arc<Group>,
    clock: Clock,
    pub(super) job: JobId,
    pub(super) endpoint: EndpointId,
    ended: bool,
}

impl Run {
    /// The first byte came.
    pub(super) fn began(&self) {
        lock(&self.group.arranger).began(self.job, self.clock.now());
    }

    /// There was a pause between two events.
    pub(super) fn paused(&self, pause: Duration) {
        lock(&self.group.arranger).paused(self.job, pause);
    }

    /// The run ended.
    pub(super) fn end(mut self, failed: Option<FailCause>) {
        self.tell(failed);
    }

    fn tell(&mut self, failed: Option<FailCause>) {
        if !std::mem::replace(&mut self.ended, true) {
            lock(&self.group.arranger).ended(self.job, failed, self.clock.now());
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        // The caller left, which says nothing about the endpoint.
        self.tell(Some(FailCause::Deadline));
    }
}

impl<D: Dialect> Call<D> {
    fn new(parts: Arc<Parts<D>>, received: Received, group: Arc<Group>) -> Self {
        let last_event = received.caller.last_event;
        group.first_attempt(parts.clock.now());
        Call {
            parts,
            received,
            group,
            tried: Vec::new(),
            sent: 0,
            not_sent: 0,
            may_have_run: false,
            last_event,
            failure: None,
        }
    }

    pub(super) fn id(&self) -> &str {
        self.received.caller.request_id.as_deref().unwrap_or("-")
    }

    pub(super) fn left(&self) -> Duration {
        self.parts.clock.until(self.received.deadline)
    }

    /// An answer that is passed on once it is whole, so that what breaks off can be asked again.
    async fn whole(mut self) -> Result<Response<AnswerBody>, Refusal> {
        loop {
            let live = match self.next().await {
                Ok(live) => live,
                Err(refusal) => return self.take_failure().ok_or(refusal),
            };
            let head = live.upstream.head.clone();
            match live.upstream.collect(self.left()).await {
                Ok(body) => {
                    live.run.end(None);
                    self.note_end("finished", head.status);
                    return Ok(self.answer(&head, body));
                }
                Err(cause) => self.failed(live.run, cause),
            }
        }
    }

    /// The caller's answer with an endpoint's head.
    pub(super) fn answer(
        &self,
        head: &http::response::Parts,
        body: bytes::Bytes,
    ) -> Response<AnswerBody> {
        self.answer_with(head, AnswerBody::whole(body))
    }

    pub(super) fn answer_with(
        &self,
        head: &http::response::Parts,
        body: AnswerBody,
    ) -> Response<AnswerBody> {
        let mut resp = Response::new(body);
        *resp.status_mut() = head.status;
        *resp.headers_mut() = self.parts.dialect.pass_on(&head.headers);
        resp
    }

    /// A run failed after it began.
    pub(super) fn failed(&mut self, run: Run, cause: FailCause) {
        log::info!(id = self.id(), endpoint = run.endpoint.as_str(), cause:? = cause,
            last_event:? = self.last_event; "attempt_failed");
        run.end(Some(cause));
    }

    /// Tries endpoints until one gives an answer that may be the caller's.
    pub(super) async fn next(&mut self) -> Result<Live, Refusal> {
        loop {
            if self.left().is_zero() {
                return Err(self.give_up(Reason::Expired));
            }
            if !self.may_send() {
                let reason = if self.may_have_run { Reason::Unknown } else { Reason::Rejected };
                return Err(self.give_up(reason));
            }
            let placement = self.place()?;
            if let Some(live) = self.attempt(placement).await {
                return Ok(live);
            }
        }
    }

    /// Whether one more endpoint may get it.
    fn may_send(&self) -> bool {
        let route = &self.received.route;
        if self.not_sent > MAX_NOT_SENT || self.sent >= route.max_attempts {
            return false;
        }
        if self.may_have_run && !route.repeat.is_idempotent() {
            return false;
        }
        let instances = self.parts.instances.load(Ordering::Relaxed);
        let now = self.parts.clock.now();
        self.sent + self.not_sent == 0
            || self.group.may_repeat(&self.parts.retry_rules, instances, now)
    }

    fn place(&mut self) -> Result<Placement, Refusal> {
        let now = self.parts.clock.now();
        let ask = self.ask(now);
        let placed = lock(&self.group.arranger).place(&ask, now);
        match placed {
            Ok(placement) => {
                log::info!(
                    id = self.id(),
                    route = self.received.route.name.as_str(),
                    prompt = ask.prompt,
                    endpoint = placement.endpoint.as_str(),
                    helpers = placement.helpers.len(),
                    predicted_ms = placement.predicted_ms as u64,
                    attempt = self.sent + 1;
                    "placed"
                );
                if !placement.helpers.is_empty() {
                    self.parts.nudge.nudge();
                }
                Ok(placement)
            }
            Err(Refused::NoEndpoint) => Err(self.give_up(Reason::NoEndpoint)),
            Err(Refused::Quarantined(_)) => Err(self.give_up(Reason::Quarantined)),
        }
    }

    fn ask(&self, now: Time) -> Ask {
        let received = &self.received;
        let (prompt, output) = received.caller.tokens.unwrap_or((0, 0));
        let spent = now.since(received.arrived);
        let rank = received.owner.as_ref().and_then(|owner| owner.priority);
        Ask {
            prompt,
            output,
            goal_ms: received.route.goal.saturating_sub(spent).as_secs_f64() * 1000.0,
            pause_ms: received.route.pause_goal.as_secs_f64() * 1000.0,
            priority: rank.unwrap_or(received.route.priority),
            fingerprint: received.fingerprint,
            tried: self.tried.clone(),
        }
    }

    async fn attempt(&mut self, placement: Placement) -> Option<Live> {
        let run = Run {
            group: self.group.clone(),
            clock: self.parts.clock,
            job: placement.job,
            endpoint: placement.endpoint.clone(),
            ended: false,
        };
        self.tried.push((placement.endpoint.clone(), placement.incarnation));
        let Some(address) = self.group.address(&placement.endpoint) else {
            self.not_sent += 1;
            return None;
        };
        let helpers: Vec<_> =
            placement.helpers.iter().filter_map(|helper| self.group.address(helper)).collect();
        let received = &self.received;
        let facts = AttemptFacts {
            left: self.left(),
            endpoint: &placement.endpoint,
            workspace: received.owner.as_ref().map(|owner| &owner.workspace),
            priority: received.caller.tokens.map(|_| placement.priority),
            helpers: &helpers,
            resume_after: self.last_event,
        };
        let headers = self.parts.dialect.write_attempt(&received.head.headers, &facts);
        let req = attempt::request(&received.head, headers, &received.body);
        let predicted = Duration::from_secs_f64(placement.predicted_ms.max(0.0) / 1000.0);
        let patience = self.patience(predicted);
        let before = std::mem::replace(&mut self.may_have_run, true);
        let group = self.group.clone();
        let sending = || {
            lock(&group.arranger).sent(placement.job);
            true
        };
        match attempt::send(&self.parts.executor, address, req, patience, sending).await {
            Ok(upstream) => {
                self.sent += 1;
                self.judge(Live { upstream, run, predicted }, before).await
            }
            Err(AttemptError::NotSent { is_refused }) => {
                self.may_have_run = before;
                self.not_sent += 1;
                log::info!(id = self.id(), endpoint = run.endpoint.as_str(), is_refused;
                    "not_sent");
                if is_refused {
                    lock(&self.group.arranger).died(&run.endpoint, self.parts.clock.now());
                }
                run.end(Some(FailCause::NotSent));
                None
            }
            Err(AttemptError::Unknown(cause)) => {
                self.sent += 1;
                self.failed(run, cause);
                None
            }
        }
    }

    /// How long the head of an answer, or a stream's first event, is waited for.
    pub(super) fn patience(&self, predicted: Duration) -> Duration {
        let left = self.left();
        let route = &self.received.route;
        if !route.repeat.is_idempotent() {
            return left;
        }
        if route.streams {
            return left.min(3 * predicted + FIRST_EVENT_SLACK);
        }
        if self.sent + 1 >= route.max_attempts { left } else { left.mul_f64(FIRST_PART) }
    }

    /// Whether an answer may be the caller's. `before` tells whether the request may have run
    /// before this attempt.
    async fn judge(&mut self, live: Live, before: bool) -> Option<Live> {
        let facts = self.parts.dialect.read_answer(&live.upstream.head);
        let status = live.upstream.head.status;
        if !self.is_ours(&facts) {
            self.failed(live.run, FailCause::BadAnswer);
            return None;
        }
        if facts.not_run {
            self.may_have_run = before;
            self.not_run(live.run, &facts, status);
            return None;
        }
        if status.is_success() && !facts.is_vouched {
            self.failed(live.run, FailCause::BadAnswer);
            return None;
        }
        if status.is_server_error() || is_promise(status) {
            return self.server_error(live).await;
        }
        Some(live)
    }

    fn is_ours(&self, facts: &AnswerFacts) -> bool {
        match (&facts.request_id, &self.received.caller.request_id) {
            (Some(answered), Some(asked)) => answered == asked,
            _ => true,
        }
    }

    fn not_run(&mut self, run: Run, facts: &AnswerFacts, status: StatusCode) {
        log::info!(id = self.id(), endpoint = run.endpoint.as_str(), status = status.as_u16(),
            at_fault:? = facts.at_fault; "not_run");
        if status == StatusCode::MISDIRECTED_REQUEST {
            // Another server has the address: nobody was asked.
            self.sent -= 1;
            self.not_sent += 1;
            return run.end(Some(FailCause::NotSent));
        }
        let fault = facts.at_fault.and_then(|address| self.group.at(address));
        if let Some(fault) = fault.filter(|fault| *fault != run.endpoint) {
            lock(&self.group.arranger).at_fault(&fault);
        }
        run.end(Some(FailCause::Rejected));
    }

    /// An endpoint's own failure. It ran; another endpoint may do better where that is allowed,
    /// and else this is the answer.
    async fn server_error(&mut self, live: Live) -> Option<Live> {
        let head = live.upstream.head.clone();
        log::info!(id = self.id(), endpoint = live.run.endpoint.as_str(),
            status = head.status.as_u16(); "endpoint_error");
        let body = live.upstream.collect(self.left()).await;
        live.run.end(Some(FailCause::EndpointError));
        if let Ok(body) = body
            && !is_promise(head.status)
        {
            self.failure = Some(self.answer(&head, body));
        }
        None
    }

    /// The end of the request without an answer to pass on.
    pub(super) fn give_up(&mut self, reason: Reason) -> Refusal {
        if self.may_have_run {
            return Refusal::unknown(reason);
        }
        let after = match reason {
            Reason::Rejected => ROOM_SOON,
            _ => ENDPOINTS_SOON,
        };
        Refusal::not_run(reason, after)
    }

    /// An endpoint's own failure, where there was one.
    pub(super) fn take_failure(&mut self) -> Option<Response<AnswerBody>> {
        self.failure.take()
    }

    pub(super) fn note_end(&self, outcome: &'static str, status: StatusCode) {
        let total = self.parts.clock.now().since(self.received.arrived);
        log::info!(
            id = self.id(),
            route = self.received.route.name.as_str(),
            outcome,
            status = status.as_u16(),
            sent = self.sent,
            total_ms = total.as_millis() as u64;
            "request"
        );
    }
}

/// Whether a status promises that the request hasn't run. An endpoint that says so without its
/// mark for it isn't to be believed.
fn is_promise(status: StatusCode) -> bool {
    [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ]
    .contains(&status)
}
