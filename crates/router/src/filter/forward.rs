//! Passes a request on through a peer while this instance doesn't reach endpoints, and takes such
//! requests from peers; see [`policy::forwarding`].
//!
//! Guards against requests that run twice or travel in circles: a request that a peer passed on is
//! never passed on again, and one whose outcome is unknown only where it may run twice. The peer
//! treats it like one of its own callers', so keys, routes, limits and the quarantine hold there. Only
//! the instance that passes it on earns retry budget for it; each takes the retries that it sends from
//! its own.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use policy::{
    EndpointId, FailCause,
    forwarding::{MAX_PEERS_PER_REQUEST, PathState, Peer, UNREACHED_UNTIL_FORWARDED},
};
use smol::{Timer, future::FutureExt, io::AsyncReadExt};

use super::{
    Handler, Refusal, ResponseBody,
    attempt::{self, AttemptError, CONNECT_TIMEOUT},
    call::Call,
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

/// How a peer's response came about: one of the values below.
const OUTCOME: HeaderName = HeaderName::from_static("forwarded-outcome");

/// The response is an endpoint's, or the peer's own for this request.
const OUTCOME_ANSWERED: &str = "answered";

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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forwarded {
    /// Number of endpoints that may get it.
    pub attempts: u32,
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
        let (tried, is_repeat) = {
            let progress = lock(&self.progress);
            if progress.peers_tried.len() >= MAX_PEERS_PER_REQUEST || !self.may_run_again(&progress)
            {
                return None;
            }
            (progress.peers_tried.clone(), progress.sent > 0)
        };
        let now = self.context.clock.now();
        let mut rng = fastrand::Rng::new();
        let peer = self.context.groups.peers().choose(self.group.tag, &tried, now, &mut rng);
        peer.filter(|_| !is_repeat || self.may_retry())
    }

    /// Passes the request on to a peer. Returns `None` unless the response may be passed on to the
    /// caller.
    pub(super) async fn forward(&self, peer: Peer) -> Option<ActiveResponse<D>> {
        let attempts = {
            let mut progress = lock(&self.progress);
            progress.peers_tried.push(peer.clone());
            self.count_first_attempt(&mut progress);
            let left = self.max_attempts() - progress.sent;
            progress.sent += 1;
            progress.unknown_outcomes += 1;
            left
        };
        log::info!(id = self.id(), peer = peer.instance.as_str(); "forwarded");
        self.context.metrics.forwarded();
        let run = Run::Peer(PeerRun::new(&self.context.groups, peer.instance.clone()));
        let metadata =
            ForwardMetadata { time_left: self.time_left(), resume_after: self.last_event_id() };
        let received = &self.received;
        let mut headers = self.context.dialect.write_forward(&received.head.headers, &metadata);
        headers.insert(ATTEMPTS, HeaderValue::from(attempts));
        let req = attempt::request(&received.head, headers, &received.body);
        let executor = &self.context.executor;
        match attempt::send(executor, peer.address, req, self.time_left(), |_| {}).await {
            Ok(mut response) => {
                let outcome = response.head.headers.remove(OUTCOME);
                let outcome = outcome.as_ref().and_then(|outcome| outcome.to_str().ok());
                match outcome {
                    Some(OUTCOME_ANSWERED) => {
                        if lock(&self.group.path).record_help(self.context.clock.now()) {
                            self.log_cut();
                        }
                        Some(ActiveResponse { response, run })
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
                self.record_decline(&peer, "not_sent");
                None
            }
            Err(AttemptError::Unknown(cause)) => {
                self.attempt_failed(run, cause);
                None
            }
        }
    }

    /// Records that a peer hasn't run the request.
    fn record_decline(&self, peer: &Peer, cause: &str) {
        log::info!(id = self.id(), peer = peer.instance.as_str(), cause; "forward_declined");
        {
            let mut progress = lock(&self.progress);
            progress.sent -= 1;
            progress.unknown_outcomes -= 1;
        }
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
        let attempts = attempts.to_str().ok().and_then(|attempts| attempts.parse().ok());
        let Some(attempts) = attempts else { return malformed() };
        let (mut resp, refused) = match self.takes_requests() {
            true => {
                req.extensions_mut().insert(Forwarded { attempts });
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
            _ => OUTCOME_ANSWERED,
        };
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
