//! State of one ledger stream at this instance, including its own claims. A single lock guards all
//! of it.

use std::{collections::HashMap, time::Duration};

use policy::{
    Fingerprint, Offset, Time,
    ledger::{
        AbandonOutcome, Answer, CallKey, Claim, ClaimId, Claimant, ClaimantState, Entry, KeyAge,
        Ledger, Phase, RetentionWindow, Writer,
    },
    replay::{LogRecord, Replay},
};
use protocols::log::Page;
use smol::channel::{Receiver, Sender, bounded};

use super::{
    ClaimRequest, ClaimResult,
    decide::{KeyDecision, NextStep, OutcomeWithoutRun, decide_by_key_state},
    outbox::InFlight,
};
use crate::clock;

/// Limit on this instance's calls that have claimed and haven't ended, most of which wait for an
/// append. At 20 appends a second, a low rate, a hundred thousand would wait for longer than any
/// caller does.
const MAX_OWN_CALLS: usize = 10_000;
/// Limit on the keys of one stream; a key takes about 400 bytes besides its answer. Without it, a
/// caller that keeps generating new keys would fill the memory of every instance for a whole
/// retention window.
const MAX_KEYS: usize = 1_000_000;
/// How long appends or reads may fail before new claims are refused. It is long enough for a single
/// lost connection and short enough for callers to learn of an outage quickly.
const FAILURE_GRACE_PERIOD: Duration = Duration::from_millis(400);
/// How long the log may be busy before new claims are refused. Its rate limit applies to each
/// second, so a reached limit passes within one second, and the instances' append rates settle
/// within the next.
const BUSY_GRACE_PERIOD: Duration = Duration::from_millis(2_500);

/// A call of this instance between its claim and its end.
pub(super) struct OwnCall {
    pub(super) claim: Claim,
    pub(super) id: Option<ClaimId>,
    pub(super) claimant: Claimant,
    /// The log certainly doesn't contain the claim, which was refused.
    pub(super) refused: bool,
}

pub(super) struct State {
    pub(super) writer: Writer,
    pub(super) window: Duration,
    pub(super) replay: Replay<Ledger>,
    /// Whether the end of the stream has been reached once.
    pub(super) reached_end: bool,
    /// One past the last record known to this instance or reported by another one.
    pub(super) known_end: Offset,
    pub(super) appends_failing_since: Option<Time>,
    pub(super) busy_since: Option<Time>,
    pub(super) reads_failing_since: Option<Time>,
    pub(super) own_calls: HashMap<CallKey, OwnCall>,
    /// Answers of this instance's calls that weren't read back from the log yet.
    pub(super) answers: HashMap<CallKey, (Fingerprint, Answer)>,
    pub(super) queue: Vec<Entry>,
    pub(super) sequence: u64,
    pub(super) in_flight: Option<InFlight>,
    pub(super) waiters: HashMap<CallKey, Vec<Sender<()>>>,
}

impl State {
    pub(super) fn new(writer: Writer, window: Duration) -> Self {
        State {
            writer,
            window,
            replay: Replay::new(RetentionWindow(window)),
            reached_end: false,
            known_end: Offset(0),
            appends_failing_since: None,
            busy_since: None,
            reads_failing_since: None,
            own_calls: HashMap::new(),
            answers: HashMap::new(),
            queue: Vec::new(),
            sequence: 0,
            in_flight: None,
            waiters: HashMap::new(),
        }
    }

    pub(super) fn next_offset(&self) -> Offset {
        self.replay.next()
    }

    pub(super) fn record_stream_end(&mut self, next: Offset) {
        self.known_end = self.known_end.max(next);
    }

    pub(super) fn key_count(&self) -> usize {
        self.replay.state().map_or(0, Ledger::len)
    }

    pub(super) fn waiting_calls(&self) -> usize {
        let open = |waiters: &Vec<Sender<()>>| waiters.iter().filter(|tx| !tx.is_closed()).count();
        self.waiters.values().map(open).sum()
    }

    /// Whether the end of the stream has been reached once.
    pub(super) fn reached_end(&self) -> bool {
        self.reached_end
    }

    /// Whether the whole stream has been applied.
    pub(super) fn is_complete(&self) -> bool {
        self.reached_end && self.replay.state().is_some()
    }

    /// Whether appends or reads have failed for longer than their grace period. Without reads no
    /// claim can be confirmed as won.
    pub(super) fn is_down(&self, now: Time) -> bool {
        let failing = [self.appends_failing_since, self.reads_failing_since];
        let busy = self.busy_since.is_some_and(|since| now.since(since) > BUSY_GRACE_PERIOD);
        busy || failing.into_iter().flatten().any(|since| now.since(since) > FAILURE_GRACE_PERIOD)
    }

