//! Transitions of the search: a log that loses replies and applies appends late, two instances that
//! crash and restart, an endpoint, and callers that repeat one key.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use policy::{
    EndpointGroup, Fingerprint, Offset, Time, Workspace,
    ledger::{
        AbandonOutcome, Answer, Batch, CallKey, Claim, ClaimId, Claimant, ClaimantState, Entry,
        Ledger, Phase, RetentionWindow,
    },
    replay::{LogRecord, Replay, encode},
};

use crate::state::{Call, InFlight, Instance, Node, State, writer};

/// The protocol that prevents a call from running twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Protocol {
    /// The daemon's protocol.
    Claim,
    /// A claim expires after a time. (This uses the fold's rule for endpoints that deduplicate on
    /// one that doesn't.)
    Lease,
    /// Check whether the call ran, then run it and record it.
    CheckThenRun,
    /// The daemon's protocol, but a call that is abandoned before its claim is read back is
    /// reported as "not run".
    EarlyNotRun,
}

/// Limits on one history. Larger limits give the same result in more time: each fault and each call
/// multiplies the states by about twenty.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// Number of calls with the same key.
    pub(crate) calls: u8,
    /// Number of crashes, lost replies, late appends and log truncations together.
    pub(crate) faults: u8,
}

const MAX_CRASHES: u8 = 1;
const MAX_LOG_TRUNCATIONS: u8 = 1;

const DEADLINE: Time = Time::from_millis(1_000);
const BEFORE_DEADLINE: Time = Time::from_millis(500);

type FoldCache = HashMap<(Vec<u16>, u8), Option<Rc<Ledger>>>;

/// Interns records, entries, answers and folds, so that states store only small indices and
/// millions of them fit into memory.
pub(crate) struct World {
    protocol: Protocol,
    limits: Limits,
    key: CallKey,
    records: RefCell<Vec<Vec<u8>>>,
    entries: RefCell<Vec<Entry>>,
    answers: RefCell<Vec<Answer>>,
    folds: RefCell<FoldCache>,
}

impl World {
    pub(crate) fn new(protocol: Protocol, limits: Limits) -> Self {
        let workspace = Workspace::new("desk").expect("valid name");
        let key = CallKey::new(workspace, EndpointGroup::new("register").expect("valid name"), "k")
            .expect("valid key");
        World {
            protocol,
            limits,
            key,
            records: RefCell::default(),
            entries: RefCell::default(),
            answers: RefCell::default(),
            folds: RefCell::default(),
        }
    }

    pub(crate) fn successors(&self, node: &Node) -> Vec<Node> {
        let mut out = Vec::new();
        if node.state.violation.is_some() {
            return out;
        }
        self.log_steps(node, &mut out);
        self.endpoint_steps(node, &mut out);
        for i in 0..2 {
            self.call_steps(node, i, &mut out);
            self.append_steps(node, i, &mut out);
            self.read_steps(node, i, &mut out);
        }
        out
    }

    fn log_steps(&self, node: &Node, out: &mut Vec<Node>) {
        let state = &node.state;
        for at in 0..state.late_appends.len() {
            push(out, state, 0, "a late append takes effect", |state| {
                let record = state.late_appends.remove(at);
                state.log.push(record);
            });
        }
        if state.faults() < self.limits.faults
            && state.log_truncations < MAX_LOG_TRUNCATIONS
            && usize::from(state.first) < state.log.len()
        {
            push(out, state, 0, "the log drops all records but the last", |state| {
                state.log_truncations += 1;
                state.first = state.log.len() as u8 - 1;
            });
        }
    }

    fn endpoint_steps(&self, node: &Node, out: &mut Vec<Node>) {
        for at in 0..node.state.sent_calls.len() {
            push(out, &node.state, 0, "the endpoint runs the call", |state| {
                state.sent_calls.remove(at);
                state.run_count += 1;
                if state.run_count > 1 {
                    state.violation = Some("the call ran twice");
                }
            });
        }
    }

