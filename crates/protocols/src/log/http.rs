//! The log service over HTTP; `docs/PROTOCOLS.md` describes the messages.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use serde::Deserialize;

use super::{Log, LogError, Offset, Page};
use crate::http::{HttpAnswer, HttpCall, HttpError};

/// How long an append may take. The log answers within milliseconds; whoever waits for a claim has
/// a deadline of seconds, so that a silent connection has to be noticed well within it.
const APPEND_TIMEOUT: Duration = Duration::from_secs(1);
/// How much longer than the asked wait a read may take.
const READ_MARGIN: Duration = Duration::from_secs(1);

/// The log service at one address. Each call takes a fresh connection, so that a connection that
/// went silent costs one call and not the stream.
#[derive(Debug, Clone, Copy)]
pub struct HttpLog {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

impl HttpLog {
    /// The log service at `address`.
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
        let answer = HttpCall::get(self.address, &path, wait + READ_MARGIN).send().await;
        check(answer)?.json().map_err(|_| LogError::BadAnswer)
    }
}

/// 503 and 429 promise that nothing was appended; any other failure promises nothing.
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