    /// Decides the next step of a call. `waited` means that the call has waited for another claim,
    /// so that it arrived before the state that is examined now.
    pub(super) fn next_step(&mut self, req: &ClaimRequest, waited: bool, now: Time) -> NextStep {
        match req.key.check_age(self.window, clock::wall_ms()) {
            KeyAge::TooOld => return NextStep::Finish(OutcomeWithoutRun::KeyTooOld),
            KeyAge::FromTheFuture => return NextStep::Finish(OutcomeWithoutRun::KeyFromTheFuture),
            KeyAge::Usable => {}
        }
        if let Some((fingerprint, answer)) = self.answers.get(&req.key) {
            return NextStep::Finish(match *fingerprint == req.fingerprint {
                true => OutcomeWithoutRun::Answer(answer.clone()),
                false => OutcomeWithoutRun::BodyDiffers,
            });
        }
        let Some(ledger) = self.replay.state().filter(|_| self.reached_end) else {
            return match self.is_down(now) {
                true => NextStep::Finish(OutcomeWithoutRun::Behind),
                false => NextStep::WaitForStreamEnd(self.add_waiter(&req.key)),
            };
        };
        let attempt = match ledger.key_state(&req.key) {
            None => 1,
            Some(key_state) => match decide_by_key_state(key_state, ledger, req, waited) {
                KeyDecision::Claim(attempt) => attempt,
                KeyDecision::Wait => return NextStep::WaitForKey(self.add_waiter(&req.key)),
                KeyDecision::Finish(outcome) => return NextStep::Finish(outcome),
            },
        };
        if let Some(call) = self.own_calls.get(&req.key) {
            if call.claim.fingerprint != req.fingerprint {
                return NextStep::Finish(OutcomeWithoutRun::BodyDiffers);
            }
            return match call.refused {
                true => NextStep::Finish(self.unavailable_outcome()),
                false => NextStep::WaitForKey(self.add_waiter(&req.key)),
            };
        }
        if self.is_down(now) {
            return NextStep::Finish(self.unavailable_outcome());
        }
        if self.own_calls.len() >= MAX_OWN_CALLS || self.key_count() >= MAX_KEYS {
            return NextStep::Finish(OutcomeWithoutRun::Full);
        }
        self.enqueue_claim(req, attempt, now);
        NextStep::WaitForClaim(self.add_waiter(&req.key))
    }

    /// Outcome of a call that can't be claimed while the log is down.
    ///
    /// Guards against a false "not run" for a call that was first sent to another instance, which
    /// claimed and ran it: if records are known to exist that weren't applied here, nothing can be
    /// said about an unknown key.
    fn unavailable_outcome(&self) -> OutcomeWithoutRun {
        match self.known_end > self.replay.next() {
            true => OutcomeWithoutRun::Behind,
            false => OutcomeWithoutRun::LogDown,
        }
    }

    fn enqueue_claim(&mut self, req: &ClaimRequest, attempt: u32, now: Time) {
        let patience = req.deadline.since(now);
        let claim = Claim {
            key: req.key.clone(),
            attempt,
            fingerprint: req.fingerprint,
            deduplicates: req.deduplicates,
            patience_ms: u64::try_from(patience.as_millis()).unwrap_or(u64::MAX),
        };
        self.queue.push(Entry::Claim(claim.clone()));
        let claimant = Claimant::new(req.deadline, req.deduplicates);
        self.own_calls
            .insert(req.key.clone(), OwnCall { claim, id: None, claimant, refused: false });
    }

    fn add_waiter(&mut self, key: &CallKey) -> Receiver<()> {
        let (tx, rx) = bounded(1);
        let waiters = self.waiters.entry(key.clone()).or_default();
        waiters.retain(|waiter| !waiter.is_closed());
        waiters.push(tx);
        rx
    }

    /// Result of a claim of this instance; none while it is pending. The claim is abandoned if it
    /// is still pending after its deadline.
    pub(super) fn own_claim_result(
        &mut self,
        key: &CallKey,
        in_time: bool,
        now: Time,
    ) -> Option<ClaimResult> {
        let Some(call) = self.own_calls.get(key) else { return Some(ClaimResult::Abandoned) };
        let refused = call.refused;
        match call.claimant.state() {
            ClaimantState::Won => Some(ClaimResult::Won),
            ClaimantState::Lost => {
                self.own_calls.remove(key);
                Some(ClaimResult::Lost)
            }
            ClaimantState::Waiting if refused => {
                self.own_calls.remove(key);
                match self.unavailable_outcome() {
                    OutcomeWithoutRun::LogDown => Some(ClaimResult::NotAppended),
                    _ => Some(ClaimResult::Abandoned),
                }
            }
            ClaimantState::Waiting if in_time => None,
            _ => {
                let _ = self.abandon(key, now);
                Some(ClaimResult::Abandoned)
            }
        }
    }

    pub(super) fn fencing_number(&self, key: &CallKey) -> Offset {
        self.own_calls.get(key).map_or(Offset(0), |call| call.claimant.fencing_number())
    }

    pub(super) fn try_begin_sending(&mut self, key: &CallKey, now: Time) -> bool {
        self.own_calls.get_mut(key).is_some_and(|call| call.claimant.try_begin_sending(now))
    }

