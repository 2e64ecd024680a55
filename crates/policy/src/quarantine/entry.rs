//! What instances tell each other about suspects and refused fingerprints.

use serde::{Deserialize, Serialize};

use super::table::DeathId;
use crate::Fingerprint;

/// What an instance knows of a fingerprint, as sent to other instances. Times are relative, because
/// the instances' clocks aren't synchronised.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Deaths of endpoints at which it was running.
    pub deaths: Vec<DeathReport>,
    /// What follows from them.
    pub status: EntryStatus,
}

/// A death at which a fingerprint was running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeathReport {
    /// Which endpoint died.
    pub id: DeathId,
    /// Milliseconds since then.
    pub age_ms: u64,
    /// No other suspect ran there.
    pub ran_isolated: bool,
}

/// Status of a fingerprint at the sender of an [`Entry`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryStatus {
    /// It may have caused the deaths.
    Suspect,
    /// It caused them and is refused.
    Refused {
        /// Remaining milliseconds of the refusal.
        left_ms: u64,
        /// Milliseconds since it was confirmed.
        age_ms: u64,
    },
    /// It ran to its end after the deaths and hasn't caused them.
    Cleared {
        /// Milliseconds since then.
        age_ms: u64,
    },
}
