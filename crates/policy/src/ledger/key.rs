//! The keys of calls that may not be repeated.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{EndpointGroup, Workspace};

/// The longest `Idempotency-Key`, in bytes. Customary keys are UUIDs; every instance keeps every
/// key for a day.
pub const MAX_KEY_BYTES: usize = 128;

/// Why a text can't be an `Idempotency-Key`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// The text is empty.
    Empty,
    /// The text is longer than [`MAX_KEY_BYTES`].
    TooLong,
    /// The text holds something besides printable ASCII.
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

/// A call's key. Two workspaces may choose the same text without meeting each other, and so may
/// one workspace towards two services.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallKey {
    /// Whose call.
    pub workspace: Workspace,
    /// The service that it is for.
    pub group: EndpointGroup,
    /// The text of `Idempotency-Key`.
    pub text: String,
}

impl CallKey {
    /// A key as a caller sent it.
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

    /// When the key was made, where it is a UUIDv7 and therefore says so.
    pub fn created_at_ms(&self) -> Option<u64> {
        let uuid = Uuid::try_parse(&self.text).ok()?;
        if uuid.get_version_num() != 7 {
            return None;
        }
        let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
        Some(seconds.saturating_mul(1_000).saturating_add(u64::from(nanos) / 1_000_000))
    }

    /// Whether the key may still be claimed at `now_ms`, by its own time.
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

/// How far a caller's clock may run ahead. A key from further ahead would outlive what is
/// remembered of it, and could then be claimed a second time.
pub(super) const MAX_CLOCK_SKEW: Duration = Duration::from_secs(300);

/// Whether a key fits the window in which keys are remembered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyAge {
    /// It fits, or doesn't tell its time.
    Usable,
    /// Older than the window: what became of it may be forgotten, so it may not run.
    TooOld,
    /// Made later than now by more than clocks differ.
    FromTheFuture,
}

pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
