//! Folds the records of a ledger stream into the state of each key, identically on every instance.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{
    Answer, Batch, CallKey, Claim, ClaimId, Entry, KeyAge, LedgerPart, Writer,
    key::{MAX_CLOCK_SKEW, millis},
    record::hex,
};
use crate::{
    Fingerprint, Offset,
    replay::{Fold, LogPosition},
};

/// With answers of a few hundred bytes, a part of a checkpoint is about 100 KB.
const MAX_KEYS_PER_PART: usize = 200;
/// Limit on the answer bodies in one part of a checkpoint, so that large answers don't make it too
/// large for one record.
const MAX_BODY_BYTES_PER_PART: usize = 256 << 10;
/// Delay after a claim's end before another instance may take it over, if the endpoint
/// deduplicates. It covers the drift between the clocks of two machines during one call.
const TAKEOVER_MARGIN_MS: u64 = 5_000;

/// Interval at which expired writers are removed from memory, in milliseconds of the log's clock.
const WRITER_SWEEP_INTERVAL_MS: u64 = 60_000;

/// Limit on all retained answer bodies of one stream. Small instances have a few gigabytes of
/// memory. Beyond the limit the oldest bodies are dropped, and callers that repeat such a call only
/// learn that it ran.
pub const MAX_RETAINED_BODY_BYTES: usize = 256 << 20;

/// How long a ledger retains its keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetentionWindow(pub Duration);

/// Outcome of the current attempt, as recorded in the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// A claimant has the exclusive right to run the call and may be running it.
    Claimed,
    /// The claimant abandoned the call without running it; the next attempt may be claimed.
    NotRun,
    /// The call may have run; its outcome can't be determined.
    Unknown,
    /// The call ran and was answered.
    Done(Answer),
}

/// State of one key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyState {
    /// The current attempt; counts from 1.
    pub attempt: u32,
    /// The writer that holds the claim.
    pub writer: Writer,
    /// The claim that is valid for this attempt.
    pub claim: ClaimId,
    /// Offset of the claim in the stream; the fencing number of the call.
    pub offset: Offset,
    /// Hash of the call's body.
    #[serde(with = "hex")]
    pub fingerprint: Fingerprint,
    /// Whether the endpoint deduplicates: it answers a repeated key with its first answer.
    pub deduplicates: bool,
    /// Whether an earlier attempt may have run. Only set where the endpoint deduplicates.
    #[serde(default)]
    pub maybe_ran: bool,
    /// When the claimant's deadline ends, in milliseconds of the log's clock.
    pub ends_ms: u64,
    /// When the key is removed, in milliseconds of the log's clock.
    pub expires_ms: u64,
    /// Outcome of the current attempt.
    pub phase: Phase,
}

impl KeyState {
    /// Size of the retained answer body; zero if there is none.
    fn body_bytes(&self) -> usize {
        match &self.phase {
            Phase::Done(answer) => answer.body.as_ref().map_or(0, String::len),
            _ => 0,
        }
    }

    /// Whether `claim` of `writer` is the valid claim.
    pub fn is_held_by(&self, writer: &Writer, claim: ClaimId) -> bool {
        self.writer == *writer && self.claim == claim
    }

    /// The attempt that may be claimed at `now_ms`, if any.
    pub fn next_attempt(&self, deduplicates: bool, now_ms: u64) -> Option<u32> {
        let claimable = match self.phase {
            Phase::NotRun => true,
            Phase::Done(_) => false,
            // The endpoint ensures that the call takes effect only once.
            Phase::Unknown => self.deduplicates && deduplicates,
            Phase::Claimed => {
                let is_overdue = now_ms > self.ends_ms.saturating_add(TAKEOVER_MARGIN_MS);
                self.deduplicates && deduplicates && is_overdue
            }
        };
        claimable.then(|| self.attempt.saturating_add(1))
    }
}

/// The state of one ledger stream.
#[derive(Debug, Clone)]
pub struct Ledger {
    window: RetentionWindow,
    keys: HashMap<CallKey, KeyState>,
    /// Keys ordered by expiry time.
    expiry: BTreeSet<(u64, CallKey)>,
    /// Keys whose answer has a body, ordered by expiry time.
    bodies: BTreeSet<(u64, CallKey)>,
    retained_body_bytes: usize,
    /// Sequence number of each writer's last batch, and the log's time when it was appended.
    writers: HashMap<Writer, (u64, u64)>,
    now_ms: u64,
    swept_at_ms: u64,
}

