//! One attempt at one endpoint, on a new connection.
//!
//! Guards against responses that belong to other requests: late and duplicate responses arrive on
//! reused connections, and a connection that has been idle may have failed without notice. A new
//! connection has neither problem, and costs one round trip.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::{HeaderMap, Request, header, response};
use hyper::{
    body::{Body, Incoming},
    client::conn::http1,
};
use policy::FailCause;
use smol::{Executor, Task, Timer, future::FutureExt, net::TcpStream};
use smol_hyper::rt::FuturesIo;
use std::sync::Arc;

use crate::{
    net,
    payload::{Payload, PayloadBody, ReceiveError},
    resources::Holder,
};

/// Two round trips between data centres and the endpoint's own work take a few milliseconds. A lost
/// SYN is retransmitted only after a second, and trying another endpoint is faster than that.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// An endpoint that sends nothing for this long counts as silent. A shorter timeout says nothing
/// about the endpoint, because routes may allow less time than their endpoints usually need.
const SILENCE_THRESHOLD: Duration = Duration::from_millis(600);

/// The largest buffer for reading from an endpoint, and so the largest head of a response. Both
/// buffers of a connection would otherwise grow to 400 KB each.
const MAX_CONNECTION_BUFFER_BYTES: usize = 16 << 10;

/// Receive buffer of a connection with a stream, whose kernel would otherwise enlarge it by megabytes
/// for an endpoint that is faster than its caller.
pub(super) const STREAM_RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// The largest response body that is buffered as a whole.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// A response whose head has arrived. Dropping it closes the connection, which ends the run on the
/// endpoint.
pub(super) struct EndpointResponse {
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    /// Whether the end of the body is that of its connection, so that it doesn't tell a whole body
    /// from one whose endpoint has stopped.
    pub(super) ends_with_connection: bool,
    _connection: Task<()>,
    socket: TcpStream,
}

/// Why an attempt has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptError {
    /// No part of the request was sent.
    NotSent {
        /// Whether the connection was refused, that is, nothing listens at the address.
        is_refused: bool,
    },
    /// The request was sent, and its outcome is unknown.
    Unknown(FailCause),
}

/// Sends a request and waits for the head of the response. `before_send` is called right before the
/// first byte is sent, with the time that connecting took.
pub(super) async fn send(
    executor: &Executor<'static>,
    address: SocketAddr,
    req: Request<PayloadBody>,
    timeout: Duration,
    before_send: impl FnOnce(Duration),
) -> Result<EndpointResponse, AttemptError> {
    let started = Instant::now();
    let stream = net::connect(address, timeout.min(CONNECT_TIMEOUT)).await.map_err(|e| {
        let is_refused = e.kind() == std::io::ErrorKind::ConnectionRefused;
        AttemptError::NotSent { is_refused }
    })?;
    let connect_time = started.elapsed();
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_CONNECTION_BUFFER_BYTES)
        .handshake(FuturesIo::new(stream.clone()))
        .await
        .map_err(|_| AttemptError::NotSent { is_refused: false })?;
    let connection_task = executor.spawn(async move {
        if let Err(e) = connection.await {
            log::debug!(cause:% = e; "endpoint_connection_ended");
        }
    });
    before_send(connect_time);
    let response = async {
        sender.send_request(req).await.map_err(|e| match e.is_canceled() {
            true => AttemptError::NotSent { is_refused: false },
            false if e.is_parse() => AttemptError::Unknown(FailCause::BadAnswer),
            false => AttemptError::Unknown(FailCause::Broken),
        })
    };
    let timed_out = async {
        Timer::after(timeout).await;
        Err(AttemptError::Unknown(timeout_cause(timeout)))
    };
    let (head, body) = response.or(timed_out).await?.into_parts();
    // No attempt asks for another protocol, and other interim heads are skipped.
    if head.status.is_informational() || !has_readable_body(&head.headers) {
        return Err(AttemptError::Unknown(FailCause::BadAnswer));
    }
    let is_framed = head.headers.contains_key(header::TRANSFER_ENCODING)
        || head.headers.contains_key(header::CONTENT_LENGTH)
        || body.is_end_stream();
    let ends_with_connection = !is_framed;
    Ok(EndpointResponse {
        head,
        body,
        ends_with_connection,
        _connection: connection_task,
        socket: stream,
    })
}

/// Whether the body has no transfer coding but chunked. Others aren't decoded here, and some hide a
/// body that ends early.
fn has_readable_body(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match codings.next() {
        Some(coding) => {
            coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked")
                && codings.next().is_none()
        }
        None => true,
    }
}

impl EndpointResponse {
    /// Bounds what the kernel holds of a stream that isn't read, because its caller is slow.
    pub(super) fn limit_receive_buffer(&self) {
        net::limit_receive_buffer(&self.socket, STREAM_RECEIVE_BUFFER_BYTES);
    }

    /// Reads the whole body of a response that isn't for a caller.
    pub(super) async fn collect(self, timeout: Duration) -> Result<Payload, FailCause> {
        let whole = async {
            let body = Payload::receive(self.body, MAX_RESPONSE_BYTES, None).await;
            body.map_err(|_| FailCause::Broken)
        };
        let timed_out = async {
            Timer::after(timeout).await;
            Err(timeout_cause(timeout))
        };
        whole.or(timed_out).await
    }

    /// Reads the whole body, for which there has to be room in the caller's buffers. A body of a
    /// stated length waits for all of its room before any of it is read, so that bodies which have
    /// come in part don't wait for each other.
    pub(super) async fn receive(
        self,
        timeout: Duration,
        holder: &Arc<Holder>,
    ) -> Result<Payload, FailCause> {
        let started = Instant::now();
        let mut permit = holder.permit();
        let stated_len = self.body.size_hint().exact().and_then(|len| usize::try_from(len).ok());
        if let Some(len) = stated_len.filter(|len| *len <= MAX_RESPONSE_BYTES) {
            let room = async {
                permit.wait_to_grow_to(len).await;
                true
            };
            let timed_out = async {
                Timer::after(timeout).await;
                false
            };
            if !room.or(timed_out).await {
                // It says nothing about the endpoint.
                return Err(FailCause::Deadline);
            }
        }
        let whole = async {
            let body = Payload::receive(self.body, MAX_RESPONSE_BYTES, Some(permit)).await;
            body.map_err(|e| match e {
                ReceiveError::Exhausted => FailCause::Deadline,
                ReceiveError::TooLarge | ReceiveError::Body(_) => FailCause::Broken,
            })
        };
        let timed_out = async {
            Timer::after(timeout.saturating_sub(started.elapsed())).await;
            Err(timeout_cause(timeout))
        };
        whole.or(timed_out).await
    }
}

/// Failure cause of an attempt that got no response within `waited`.
fn timeout_cause(waited: Duration) -> FailCause {
    if waited < SILENCE_THRESHOLD { FailCause::Deadline } else { FailCause::Silent }
}

/// Builds the request for an endpoint from the caller's request and the attempt's headers.
pub(super) fn request(
    caller: &http::request::Parts,
    headers: HeaderMap,
    body: &Payload,
) -> Request<PayloadBody> {
    let mut req = Request::new(PayloadBody::from(body.clone()));
    *req.method_mut() = caller.method.clone();
    *req.uri_mut() = caller.uri.clone();
    *req.headers_mut() = headers;
    req
}

/// Executor that runs the connections of attempts.
pub(super) type SharedExecutor = Arc<Executor<'static>>;
