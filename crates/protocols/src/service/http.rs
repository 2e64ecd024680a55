//! HTTP client of plain services.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use bytes::Bytes;
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Body, Request, Response, Url};
use smol::Timer;

use crate::{
    body::BodyParts,
    engine::{
        run::connect,
        wire::{LEAVING, Load},
    },
    http::{HttpCall, HttpError},
    service::{AnswerRoom, Header, Service, ServiceAnswer, ServiceCall, ServiceError, Unbounded},
};

/// Timeout of a load report; the same as for engines.
const LOAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a response's body. It is buffered completely before it is passed on, because
/// only then is it known to be complete.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Bytes of a body that are read at once.
const READ_BYTES: usize = 16 << 10;

/// Copies of a buffer that moves as it grows.
const MOVED_COPIES: usize = 2;

/// How long a body without a stated length waits for room to grow. Bodies that have come in part
/// would otherwise wait for each other.
const GROWTH_TIMEOUT: Duration = Duration::from_millis(500);

/// Bytes by which the buffer of a body without a stated length grows.
const GROWTH_BYTES: usize = 256 << 10;

/// Response headers that are passed on to callers in addition to the media type. Others concern
/// only the connection.
pub const FORWARDED_RESPONSE_HEADERS: [&str; 6] =
    ["cache-control", "content-language", "etag", "last-modified", "location", "retry-after"];

/// Client of one server of a plain service.
#[derive(Debug, Clone, Copy)]
pub struct HttpService {
    address: SocketAddr,
}

impl HttpService {
    /// Creates a client of the server at `address`.
    pub fn new(address: SocketAddr) -> Self {
        HttpService { address }
    }

    /// Makes a call, unless `may_send` returns false. It is checked when the connection is
    /// established, right before the first byte is sent; the error is then
    /// [`ServiceError::NotSent`]. The connection is always a new one: a pooled one may have gone
    /// silent, and the outcome of a call on it would be unknown although it never arrived.
    pub async fn call_if(
        &self,
        call: ServiceCall,
        may_send: impl Fn() -> bool + Send + Sync,
        room: &impl AnswerRoom,
    ) -> Result<ServiceAnswer, ServiceError> {
        let progress = Progress::default();
        let timeout = call.timeout;
        let limit = async {
            Timer::after(timeout).await;
            Err(progress.timeout_error())
        };
        self.exchange(call, &progress, may_send, room).or(limit).await
    }

    async fn exchange(
        &self,
        call: ServiceCall,
        progress: &Progress,
        may_send: impl Fn() -> bool + Send + Sync,
        room: &impl AnswerRoom,
    ) -> Result<ServiceAnswer, ServiceError> {
        let stream = connect(self.address).await.map_err(|_| ServiceError::NotSent)?;
        let req = request(self.address, call)?;
        if !may_send() {
            return Err(ServiceError::NotSent);
        }
        progress.is_sent.store(true, Ordering::Relaxed);
        let resp = async_h1::connect(stream, req).await.map_err(|_| ServiceError::Broken)?;
        read(resp, room, progress).await
    }
}

/// How far a call has come when its time ends.
#[derive(Debug, Default)]
struct Progress {
    /// No data is sent before the connection is established.
    is_sent: AtomicBool,
    /// The answer has come, and there is no room for it.
    waits_for_room: AtomicBool,
}

impl Progress {
    fn timeout_error(&self) -> ServiceError {
        if self.waits_for_room.load(Ordering::Relaxed) {
            return ServiceError::NoRoom;
        }
        match self.is_sent.load(Ordering::Relaxed) {
            true => ServiceError::Silent,
            false => ServiceError::NotSent,
        }
    }

    async fn acquire<R: AnswerRoom>(&self, room: &R, len: usize) -> R::Permit {
        self.waits_for_room.store(true, Ordering::Relaxed);
        let permit = room.acquire(len).await;
        self.waits_for_room.store(false, Ordering::Relaxed);
        permit
    }
}

