//! What an instance knows of a ledger stream, and its own claims. One lock guards all of it.

use std::{collections::HashMap, mem, time::Duration};

use platform::log::Page;
use policy::{
    Fingerprint, Offset, Time,
    ledger::{
        Answer, Batch, CallKey, Claim, ClaimId, Claimant, Entry, GivenUp, KeyTime, Ledger, Phase,
        Step, Window, Writer,
    },
    replay::{LogRecord, Replay},
};
use smol::channel::{Receiver, Sender, bounded};

use super::{
    ClaimRequest, Own,
    decide::{Ended, Judged, Next, judge},
};
use crate::clock;

/// The most claims that wait for an append. At 20 appends a second, the slowest pace, a hundred
/// thousand would wait for longer than any caller does.
const MAX_WAITING: usize = 10_000;
/// The most entries of one append. A claim takes about 300 bytes.
const MAX_BATCH: usize = 1_000;
/// How long appends may fail before new claims are refused at once. Long enough for a refusal by
/// rate to pass, short enough that callers hear of an outage at once.
const PATIENCE: Duration = Duration::from_millis(400);

/// One own call between its claim and its end.
struct OwnCall {
    claim: Claim,
    id: Option<ClaimId>,
    claimant: Claimant,
    /// The log certainly didn't take it.
    refused: bool,
}

pub(super) struct State {
    writer: Writer,
    window: Duration,
    replay: Replay<Ledger>,
    /// Whether the end of the stream was reached once.
    reached_end: bool,
    /// One past the last record that any witness knows of.
    known_end: Offset,
    failing_since: Option<Time>,
    unread_since: Option<Time>,
    own: HashMap<CallKey, OwnCall>,
    /// Answers of own calls that don't stand in the log yet.
    answers: HashMap<CallKey, (Fingerprint, Answer)>,
    queue: Vec<Entry>,
    sequence: u64,
    in_flight: Option<InFlight>,
    waiters: HashMap<CallKey, Vec<Sender<()>>>,
}

struct InFlight {
    batch: Batch,
    /// Whether one of its appends got no answer, so that it may stand in the log.
    doubtful: bool,
}

