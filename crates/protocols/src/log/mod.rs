//! The append-only log service. It accepts a few hundred appends per second, retains records for a
//! limited time, has outages, and may lose the response to an append that has taken effect.

pub mod http;

use std::{fmt, future::Future, time::Duration};

use bytes::Bytes;
pub use policy::Offset;
use serde::{Deserialize, Serialize};

/// A record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its position in the stream.
    pub offset: Offset,
    /// When the log accepted it, in milliseconds of the log's clock.
    pub time_ms: u64,
    /// Its content; UTF-8 on the wire.
    #[serde(with = "text")]
    pub data: Bytes,
}

mod text {
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer, de::Error as _, ser::Error as _};

    pub(super) fn serialize<S: Serializer>(data: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(std::str::from_utf8(data).map_err(S::Error::custom)?)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Bytes, D::Error> {
        String::deserialize(deserializer).map(Bytes::from).map_err(D::Error::custom)
    }
}

/// The result of a read: the records from the requested offset on, or from the first retained one
/// if that is later.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Offset of the first retained record.
    pub first: Offset,
    /// Offset to read from next.
    pub next: Offset,
    /// Offset after the last record of the stream.
    pub end: Offset,
    /// The records, in the order of their offsets.
    pub records: Vec<Record>,
}

/// Why a call to the log failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogError {
    /// No connection: nothing was sent.
    NotSent,
    /// The log refused the call (an outage); it had no effect.
    Refused,
    /// The log's append rate is exceeded; this append had no effect.
    Busy,
    /// No response: an append may have taken effect, or may do so later.
    Unknown,
    /// The response is invalid; an append may have taken effect.
    BadAnswer,
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LogError::NotSent => "the log service can't be reached",
            LogError::Refused => "the log service refused the call",
            LogError::Busy => "the log service takes no more appends for the moment",
            LogError::Unknown => {
                "the log service gave no answer, so an append may have taken effect"
            }
            LogError::BadAnswer => "the log service's answer can't be read",
        })
    }
}

impl std::error::Error for LogError {}

/// The log service.
pub trait Log: Send + Sync {
    /// Appends a record and returns its offset.
    fn append(
        &self,
        stream: &str,
        data: Bytes,
    ) -> impl Future<Output = Result<Offset, LogError>> + Send;

    /// Reads at most `max` records from offset `from` on, waiting up to `wait` for the first.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, LogError>> + Send;
}
