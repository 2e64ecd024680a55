//! Batches to append to the ledger stream, and their handling while the log fails.

use std::mem;

use policy::{
    Offset, Time,
    ledger::{Batch, ClaimId, ClaimantState, Entry},
};
use smol::channel::Sender;

use super::state::{State, is_claim_of};

/// Limit on the entries of one append. A claim takes about 300 bytes.
const MAX_BATCH_ENTRIES: usize = 1_000;

/// Kind of a failed append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AppendFailure {
    /// The log's rate limit is reached; nothing was appended.
    Busy,
    /// The log refused or didn't receive the append; nothing was appended.
    Refused,
    /// The batch may have been appended.
    Ambiguous,
}

/// The batch whose append is in flight.
pub(super) struct InFlight {
    pub(super) batch: Batch,
    /// Whether one of its appends got no reply, so that the log may contain the batch.
    maybe_appended: bool,
}

impl State {
    /// The batch to append now: the one in flight, or a new one made of the queued entries. While
    /// the log fails, an empty batch serves as a probe.
    pub(super) fn batch(&mut self) -> Option<Batch> {
        if let Some(in_flight) = &self.in_flight {
            return Some(in_flight.batch.clone());
        }
        let failing = self.appends_failing_since.is_some() || self.busy_since.is_some();
        if self.queue.is_empty() && !failing {
            return None;
        }
        let rest = self.queue.split_off(self.queue.len().min(MAX_BATCH_ENTRIES));
        let entries = mem::replace(&mut self.queue, rest);
        self.sequence += 1;
        for (index, entry) in (0..).zip(&entries) {
            if let Entry::Claim(claim) = entry
                && let Some(call) = self.own_calls.get_mut(&claim.key)
            {
                call.id = Some(ClaimId { sequence: self.sequence, index });
            }
        }
        let batch = Batch { writer: self.writer.clone(), sequence: self.sequence, entries };
        self.in_flight = Some(InFlight { batch: batch.clone(), maybe_appended: false });
        Some(batch)
    }

    /// Whether nothing is queued or in flight.
    pub(super) fn is_flushed(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    /// Records that the log accepted the batch in flight.
    pub(super) fn appended(&mut self, sequence: u64, offset: Offset) {
        if self.in_flight.as_ref().is_some_and(|in_flight| in_flight.batch.sequence == sequence) {
            self.in_flight = None;
        }
        self.record_stream_end(Offset(offset.0 + 1));
        (self.appends_failing_since, self.busy_since) = (None, None);
    }

    /// Records a failed append. Returns the waiters of calls that are refused because the log has
    /// failed for too long.
    pub(super) fn append_failed(&mut self, failure: AppendFailure, now: Time) -> Vec<Sender<()>> {
        match failure {
            AppendFailure::Busy => self.busy_since.get_or_insert(now),
            _ => self.appends_failing_since.get_or_insert(now),
        };
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.maybe_appended |= failure == AppendFailure::Ambiguous;
        }
        if !self.is_down(now) {
            return Vec::new();
        }
        self.withdraw_batch();
        self.refuse_waiting_claims(now)
    }

    /// Returns the entries of a batch that certainly isn't in the log to the queue. Its sequence
    /// number isn't reused: an entry that refers to one of its claims would otherwise refer to a
    /// different claim.
    fn withdraw_batch(&mut self) {
        let Some(in_flight) = self.in_flight.take_if(|in_flight| !in_flight.maybe_appended) else {
            return;
        };
        let sequence = in_flight.batch.sequence;
        let mut entries = Vec::new();
        for (index, entry) in (0..).zip(in_flight.batch.entries) {
            let id = ClaimId { sequence, index };
            if let Entry::Claim(claim) = &entry {
                let call = self.own_calls.get_mut(&claim.key).filter(|call| call.id == Some(id));
                // A call that was abandoned in the meantime must not be claimed any more.
                let Some(call) = call else { continue };
                call.id = None;
            }
            entries.push(entry);
        }
        // No reader has seen these claims, so entries that end them aren't needed.
        self.queue.retain(|entry| !refers_to_batch(entry, sequence));
        entries.append(&mut self.queue);
        self.queue = entries;
    }

    /// Refuses the claims that wait for a log that is down. Claims of the append in flight are
    /// settled when that append ends.
    pub(super) fn refuse_waiting_claims(&mut self, now: Time) -> Vec<Sender<()>> {
        let appending = self.in_flight.as_ref().filter(|in_flight| !in_flight.maybe_appended);
        let appending = appending.map(|in_flight| in_flight.batch.sequence);
        let waiting = self.own_calls.iter().filter(|(_, call)| {
            let sequence = call.id.map(|id| id.sequence);
            call.claimant.state() == ClaimantState::Waiting
                && (sequence.is_none() || sequence != appending)
        });
        let keys: Vec<_> = waiting.map(|(key, call)| (key.clone(), call.id.is_some())).collect();
        let mut waiters = Vec::new();
        for (key, maybe_appended) in keys {
            if maybe_appended {
                // The log may contain this claim, and another one before it.
                waiters.extend(self.abandon(&key, now).1);
                continue;
            }
            self.queue.retain(|entry| !is_claim_of(entry, &key));
            if let Some(call) = self.own_calls.get_mut(&key) {
                call.refused = true;
            }
            waiters.extend(self.waiters.remove(&key).unwrap_or_default());
        }
        waiters
    }
}

/// Whether an entry ends a claim of the batch `sequence`.
fn refers_to_batch(entry: &Entry, sequence: u64) -> bool {
    match entry {
        Entry::Claim(_) => false,
        Entry::NotRun { claim, .. } | Entry::Done { claim, .. } | Entry::Unknown { claim, .. } => {
            claim.sequence == sequence
        }
    }
}
