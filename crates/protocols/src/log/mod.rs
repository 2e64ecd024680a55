//! The append-only log service. It takes a few hundred appends a second, keeps records for a
//! limited time, has outages, and may lose an answer after the append has taken effect.

pub mod http;

use std::{fmt, future::Future, time::Duration};

use bytes::Bytes;
pub use policy::Offset;
use serde::{Deserialize, Serialize};

/// One record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its place.
    pub offset: Offset,
    /// When the log took it, in milliseconds of the log's clock.
    pub time_ms: u64,
    /// Its content.
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

/// What a read gives: the records from the asked offset, or from the first kept one where that is
/// later.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The first record still kept.
    pub first: Offset,
    /// Read from here next time.
    pub next: Offset,
    /// One past the last record of the stream.
    pub end: Offset,
    /// The records.
    pub records: Vec<Record>,
}

/// Why a call to the log failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogError {
    /// Nothing reached the log.
    NotSent,
    /// The log refused the call (an outage); it had no effect.
    Refused,
    /// The log takes no more appends for the moment; this one had no effect.
    Busy,
    /// No answer: an append may have taken effect, or may still do so.
    Unknown,
    /// The answer made no sense; an append may have taken effect.
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
    /// Appends one record and says where it stands.
    fn append(
        &self,
        stream: &str,
        data: Bytes,
    ) -> impl Future<Output = Result<Offset, LogError>> + Send;

    /// Reads from `from` on, at most `max` records, waiting up to `wait` for the first.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, LogError>> + Send;
}