impl Service for HttpService {
    async fn load(&self) -> Result<Load, ServiceError> {
        let answer = HttpCall::get(self.address, "/service/load", LOAD_TIMEOUT).send().await;
        let answer = answer.map_err(|e| match e {
            HttpError::NotSent => ServiceError::NotSent,
            HttpError::Broken => ServiceError::Broken,
            HttpError::Silent => ServiceError::Silent,
            HttpError::TooLong | HttpError::Unreadable => ServiceError::BadAnswer,
        })?;
        answer.json().map_err(|_| ServiceError::BadAnswer)
    }

    async fn call(&self, call: ServiceCall) -> Result<ServiceAnswer, ServiceError> {
        self.call_if(call, || true, &Unbounded).await
    }
}

fn request(address: SocketAddr, call: ServiceCall) -> Result<Request, ServiceError> {
    let url = format!("http://{address}{}", call.path);
    let url = Url::parse(&url).map_err(|_| ServiceError::NotSent)?;
    let mut req = Request::new(call.method, url);
    req.set_body(BodyParts::body(&[call.body]));
    for header in call.headers {
        req.insert_header(header.name.as_str(), header.value);
    }
    req.insert_header("connection", "close");
    Ok(req)
}

async fn read(
    mut resp: Response,
    room: &impl AnswerRoom,
    progress: &Progress,
) -> Result<ServiceAnswer, ServiceError> {
    let status = u16::from(resp.status());
    // A response without a stated length ends with the connection, so a truncated one can't be
    // detected; the HTTP library reads it as empty. Neither may be passed on to a caller.
    let stated =
        resp.header("content-length").is_some() || resp.header("transfer-encoding").is_some();
    if !stated && !matches!(status, 204 | 304) {
        return Err(ServiceError::BadAnswer);
    }
    let content_type = resp.header("content-type").map(|values| values.last().to_string());
    let headers = FORWARDED_RESPONSE_HEADERS.into_iter().filter_map(|name| {
        let value = resp.header(name)?.last().to_string();
        Some(Header { name: name.to_owned(), value })
    });
    let headers = headers.collect();
    let leaving = resp.header(LEAVING).is_some();
    let expected = resp.len();
    if expected.is_some_and(|expected| expected as u64 > MAX_ANSWER_BYTES) {
        return Err(ServiceError::BadAnswer);
    }
    let body = read_body(resp.take_body(), expected, room, progress).await?;
    if expected.is_some_and(|expected| expected != body.bytes.len()) {
        return Err(ServiceError::Broken);
    }
    Ok(ServiceAnswer { status, content_type, headers, leaving, body: Bytes::from_owner(body) })
}

/// Reads a body into a buffer that grows only after there is room for it.
async fn read_body<R: AnswerRoom>(
    mut body: Body,
    expected: Option<usize>,
    room: &R,
    progress: &Progress,
) -> Result<RoomedBody<R::Permit>, ServiceError> {
    let (mut bytes, mut permits) = (Vec::new(), Vec::new());
    if let Some(len) = expected {
        // Answers that have come in part would wait for each other.
        permits.push(progress.acquire(room, len).await);
        bytes.reserve_exact(len);
    }
    let mut part = vec![0; READ_BYTES];
    loop {
        let len = body.read(&mut part).await.map_err(|_| ServiceError::Broken)?;
        if len == 0 {
            return Ok(RoomedBody { bytes, _permits: permits });
        }
        if (bytes.len() + len) as u64 > MAX_ANSWER_BYTES {
            return Err(ServiceError::BadAnswer);
        }
        if bytes.len() + len > bytes.capacity() {
            let timed_out = async {
                Timer::after(GROWTH_TIMEOUT).await;
                Err(ServiceError::NoRoom)
            };
            let grown = async { Ok(progress.acquire(room, MOVED_COPIES * GROWTH_BYTES).await) };
            permits.push(grown.or(timed_out).await?);
            bytes.reserve_exact(GROWTH_BYTES);
        }
        bytes.extend_from_slice(&part[..len]);
    }
}

/// A body that keeps its room as long as any part of it is in memory.
struct RoomedBody<P> {
    bytes: Vec<u8>,
    _permits: Vec<P>,
}

impl<P> AsRef<[u8]> for RoomedBody<P> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
