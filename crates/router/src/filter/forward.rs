//! Passes a request on through a peer while this instance doesn't reach endpoints, and takes such
//! requests from peers; see [`policy::forwarding`].
//!
//! Guards against requests that run twice or travel in circles: a request that a peer passed on is
//! never passed on again, and one whose outcome is unknown only where it may run twice. The peer
//! treats it like one of its own callers', so keys, routes, limits and the quarantine hold there. Only
//! the instance that passes it on earns retry budget for it; each takes the retries that it sends to
//! endpoints from its own.
//!
//! Attempts are handed over: those that a peer was given are spent until its response says how many it
//! has left, so that all instances together keep to the route's number.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use policy::{
    EndpointId, FailCause,
    forwarding::{MAX_PEERS_PER_REQUEST, PathState, Peer, UNREACHED_UNTIL_FORWARDED},
};
use smol::{Timer, future::FutureExt, io::AsyncReadExt};

use super::{
    Handler, Refusal, ResponseBody,
    attempt::{self, AttemptError, CONNECT_TIMEOUT, EndpointResponse},
    call::{Call, Progress},
    death::{self, MAX_EXAMINATION_BYTES},
    dispatch::CAPACITY_RETRY_AFTER,
    refusal::Reason,
    run::{ActiveResponse, PeerRun, Run},
};
use crate::{
    dialect::{Dialect, ForwardMetadata},
    entry::CallerService,
    lock, net,
    request_body::RequestBody,
    serve::{ConnectionLimits, Service},
    signal::OneShot,
    snapshot::{decode, encode},
    state::{Groups, Lifecycle, Stage},
};

/// Number of endpoints that may get a request that is passed on.
const ATTEMPTS: HeaderName = HeaderName::from_static("forwarded-attempts");

/// Present where endpoints may have run the request before.
const REPEATED: HeaderName = HeaderName::from_static("forwarded-repeated");

/// Number of these endpoints that got it, or may still get it while the response is a stream. What is
/// left of them is the sender's again.
const SPENT: HeaderName = HeaderName::from_static("forwarded-spent");

/// How a peer's response came about: one of the values below.
const OUTCOME: HeaderName = HeaderName::from_static("forwarded-outcome");

/// The response is an endpoint's, or the peer's own for this request.
const OUTCOME_ANSWERED: &str = "answered";

/// An endpoint's failure, or the peer's own answer after failures or refusals of all endpoints that
/// it might ask. Another endpoint may serve the request.
const OUTCOME_FAILED: &str = "failed";

/// The request hasn't run, and another instance may serve it.
const OUTCOME_DECLINED: &str = "declined";

/// The peer has stopped before it had an answer; the request may have run.
const OUTCOME_CUT_OFF: &str = "cut_off";

/// Bytes that these headers add to a request's head.
const ADDED_HEAD_BYTES: usize = 256;

/// Requests in flight from which on an instance takes none from peers.
const MAX_IN_FLIGHT_FOR_PEERS: usize = 512;

/// How long a connection of a probe has to stay open: a path that resets connections does so within
/// a round trip.
const PROBE_HOLD: Duration = Duration::from_millis(50);

/// A request that a peer has passed on.
#[derive(Debug, Clone)]
pub struct Forwarded {
    /// Number of endpoints that may get it.
    pub attempts: u32,
    /// Whether the first attempt here is a retry.
    pub is_repeated: bool,
    /// Number of endpoints that got it, once its call has ended.
    spent: Arc<AtomicU32>,
}

impl Forwarded {
    fn new(attempts: u32, is_repeated: bool) -> Forwarded {
        Forwarded { attempts, is_repeated, spent: Arc::default() }
    }

    /// Sets the number of endpoints that got the request.
    pub(super) fn set_spent(&self, spent: u32) {
        self.spent.store(spent, Ordering::Relaxed);
    }
}