    fn call_steps(&self, node: &Node, i: usize, out: &mut Vec<Node>) {
        let state = &node.state;
        let Some(call) = &state.instances[i].call else {
            // The instances are symmetric, so the first call always arrives at the first one.
            if state.calls < self.limits.calls && (state.calls > 0 || i == 0) {
                push(out, state, i, "a call arrives", |state| self.arrive(state, i));
            }
            return;
        };
        match call.claimant.state() {
            ClaimantState::Waiting | ClaimantState::Won => {
                push(out, state, i, "the call is abandoned", |state| self.abandon(state, i));
                if call.claimant.state() == ClaimantState::Won {
                    push(out, state, i, "the call is sent", |state| self.send(state, i));
                }
            }
            ClaimantState::Sending => {
                // With a lease, only holders that pause are examined.
                if self.protocol != Protocol::Lease {
                    push(out, state, i, "the outcome stays unknown", |state| {
                        self.finish(state, i, None);
                    });
                }
                if state.run_count > 0 {
                    push(out, state, i, "the answer arrives", |state| {
                        let body = Some(format!("answer {}", state.run_count));
                        let answer = Answer { status: 200, content_type: None, body };
                        self.finish(state, i, Some(answer));
                    });
                }
            }
            // The caller has its answer.
            ClaimantState::Lost | ClaimantState::Abandoned => {}
        }
    }

    fn append_steps(&self, node: &Node, i: usize, out: &mut Vec<Node>) {
        let state = &node.state;
        let instance = &state.instances[i];
        let new = instance.in_flight.is_none() && !instance.queue.is_empty();
        if new || instance.unanswered {
            push(out, state, i, "appends", |state| {
                let record = self.batch(state, i);
                state.log.push(record);
            });
        }
        if (new || instance.unanswered) && state.faults() < self.limits.faults {
            push(out, state, i, "appends, and the reply is lost", |state| {
                let record = self.batch(state, i);
                state.log.push(record);
                state.faulty_appends += 1;
                state.instances[i].unanswered = true;
            });
            push(out, state, i, "appends, and the append hangs", |state| {
                let record = self.batch(state, i);
                state.late_appends.push(record);
                state.faulty_appends += 1;
                state.instances[i].unanswered = true;
            });
        }
        if state.faults() < self.limits.faults
            && state.log_truncations < MAX_LOG_TRUNCATIONS
            && let Some(record) = self.checkpoint(state, i)
        {
            let step = "appends a checkpoint, and the log drops what it covers";
            push(out, state, i, step, |state| {
                state.log_truncations += 1;
                state.first = state.instances[i].read_end;
                state.log.push(record);
            });
        }
        let busy = instance.call.is_some() || new || instance.in_flight.is_some();
        if busy && state.faults() < self.limits.faults && state.crashes < MAX_CRASHES {
            push(out, state, i, "crashes and restarts", |state| {
                state.crashes += 1;
                let instance = &mut state.instances[i];
                let (read_start, incarnation) = (state.first, instance.incarnation + 1);
                *instance = Instance {
                    incarnation,
                    read_start,
                    read_end: read_start,
                    sequence: 1,
                    queue: Vec::new(),
                    in_flight: None,
                    unanswered: false,
                    call: None,
                };
            });
        }
    }

    fn read_steps(&self, node: &Node, i: usize, out: &mut Vec<Node>) {
        let state = &node.state;
        if usize::from(state.instances[i].read_end) == state.log.len() {
            return;
        }
        push(out, state, i, "reads to the end", |state| {
            let (first, end) = (state.first, state.log.len() as u8);
            let instance = &mut state.instances[i];
            if first > instance.read_end {
                instance.read_start = first;
            }
            instance.read_end = end;
            self.observe(state, i);
        });
    }

