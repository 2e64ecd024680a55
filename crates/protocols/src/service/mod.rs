//! Plain services: calls are passed through. Servers report their load at `GET /service/load` as
//! [`crate::engine::wire::Load`].

pub mod http;

use std::{fmt, future::Future, time::Duration};

use bytes::Bytes;
use http_types::Method;

use crate::engine::wire::Load;

/// A call to a server of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// The HTTP method.
    pub method: Method,
    /// Path and query, beginning with `/`.
    pub path: String,
    /// The caller's headers that are passed on.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Bytes,
    /// Timeout of the complete call.
    pub timeout: Duration,
}

/// An HTTP header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Its name in lower case.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// The complete response of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The `content-type`, if any.
    pub content_type: Option<String>,
    /// Further headers that are passed on to callers, see [`http::FORWARDED_RESPONSE_HEADERS`].
    pub headers: Vec<Header>,
    /// Whether the server asks for no new work.
    pub leaving: bool,
    /// The body.
    pub body: Bytes,
}

/// Room for answers in the caller's memory.
pub trait AnswerRoom: Sync {
    /// Keeps the room until it is dropped.
    type Permit: Send + Sync + 'static;

    /// Waits for room for `len` bytes.
    fn acquire(&self, len: usize) -> impl Future<Output = Self::Permit> + Send;
}

/// Room without bounds.
#[derive(Debug, Clone, Copy)]
pub struct Unbounded;

impl AnswerRoom for Unbounded {
    type Permit = ();

    async fn acquire(&self, _: usize) {}
}

/// Why a call has no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceError {
    /// No connection: nothing was sent.
    NotSent,
    /// The connection broke after something may have been sent.
    Broken,
    /// The timeout expired after something may have been sent.
    Silent,
    /// The response is invalid or incomplete.
    BadAnswer,
    /// The response has come, and there was no room for it.
    NoRoom,
}

impl fmt::Display for ServiceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ServiceError::NotSent => "the server can't be reached",
            ServiceError::Broken => "the connection to the server broke",
            ServiceError::Silent => "the server gave no answer in time",
            ServiceError::BadAnswer => "the server's answer can't be read",
            ServiceError::NoRoom => "there is no room for the server's answer",
        })
    }
}

impl std::error::Error for ServiceError {}

/// One server of a plain service.
pub trait Service: Send + Sync {
    /// Queries its load report.
    fn load(&self) -> impl Future<Output = Result<Load, ServiceError>> + Send;

    /// Makes a call over a new connection: a pooled one may have gone silent, and a call on it
    /// would count as one that may have run although it never arrived.
    fn call(
        &self,
        call: ServiceCall,
    ) -> impl Future<Output = Result<ServiceAnswer, ServiceError>> + Send;
}
