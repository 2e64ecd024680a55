//! Plain services: calls are passed through; load is reported at `GET /service/load` in the shape
//! of [`crate::engine::wire::Load`].

pub mod http;

use std::{fmt, future::Future, time::Duration};

use bytes::Bytes;
use http_types::Method;

use crate::engine::wire::Load;

/// One call to a server of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// The method.
    pub method: Method,
    /// Path and query, beginning with `/`.
    pub path: String,
    /// Headers that are passed on.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Bytes,
    /// How long the whole call may take.
    pub timeout: Duration,
}

/// One header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Its name in small letters.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// The whole answer of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// The status.
    pub status: u16,
    /// The `content-type`, if any.
    pub content_type: Option<String>,
    /// Further headers that callers get, see [`http::PASSED_BACK`].
    pub headers: Vec<Header>,
    /// The server asks for no new work.
    pub leaving: bool,
    /// The body.
    pub body: Bytes,
}

/// Why a call gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceError {
    /// No connection: nothing was sent.
    NotSent,
    /// The connection broke after something may have been sent.
    Broken,
    /// No answer in time after something may have been sent.
    Silent,
    /// The answer can't be read or isn't whole.
    BadAnswer,
}

impl fmt::Display for ServiceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ServiceError::NotSent => "the server can't be reached",
            ServiceError::Broken => "the connection to the server broke",
            ServiceError::Silent => "the server gave no answer in time",
            ServiceError::BadAnswer => "the server's answer can't be read",
        })
    }
}

impl std::error::Error for ServiceError {}

/// One server of a plain service.
pub trait Service: Send + Sync {
    /// Its own load report.
    fn load(&self) -> impl Future<Output = Result<Load, ServiceError>> + Send;

    /// Makes a call on a connection of its own: on a kept one that has gone silent, a call would
    /// look like one that may have run although it never arrived.
    fn call(
        &self,
        call: ServiceCall,
    ) -> impl Future<Output = Result<ServiceAnswer, ServiceError>> + Send;
}
