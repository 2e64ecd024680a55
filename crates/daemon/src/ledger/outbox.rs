//! What an instance has to append: batches, and what happens to them while the log fails.

use std::mem;

use policy::{
    Offset, Time,
    ledger::{Batch, ClaimId, ClaimantState, Entry},
};
use smol::channel::Sender;

use super::state::{State, is_claim_of};

/// The most entries of one append. A claim takes about 300 bytes.
const MAX_BATCH_ENTRIES: usize = 1_000;

/// How an append failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AppendFailure {
    /// The log's rate is used up; nothing was appended.
    Busy,
    /// Nothing was appended.
    Refused,
    /// It may have been appended.
    Ambiguous,
}

/// A batch whose append is under way.
pub(super) struct InFlight {
    pub(super) batch: Batch,
    /// Whether one of its appends got no answer, so that it may stand in the log.
    maybe_appended: bool,
}

impl State {
    /// The batch to append now: the one under way, or a new one of what waits. While the log
    /// fails, an empty one serves as a probe.
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

    /// Whether there is nothing to append.
    pub(super) fn is_flushed(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    /// The log took the batch under way.
    pub(super) fn appended(&mut self, sequence: u64, offset: Offset) {
        if self.in_flight.as_ref().is_some_and(|known| known.batch.sequence == sequence) {
            self.in_flight = None;
        }
        self.record_stream_end(Offset(offset.0 + 1));
        (self.appends_failing_since, self.busy_since) = (None, None);
    }

    /// An append failed. Gives those whose calls are refused because the log has failed for too
    /// long.
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

    /// Takes back a batch that certainly isn't in the log. Its number isn't used again: a mark that
    /// names a claim of it would otherwise name another one.
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
                // A call that was given up in the meantime must not be claimed after all.
                let Some(call) = call else { continue };
                call.id = None;
            }
            entries.push(entry);
        }
        // Nobody has seen the claims, so nobody needs to hear that they were given up.
        self.queue.retain(|entry| !refers_to_batch(entry, sequence));
        entries.append(&mut self.queue);
        self.queue = entries;
    }

    /// Lets go of the claims that wait for a log that is down. What is being appended just now is
    /// left to the append's own end.
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
                // It may stand in the log, and another claim before it.
                waiters.extend(self.give_up(&key, now).1);
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

/// Whether an entry is the mark of a claim in the batch `sequence`.
fn refers_to_batch(entry: &Entry, sequence: u64) -> bool {
    match entry {
        Entry::Claim(_) => false,
        Entry::NotRun { claim, .. } | Entry::Done { claim, .. } | Entry::Unknown { claim, .. } => {
            claim.sequence == sequence
        }
    }
}