impl Ledger {
    /// The state of `key`, or none if it was never claimed or has expired.
    pub fn key_state(&self, key: &CallKey) -> Option<&KeyState> {
        self.keys.get(key)
    }

    /// Number of retained keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is retained.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Time of the last entry, in milliseconds of the log's clock.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Sequence number of `writer`'s last applied batch, or zero if there is none.
    ///
    /// A writer that was silent for longer than the retention window counts as new. This is checked
    /// here and doesn't depend on when [`Ledger::expire`] last swept, so that all readers decide
    /// alike.
    pub fn sequence(&self, writer: &Writer) -> u64 {
        let oldest = self.oldest_retained_writer_ms();
        let last_batch =
            self.writers.get(writer).filter(|(_, last_batch_ms)| *last_batch_ms >= oldest);
        last_batch.map_or(0, |(sequence, _)| *sequence)
    }

    fn oldest_retained_writer_ms(&self) -> u64 {
        let retention_ms = millis(self.window.0).saturating_add(millis(MAX_CLOCK_SKEW));
        self.now_ms.saturating_sub(retention_ms)
    }

    fn apply_entry(
        &mut self,
        entry: Entry,
        writer: &Writer,
        id: ClaimId,
        position: LogPosition,
    ) -> Option<CallKey> {
        match entry {
            Entry::Claim(claim) => self.apply_claim(claim, writer, id, position),
            // This attempt didn't run, but an earlier one may have.
            Entry::NotRun { key, claim } => {
                self.transition(key, writer, claim, |key_state| match key_state.phase {
                    Phase::Claimed if key_state.maybe_ran => Some(Phase::Unknown),
                    Phase::Claimed => Some(Phase::NotRun),
                    _ => None,
                })
            }
            Entry::Unknown { key, claim } => {
                self.transition(key, writer, claim, |key_state| match key_state.phase {
                    Phase::Claimed => Some(Phase::Unknown),
                    _ => None,
                })
            }
            // An answer may still arrive after the claimant has reported an unknown outcome to its
            // caller. It is the first answer, and every later caller gets it.
            Entry::Done { key, claim, answer } => {
                self.transition(key, writer, claim, |key_state| match key_state.phase {
                    Phase::Claimed | Phase::Unknown => Some(Phase::Done(answer)),
                    Phase::NotRun | Phase::Done(_) => None,
                })
            }
        }
    }

    fn apply_claim(
        &mut self,
        claim: Claim,
        writer: &Writer,
        id: ClaimId,
        position: LogPosition,
    ) -> Option<CallKey> {
        // A claim that appears in the log after its key expired would be mistaken for the first
        // one.
        if claim.key.check_age(self.window.0, position.time_ms) != KeyAge::Usable {
            return None;
        }
        let mut maybe_ran = false;
        if let Some(key_state) = self.keys.get(&claim.key) {
            maybe_ran = key_state.maybe_ran || key_state.phase != Phase::NotRun;
            let next = key_state.next_attempt(claim.deduplicates, position.time_ms);
            if next != Some(claim.attempt) || key_state.fingerprint != claim.fingerprint {
                return None;
            }
            self.expiry.remove(&(key_state.expires_ms, claim.key.clone()));
        } else if claim.attempt != 1 {
            return None;
        }
        let created_at_ms = claim.key.created_at_ms().unwrap_or(0);
        let expires_ms = created_at_ms.max(position.time_ms).saturating_add(millis(self.window.0));
        let key_state = KeyState {
            attempt: claim.attempt,
            writer: writer.clone(),
            claim: id,
            offset: position.offset,
            fingerprint: claim.fingerprint,
            deduplicates: claim.deduplicates,
            maybe_ran,
            ends_ms: position.time_ms.saturating_add(claim.patience_ms),
            expires_ms,
            phase: Phase::Claimed,
        };
        self.expiry.insert((expires_ms, claim.key.clone()));
        self.keys.insert(claim.key.clone(), key_state);
        Some(claim.key)
    }

    /// Changes the phase of a key. Only the holder of the valid claim may do so.
    fn transition(
        &mut self,
        key: CallKey,
        writer: &Writer,
        claim: ClaimId,
        next_phase: impl FnOnce(&KeyState) -> Option<Phase>,
    ) -> Option<CallKey> {
        let key_state = self.keys.get_mut(&key)?;
        if !key_state.is_held_by(writer, claim) {
            return None;
        }
        key_state.phase = next_phase(key_state)?;
        let (expires_ms, bytes) = (key_state.expires_ms, key_state.body_bytes());
        self.retain_body(expires_ms, &key, bytes);
        Some(key)
    }

