//! What stands in a ledger stream. `docs/PROTOCOLS.md` describes the form on the wire.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{CallKey, KeyState};
use crate::{Fingerprint, Incarnation, InstanceId};

/// The largest body kept for callers that send again, in bytes. Confirmations of registrations and
/// holds are well below; a hundred claims a second with larger ones would fill the log.
pub const MAX_ANSWER_BODY_BYTES: usize = 16 << 10;

/// One life of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Writer {
    /// The instance.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
}

impl fmt::Display for Writer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.instance, self.incarnation)
    }
}

/// One append: all that an instance had to say while its last append was under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Batch {
    /// Who appends.
    pub writer: Writer,
    /// Rises by one with each batch of one writer. A batch whose answer was lost is appended
    /// again under its number; readers take the first and drop whatever comes later with this or
    /// a lower number.
    pub sequence: u64,
    /// What it says.
    pub entries: Vec<Entry>,
}

/// Names a claim: the batch it stands in and its place there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId {
    /// The writer's batch.
    pub sequence: u64,
    /// Counts from zero within the batch.
    pub index: u32,
}

/// A claim of the right to run a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// The call.
    pub key: CallKey,
    /// One more than the last attempt known to have been given up; counts from 1.
    pub attempt: u32,
    /// Hash of the call's body, by which another call under the same key is recognised.
    #[serde(with = "hex")]
    pub fingerprint: Fingerprint,
    /// Whether the endpoint answers a repeated key with its first answer.
    #[serde(default)]
    pub deduplicates: bool,
    /// How long the claimant goes on at most, in milliseconds from its append.
    pub patience_ms: u64,
}

/// The answer to a call, kept for callers that send it again.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The body's type.
    #[serde(default)]
    pub content_type: Option<String>,
    /// The body; absent where it is longer than [`MAX_ANSWER_BODY_BYTES`] or not UTF-8.
    pub body: Option<String>,
}

/// One entry of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// The writer wants to run a call.
    Claim(Claim),
    /// The writer has given its claim up before it sent a byte, and won't send any.
    NotRun {
        /// The call.
        key: CallKey,
        /// The claim.
        claim: ClaimId,
    },
    /// The call ran and this is its answer.
    Done {
        /// The call.
        key: CallKey,
        /// The claim.
        claim: ClaimId,
        /// The answer.
        answer: Answer,
    },
    /// Bytes were sent and no whole answer came.
    Unknown {
        /// The call.
        key: CallKey,
        /// The claim.
        claim: ClaimId,
    },
}

/// One part of a ledger's checkpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LedgerPart {
    /// Some of the keys.
    pub keys: Vec<(CallKey, KeyState)>,
    /// The writers, with their last batch and when it came. Only in the first part.
    pub writers: Vec<(Writer, u64, u64)>,
}

pub(super) mod hex {
    //! Fingerprints are 128 bits wide, wider than what JSON readers take as a number.

    use serde::{Deserialize, Deserializer, Serializer, de::Error as _};

    use crate::Fingerprint;

    pub(in super::super) fn serialize<S: Serializer>(
        fingerprint: &Fingerprint,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_str(fingerprint)
    }

    pub(in super::super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Fingerprint, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(D::Error::custom)
    }
}