    fn observe(&self, state: &mut State, i: usize) {
        let Some(ledger) = self.ledger(state, i) else { return };
        let writer = writer(state, i);
        let instance = &mut state.instances[i];
        let seen = ledger.sequence(&writer);
        if instance.in_flight.as_ref().is_some_and(|batch| batch.sequence <= seen) {
            instance.in_flight = None;
            instance.unanswered = false;
        }
        if let Some(call) = &mut instance.call
            && let Some(id) = call.id
        {
            let claim = self.claim(call.attempt);
            call.claimant.observe(&ledger, &writer, &claim, id);
            if call.claimant.state() == ClaimantState::Lost {
                instance.call = None;
            }
        }
        let Some(key_state) = ledger.key_state(&self.key) else { return };
        let Phase::Done(answer) = &key_state.phase else { return };
        let answer = intern(&mut self.answers.borrow_mut(), answer.clone());
        match state.stored_answer {
            Some(stored_answer) if stored_answer != answer => {
                state.violation = Some("a stored answer changed")
            }
            _ => state.stored_answer = Some(answer),
        }
    }

    fn arrive(&self, state: &mut State, i: usize) {
        let Some(ledger) = self.ledger(state, i) else { return };
        state.calls += 1;
        let deduplicates = self.protocol == Protocol::Lease;
        let attempt = match ledger.key_state(&self.key) {
            None => Some(1),
            // Any lease may have expired, because the holder may be paused for any time.
            Some(key_state) => key_state.next_attempt(deduplicates, u64::MAX),
        };
        // Otherwise the caller gets the stored answer or "unknown".
        let Some(attempt) = attempt else { return };
        let number = state.calls;
        let instance = &mut state.instances[i];
        instance.queue.push(self.entry(Entry::Claim(self.claim(attempt))));
        let claimant = Claimant::new(DEADLINE, deduplicates);
        instance.call = Some(Call { number, attempt, id: None, claimant });
        if self.protocol == Protocol::CheckThenRun {
            state.sent_calls.push(number);
            instance.call = None;
        }
    }

    fn abandon(&self, state: &mut State, i: usize) {
        let arrived = state.calls;
        let send_count = state.send_count;
        let Some(call) = &mut state.instances[i].call else { return };
        let outcome = call.claimant.abandon(BEFORE_DEADLINE);
        let id = call.id;
        let early_not_run = self.protocol == Protocol::EarlyNotRun;
        // With a lease, only duplicate runs are examined.
        let is_told_not_run = (outcome == AbandonOutcome::NotRun || early_not_run)
            && self.protocol != Protocol::Lease;
        let instance = &mut state.instances[i];
        instance.call = None;
        match id {
            Some(claim) => {
                let entry = Entry::NotRun { key: self.key.clone(), claim };
                instance.queue.push(self.entry(entry));
            }
            None => instance.queue.retain(|entry| !self.is_claim(*entry)),
        }
        if is_told_not_run {
            state.calls_before_not_run = arrived;
            if send_count > 0 {
                state.violation = Some("a caller was told \"not run\" after the call was sent");
            }
        }
    }

    fn send(&self, state: &mut State, i: usize) {
        let calls_before_not_run = state.calls_before_not_run;
        let Some(call) = &mut state.instances[i].call else { return };
        assert!(call.claimant.try_begin_sending(BEFORE_DEADLINE));
        let number = call.number;
        state.send_count += 1;
        state.sent_calls.push(number);
        // Once a caller has been told "not run", only calls that arrived later may run.
        if number <= calls_before_not_run {
            state.violation = Some("a call was sent although a later caller was told \"not run\"");
        }
    }

    fn finish(&self, state: &mut State, i: usize, answer: Option<Answer>) {
        let instance = &mut state.instances[i];
        let Some(claim) = instance.call.take().and_then(|call| call.id) else { return };
        let key = self.key.clone();
        instance.queue.push(self.entry(match answer {
            Some(answer) => Entry::Done { key, claim, answer },
            None => Entry::Unknown { key, claim },
        }));
    }