    /// Records a retained body, and drops the oldest ones beyond the limit. The order follows from
    /// the stream, so all readers drop the same bodies.
    fn retain_body(&mut self, expires_ms: u64, key: &CallKey, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.bodies.insert((expires_ms, key.clone()));
        self.retained_body_bytes += bytes;
        while self.retained_body_bytes > MAX_RETAINED_BODY_BYTES
            && let Some((_, oldest)) = self.bodies.pop_first()
        {
            let Some(key_state) = self.keys.get_mut(&oldest) else { continue };
            self.retained_body_bytes =
                self.retained_body_bytes.saturating_sub(key_state.body_bytes());
            if let Phase::Done(answer) = &mut key_state.phase {
                answer.body = None;
            }
        }
    }

    fn expire(&mut self, now_ms: u64) {
        self.now_ms = now_ms;
        while let Some((expires_ms, _)) = self.expiry.first()
            && *expires_ms < now_ms
            && let Some(expired) = self.expiry.pop_first()
        {
            let bytes = self.keys.remove(&expired.1).map_or(0, |key_state| key_state.body_bytes());
            self.retained_body_bytes = self.retained_body_bytes.saturating_sub(bytes);
            self.bodies.remove(&expired);
        }
        if now_ms >= self.swept_at_ms.saturating_add(WRITER_SWEEP_INTERVAL_MS) {
            self.swept_at_ms = now_ms;
            let oldest = self.oldest_retained_writer_ms();
            self.writers.retain(|_, (_, last_batch_ms)| *last_batch_ms >= oldest);
        }
    }
}

impl Fold for Ledger {
    type Entry = Batch;
    type Part = LedgerPart;
    type Params = RetentionWindow;
    type Change = CallKey;

    fn empty(window: &RetentionWindow) -> Self {
        Ledger {
            window: *window,
            keys: HashMap::new(),
            expiry: BTreeSet::new(),
            bodies: BTreeSet::new(),
            retained_body_bytes: 0,
            writers: HashMap::new(),
            now_ms: 0,
            swept_at_ms: 0,
        }
    }

    fn restore(window: &RetentionWindow, parts: Vec<LedgerPart>) -> Self {
        let mut ledger = Ledger::empty(window);
        for part in parts {
            for (writer, sequence, last_batch_ms) in part.writers {
                ledger.writers.insert(writer, (sequence, last_batch_ms));
            }
            for (key, key_state) in part.keys {
                let (expires_ms, bytes) = (key_state.expires_ms, key_state.body_bytes());
                ledger.expiry.insert((expires_ms, key.clone()));
                ledger.keys.insert(key.clone(), key_state);
                ledger.retain_body(expires_ms, &key, bytes);
            }
        }
        ledger
    }

    fn parts(&self) -> Vec<LedgerPart> {
        let writers = self.writers.iter();
        let writers = writers.map(|(writer, (sequence, seen))| (writer.clone(), *sequence, *seen));
        let mut writers: Vec<_> = writers.collect();
        // Sorted, so that equal states give equal records whichever instance writes them.
        writers.sort();
        let mut parts = vec![LedgerPart { keys: Vec::new(), writers }];
        let mut bytes = 0;
        for (_, key) in &self.expiry {
            let Some(key_state) = self.keys.get(key) else { continue };
            if let Some(last) = parts.last()
                && (last.keys.len() == MAX_KEYS_PER_PART || bytes > MAX_BODY_BYTES_PER_PART)
            {
                parts.push(LedgerPart { keys: Vec::new(), writers: Vec::new() });
                bytes = 0;
            }
            bytes += key_state.body_bytes();
            if let Some(last) = parts.last_mut() {
                last.keys.push((key.clone(), key_state.clone()));
            }
        }
        parts
    }

    fn apply(&mut self, batch: Batch, position: LogPosition) -> Vec<CallKey> {
        self.expire(position.time_ms);
        // Guards against an append that was repeated because its reply was lost, and against one
        // that takes effect after its writer has moved on: both carry a sequence number that was
        // already used or passed.
        if batch.sequence <= self.sequence(&batch.writer) {
            return Vec::new();
        }
        self.writers.insert(batch.writer.clone(), (batch.sequence, position.time_ms));
        let mut changed = Vec::new();
        for (index, entry) in (0..).zip(batch.entries) {
            let id = ClaimId { sequence: batch.sequence, index };
            changed.extend(self.apply_entry(entry, &batch.writer, id, position));
        }
        changed
    }
}
