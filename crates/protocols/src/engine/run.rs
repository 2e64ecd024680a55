//! Runs requests on an engine.
//!
//! Each run opens a new connection. A pooled connection may have gone silent without notice, and a
//! run on it would wait for the complete silence deadline before the first token. A new one costs a
//! round trip, which takes at most a few milliseconds within a site.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Body, Method, Request, Response, Url};
use policy::{Incarnation, Priority};
use smol::{Timer, net::TcpStream};

use crate::{
    body::BodyParts,
    engine::{
        sse::{SseError, SseEvent, SseReader},
        wire::{
            ATTEMPT, AttemptId, ENGINE_INCARNATION, KV_SHARDS, LEASE_MS, LEAVING, PRIORITY, STREAM,
        },
    },
};

/// Timeout of connecting. Within a site a round trip takes at most a few milliseconds, but a lost
/// first packet is retransmitted only after one second.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Limits reading the body of an error response, which is one or two sentences.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_ERROR_BODY_BYTES: u64 = 64 << 10;

/// One attempt to run a request.
#[derive(Debug, Clone)]
pub struct Run {
    /// The engine's address.
    pub address: SocketAddr,
    /// `/v1/completions` or `/v1/chat/completions`.
    pub path: &'static str,
    /// The attempt's id, which the engine echoes.
    pub attempt: AttemptId,
    /// The request's priority; higher is served first.
    pub priority: Priority,
    /// How long the engine keeps the stream's memory after the connection breaks.
    pub lease: Duration,
    /// Reservations on other engines, as `id@address` separated by commas; may be empty.
    pub kv_shards: String,
    /// The caller's `traceparent` header, if any.
    pub traceparent: Option<String>,
    /// The body, in parts that are sent in sequence.
    pub body: Vec<Bytes>,
}

/// Why a run couldn't be started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunError {
    /// No connection: nothing was sent.
    NotSent,
    /// The engine refused the request without running it.
    Rejected(Rejection),
    /// The engine responded with a client error, which is passed on to the caller.
    Final(FinalAnswer),
    /// The engine reported an internal error.
    EndpointError,
    /// The connection broke after something may have been sent.
    Broken,
    /// The response belongs to another attempt, or is invalid.
    BadAnswer,
}

/// A refusal without running the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// The engine's incarnation, if the response states it.
    pub incarnation: Option<Incarnation>,
    /// Whether the engine asks for no new work.
    pub leaving: bool,
}

/// A client error that every other engine would report as well.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinalAnswer {
    /// The HTTP status, from 400 to 499.
    pub status: u16,
    /// The response's body, as far as it was received.
    pub body: Bytes,
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::NotSent => write!(f, "the engine can't be reached"),
            RunError::Rejected(_) => write!(f, "the engine takes no work now"),
            RunError::Final(answer) => write!(f, "the engine answered {}", answer.status),
            RunError::EndpointError => write!(f, "the engine failed"),
            RunError::Broken => write!(f, "the connection to the engine broke"),
            RunError::BadAnswer => write!(f, "the engine's answer doesn't fit the attempt"),
        }
    }
}

impl std::error::Error for RunError {}

/// A run that the engine has accepted.
#[derive(Debug)]
pub struct Running {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// Whether the engine asks for no new work.
    pub leaving: bool,
    events: SseReader<Body>,
}

impl Running {
    /// Reads the next event; `None` at the end of the stream. Dropping the future loses no data.
    ///
    /// # Errors
    ///
    /// See [`SseError`].
    pub async fn next(&mut self) -> Result<Option<SseEvent>, SseError> {
        self.events.next().await
    }
}

impl Run {
    /// Sends the request and waits for the head of the response without a timeout: the engine may
    /// queue and prefill a long prompt first. The caller has to limit the wait.
    ///
    /// # Errors
    ///
    /// See [`RunError`].
    pub async fn send(self) -> Result<Running, RunError> {
        let stream = connect(self.address).await?;
        let attempt = self.attempt.to_string();
        let req = self.request(&attempt)?;
        let resp = async_h1::connect(stream, req).await.map_err(|_| RunError::Broken)?;
        check_response(resp, &attempt).await
    }

    fn request(self, attempt: &str) -> Result<Request, RunError> {
        let url = format!("http://{}{}", self.address, self.path);
        let url = Url::parse(&url).map_err(|_| RunError::NotSent)?;
        let mut req = Request::new(Method::Post, url);
        req.insert_header("connection", "close");
        req.insert_header("content-type", "application/json");
        req.insert_header(ATTEMPT, attempt);
        req.insert_header(PRIORITY, self.priority.0.to_string());
        req.insert_header(LEASE_MS, self.lease.as_millis().to_string());
        req.insert_header(STREAM, "events");
        if !self.kv_shards.is_empty() {
            req.insert_header(KV_SHARDS, self.kv_shards);
        }
        if let Some(traceparent) = self.traceparent {
            req.insert_header("traceparent", traceparent);
        }
        req.set_body(BodyParts::body(&self.body));
        Ok(req)
    }
}

/// Opens a connection within [`CONNECT_TIMEOUT`].
pub(crate) async fn connect(address: SocketAddr) -> Result<TcpStream, RunError> {
    let limit = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let stream = TcpStream::connect(address).or(limit).await.map_err(|_| RunError::NotSent)?;
    stream.set_nodelay(true).map_err(|_| RunError::NotSent)?;
    Ok(stream)
}

async fn check_response(mut resp: Response, attempt: &str) -> Result<Running, RunError> {
    let incarnation = header(&resp, ENGINE_INCARNATION).and_then(|text| text.parse().ok());
    let leaving = resp.header(LEAVING).is_some();
    match u16::from(resp.status()) {
        200 => {}
        429 | 503 => return Err(RunError::Rejected(Rejection { incarnation, leaving })),
        status @ 400..=499 => {
            let body = read_error_body(resp.take_body()).await;
            return Err(RunError::Final(FinalAnswer { status, body }));
        }
        _ => return Err(RunError::EndpointError),
    }
    // Guards against mixed-up responses: one that echoes another attempt belongs to another caller,
    // and nothing of it may reach this one.
    if header(&resp, ATTEMPT) != Some(attempt) {
        return Err(RunError::BadAnswer);
    }
    let incarnation = incarnation.ok_or(RunError::BadAnswer)?;
    Ok(Running { incarnation, leaving, events: SseReader::new(resp.take_body()) })
}

async fn read_error_body(body: Body) -> Bytes {
    let mut text = Vec::new();
    let mut body = body.take(MAX_ERROR_BODY_BYTES);
    let read = async {
        // If the body breaks off, the part that was received is passed on.
        body.read_to_end(&mut text).await.ok();
    };
    let limit = async {
        Timer::after(ERROR_BODY_TIMEOUT).await;
    };
    read.or(limit).await;
    text.into()
}

fn header<'a>(resp: &'a Response, name: &str) -> Option<&'a str> {
    resp.header(name).map(|values| values.last().as_str())
}
