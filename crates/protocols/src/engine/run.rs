//! Running a request on an engine.
//!
//! Each run has its own connection. A kept one may have gone silent unnoticed, and a run on it
//! would cost the caller the whole silence deadline before the first token; a new one costs one
//! round trip, which within a site is a few milliseconds at most.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Body, Method, Request, Response, Url};
use policy::{Incarnation, Priority};
use smol::{Timer, net::TcpStream};

use crate::{
    body::Parts,
    engine::{
        sse::{SseError, SseEvent, SseReader},
        wire::{
            ATTEMPT, AttemptId, ENGINE_INCARNATION, KV_SHARDS, LEASE_MS, LEAVING, PRIORITY, STREAM,
        },
    },
};

/// How long a connection may take to stand. Within a site a round trip takes at most a few
/// milliseconds; a lost first packet is sent again after one second.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long the body of a refusal may take, and how long it may be. It is a sentence or two.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_REFUSAL: u64 = 64 << 10;

/// One attempt to run a request.
#[derive(Debug, Clone)]
pub struct Run {
    /// The engine.
    pub address: SocketAddr,
    /// `/v1/completions` or `/v1/chat/completions`.
    pub path: &'static str,
    /// Names the attempt.
    pub attempt: AttemptId,
    /// Its priority.
    pub priority: Priority,
    /// How long the engine keeps the stream after its connection broke.
    pub lease: Duration,
    /// Reservations on other engines, as `id@address` with commas; empty for none.
    pub kv_shards: String,
    /// The caller's trace, if any.
    pub traceparent: Option<String>,
    /// The body in parts.
    pub body: Vec<Bytes>,
}

/// Why a run gave no events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunError {
    /// No connection: nothing was sent.
    NotSent,
    /// The engine refused before running.
    Rejected(Rejection),
    /// The engine's answer is final, whatever it says; the caller should have it.
    Final(FinalAnswer),
    /// The engine failed with an error of its own.
    EndpointError,
    /// The connection broke after something may have been sent.
    Broken,
    /// The answer isn't one to this attempt, or can't be read.
    BadAnswer,
}

/// A refusal before running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// The life that refused, where it says so.
    pub incarnation: Option<Incarnation>,
    /// It asks for no new work.
    pub leaving: bool,
}

/// An answer that another engine would give just the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinalAnswer {
    /// Its status, 400 to 499.
    pub status: u16,
    /// What it says.
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
    /// The engine's life.
    pub incarnation: Incarnation,
    /// The engine asks for no new work.
    pub leaving: bool,
    events: SseReader<Body>,
}

impl Running {
    /// The next event, or none at the end of the stream. Dropping the future loses nothing.
    ///
    /// # Errors
    ///
    /// See [`SseError`].
    pub async fn next(&mut self) -> Result<Option<SseEvent>, SseError> {
        self.events.next().await
    }
}

impl Run {
    /// Sends the request and waits for the head of the answer, however long that takes: a long
    /// prompt may wait and be prefilled before it. The caller bounds the wait.
    ///
    /// # Errors
    ///
    /// See [`RunError`].
    pub async fn send(self) -> Result<Running, RunError> {
        let stream = connect(self.address).await?;
        let attempt = self.attempt.to_string();
        let req = self.request(&attempt)?;
        let resp = async_h1::connect(stream, req).await.map_err(|_| RunError::Broken)?;
        accepted(resp, &attempt).await
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
        req.set_body(Parts::body(&self.body));
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

async fn accepted(mut resp: Response, attempt: &str) -> Result<Running, RunError> {
    let incarnation = header(&resp, ENGINE_INCARNATION).and_then(|text| text.parse().ok());
    let leaving = resp.header(LEAVING).is_some();
    match u16::from(resp.status()) {
        200 => {}
        429 | 503 => return Err(RunError::Rejected(Rejection { incarnation, leaving })),
        status @ 400..=499 => {
            let body = refusal(resp.take_body()).await;
            return Err(RunError::Final(FinalAnswer { status, body }));
        }
        _ => return Err(RunError::EndpointError),
    }
    // Guards against answers crossed on the way: one that echoes another attempt belongs to
    // somebody else, and nothing of it may reach this caller.
    if header(&resp, ATTEMPT) != Some(attempt) {
        return Err(RunError::BadAnswer);
    }
    let incarnation = incarnation.ok_or(RunError::BadAnswer)?;
    Ok(Running { incarnation, leaving, events: SseReader::new(resp.take_body()) })
}

async fn refusal(body: Body) -> Bytes {
    let mut text = Vec::new();
    let mut body = body.take(MAX_REFUSAL);
    let read = async {
        // A refusal that breaks off is passed on as far as it came.
        body.read_to_end(&mut text).await.ok();
    };
    let limit = async {
        Timer::after(REFUSAL_TIMEOUT).await;
    };
    read.or(limit).await;
    text.into()
}

fn header<'a>(resp: &'a Response, name: &str) -> Option<&'a str> {
    resp.header(name).map(|values| values.last().as_str())
}