impl<D: Dialect> Call<D> {
    /// Whether the request should go through a peer, because this instance's path to the endpoints
    /// is cut or seems to be.
    pub(super) fn prefers_peer(&self) -> bool {
        let state = lock(&self.group.path).state(self.context.clock.now());
        if state == (PathState::Cut { probe: true }) {
            self.probe_path();
        }
        state != PathState::Open || lock(&self.progress).unreached >= UNREACHED_UNTIL_FORWARDED
    }

    /// Records that the endpoint of an attempt wasn't reached.
    pub(super) fn record_unreached(&self, endpoint: &EndpointId) {
        lock(&self.progress).unreached += 1;
        if lock(&self.group.path).record_unreached(endpoint, self.context.clock.now()) {
            self.log_cut();
        }
    }

    fn log_cut(&self) {
        log::warn!(group = self.group.name.as_str(); "path_cut");
    }

    /// Whether an attempt has failed because its endpoint wasn't reached.
    pub(super) fn has_unreached(&self) -> bool {
        lock(&self.progress).unreached > 0
    }

    /// Finds out in the background whether the path works again.
    fn probe_path(&self) {
        let Some(address) = self.group.random_addresses(1, None).pop() else { return };
        let address = self.context.dialect.endpoint_address(address);
        let (group, clock) = (self.group.clone(), self.context.clock);
        let probe = async move {
            let is_reached = stays_open(address).await;
            if lock(&group.path).record_probe(is_reached, clock.now()) {
                lock(&group.scheduler).forget_unconfirmed_failures();
                log::info!(group = group.name.as_str(); "path_open");
            }
        };
        self.context.executor.spawn(probe).detach();
    }

    /// Chooses a peer to pass the request on to, if that is allowed.
    pub(super) fn choose_peer(&self) -> Option<Peer> {
        if self.received.forwarded.is_some() {
            return None;
        }
        let tried = {
            let progress = lock(&self.progress);
            if progress.peers_tried.len() >= MAX_PEERS_PER_REQUEST || !self.may_run_again(&progress)
            {
                return None;
            }
            progress.peers_tried.clone()
        };
        self.untried_peer(&tried)
    }

    fn untried_peer(&self, tried: &[Peer]) -> Option<Peer> {
        let now = self.context.clock.now();
        let mut rng = fastrand::Rng::new();
        self.context.groups.peers().choose(self.group.tag, tried, now, &mut rng)
    }

    /// Number of attempts that a peer gets. One is kept where the request may be sent to another peer,
    /// because a peer may be lost with all that it was given.
    pub(super) fn attempts_for_peer(&self, peer: &Peer, progress: &Progress) -> u32 {
        let left = self.max_attempts().saturating_sub(progress.sent);
        let tried = [&progress.peers_tried[..], std::slice::from_ref(peer)].concat();
        let may_use_another = self.received.route.retry_safety.is_idempotent()
            && tried.len() < MAX_PEERS_PER_REQUEST
            && self.untried_peer(&tried).is_some();
        if may_use_another && left > 1 { left - 1 } else { left }
    }

