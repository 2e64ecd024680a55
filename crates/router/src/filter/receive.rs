//! Takes the body of a request, within its limits.
//!
//! It is held as a whole, because it may have to go to a second endpoint, and because a request
//! that crashes endpoints is recognised by it.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use policy::{
    Fingerprint, Time,
    routes::{Owner, Route},
};
use smol::{Timer, future::FutureExt};
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

use super::{Handler, Identified, Refusal, ResponseBody, refusal::Reason};
use crate::{clock::Clock, dialect::RequestMetadata};

/// How long a caller that states no deadline is waited for.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(60);

/// A request with its body.
#[derive(Debug)]
pub struct Received {
    /// Its head.
    pub head: request::Parts,
    /// Its body.
    pub body: Bytes,
    /// What the caller says of it.
    pub caller: RequestMetadata,
    /// Its route.
    pub route: Arc<Route>,
    /// Whose it is.
    pub owner: Option<Owner>,
    /// When its head had come.
    pub arrived: Time,
    /// By when the answer has to be whole.
    pub deadline: Time,
    /// Names the same request when it is sent again.
    pub fingerprint: Fingerprint,
}

/// Takes bodies.
pub struct Receive<N> {
    clock: Clock,
    next: N,
}

impl<N> Receive<N> {
    /// Passes on to `next`.
    pub fn new(clock: Clock, next: N) -> Self {
        Receive { clock, next }
    }
}

impl<N: Handler<Received>> Handler<Identified> for Receive<N> {
    async fn handle(&self, input: Identified) -> Result<Response<ResponseBody>, Refusal> {
        let arrived = self.clock.now();
        let Identified { req, caller, table, route, owner } = input;
        let timeout = caller.timeout.unwrap_or(DEFAULT_PATIENCE);
        let deadline = arrived + timeout.min(route.timeout);
        let (head, body) = req.into_parts();
        let read = async {
            match Limited::new(body, table.limits.body_bytes).collect().await {
                Ok(body) => Ok(body.to_bytes()),
                Err(e) if e.is::<LengthLimitError>() => {
                    Err(Refusal::caller(Reason::TooLarge, StatusCode::PAYLOAD_TOO_LARGE))
                }
                Err(_) => Err(Refusal::caller(Reason::Malformed, StatusCode::BAD_REQUEST)),
            }
        };
        let late = async {
            Timer::after(self.clock.until(deadline)).await;
            Err(Refusal::caller(Reason::Slow, StatusCode::REQUEST_TIMEOUT))
        };
        let body = read.or(late).await?;
        let fingerprint = fingerprint(&head, &owner, &body);
        let received =
            Received { head, body, caller, route, owner, arrived, deadline, fingerprint };
        self.next.handle(received).await
    }
}

fn fingerprint(head: &request::Parts, owner: &Option<Owner>, body: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    hash.update(head.method.as_str().as_bytes());
    hash.update(head.uri.path().as_bytes());
    hash.update(head.uri.query().unwrap_or_default().as_bytes());
    hash.update(owner.as_ref().map_or("", |owner| owner.workspace.as_str()).as_bytes());
    hash.update(body);
    Fingerprint(hash.digest128())
}
