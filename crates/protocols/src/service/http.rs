//! HTTP client of plain services.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use bytes::Bytes;
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Request, Response, Url};
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

/// Free space in which the end of a body is read. Without it the buffer would be doubled for that.
const END_READ_BYTES: usize = 64;

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
        let sent = AtomicBool::new(false);
        let timeout = call.timeout;
        let limit = async {
            Timer::after(timeout).await;
            // No data is sent before the connection is established.
            Err(match sent.load(Ordering::Relaxed) {
                true => ServiceError::Silent,
                false => ServiceError::NotSent,
            })
        };
        self.exchange(call, &sent, may_send, room).or(limit).await
    }

    async fn exchange(
        &self,
        call: ServiceCall,
        sent: &AtomicBool,
        may_send: impl Fn() -> bool + Send + Sync,
        room: &impl AnswerRoom,
    ) -> Result<ServiceAnswer, ServiceError> {
        let stream = connect(self.address).await.map_err(|_| ServiceError::NotSent)?;
        let req = request(self.address, call)?;
        if !may_send() {
            return Err(ServiceError::NotSent);
        }
        sent.store(true, Ordering::Relaxed);
        let resp = async_h1::connect(stream, req).await.map_err(|_| ServiceError::Broken)?;
        read(resp, room).await
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

async fn read(mut resp: Response, room: &impl AnswerRoom) -> Result<ServiceAnswer, ServiceError> {
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
    let permit = match expected {
        Some(len) => Some(room.acquire(len).await),
        None => None,
    };
    let mut body = Vec::with_capacity(expected.map_or(0, |len| len + END_READ_BYTES));
    let mut limited = resp.take_body().take(MAX_ANSWER_BYTES + 1);
    limited.read_to_end(&mut body).await.map_err(|_| ServiceError::Broken)?;
    if body.len() as u64 > MAX_ANSWER_BYTES {
        return Err(ServiceError::BadAnswer);
    }
    if expected.is_some_and(|expected| expected != body.len()) {
        return Err(ServiceError::Broken);
    }
    let permit = match permit {
        Some(permit) => permit,
        None => room.acquire(body.len()).await,
    };
    let body = Bytes::from_owner(RoomedBody { body, _permit: permit });
    Ok(ServiceAnswer { status, content_type, headers, leaving, body })
}

/// A body that keeps its room as long as any part of it is in memory.
struct RoomedBody<P> {
    body: Vec<u8>,
    _permit: P,
}

impl<P> AsRef<[u8]> for RoomedBody<P> {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
