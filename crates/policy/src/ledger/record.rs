//! Records of a ledger stream. `docs/PROTOCOLS.md` describes their JSON form.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{CallKey, KeyState};
use crate::{Fingerprint, Incarnation, InstanceId};

/// Limit on an answer body that is stored for callers that repeat their call. Confirmations of
/// registrations and holds are much smaller; a hundred claims a second with larger bodies would
/// fill the log.
pub const MAX_ANSWER_BODY_BYTES: usize = 16 << 10;

/// One incarnation of an instance, as the author of batches.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Writer {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
}

impl fmt::Display for Writer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.instance, self.incarnation)
    }
}

/// One append: all entries that an instance queued while its previous append was in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Batch {
    /// The author of the batch.
    pub writer: Writer,
    /// Increases by one with each batch of a writer. If the reply to an append is lost, the batch
    /// is appended again with the same number; readers apply the first one and skip later batches
    /// with this or a lower number.
    pub sequence: u64,
    /// The entries in the order in which they are applied.
    pub entries: Vec<Entry>,
}

/// Identifies a claim of one writer by its batch and its index in that batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId {
    /// Sequence number of the batch.
    pub sequence: u64,
    /// Index of the entry in the batch, from zero.
    pub index: u32,
}

/// A claim of the exclusive right to run a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Key of the call.
    pub key: CallKey,
    /// One more than the last attempt that was abandoned; counts from 1.
    pub attempt: u32,
    /// Hash of the request body; detects the reuse of a key for a different call.
    #[serde(with = "hex")]
    pub fingerprint: Fingerprint,
    /// Whether the endpoint deduplicates: it answers a repeated key with its first answer.
    #[serde(default)]
    pub deduplicates: bool,
    /// How long after its append the claimant may still run the call, in milliseconds.
    pub patience_ms: u64,
}

/// The answer to a call, stored for callers that repeat it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    #[serde(default)]
    pub content_type: Option<String>,
    /// The body; absent if it is longer than [`MAX_ANSWER_BODY_BYTES`] or not UTF-8.
    pub body: Option<String>,
}

/// One entry of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// The writer claims the right to run a call.
    Claim(Claim),
    /// The writer abandoned its claim before sending any byte, and won't send any.
    NotRun {
        /// Key of the call.
        key: CallKey,
        /// The writer's claim that ended.
        claim: ClaimId,
    },
    /// The call ran and was answered.
    Done {
        /// Key of the call.
        key: CallKey,
        /// The writer's claim that ended.
        claim: ClaimId,
        /// What the endpoint answered.
        answer: Answer,
    },
    /// Bytes were sent and no complete answer arrived.
    Unknown {
        /// Key of the call.
        key: CallKey,
        /// The writer's claim that ended.
        claim: ClaimId,
    },
}

/// One part of a checkpoint of a ledger.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LedgerPart {
    /// A share of the keys, in order of expiry.
    pub keys: Vec<(CallKey, KeyState)>,
    /// Each writer with the sequence number of its last batch and the log's time of that batch in
    /// milliseconds. Only in the first part.
    pub writers: Vec<(Writer, u64, u64)>,
}

pub(super) mod hex {
    //! Fingerprints are 128 bits wide, more than JSON parsers support as a number, so they are
    //! written as hexadecimal text.

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
