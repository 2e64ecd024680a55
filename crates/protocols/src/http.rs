//! A small HTTP/1.1 client for calls with short responses.
//!
//! Every call opens a new connection. A pooled connection may have gone silent without notice, for
//! example because a middlebox dropped its state. A call on it would never arrive, but would count
//! as one that may have taken effect.

use std::{fmt, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Method, Request, Response, Url};
use serde::{Serialize, de::DeserializeOwned};
use smol::{Timer, net::TcpStream};

/// Maximum size of a response's body. Listings of 3,600 endpoints and pages of the log are smaller.
pub const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// An HTTP request with its timeout.
#[derive(Debug, Clone)]
pub struct HttpCall<'a> {
    /// The server's address.
    pub address: SocketAddr,
    /// The HTTP method.
    pub method: Method,
    /// Path and query, beginning with `/`.
    pub path: &'a str,
    /// Headers in addition to those that the client sets itself.
    pub headers: Vec<(&'a str, String)>,
    /// The body; none is sent if it is empty.
    pub body: Bytes,
    /// Timeout of connecting, sending and reading together.
    pub timeout: Duration,
}

impl<'a> HttpCall<'a> {
    /// Creates a `GET` request without further headers.
    pub fn get(address: SocketAddr, path: &'a str, timeout: Duration) -> HttpCall<'a> {
        let (headers, body) = (Vec::new(), Bytes::new());
        HttpCall { address, method: Method::Get, path, headers, body, timeout }
    }

    /// Creates a `POST` request with the given body.
    pub fn post(
        address: SocketAddr,
        path: &'a str,
        body: Bytes,
        timeout: Duration,
    ) -> HttpCall<'a> {
        HttpCall { address, method: Method::Post, path, headers: Vec::new(), body, timeout }
    }

    /// Creates a `POST` request with `content` as JSON.
    ///
    /// # Errors
    ///
    /// [`HttpError::Unreadable`] if `content` can't be serialised.
    pub fn post_json<T: Serialize>(
        address: SocketAddr,
        path: &'a str,
        content: &T,
        timeout: Duration,
    ) -> Result<HttpCall<'a>, HttpError> {
        let body = serde_json::to_vec(content).map_err(|_| HttpError::Unreadable)?;
        Ok(HttpCall::post(address, path, body.into(), timeout))
    }

    /// Sends the request and reads the complete response.
    ///
    /// # Errors
    ///
    /// [`HttpError`] if there is no complete response. A response of any status isn't an error.
    pub async fn send(self) -> Result<HttpAnswer, HttpError> {
        let timeout = self.timeout;
        let mut sent = false;
        let call = async { self.exchange(&mut sent).await };
        let limit = async {
            Timer::after(timeout).await;
            Err(HttpError::Silent)
        };
        match call.or(limit).await {
            // No data is sent before the connection is established.
            Err(HttpError::Silent) if !sent => Err(HttpError::NotSent),
            other => other,
        }
    }

    async fn exchange(self, sent: &mut bool) -> Result<HttpAnswer, HttpError> {
        let stream = TcpStream::connect(self.address).await.map_err(|_| HttpError::NotSent)?;
        stream.set_nodelay(true).map_err(|_| HttpError::NotSent)?;
        let req = self.request()?;
        *sent = true;
        let resp = async_h1::connect(stream, req).await.map_err(|_| HttpError::Broken)?;
        HttpAnswer::read(resp).await
    }

    fn request(self) -> Result<Request, HttpError> {
        let url = format!("http://{}{}", self.address, self.path);
        let url = Url::parse(&url).map_err(|_| HttpError::Unreadable)?;
        let mut req = Request::new(self.method, url);
        req.insert_header("connection", "close");
        for (name, value) in self.headers {
            req.insert_header(name, value);
        }
        if !self.body.is_empty() {
            req.set_body(&self.body[..]);
        }
        Ok(req)
    }
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct HttpAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// Whether the response has an `x-leaving` header.
    pub leaving: bool,
    /// The `Retry-After` header, if it is given in seconds.
    pub retry_after: Option<Duration>,
    /// The complete body.
    pub body: Bytes,
}

impl HttpAnswer {
    /// Whether the status is from 200 to 299.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// [`HttpError::Unreadable`] if it can't be parsed as `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HttpError> {
        serde_json::from_slice(&self.body).map_err(|_| HttpError::Unreadable)
    }

    async fn read(mut resp: Response) -> Result<HttpAnswer, HttpError> {
        let status = u16::from(resp.status());
        let leaving = resp.header(crate::engine::wire::LEAVING).is_some();
        let retry_after = resp
            .header("retry-after")
            .and_then(|values| values.last().as_str().parse().ok())
            .map(Duration::from_secs);
        let expected = resp.len();
        let mut body = Vec::new();
        let mut limited = resp.take_body().take(MAX_ANSWER_BYTES + 1);
        limited.read_to_end(&mut body).await.map_err(|_: io::Error| HttpError::Broken)?;
        if body.len() as u64 > MAX_ANSWER_BYTES {
            return Err(HttpError::TooLong);
        }
        // If the connection breaks within the body, the reader ends without an error; only the
        // stated length shows that the response is incomplete.
        if expected.is_some_and(|expected| expected != body.len()) {
            return Err(HttpError::Broken);
        }
        Ok(HttpAnswer { status, leaving, retry_after, body: body.into() })
    }
}

/// Why there is no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpError {
    /// No connection: nothing was sent.
    NotSent,
    /// The connection broke after something may have been sent.
    Broken,
    /// The timeout expired after something may have been sent.
    Silent,
    /// The response's body is longer than [`MAX_ANSWER_BYTES`].
    TooLong,
    /// The content can't be parsed or serialised.
    Unreadable,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HttpError::NotSent => "no connection could be made",
            HttpError::Broken => "the connection broke before the whole answer came",
            HttpError::Silent => "no answer came in time",
            HttpError::TooLong => "the answer is too long",
            HttpError::Unreadable => "the content can't be read",
        })
    }
}

impl std::error::Error for HttpError {}