    /// Passes the request on to a peer. Returns `None` unless the response may be passed on to the
    /// caller.
    pub(super) async fn forward(&self, peer: Peer) -> Option<ActiveResponse<D>> {
        let (attempts, is_repeated) = {
            let mut progress = lock(&self.progress);
            // Another attempt may have been sent since the peer was chosen.
            if !self.may_run_again(&progress) {
                return None;
            }
            self.count_first_attempt(&mut progress);
            let (attempts, is_repeated) =
                (self.attempts_for_peer(&peer, &progress), progress.sent > 0);
            progress.peers_tried.push(peer.clone());
            // The peer's until it says otherwise: it may be lost after any number of them.
            progress.sent += attempts;
            progress.unknown_outcomes += 1;
            (attempts, is_repeated)
        };
        log::info!(id = self.id(), peer = peer.instance.as_str(); "forwarded");
        self.context.metrics.forwarded();
        let run = Run::Peer(PeerRun::new(&self.context.groups, peer.instance.clone(), attempts));
        let metadata =
            ForwardMetadata { time_left: self.time_left(), resume_after: self.last_event_id() };
        let received = &self.received;
        let mut headers = self.context.dialect.write_forward(&received.head.headers, &metadata);
        headers.insert(ATTEMPTS, HeaderValue::from(attempts));
        if is_repeated {
            headers.insert(REPEATED, HeaderValue::from(1));
        }
        let req = attempt::request(&received.head, headers, &received.body);
        let executor = &self.context.executor;
        match attempt::send(executor, peer.address, req, self.time_left(), |_| {}).await {
            Ok(mut response) => {
                let spent =
                    response.head.headers.remove(SPENT).and_then(|spent| read_count(&spent));
                self.take_back(attempts.saturating_sub(spent.unwrap_or(attempts)));
                let outcome = response.head.headers.remove(OUTCOME);
                let outcome = outcome.as_ref().and_then(|outcome| outcome.to_str().ok());
                if matches!(outcome, Some(OUTCOME_ANSWERED | OUTCOME_FAILED))
                    && lock(&self.group.path).record_help(self.context.clock.now())
                {
                    self.log_cut();
                }
                match outcome {
                    Some(OUTCOME_ANSWERED) => Some(ActiveResponse { response, run }),
                    Some(OUTCOME_FAILED) => {
                        self.record_failure(&peer, response).await;
                        None
                    }
                    Some(OUTCOME_DECLINED) => {
                        self.record_decline(&peer, "declined");
                        None
                    }
                    Some(OUTCOME_CUT_OFF) => {
                        self.attempt_failed(run, FailCause::Broken);
                        None
                    }
                    _ => {
                        self.attempt_failed(run, FailCause::BadAnswer);
                        None
                    }
                }
            }
            Err(AttemptError::NotSent { .. }) => {
                self.take_back(attempts);
                self.record_decline(&peer, "not_sent");
                None
            }
            Err(AttemptError::Unknown(cause)) => {
                if cause == FailCause::Broken {
                    self.avoid(&peer);
                }
                self.attempt_failed(run, cause);
                None
            }
        }
    }

    /// Counts attempts that a peer was given and hasn't spent as left again.
    fn take_back(&self, attempts: u32) {
        lock(&self.progress).sent -= attempts;
    }

    /// Records that the endpoints which a peer has asked failed, or refused the request.
    async fn record_failure(&self, peer: &Peer, response: EndpointResponse) {
        let head = response.head.clone();
        log::info!(id = self.id(), peer = peer.instance.as_str(), status = head.status.as_u16();
            "forward_failed");
        lock(&self.progress).has_failed_at_peer = true;
        if head.status == StatusCode::SERVICE_UNAVAILABLE {
            lock(&self.progress).unknown_outcomes -= 1;
        } else if let Ok(body) = response.receive(self.time_left(), &self.received.holder).await {
            lock(&self.progress).endpoint_failure = Some(self.response(&head, body));
        }
    }

    /// Records that a peer hasn't run the request.
    fn record_decline(&self, peer: &Peer, cause: &str) {
        log::info!(id = self.id(), peer = peer.instance.as_str(), cause; "forward_declined");
        lock(&self.progress).unknown_outcomes -= 1;
        self.avoid(peer);
    }

    /// Has the next requests go through other peers.
    fn avoid(&self, peer: &Peer) {
        let now = self.context.clock.now();
        self.context.groups.peers().record_decline(&peer.instance, self.group.tag, now);
    }
}

/// Whether a connection can be opened and isn't closed at once.
async fn stays_open(address: SocketAddr) -> bool {
    let Ok(mut stream) = net::connect(address, CONNECT_TIMEOUT).await else { return false };
    let closed = async {
        // An endpoint sends nothing before it has received a request.
        stream.read(&mut [0]).await.is_ok_and(|len| len > 0)
    };
    let held = async {
        Timer::after(PROBE_HOLD).await;
        true
    };
    closed.or(held).await
}