impl State {
    pub(super) fn new(writer: Writer, window: Duration) -> Self {
        State {
            writer,
            window,
            replay: Replay::new(Window(window)),
            reached_end: false,
            known_end: Offset(0),
            failing_since: None,
            unread_since: None,
            own: HashMap::new(),
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

    pub(super) fn note_end(&mut self, next: Offset) {
        self.known_end = self.known_end.max(next);
    }

    pub(super) fn keys(&self) -> usize {
        self.replay.state().map_or(0, Ledger::len)
    }

    /// Whether the end of the stream was reached once.
    pub(super) fn reached_end(&self) -> bool {
        self.reached_end
    }

    /// Whether the whole stream has been folded.
    pub(super) fn is_complete(&self) -> bool {
        self.reached_end && self.replay.state().is_some()
    }

    /// Whether appends or reads have failed for longer than a refusal by rate takes. Without
    /// reads no claim can be known as won.
    pub(super) fn is_down(&self, now: Time) -> bool {
        let failing = [self.failing_since, self.unread_since];
        failing.into_iter().flatten().any(|since| now.since(since) > PATIENCE)
    }

    /// Decides what a call does next. `waited` says that it came before what it finds now.
    pub(super) fn next(&mut self, req: &ClaimRequest, waited: bool, now: Time) -> Next {
        match req.key.time(self.window, clock::wall_ms()) {
            KeyTime::TooOld => return Next::Ended(Ended::KeyTooOld),
            KeyTime::FromTheFuture => return Next::Ended(Ended::KeyFromTheFuture),
            KeyTime::Usable => {}
        }
        if let Some((fingerprint, answer)) = self.answers.get(&req.key) {
            return Next::Ended(match *fingerprint == req.fingerprint {
                true => Ended::Answer(answer.clone()),
                false => Ended::BodyDiffers,
            });
        }
        let Some(ledger) = self.replay.state().filter(|_| self.reached_end) else {
            return match self.is_down(now) {
                true => Next::Ended(Ended::Behind),
                false => Next::Wait(self.wait(&req.key)),
            };
        };
        let attempt = match ledger.standing(&req.key) {
            None => 1,
            Some(standing) => match judge(standing, ledger, req, waited) {
                Judged::Claim(attempt) => attempt,
                Judged::Wait => return Next::Wait(self.wait(&req.key)),
                Judged::Ended(ended) => return Next::Ended(ended),
            },
        };
        if let Some(own) = self.own.get(&req.key) {
            if own.claim.fingerprint != req.fingerprint {
                return Next::Ended(Ended::BodyDiffers);
            }
            return match own.refused {
                true => Next::Ended(self.refusal()),
                false => Next::Wait(self.wait(&req.key)),
            };
        }
        if self.is_down(now) {
            return Next::Ended(self.refusal());
        }
        if self.own.len() >= MAX_WAITING {
            return Next::Ended(Ended::Full);
        }
        self.put(req, attempt, now);
        Next::Claim(self.wait(&req.key))
    }

    /// What a call hears that can't be claimed while the log is down.
    ///
    /// Guards against a false "not run" for a call that was sent before to another instance, which
    /// claimed it and ran it: where any witness knows of records that aren't folded here, nothing
    /// is said about an unknown key.
    fn refusal(&self) -> Ended {
        match self.known_end > self.replay.next() {
            true => Ended::Behind,
            false => Ended::LogDown,
        }
    }

    fn put(&mut self, req: &ClaimRequest, attempt: u32, now: Time) {
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
        self.own.insert(req.key.clone(), OwnCall { claim, id: None, claimant, refused: false });
    }

    fn wait(&mut self, key: &CallKey) -> Receiver<()> {
        let (tx, rx) = bounded(1);
        let waiters = self.waiters.entry(key.clone()).or_default();
        waiters.retain(|waiter| !waiter.is_closed());
        waiters.push(tx);
        rx
    }

    /// What became of an own claim; none while it waits. Past its time it is given up.
    pub(super) fn own_step(&mut self, key: &CallKey, in_time: bool, now: Time) -> Option<Own> {
        let Some(call) = self.own.get(key) else { return Some(Own::GivenUp) };
        let refused = call.refused;
        match call.claimant.step() {
            Step::Won => Some(Own::Won),
            Step::Lost => {
                self.own.remove(key);
                Some(Own::Lost)
            }
            Step::Waiting if refused => {
                self.own.remove(key);
                match self.refusal() {
                    Ended::LogDown => Some(Own::NotAppended),
                    _ => Some(Own::GivenUp),
                }
            }
            Step::Waiting if in_time => None,
            _ => {
                let _ = self.give_up(key, now);
                Some(Own::GivenUp)
            }
        }
    }

    pub(super) fn fencing(&self, key: &CallKey) -> Offset {
        self.own.get(key).map_or(Offset(0), |call| call.claimant.fencing())
    }

    pub(super) fn begin_sending(&mut self, key: &CallKey, now: Time) -> bool {
        self.own.get_mut(key).is_some_and(|call| call.claimant.begin_sending(now))
    }

    /// Gives an own call up, and tells the others what is true of it.
    pub(super) fn give_up(&mut self, key: &CallKey, now: Time) -> (GivenUp, Vec<Sender<()>>) {
        let Some(mut call) = self.own.remove(key) else { return (GivenUp::Unknown, Vec::new()) };
        let given_up = call.claimant.abandon(now);
        let key = key.clone();
        match call.id {
            // It was never put in a batch, so nobody can have seen it.
            None => self.queue.retain(|entry| !is_claim_of(entry, &key)),
            Some(claim) if given_up == GivenUp::Sending => {
                self.queue.push(Entry::Unknown { key: key.clone(), claim });
            }
            Some(claim) => self.queue.push(Entry::NotRun { key: key.clone(), claim }),
        }
        (given_up, self.waiters.remove(&key).unwrap_or_default())
    }

    pub(super) fn end(&mut self, key: &CallKey, entry: impl FnOnce(CallKey, ClaimId) -> Entry) {
        let Some(call) = self.own.remove(key) else { return };
        let Some(id) = call.id else { return };
        let entry = entry(key.clone(), id);
        if let Entry::Done { answer, .. } = &entry {
            self.answers.insert(key.clone(), (call.claim.fingerprint, answer.clone()));
        }
        self.queue.push(entry);
    }

    /// Folds a page. Gives those that wait for what it changed.
    pub(super) fn accept(&mut self, page: &Page) -> Vec<Sender<()>> {
        self.unread_since = None;
        let records = page.records.iter().map(|record| LogRecord {
            offset: record.offset,
            time_ms: record.time_ms,
            data: &record.data,
        });
        let mut changed = self.replay.accept(page.first, records);
        self.note_end(page.end);
        if !self.is_complete() {
            self.reached_end = self.replay.next() >= page.end;
            if self.is_complete() {
                changed.extend(self.waiters.keys().cloned());
            }
        }
        self.forget_stored_answers(&changed);
        self.observe_own(&mut changed);
        if self.in_flight.as_ref().is_some_and(|known| known.batch.sequence <= self.folded()) {
            self.in_flight = None;
            self.failing_since = None;
        }
        changed.iter().flat_map(|key| self.waiters.remove(key).unwrap_or_default()).collect()
    }

    fn forget_stored_answers(&mut self, changed: &[CallKey]) {
        let Some(ledger) = self.replay.state() else { return };
        for key in changed {
            let stored = ledger.standing(key).map(|standing| &standing.phase);
            if matches!(stored, Some(Phase::Done(_))) {
                self.answers.remove(key);
            }
        }
    }

    fn observe_own(&mut self, changed: &mut Vec<CallKey>) {
        let Some(ledger) = self.replay.state() else { return };
        for (key, call) in &mut self.own {
            let Some(id) = call.id else { continue };
            if call.claimant.step() == Step::Waiting {
                call.claimant.observe(ledger, &self.writer, &call.claim, id);
                if call.claimant.step() != Step::Waiting {
                    changed.push(key.clone());
                }
            }
        }
    }

    fn folded(&self) -> u64 {
        self.replay.state().map_or(0, |ledger| ledger.sequence(&self.writer))
    }

    /// A read failed. Gives those whose calls are refused because of it.
    pub(super) fn read_failed(&mut self, now: Time) -> Vec<Sender<()>> {
        self.unread_since.get_or_insert(now);
        if !self.is_down(now) {
            return Vec::new();
        }
        let mut waiters = self.refuse_waiting(now);
        if !self.is_complete() {
            // These wait for the first reading, which may not come for minutes.
            waiters.extend(self.waiters.drain().flat_map(|(_, waiters)| waiters));
        }
        waiters
    }

    /// The batch to append now: the one under way, or a new one of what waits. While the log
    /// fails, an empty one serves as a probe.
    pub(super) fn batch(&mut self) -> Option<Batch> {
        if let Some(in_flight) = &self.in_flight {
            return Some(in_flight.batch.clone());
        }
        if self.queue.is_empty() && self.failing_since.is_none() {
            return None;
        }
        let rest = self.queue.split_off(self.queue.len().min(MAX_BATCH));
        let entries = mem::replace(&mut self.queue, rest);
        self.sequence += 1;
        for (index, entry) in (0..).zip(&entries) {
            if let Entry::Claim(claim) = entry
                && let Some(call) = self.own.get_mut(&claim.key)
            {
                call.id = Some(ClaimId { sequence: self.sequence, index });
            }
        }
        let batch = Batch { writer: self.writer.clone(), sequence: self.sequence, entries };
        self.in_flight = Some(InFlight { batch: batch.clone(), doubtful: false });
        Some(batch)
    }

    /// The log took the batch under way.
    pub(super) fn appended(&mut self, sequence: u64, offset: Offset) {
        if self.in_flight.as_ref().is_some_and(|known| known.batch.sequence == sequence) {
            self.in_flight = None;
        }
        self.note_end(Offset(offset.0 + 1));
        self.failing_since = None;
    }

    /// An append failed. `doubtful` says that it may have taken effect all the same. Gives those
    /// whose calls are refused because the log has failed for too long.
    pub(super) fn append_failed(&mut self, doubtful: bool, now: Time) -> Vec<Sender<()>> {
        self.failing_since.get_or_insert(now);
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.doubtful |= doubtful;
        }
        if !self.is_down(now) {
            return Vec::new();
        }
        self.dissolve();
        self.refuse_waiting(now)
    }

    /// Takes back a batch that certainly isn't in the log.
    fn dissolve(&mut self) {
        let Some(in_flight) = self.in_flight.take_if(|in_flight| !in_flight.doubtful) else {
            return;
        };
        // Its number was never seen by anyone.
        self.sequence -= 1;
        for entry in &in_flight.batch.entries {
            if let Entry::Claim(claim) = entry
                && let Some(call) = self.own.get_mut(&claim.key)
            {
                call.id = None;
            }
        }
        let waiting = mem::take(&mut self.queue);
        self.queue = in_flight.batch.entries;
        self.queue.extend(waiting);
    }

    /// Lets go of the claims that wait for a log that is down.
    fn refuse_waiting(&mut self, now: Time) -> Vec<Sender<()>> {
        let keys = self.own.iter().filter(|(_, call)| call.claimant.step() == Step::Waiting);
        let keys: Vec<_> = keys.map(|(key, call)| (key.clone(), call.id.is_some())).collect();
        let mut waiters = Vec::new();
        for (key, maybe_appended) in keys {
            if maybe_appended {
                // It may stand in the log, and another claim before it.
                waiters.extend(self.give_up(&key, now).1);
                continue;
            }
            self.queue.retain(|entry| !is_claim_of(entry, &key));
            if let Some(call) = self.own.get_mut(&key) {
                call.refused = true;
            }
            waiters.extend(self.waiters.remove(&key).unwrap_or_default());
        }
        waiters
    }

    /// A checkpoint's records, if the state is whole.
    pub(super) fn checkpoint(&self, id: &str) -> Option<Vec<Vec<u8>>> {
        self.replay.checkpoint(id).filter(|_| self.is_complete() && self.replay.next() > Offset(0))
    }

    /// Up to where the last checkpoint seen in the stream goes.
    pub(super) fn checkpointed(&self) -> Option<Offset> {
        self.replay.checkpointed().map(|stamp| stamp.offset)
    }

    pub(super) fn writer(&self) -> &Writer {
        &self.writer
    }
}

fn is_claim_of(entry: &Entry, key: &CallKey) -> bool {
    matches!(entry, Entry::Claim(claim) if claim.key == *key)
}