    /// The batch in flight, or a new one made of the queued entries.
    fn batch(&self, state: &mut State, i: usize) -> u16 {
        let writer = writer(state, i);
        let instance = &mut state.instances[i];
        instance.unanswered = false;
        if let Some(in_flight) = instance.in_flight {
            return in_flight.record;
        }
        let queue = std::mem::take(&mut instance.queue);
        let sequence = instance.sequence;
        instance.sequence += 1;
        let claimed = queue.iter().position(|entry| self.is_claim(*entry));
        if let (Some(index), Some(call)) = (claimed, &mut instance.call)
            && call.claimant.state() == ClaimantState::Waiting
        {
            call.id = Some(ClaimId { sequence, index: index as u32 });
        }
        let known = self.entries.borrow();
        let entries = queue.iter().map(|entry| known[usize::from(*entry)].clone()).collect();
        let data =
            encode::<Ledger>(&Batch { writer, sequence, entries }).expect("serialises to JSON");
        let record = self.record(data);
        instance.in_flight = Some(InFlight { sequence, record });
        record
    }

    fn claim(&self, attempt: u32) -> Claim {
        Claim {
            key: self.key.clone(),
            attempt,
            fingerprint: Fingerprint(1),
            deduplicates: self.protocol == Protocol::Lease,
            patience_ms: 1_000,
        }
    }

    fn entry(&self, entry: Entry) -> u16 {
        intern(&mut self.entries.borrow_mut(), entry)
    }

    fn is_claim(&self, entry: u16) -> bool {
        matches!(self.entries.borrow()[usize::from(entry)], Entry::Claim(_))
    }

    fn record(&self, data: Vec<u8>) -> u16 {
        intern(&mut self.records.borrow_mut(), data)
    }

    fn checkpoint(&self, state: &State, i: usize) -> Option<u16> {
        let id = format!("{i}/{}", state.instances[i].incarnation);
        let records = self.replay(state, i).checkpoint(&id)?;
        let [record] = records.try_into().ok()?;
        Some(self.record(record))
    }

    fn ledger(&self, state: &State, i: usize) -> Option<Rc<Ledger>> {
        let instance = &state.instances[i];
        let read =
            state.log[usize::from(instance.read_start)..usize::from(instance.read_end)].to_vec();
        let key = (read, instance.read_start);
        if let Some(fold) = self.folds.borrow().get(&key) {
            return fold.clone();
        }
        let fold = self.replay(state, i).state().cloned().map(Rc::new);
        self.folds.borrow_mut().insert(key, fold.clone());
        fold
    }

    fn replay(&self, state: &State, i: usize) -> Replay<Ledger> {
        let instance = &state.instances[i];
        let mut replay = Replay::new(RetentionWindow(Duration::from_secs(86_400)));
        let records = self.records.borrow();
        let read = (instance.read_start..instance.read_end).map(|at| LogRecord {
            offset: Offset(at.into()),
            time_ms: u64::from(at) * 10_000,
            data: &records[usize::from(state.log[usize::from(at)])],
        });
        replay.apply_page(Offset(instance.read_start.into()), read);
        replay
    }
}

/// Index of `value` among the interned values, which it is added to if it is new.
fn intern<T: PartialEq>(known: &mut Vec<T>, value: T) -> u16 {
    let at = known.iter().position(|known| *known == value).unwrap_or_else(|| {
        known.push(value);
        known.len() - 1
    });
    at.try_into().expect("fewer than 65,536 values")
}

fn push(
    out: &mut Vec<Node>,
    state: &Rc<State>,
    instance: usize,
    step: &'static str,
    change: impl FnOnce(&mut State),
) {
    let mut next = State::clone(state);
    change(&mut next);
    if next != **state {
        out.push(Node { state: Rc::new(next), step, instance });
    }
}