fn read_count(value: &HeaderValue) -> Option<u32> {
    value.to_str().ok()?.parse().ok()
}

fn malformed() -> Response<ResponseBody> {
    Refusal::client_error(Reason::Malformed, StatusCode::BAD_REQUEST).response()
}

/// Serves requests that peers pass on, and their questions about endpoints.
pub(crate) struct PeerService<D, H> {
    callers: Arc<CallerService<D, H>>,
    groups: Arc<Groups>,
}

impl<D, H> PeerService<D, H> {
    /// Creates the service; requests take the same path as those of `callers`.
    pub(crate) fn new(callers: Arc<CallerService<D, H>>, groups: Arc<Groups>) -> PeerService<D, H> {
        PeerService { callers, groups }
    }

    /// Answers a question about an endpoint; none if it can't be read.
    async fn answer_examination(&self, req: Request<RequestBody>) -> Option<Response<ResponseBody>>
    where
        D: Dialect,
    {
        let body = Limited::new(req.into_body(), MAX_EXAMINATION_BYTES).collect().await.ok()?;
        let examination = decode(&body.to_bytes()).ok()?;
        let verdict = death::examine(&*self.callers.dialect, &self.groups, &examination).await;
        Some(Response::new(ResponseBody::whole(encode(&verdict))))
    }

    fn takes_requests(&self) -> bool {
        let lifecycle = &self.callers.lifecycle;
        lifecycle.stage() == Stage::Serving && lifecycle.in_flight() < MAX_IN_FLIGHT_FOR_PEERS
    }
}

impl<D, H> Service for PeerService<D, H>
where
    D: Dialect,
    H: Handler<Request<RequestBody>>,
{
    async fn respond(&self, mut req: Request<RequestBody>) -> Response<ResponseBody> {
        let Some(attempts) = req.headers_mut().remove(ATTEMPTS) else {
            return self.answer_examination(req).await.unwrap_or_else(malformed);
        };
        let Some(attempts) = read_count(&attempts) else { return malformed() };
        let is_repeated = req.headers_mut().remove(REPEATED).is_some();
        let forwarded = Forwarded::new(attempts, is_repeated);
        let (mut resp, refused) = match self.takes_requests() {
            true => {
                req.extensions_mut().insert(forwarded.clone());
                self.callers.answer(req).await
            }
            false => {
                let refusal = Refusal::not_run(Reason::Unreachable, CAPACITY_RETRY_AFTER);
                (refusal.response(), Some(refusal))
            }
        };
        let outcome = match refused {
            Some(refusal) if refusal.is_cut_off() => OUTCOME_CUT_OFF,
            Some(refusal)
                if refusal.reason.is_local()
                    && refusal.status == StatusCode::SERVICE_UNAVAILABLE =>
            {
                OUTCOME_DECLINED
            }
            Some(Refusal { reason: Reason::Rejected | Reason::OutcomeUnknown, .. }) => {
                OUTCOME_FAILED
            }
            None if resp.status().is_server_error() => OUTCOME_FAILED,
            _ => OUTCOME_ANSWERED,
        };
        let spent = match resp.body() {
            // It may be resumed.
            ResponseBody::Events(_) => attempts,
            _ => forwarded.spent.load(Ordering::Relaxed),
        };
        resp.headers_mut().insert(SPENT, HeaderValue::from(spent));
        resp.headers_mut().insert(OUTCOME, HeaderValue::from_static(outcome));
        resp
    }

    fn connection_limits(&self) -> ConnectionLimits {
        let limits = self.callers.connection_limits();
        let max_head_bytes = limits.max_head_bytes.saturating_add(ADDED_HEAD_BYTES);
        ConnectionLimits { max_head_bytes, ..limits }
    }

    fn limits_changed(&self) -> Arc<OneShot> {
        self.callers.limits_changed()
    }

    fn lifecycle(&self) -> &Arc<Lifecycle> {
        &self.callers.lifecycle
    }
}
