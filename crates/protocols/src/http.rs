//! A small HTTP/1.1 client for calls with short answers.
//!
//! Every call opens its own connection. A kept one could have gone silent unnoticed (something
//! between the two ends has lost track of it), and a call on it would look like one that may have
//! taken effect although it never arrived.

use std::{fmt, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Method, Request, Response, Url};
use serde::{Serialize, de::DeserializeOwned};
use smol::{Timer, net::TcpStream};

/// The longest answer that is read. Listings of 3,600 endpoints and pages of the log stay below.
pub const MAX_ANSWER: u64 = 16 << 20;

/// One call.
#[derive(Debug, Clone)]
pub struct HttpCall<'a> {
    /// Who is called.
    pub address: SocketAddr,
    /// The method.
    pub method: Method,
    /// Path and query, beginning with `/`.
    pub path: &'a str,
    /// Headers besides those of the transport.
    pub headers: Vec<(&'a str, String)>,
    /// The body; none where empty.
    pub body: Bytes,
    /// How long connecting, sending and reading may take together.
    pub timeout: Duration,
}

impl<'a> HttpCall<'a> {
    /// A `GET` without headers.
    pub fn get(address: SocketAddr, path: &'a str, timeout: Duration) -> HttpCall<'a> {
        let (headers, body) = (Vec::new(), Bytes::new());
        HttpCall { address, method: Method::Get, path, headers, body, timeout }
    }

    /// A `POST` of raw bytes.
    pub fn post(
        address: SocketAddr,
        path: &'a str,
        body: Bytes,
        timeout: Duration,
    ) -> HttpCall<'a> {
        HttpCall { address, method: Method::Post, path, headers: Vec::new(), body, timeout }
    }

    /// A `POST` of JSON.
    ///
    /// # Errors
    ///
    /// [`HttpError::Unreadable`] where `content` can't be written as JSON.
    pub fn post_json<T: Serialize>(
        address: SocketAddr,
        path: &'a str,
        content: &T,
        timeout: Duration,
    ) -> Result<HttpCall<'a>, HttpError> {
        let body = serde_json::to_vec(content).map_err(|_| HttpError::Unreadable)?;
        Ok(HttpCall::post(address, path, body.into(), timeout))
    }

    /// Makes the call.
    ///
    /// # Errors
    ///
    /// See [`HttpError`]; a status of any kind is an answer and not an error.
    pub async fn send(self) -> Result<HttpAnswer, HttpError> {
        let timeout = self.timeout;
        let mut sent = false;
        let call = async { self.exchange(&mut sent).await };
        let limit = async {
            Timer::after(timeout).await;
            Err(HttpError::Silent)
        };
        match call.or(limit).await {
            // Nothing left this process before the connection stood.
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

/// An answer, read to its end.
#[derive(Debug, Clone)]
pub struct HttpAnswer {
    /// The status code.
    pub status: u16,
    /// Its `x-leaving` header.
    pub leaving: bool,
    /// Its `Retry-After` header, in seconds.
    pub retry_after: Option<Duration>,
    /// The body.
    pub body: Bytes,
}

impl HttpAnswer {
    /// Whether the status is one of success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// [`HttpError::Unreadable`] where it isn't JSON of this shape.
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
        let mut limited = resp.take_body().take(MAX_ANSWER + 1);
        limited.read_to_end(&mut body).await.map_err(|_: io::Error| HttpError::Broken)?;
        if body.len() as u64 > MAX_ANSWER {
            return Err(HttpError::TooLong);
        }
        // A connection that breaks in mid-body ends the reader without an error; only the stated
        // length shows that the answer isn't whole.
        if expected.is_some_and(|expected| expected != body.len()) {
            return Err(HttpError::Broken);
        }
        Ok(HttpAnswer { status, leaving, retry_after, body: body.into() })
    }
}

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpError {
    /// No connection: nothing was sent.
    NotSent,
    /// The connection broke after something may have been sent.
    Broken,
    /// No answer in time after something may have been sent.
    Silent,
    /// The answer is longer than [`MAX_ANSWER`].
    TooLong,
    /// The content can't be read or written.
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
