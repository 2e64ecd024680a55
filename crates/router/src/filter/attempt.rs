//! One attempt at one endpoint, on a connection of its own.
//!
//! Guards against answers that belong to other requests: late and repeated answers arrive on
//! connections that are used again, and a connection that was open for a while may be silent for
//! good. A fresh connection has neither, and costs a round trip.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, client::conn::http1};
use policy::FailCause;
use smol::{Executor, Task, Timer, future::FutureExt};
use smol_hyper::rt::FuturesIo;
use std::sync::Arc;

use crate::net;

/// How long a connection may take. Two round trips between data centres and the endpoint's own
/// work take a few milliseconds; a lost opening packet is sent again only after a second, which is
/// longer than asking elsewhere takes.
const CONNECT: Duration = Duration::from_millis(350);

/// An endpoint that said nothing for this long is silent. Routes may leave less time than their
/// endpoints ordinarily take; running out of that says nothing about the endpoint.
const SILENT_AFTER: Duration = Duration::from_millis(600);

/// The largest answer that is held until it is whole.
const MAX_ANSWER: usize = 4 << 20;

/// An answer whose head has come. Dropping it closes the connection, which ends the run.
pub(super) struct Upstream {
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    _driver: Task<()>,
}

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptError {
    /// Nothing was sent.
    NotSent {
        /// The endpoint's machine answered that nobody listens.
        is_refused: bool,
    },
    /// It was sent, and what became of it is unknown.
    Unknown(FailCause),
}

/// Sends a request and waits for the head of its answer. `sending` is told right before the first
/// byte goes out, with the time that the connection took.
pub(super) async fn send(
    executor: &Executor<'static>,
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    patience: Duration,
    sending: impl FnOnce(Duration),
) -> Result<Upstream, AttemptError> {
    let began = Instant::now();
    let stream = net::connect(address, patience.min(CONNECT)).await.map_err(|e| {
        let is_refused = e.kind() == std::io::ErrorKind::ConnectionRefused;
        AttemptError::NotSent { is_refused }
    })?;
    let took = began.elapsed();
    let (mut sender, connection) = http1::handshake(FuturesIo::new(stream))
        .await
        .map_err(|_| AttemptError::NotSent { is_refused: false })?;
    let driver = executor.spawn(async move {
        if let Err(e) = connection.await {
            log::debug!(cause:% = e; "endpoint_connection_ended");
        }
    });
    sending(took);
    let answer = async {
        sender.send_request(req).await.map_err(|e| match e.is_canceled() {
            true => AttemptError::NotSent { is_refused: false },
            false if e.is_parse() => AttemptError::Unknown(FailCause::BadAnswer),
            false => AttemptError::Unknown(FailCause::Broken),
        })
    };
    let late = async {
        Timer::after(patience).await;
        Err(AttemptError::Unknown(out_of_time(patience)))
    };
    let (head, body) = answer.or(late).await?.into_parts();
    Ok(Upstream { head, body, _driver: driver })
}

impl Upstream {
    /// The whole body.
    pub(super) async fn collect(self, patience: Duration) -> Result<Bytes, FailCause> {
        let whole = async {
            let body = Limited::new(self.body, MAX_ANSWER).collect().await;
            body.map(|body| body.to_bytes()).map_err(|_| FailCause::Broken)
        };
        let late = async {
            Timer::after(patience).await;
            Err(out_of_time(patience))
        };
        whole.or(late).await
    }
}

/// What it says of an endpoint that nothing came within `waited`.
fn out_of_time(waited: Duration) -> FailCause {
    if waited < SILENT_AFTER { FailCause::Deadline } else { FailCause::Silent }
}

/// The request as an endpoint gets it.
pub(super) fn request(
    caller: &http::request::Parts,
    headers: HeaderMap,
    body: &Bytes,
) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(body.clone()));
    *req.method_mut() = caller.method.clone();
    *req.uri_mut() = caller.uri.clone();
    *req.headers_mut() = headers;
    req
}

/// Shares an executor with attempts.
pub(super) type Spawner = Arc<Executor<'static>>;
