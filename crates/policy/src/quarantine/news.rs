//! What the other instances have to be told about suspects and refused fingerprints.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::table::DeathId;
use crate::{Fingerprint, Time};

/// Pauses after the first and the second time that an entry is sent. Datagrams are lost in bursts
/// of some hundred milliseconds.
const REPEAT_PAUSES: [Duration; 2] = [Duration::from_millis(300), Duration::from_millis(900)];

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

/// Fingerprints of which the other instances haven't been told often enough.
#[derive(Debug, Default)]
pub(super) struct News(IndexMap<Fingerprint, Announcement>);

#[derive(Debug, Clone, Copy)]
struct Announcement {
    times_sent: usize,
    due_at: Time,
}

impl News {
    pub(super) fn add(&mut self, fingerprint: Fingerprint, now: Time) {
        self.0.insert(fingerprint, Announcement { times_sent: 0, due_at: now });
    }

    /// Takes the fingerprints that have to be sent now.
    pub(super) fn take_due(&mut self, now: Time) -> Vec<Fingerprint> {
        let mut due = Vec::new();
        self.0.retain(|fingerprint, announcement| {
            if now < announcement.due_at {
                return true;
            }
            due.push(*fingerprint);
            let pause = REPEAT_PAUSES.get(announcement.times_sent);
            announcement.times_sent += 1;
            announcement.due_at = now + pause.copied().unwrap_or_default();
            pause.is_some()
        });
        due
    }
}
