//! Sends a request to endpoints until one has answered or nothing more may be tried.
//!
//! What may not be repeated is sent again only after proof that it hasn't run: a connection that
//! failed, or an answer that says so. Everything else is an unknown outcome, and the caller hears
//! that and not "not run".

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::{Response, StatusCode};
use policy::{
    EndpointId, FailCause, Incarnation, Time,
    answers::AnswerTimes,
    arrange::{Ask, Helper, JobId, Placement, Refused},
    retry::RetryRules,
};
use smol::Timer;

use super::{
    AnswerBody, Handler, Received, Refusal,
    attempt::{self, AttemptError, Spawner},
    hedge,
    memory::{ReservationIds, Reservations, Wish},
    refusal::Reason,
    relay,
    run::{Live, Run, is_promise},
};
use crate::{
    clock::Clock,
    dialect::{AnswerFacts, AttemptFacts, Dialect, HelperFacts},
    links::Nudge,
    lock,
    metrics::Metrics,
    state::{Group, Groups, Lifecycle},
};

/// When to come back if no endpoint may run a request now: what it takes to hear of new ones.
const ENDPOINTS_SOON: Duration = Duration::from_millis(400);

/// When to come back if endpoints refused a request as full: a few short answers' time.
const ROOM_SOON: Duration = Duration::from_millis(250);

/// The latest time to come back that is told: bursts last for seconds, and a caller that stays
/// away longer than needed finds nobody before it.
const LATEST_RETURN: Duration = Duration::from_millis(2_500);

/// How many times its goal a plain call is expected to take at most, before a stop.
const PLAIN_GOALS: u32 = 3;

/// Connections that may fail and wrong servers that may be met for one request. Each costs its
/// caller up to a third of a second.
const MAX_NOT_SENT: u32 = 3;

/// The part of a plain call's goal after which another endpoint is asked beside the first. Two in a
/// hundred ordinary calls take that long, and the second answer is still on time.
const HEDGE_AFTER: f64 = 0.5;

/// How long the first event may take beyond three times its prediction before another endpoint is
/// asked beside the first.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(900);

/// The outcome of a request whose caller has the whole answer.
pub(super) const FINISHED: &str = "finished";

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
    /// Counts what happens.
    pub metrics: Arc<Metrics>,
    /// Names reservations of engines' memory.
    pub reservation_ids: ReservationIds,
    /// How long answers take to be written.
    pub answer_times: Mutex<AnswerTimes>,
}

/// Sends requests to endpoints.
pub struct Dispatch<D>(Arc<Parts<D>>);

impl<D> Dispatch<D> {
    /// A dispatcher.
    pub fn new(parts: Parts<D>) -> Self {
        Dispatch(Arc::new(parts))
    }
}

impl<D> Dispatch<D> {
    /// Refuses a request that a stop under way would cut.
    ///
    /// Guards against a planned stop that cuts answers: callers still come long after its
    /// beginning, because their connection is open or every other instance is stopping too. One
    /// that hears at once that it hasn't run goes elsewhere with all its time. What would be done
    /// in time is served, as the other instances may be stopping as well ([`policy::answers`]).
    fn outlasts(&self, received: &Received, group: &Group) -> Result<(), Refusal> {
        let Some(left) = self.0.lifecycle.time_to_end() else { return Ok(()) };
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
        let arranger = lock(&group.arranger);
        match lock(&self.0.answer_times).bound(route) {
            Some(writing) => arranger.usual_time(prompt, 0) + writing,
            None => arranger.usual_time(prompt, output),
        }
    }
}

impl<D: Dialect> Handler<Received> for Dispatch<D> {
    async fn handle(&self, received: Received) -> Result<Response<AnswerBody>, Refusal> {
        let draw = fastrand::f64();
        let name = received.route.group(draw).cloned();
        let name = name.ok_or_else(|| Refusal::not_run(Reason::NoEndpoint, ENDPOINTS_SOON))?;
        let group = self.0.groups.get_or_add(&name);
        self.outlasts(&received, &group)?;
        let call = Call::new(self.0.clone(), received, group);
        if call.received.route.streams {
            return relay::stream(call).await;
        }
        call.whole().await
    }
}