    /// Abandons a call of this instance, and queues an entry that tells the other instances what is
    /// certain about it.
    pub(super) fn abandon(
        &mut self,
        key: &CallKey,
        now: Time,
    ) -> (AbandonOutcome, Vec<Sender<()>>) {
        let Some(mut call) = self.own_calls.remove(key) else {
            return (AbandonOutcome::Unknown, Vec::new());
        };
        let outcome = call.claimant.abandon(now);
        let key = key.clone();
        match call.id {
            // The claim was never part of a batch, so no reader has seen it.
            None => self.queue.retain(|entry| !is_claim_of(entry, &key)),
            Some(claim) if outcome == AbandonOutcome::Sending => {
                self.queue.push(Entry::Unknown { key: key.clone(), claim });
            }
            Some(claim) => self.queue.push(Entry::NotRun { key: key.clone(), claim }),
        }
        (outcome, self.waiters.remove(&key).unwrap_or_default())
    }

    pub(super) fn finish(&mut self, key: &CallKey, entry: impl FnOnce(CallKey, ClaimId) -> Entry) {
        let Some(call) = self.own_calls.remove(key) else { return };
        let Some(id) = call.id else { return };
        let entry = entry(key.clone(), id);
        if let Entry::Done { answer, .. } = &entry {
            self.answers.insert(key.clone(), (call.claim.fingerprint, answer.clone()));
        }
        self.queue.push(entry);
    }

    /// Applies a page. Returns the waiters of the calls that it changed.
    pub(super) fn apply_page(&mut self, page: &Page) -> Vec<Sender<()>> {
        self.reads_failing_since = None;
        let records = page.records.iter().map(|record| LogRecord {
            offset: record.offset,
            time_ms: record.time_ms,
            data: &record.data,
        });
        let mut changed = self.replay.apply_page(page.first, records);
        self.record_stream_end(page.end);
        if !self.is_complete() {
            self.reached_end = self.replay.next() >= page.end;
            if self.is_complete() {
                changed.extend(self.waiters.keys().cloned());
            }
        }
        self.drop_stored_answers(&changed);
        self.update_own_claims(&mut changed);
        if self
            .in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.batch.sequence <= self.last_folded_sequence())
        {
            self.in_flight = None;
            (self.appends_failing_since, self.busy_since) = (None, None);
        }
        changed.iter().flat_map(|key| self.waiters.remove(key).unwrap_or_default()).collect()
    }

    fn drop_stored_answers(&mut self, changed: &[CallKey]) {
        let Some(ledger) = self.replay.state() else { return };
        for key in changed {
            let stored = ledger.key_state(key).map(|key_state| &key_state.phase);
            if matches!(stored, Some(Phase::Done(_))) {
                self.answers.remove(key);
            }
        }
    }

    fn update_own_claims(&mut self, changed: &mut Vec<CallKey>) {
        let Some(ledger) = self.replay.state() else { return };
        for (key, call) in &mut self.own_calls {
            let Some(id) = call.id else { continue };
            if call.claimant.state() == ClaimantState::Waiting {
                call.claimant.observe(ledger, &self.writer, &call.claim, id);
                if call.claimant.state() != ClaimantState::Waiting {
                    changed.push(key.clone());
                }
            }
        }
    }

    fn last_folded_sequence(&self) -> u64 {
        self.replay.state().map_or(0, |ledger| ledger.sequence(&self.writer))
    }

    /// Records a failed read. Returns the waiters of calls that are refused because of it.
    pub(super) fn read_failed(&mut self, now: Time) -> Vec<Sender<()>> {
        self.reads_failing_since.get_or_insert(now);
        if !self.is_down(now) {
            return Vec::new();
        }
        let mut waiters = self.refuse_waiting_claims(now);
        if !self.is_complete() {
            // These calls wait for the stream's end to be reached, which may take minutes.
            waiters.extend(self.waiters.drain().flat_map(|(_, waiters)| waiters));
        }
        waiters
    }

    /// Encodes a checkpoint as records; none while the state is incomplete.
    pub(super) fn checkpoint(&self, id: &str) -> Option<Vec<Vec<u8>>> {
        self.replay.checkpoint(id).filter(|_| self.is_complete() && self.replay.next() > Offset(0))
    }

    /// Whether the log has dropped records that no checkpoint covers.
    pub(super) fn needs_checkpoint(&self) -> bool {
        self.replay.needs_checkpoint()
    }

    /// The offset up to which the last checkpoint in the stream covers it.
    pub(super) fn last_checkpoint(&self) -> Option<Offset> {
        self.replay.last_checkpoint().map(|position| position.offset)
    }

    pub(super) fn writer(&self) -> &Writer {
        &self.writer
    }
}

/// Whether `entry` is a claim of `key`.
pub(super) fn is_claim_of(entry: &Entry, key: &CallKey) -> bool {
    matches!(entry, Entry::Claim(claim) if claim.key == *key)
}
