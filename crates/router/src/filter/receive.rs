//! Reads the body of a request, within its limits.
//!
//! The whole body is buffered, because it may have to be sent to a second endpoint, and because
//! requests that crash endpoints are recognised by it. It counts towards the buffers of all
//! connections ([`crate::resources`]) until its request has ended.

use std::time::Duration;

use http::{HeaderMap, Response, StatusCode, request};
use policy::{
    Fingerprint, Time, Workspace,
    routes::{KeyOwner, Route},
};
use smol::{Timer, future::FutureExt};
use std::sync::Arc;
use xxhash_rust::xxh3::{Xxh3, xxh3_128};

use super::{
    Forwarded, Handler, Identified, Refusal, ResponseBody, dispatch::CAPACITY_RETRY_AFTER,
    refusal::Reason,
};
use crate::{
    clock::Clock,
    dialect::{RequestMetadata, StatedParts},
    payload::{Payload, ReceiveError},
    resources::{Exhausted, Holder, Permit, REQUEST_BYTES},
    state::Lifecycle,
};

/// Timeout of requests whose caller states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// `Retry-After` of requests for which an instance has no memory, as all of it is for requests in
/// service.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Memory of an entry in a map of headers, beside its text.
const HEADER_BYTES: usize = 128;

/// Copies of a head: the caller's and the endpoint's.
const HEAD_COPIES: usize = 2;

/// A request with its whole body.
#[derive(Debug)]
pub struct Received {
    /// Method, URI and headers as received.
    pub head: request::Parts,
    /// The whole body.
    pub body: Payload,
    /// What the caller's headers state.
    pub caller: RequestMetadata,
    /// The route that matches host and path.
    pub route: Arc<Route>,
    /// Owner of the API key; `None` where no key is required.
    pub owner: Option<KeyOwner>,
    /// When the head had been received.
    pub arrived: Time,
    /// When the response has to be complete.
    pub deadline: Time,
    /// Identifies the request when it is sent again.
    pub fingerprint: Fingerprint,
    /// Fingerprints of the parts that other prompts may share, in their order.
    pub parts: Arc<[Fingerprint]>,
    /// The caller's connection, for what is buffered for it.
    pub holder: Arc<Holder>,
    /// Room for the request beside its body.
    _permit: Permit,
    /// Set if a peer has passed the request on.
    pub forwarded: Option<Forwarded>,
}

impl Received {
    /// Workspace of the API key; `None` where no key is required.
    pub fn workspace(&self) -> Option<&Workspace> {
        self.owner.as_ref().map(|owner| &owner.workspace)
    }
}

/// Filter that reads the body and sets the deadline.
pub struct Receive<N> {
    clock: Clock,
    lifecycle: Arc<Lifecycle>,
    next: N,
}

impl<N> Receive<N> {
    /// Creates the filter in front of `next`.
    pub fn new(clock: Clock, lifecycle: Arc<Lifecycle>, next: N) -> Self {
        Receive { clock, lifecycle, next }
    }
}

impl<N: Handler<Received>> Handler<Identified> for Receive<N> {
    async fn handle(&self, input: Identified) -> Result<Response<ResponseBody>, Refusal> {
        let Identified { req, arrived, caller, table, route, owner } = input;
        let timeout = caller.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let deadline = arrived + timeout.min(route.timeout);
        let (mut head, body) = req.into_parts();
        let holder: Arc<Holder> =
            head.extensions.remove().ok_or_else(|| Refusal::outcome_unknown(Reason::Fault))?;
        let mut permit = holder.permit();
        let read = async {
            let exhausted = |Exhausted| Refusal::not_run(Reason::Overloaded, OVERLOAD_RETRY_AFTER);
            permit.try_grow(head_bytes(&head.headers)).map_err(exhausted)?;
            permit.grow(REQUEST_BYTES).await.map_err(exhausted)?;
            let received =
                Payload::receive(body, table.limits.body_bytes, Some(holder.permit())).await;
            received.map_err(|e| match e {
                ReceiveError::TooLarge => {
                    Refusal::client_error(Reason::TooLarge, StatusCode::PAYLOAD_TOO_LARGE)
                }
                ReceiveError::Exhausted => exhausted(Exhausted),
                ReceiveError::Body(_) => {
                    Refusal::client_error(Reason::Malformed, StatusCode::BAD_REQUEST)
                }
            })
        };
        let timed_out = async {
            Timer::after(self.clock.until(deadline)).await;
            Err(Refusal::client_error(Reason::BodyTimeout, StatusCode::REQUEST_TIMEOUT))
        };
        let cut_off = async {
            self.lifecycle.wait_for_cutoff().await;
            Err(Refusal::not_run(Reason::CutOff, CAPACITY_RETRY_AFTER))
        };
        let evicted = async {
            holder.evicted().await;
            Err(Refusal::not_run(Reason::Overloaded, OVERLOAD_RETRY_AFTER))
        };
        let body = read.or(timed_out).or(cut_off).or(evicted).await?;
        if !holder.begin_service() {
            return Err(Refusal::not_run(Reason::Overloaded, OVERLOAD_RETRY_AFTER));
        }
        let fingerprint = fingerprint(&head, &owner, &body);
        let parts = part_fingerprints(&caller);
        let forwarded = head.extensions.get().cloned();
        let received = Received {
            head,
            body,
            caller,
            route,
            owner,
            arrived,
            deadline,
            fingerprint,
            parts,
            holder,
            _permit: permit,
            forwarded,
        };
        self.next.handle(received).await
    }
}

/// Memory of a head and of the copy for its endpoint.
fn head_bytes(headers: &HeaderMap) -> usize {
    let text: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    HEAD_COPIES * (text + headers.len() * HEADER_BYTES)
}

fn fingerprint(head: &request::Parts, owner: &Option<KeyOwner>, body: &Payload) -> Fingerprint {
    let mut hash = Xxh3::new();
    hash.update(head.method.as_str().as_bytes());
    hash.update(head.uri.path().as_bytes());
    hash.update(head.uri.query().unwrap_or_default().as_bytes());
    hash.update(owner.as_ref().map_or("", |owner| owner.workspace.as_str()).as_bytes());
    body.segments().for_each(|segment| hash.update(segment));
    Fingerprint::of_request(hash.digest128())
}

fn part_fingerprints(caller: &RequestMetadata) -> Arc<[Fingerprint]> {
    match &caller.parts {
        StatedParts::Shared(ids) => {
            ids.iter().map(|id| Fingerprint::of_part(xxh3_128(id.as_bytes()))).collect()
        }
        StatedParts::Invalid => {
            let id = caller.request_id.as_deref().unwrap_or("-");
            log::info!(id; "parts_ignored");
            Arc::default()
        }
    }
}