/// One request on its way to an answer. Two attempts of what is idempotent may be under way at
/// once, so what they change stands under a lock.
pub(super) struct Call<D> {
    pub(super) parts: Arc<Parts<D>>,
    pub(super) received: Received,
    group: Arc<Group>,
    progress: Mutex<Progress>,
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
struct Progress {
    tried: Vec<(EndpointId, Incarnation)>,
    /// Endpoints that got it.
    sent: u32,
    /// Attempts at which nothing was sent, or another server was met.
    not_sent: u32,
    /// Attempts of which it is unknown whether they ran.
    doubtful: u32,
    /// The last event that the caller has.
    last_event: Option<u64>,
    /// When it got that.
    last_event_at: Option<Time>,
    /// How long after its arrival the first byte of its answer went out.
    began: Option<Duration>,
    /// The longest wait between two events of its answer.
    longest_pause: Duration,
    /// The last answer of an endpoint that was a failure of its own.
    failure: Option<Response<AnswerBody>>,
}

impl<D: Dialect> Call<D> {
    fn new(parts: Arc<Parts<D>>, received: Received, group: Arc<Group>) -> Self {
        let last_event = received.caller.last_event;
        group.first_attempt(parts.clock.now());
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
    async fn whole(self) -> Result<Response<AnswerBody>, Refusal> {
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
    pub(super) fn failed(&self, run: Run, cause: FailCause) {
        log::info!(id = self.id(), endpoint = run.endpoint.as_str(), cause:? = cause,
            last_event:? = self.last_event(); "attempt_failed");
        self.parts.metrics.failed(cause);
        run.end(Some(cause));
    }

    /// Another endpoint answered first although it was asked later.
    pub(super) fn outrun(&self, job: JobId) {
        let now = self.parts.clock.now();
        lock(&self.group.arranger).ended(job, Some(FailCause::Silent), now);
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
            || self.group.may_repeat(&self.parts.retry_rules, instances, now)
    }

    fn place(&self, beside: Beside) -> Result<Placement, Refusal> {
        let now = self.parts.clock.now();
        let ask = self.ask(beside, now);
        let placed = lock(&self.group.arranger).place(&ask, now);
        match placed {
            Ok(placement) => {
                log::info!(
                    id = self.id(),
                    route = self.received.route.name.as_str(),
                    prompt = ask.prompt,
                    endpoint = placement.endpoint.as_str(),
                    helpers = names(&placement.helpers).as_str(),
                    predicted_ms = placement.predicted_ms as u64,
                    hold_ms = placement.hold.as_millis() as u64,
                    attempt = ask.tried.len() + 1;
                    "placed"
                );
                if ask.prompt > 0 {
                    self.parts.nudge.nudge();
                }
                Ok(placement)
            }
            Err(Refused::NoEndpoint) => Err(self.give_up(Reason::NoEndpoint)),
            Err(Refused::Quarantined(_)) => Err(self.give_up(Reason::Quarantined)),
            Err(Refused::TooLate(by)) => {
                log::info!(id = self.id(), prompt = ask.prompt, late_ms = by.as_millis() as u64;
                    "too_late");
                Err(self.come_back(Reason::TooLate, by))
            }
            Err(Refused::Crowded(after)) => {
                log::info!(id = self.id(), prompt = ask.prompt; "crowded");
                Err(self.come_back(Reason::Crowded, after))
            }
        }
    }

    fn ask(&self, beside: Beside, now: Time) -> Ask {
        let received = &self.received;
        let (prompt, output) = received.caller.tokens.unwrap_or((0, 0));
        let since_event = lock(&self.progress).last_event_at.map(|at| now.since(at));
        let goal = received.route.time_to_bound(now.since(received.arrived), since_event);
        let rank = received.owner.as_ref().and_then(|owner| owner.priority);
        Ask {
            prompt,
            output,
            left_ms: self.left().as_secs_f64() * 1000.0,
            goal_ms: goal.as_secs_f64() * 1000.0,
            pause_ms: received.route.pause_goal.as_secs_f64() * 1000.0,
            priority: rank.unwrap_or(received.route.priority),
            fingerprint: received.fingerprint,
            is_beside: beside == Beside::Another,
            tried: lock(&self.progress).tried.clone(),
        }
    }

    /// Sends it to a place; none where that gave no answer that may be the caller's.
    pub(super) async fn attempt(&self, placement: Placement) -> Option<Live<D>> {
        let run = Run::new(&self.group, self.parts.clock, &placement);
        if !self.held(&placement).await {
            return None;
        }
        lock(&self.progress).tried.push((placement.endpoint.clone(), placement.incarnation));
        let Some(address) = self.group.address(&placement.endpoint) else {
            lock(&self.progress).not_sent += 1;
            return None;
        };
        let helpers = self.helpers(&placement);
        let wishes = self.wishes(&placement, &helpers);
        let Parts { dialect, executor, .. } = &*self.parts;
        let memory = match Reservations::take(dialect, executor, address, wishes).await {
            Ok(memory) => memory,
            Err(endpoint) => {
                log::info!(id = self.id(), endpoint = endpoint.as_str(); "not_reserved");
                lock(&self.progress).not_sent += 1;
                run.end(Some(FailCause::Rejected));
                return None;
            }
        };
        let req = self.request(&placement, &helpers);
        {
            // Until the attempt proves otherwise it may have run.
            let mut progress = lock(&self.progress);
            progress.sent += 1;
            progress.doubtful += 1;
        }
        self.parts.metrics.sent();
        let group = self.group.clone();
        let sending = || lock(&group.arranger).sent(placement.job);
        match attempt::send(&self.parts.executor, address, req, self.left(), sending).await {
            Ok(upstream) => self.judge(Live { upstream, run, _memory: memory }).await,
            Err(AttemptError::NotSent { is_refused }) => {
                self.take_back();
                log::info!(id = self.id(), endpoint = run.endpoint.as_str(), is_refused;
                    "not_sent");
                if is_refused {
                    lock(&self.group.arranger).died(&run.endpoint, self.parts.clock.now());
                }
                run.end(Some(FailCause::NotSent));
                None
            }
            Err(AttemptError::Unknown(cause)) => {
                self.failed(run, cause);
                None
            }
        }
    }

    /// Waits until a request's engines have read what came before it; false where it has to be placed
    /// anew, because one of them has begun to leave or went to another request meanwhile.
    async fn held(&self, placement: &Placement) -> bool {
        if placement.hold.is_zero() {
            return true;
        }
        Timer::after(placement.hold).await;
        let stands = lock(&self.group.arranger).stands(placement.job, self.parts.clock.now());
        if !stands {
            log::info!(id = self.id(), endpoint = placement.endpoint.as_str(); "placed_anew");
        }
        stands
    }

    fn helpers(&self, placement: &Placement) -> Vec<HelperFacts> {
        let helpers = placement.helpers.iter().filter_map(|helper| {
            let address = self.group.address(&helper.endpoint)?;
            let reservation = helper.reserve.map(|_| self.parts.reservation_ids.next());
            Some(HelperFacts { address, reservation })
        });
        helpers.collect()
    }

    /// What has to be reserved before the prompt is sent.
    fn wishes(&self, placement: &Placement, helpers: &[HelperFacts]) -> Vec<Wish> {
        let reserving = placement.helpers.iter().filter_map(|helper| {
            let tokens = helper.reserve?;
            let address = self.group.address(&helper.endpoint)?;
            let facts = helpers.iter().find(|facts| facts.address == address)?;
            let id = facts.reservation.clone()?;
            Some(Wish { endpoint: helper.endpoint.clone(), address, tokens, id })
        });
        reserving.collect()
    }

    fn request(
        &self,
        placement: &Placement,
        helpers: &[HelperFacts],
    ) -> http::Request<http_body_util::Full<bytes::Bytes>> {
        let received = &self.received;
        let facts = AttemptFacts {
            left: self.left(),
            endpoint: &placement.endpoint,
            workspace: received.owner.as_ref().map(|owner| &owner.workspace),
            priority: received.caller.tokens.map(|_| placement.priority),
            helpers,
            resume_after: self.last_event(),
        };
        let headers = self.parts.dialect.write_attempt(&received.head.headers, &facts);
        attempt::request(&received.head, headers, &received.body)
    }

    /// An attempt turned out not to have been sent.
    fn take_back(&self) {
        let mut progress = lock(&self.progress);
        progress.sent -= 1;
        progress.doubtful -= 1;
        progress.not_sent += 1;
    }

    /// How long an attempt is waited for before another one is made beside it.
    pub(super) fn patience(&self, placement: &Placement) -> Duration {
        let route = &self.received.route;
        if !route.repeat.is_idempotent() {
            return Duration::MAX;
        }
        if route.streams {
            let predicted = Duration::from_secs_f64(placement.predicted_ms.max(0.0) / 1000.0);
            return 3 * predicted + FIRST_EVENT_SLACK;
        }
        route.goal.mul_f64(HEDGE_AFTER)
    }

    /// Whether an answer may be the caller's.
    async fn judge(&self, live: Live<D>) -> Option<Live<D>> {
        let facts = self.parts.dialect.read_answer(&live.upstream.head);
        let status = live.upstream.head.status;
        if !self.is_ours(&facts) {
            self.failed(live.run, FailCause::BadAnswer);
            return None;
        }
        if facts.not_run {
            self.not_run(live.run, &facts, status);
            return None;
        }
        if status.is_success() && !facts.is_vouched {
            self.failed(live.run, FailCause::BadAnswer);
            return None;
        }
        if status.is_server_error() || is_promise(status) {
            self.server_error(live).await;
            return None;
        }
        Some(live)
    }

    fn is_ours(&self, facts: &AnswerFacts) -> bool {
        match (&facts.request_id, &self.received.caller.request_id) {
            (Some(answered), Some(asked)) => answered == asked,
            _ => true,
        }
    }

    fn not_run(&self, run: Run, facts: &AnswerFacts, status: StatusCode) {
        log::info!(id = self.id(), endpoint = run.endpoint.as_str(), status = status.as_u16(),
            at_fault:? = facts.at_fault; "not_run");
        if status == StatusCode::MISDIRECTED_REQUEST {
            // Another server has the address: nobody was asked.
            self.take_back();
            return run.end(Some(FailCause::NotSent));
        }
        lock(&self.progress).doubtful -= 1;
        let fault = facts.at_fault.and_then(|address| self.group.at(address));
        if let Some(fault) = fault.filter(|fault| *fault != run.endpoint) {
            lock(&self.group.arranger).at_fault(&fault);
        }
        run.end(Some(FailCause::Rejected));
    }

    /// An endpoint's own failure. It ran; another endpoint may do better where that is allowed,
    /// and else this is the answer.
    async fn server_error(&self, live: Live<D>) {
        let head = live.upstream.head.clone();
        log::info!(id = self.id(), endpoint = live.run.endpoint.as_str(),
            status = head.status.as_u16(); "endpoint_error");
        let body = live.upstream.collect(self.left()).await;
        live.run.end(Some(FailCause::EndpointError));
        if let Ok(body) = body
            && !is_promise(head.status)
        {
            lock(&self.progress).failure = Some(self.answer(&head, body));
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
    pub(super) fn take_failure(&self) -> Option<Response<AnswerBody>> {
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
        self.parts.metrics.began(self.prompt(), taken);
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
            lock(&self.parts.answer_times).note(route, total.saturating_sub(began));
        }
        log::info!(
            id = self.id(),
            route,
            outcome,
            status = status.as_u16(),
            attempts = progress.tried.len(),
            first_ms = progress.began.map_or(-1, |taken| taken.as_millis() as i64),
            pause_ms = progress.longest_pause.as_millis() as u64,
            total_ms = total.as_millis() as u64;
            "request"
        );
    }
}
