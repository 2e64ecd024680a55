//! The log service over HTTP; `docs/PROTOCOLS.md` describes the messages.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use serde::Deserialize;

use super::{Log, LogError, Offset, Page};
use crate::http::{HttpAnswer, HttpCall, HttpError};

/// Timeout of an append. The log responds within milliseconds. A request that waits for its claim
/// has a deadline of seconds, so a silent connection has to be detected well before that.
const APPEND_TIMEOUT: Duration = Duration::from_secs(1);
/// How much longer than the requested wait a read may take.
const READ_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// Client of the log service. Each call opens a new connection, so that a connection that goes
/// silent affects only one call.
#[derive(Debug, Clone, Copy)]
pub struct HttpLog {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

impl HttpLog {
    /// Creates a client of the log service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        HttpLog { address }
    }
}

impl Log for HttpLog {
    async fn append(&self, stream: &str, data: Bytes) -> Result<Offset, LogError> {
        let path = format!("/streams/{stream}/records");
        let answer = HttpCall::post(self.address, &path, data, APPEND_TIMEOUT).send().await;
        let answer = check(answer)?;
        let appended: Appended = answer.json().map_err(|_| LogError::BadAnswer)?;
        Ok(appended.offset)
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<Page, LogError> {
        let wait_ms = wait.as_millis();
        let path = format!("/streams/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}");
        let answer = HttpCall::get(self.address, &path, wait + READ_TIMEOUT_MARGIN).send().await;
        check(answer)?.json().map_err(|_| LogError::BadAnswer)
    }
}

/// Maps failures to errors. Status 503 and 429 guarantee that nothing was appended; other failures
/// guarantee nothing.
fn check(answer: Result<HttpAnswer, HttpError>) -> Result<HttpAnswer, LogError> {
    let answer = match answer {
        Ok(answer) => answer,
        Err(HttpError::NotSent) => return Err(LogError::NotSent),
        Err(HttpError::Broken | HttpError::Silent) => return Err(LogError::Unknown),
        Err(HttpError::TooLong | HttpError::Unreadable) => return Err(LogError::BadAnswer),
    };
    match answer.status {
        503 => Err(LogError::Refused),
        429 => Err(LogError::Busy),
        _ if answer.is_success() => Ok(answer),
        _ => Err(LogError::BadAnswer),
    }
}
