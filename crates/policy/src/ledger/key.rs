//! Idempotency keys of calls that may not be repeated.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{EndpointGroup, Workspace};

/// Limit on the length of an `Idempotency-Key`. Typical keys are UUIDs; every instance retains
/// every key for a day.
pub const MAX_KEY_BYTES: usize = 128;

/// Why an `Idempotency-Key` is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// The header has no value.
    Empty,
    /// The value is longer than [`MAX_KEY_BYTES`].
    TooLong,
    /// The value contains characters other than printable ASCII.
    BadCharacter,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeyError::Empty => write!(f, "the Idempotency-Key is empty"),
            KeyError::TooLong => {
                write!(f, "the Idempotency-Key is longer than {MAX_KEY_BYTES} bytes")
            }
            KeyError::BadCharacter => {
                write!(f, "the Idempotency-Key holds more than printable ASCII characters")
            }
        }
    }
}

impl std::error::Error for KeyError {}

/// Identifies a call. The same `Idempotency-Key` in two workspaces, or for two services of one
/// workspace, identifies different calls.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallKey {
    /// The caller's workspace.
    pub workspace: Workspace,
    /// The endpoint group of the called service.
    pub group: EndpointGroup,
    /// The value of the `Idempotency-Key` header.
    pub text: String,
}

impl CallKey {
    /// Validates a key sent by a caller.
    ///
    /// # Errors
    ///
    /// See [`KeyError`].
    pub fn new(workspace: Workspace, group: EndpointGroup, text: &str) -> Result<Self, KeyError> {
        if text.is_empty() {
            return Err(KeyError::Empty);
        }
        if text.len() > MAX_KEY_BYTES {
            return Err(KeyError::TooLong);
        }
        if !text.bytes().all(|c| c.is_ascii_graphic() || c == b' ') {
            return Err(KeyError::BadCharacter);
        }
        Ok(CallKey { workspace, group, text: text.to_owned() })
    }

    /// When the key was generated, in milliseconds since the Unix epoch. Only a UUIDv7 contains its
    /// time.
    pub fn created_at_ms(&self) -> Option<u64> {
        let uuid = Uuid::try_parse(&self.text).ok()?;
        if uuid.get_version_num() != 7 {
            return None;
        }
        let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
        Some(seconds.saturating_mul(1_000).saturating_add(u64::from(nanos) / 1_000_000))
    }

    /// Checks the key's own timestamp, if it has one, against the retention window.
    pub fn check_age(&self, window: Duration, now_ms: u64) -> KeyAge {
        let Some(made) = self.created_at_ms() else { return KeyAge::Usable };
        let window = millis(window);
        if made.saturating_add(window) < now_ms {
            return KeyAge::TooOld;
        }
        if made > now_ms.saturating_add(millis(MAX_CLOCK_SKEW)) {
            return KeyAge::FromTheFuture;
        }
        KeyAge::Usable
    }
}

impl fmt::Display for CallKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.workspace, self.group, self.text)
    }
}

/// How far a caller's clock may be ahead. A key from further ahead would outlive its ledger entry
/// and could then be claimed a second time.
pub(super) const MAX_CLOCK_SKEW: Duration = Duration::from_secs(300);

/// Result of comparing a key's timestamp with the retention window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyAge {
    /// The key is within the window or has no timestamp.
    Usable,
    /// The key is older than the window: its ledger entry may have expired, so the call may not
    /// run.
    TooOld,
    /// The key's timestamp is in the future by more than the allowed clock skew.
    FromTheFuture,
}

pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
