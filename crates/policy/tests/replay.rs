//! Guards against readers of one stream that disagree, although the log drops old records and
//! repeats others.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use policy::{
    EndpointGroup, Fingerprint, Incarnation, InstanceId, Offset, Workspace,
    config::{SourceFile, Version},
    ledger::{
        Answer, Batch, CallKey, Claim, ClaimId, Entry, KeyAge, Ledger, MAX_ANSWER_BODY_BYTES,
        MAX_RETAINED_BODY_BYTES, Phase, RetentionWindow, Writer,
    },
    publication::{Change, Publication, PublicationEntry, Verdict, check_change, difference},
    replay::{Fold, LogRecord, Replay, encode},
};
use quickcheck::{TestResult, quickcheck};
use uuid::{NoContext, Timestamp, Uuid};

const WINDOW: Duration = Duration::from_secs(1_000);

/// An in-memory log of records and their times.
#[derive(Default)]
struct Log {
    records: Vec<(u64, Vec<u8>)>,
}

impl Log {
    fn append(&mut self, time_ms: u64, data: Vec<u8>) {
        self.records.push((time_ms, data));
    }

    /// Feeds a reader with all records from position `first` on.
    fn feed<F: Fold>(&self, replay: &mut Replay<F>, first: usize) -> Vec<F::Change> {
        let kept = self.records.iter().enumerate().skip(first);
        let records = kept.map(|(offset, (time_ms, data))| LogRecord {
            offset: Offset(offset as u64),
            time_ms: *time_ms,
            data,
        });
        replay.apply_page(Offset(first as u64), records)
    }
}

fn key(text: &str) -> CallKey {
    let workspace = Workspace::new("desk").unwrap();
    CallKey::new(workspace, EndpointGroup::new("register").unwrap(), text).unwrap()
}

fn claim(text: &str, attempt: u32) -> Entry {
    Entry::Claim(Claim {
        key: key(text),
        attempt,
        fingerprint: Fingerprint(u128::MAX),
        deduplicates: false,
        patience_ms: 1_000,
    })
}

fn batch(name: &str, sequence: u64, entries: Vec<Entry>) -> Vec<u8> {
    let instance = InstanceId::new(name).unwrap();
    let writer = Writer { instance, incarnation: Incarnation(1) };
    encode::<Ledger>(&Batch { writer, sequence, entries }).unwrap()
}

fn ledger() -> Replay<Ledger> {
    Replay::new(RetentionWindow(WINDOW))
}

fn claim_holder(replay: &Replay<Ledger>, text: &str) -> Option<String> {
    let key_state = replay.state()?.key_state(&key(text))?;
    Some(key_state.writer.instance.to_string())
}

#[test]
fn the_first_claim_in_offset_order_wins() {
    let (mut log, mut replay) = (Log::default(), ledger());
    log.append(1, batch("b", 1, vec![claim("k", 1)]));
    log.append(2, batch("a", 1, vec![claim("k", 1)]));
    log.feed(&mut replay, 0);
    assert_eq!(claim_holder(&replay, "k").unwrap(), "b");
}

/// An append hangs, its writer abandons the call in its next batch, and then the append takes
/// effect. It must not claim the call for a writer that won't run it.
#[test]
fn a_batch_that_surfaces_late_is_void() {
    let (mut log, mut replay) = (Log::default(), ledger());
    log.append(1, batch("a", 2, vec![]));
    log.append(2, batch("a", 1, vec![claim("k", 1)]));
    log.append(3, batch("b", 1, vec![claim("k", 1)]));
    log.feed(&mut replay, 0);
    assert_eq!(claim_holder(&replay, "k").unwrap(), "b");
}

#[test]
fn only_the_claimant_may_void_its_claim_and_only_before_its_answer() {
    let (mut log, mut replay) = (Log::default(), ledger());
    let id = ClaimId { sequence: 1, index: 0 };
    let not_run = Entry::NotRun { key: key("k"), claim: id };
    let answer = Answer { status: 200, content_type: None, body: Some("x".to_owned()) };
    let done = Entry::Done { key: key("k"), claim: id, answer: answer.clone() };
    log.append(1, batch("a", 1, vec![claim("k", 1)]));
    log.append(2, batch("b", 1, vec![not_run.clone(), claim("k", 2)]));
    log.append(3, batch("a", 2, vec![done]));
    log.append(4, batch("a", 3, vec![not_run]));
    log.feed(&mut replay, 0);
    let key_state = replay.state().unwrap().key_state(&key("k")).unwrap();
    assert_eq!((key_state.attempt, &key_state.phase), (1, &Phase::Done(answer)));
}

/// Large answers over a whole day must not exhaust the memory of instances.
#[test]
fn the_oldest_answers_lose_their_bodies_first() {
    let (mut log, mut replay) = (Log::default(), ledger());
    let count = MAX_RETAINED_BODY_BYTES / MAX_ANSWER_BODY_BYTES + 1;
    let claims = (0..count).map(|i| claim(&format!("k{i:06}"), 1)).collect();
    log.append(0, batch("a", 1, claims));
    log.feed(&mut replay, 0);
    for (index, sequence) in (0..count).zip(2..) {
        let claim = ClaimId { sequence: 1, index: u32::try_from(index).unwrap() };
        let body = Some("x".repeat(MAX_ANSWER_BODY_BYTES));
        let answer = Answer { status: 200, content_type: None, body };
        let done = Entry::Done { key: key(&format!("k{index:06}")), claim, answer };
        let data = batch("a", sequence, vec![done]);
        let offset = Offset(sequence - 1);
        replay.apply_page(Offset(0), [LogRecord { offset, time_ms: 1, data: &data }]);
    }
    let has_body = |index: usize| {
        let key_state = replay.state().unwrap().key_state(&key(&format!("k{index:06}"))).unwrap();
        matches!(&key_state.phase, Phase::Done(answer) if answer.body.is_some())
    };
    assert_eq!([has_body(0), has_body(1), has_body(count - 1)], [false, true, true]);
}

#[test]
fn a_key_is_forgotten_after_its_window_and_not_before() {
    let (mut log, mut replay) = (Log::default(), ledger());
    log.append(0, batch("a", 1, vec![claim("k", 1)]));
    log.append(1_000_000, batch("b", 1, vec![claim("k", 1)]));
    log.feed(&mut replay, 0);
    assert_eq!(claim_holder(&replay, "k").unwrap(), "a");
    log.append(1_000_001, batch("b", 2, vec![claim("k", 1)]));
    log.feed(&mut replay, 0);
    assert_eq!(claim_holder(&replay, "k").unwrap(), "b");
}

/// A claim of a UUIDv7 key takes effect after the key expired; the key's own timestamp shows it.
#[test]
fn a_uuidv7_key_can_not_be_claimed_after_its_window() {
    let made = Uuid::new_v7(Timestamp::from_unix(NoContext, 500, 0)).to_string();
    assert_eq!(key(&made).created_at_ms(), Some(500_000));
    assert_eq!(key(&made).check_age(WINDOW, 100_000), KeyAge::FromTheFuture);
    assert_eq!(key(&made).check_age(WINDOW, 1_500_000), KeyAge::Usable);
    assert_eq!(key(&made).check_age(WINDOW, 1_500_001), KeyAge::TooOld);
    let (mut log, mut replay) = (Log::default(), ledger());
    log.append(1_500_001, batch("a", 1, vec![claim(&made, 1)]));
    log.feed(&mut replay, 0);
    assert_eq!(claim_holder(&replay, &made), None);
}

#[test]
fn a_checkpoint_that_leaves_a_gap_is_ignored() {
    let (mut log, mut first) = (Log::default(), ledger());
    log.append(1, batch("a", 1, vec![claim("k", 1)]));
    log.feed(&mut first, 0);
    let stale = first.checkpoint("stale").unwrap().remove(0);
    log.append(2, batch("a", 2, vec![claim("k2", 1)]));
    log.append(3, stale);
    let mut late = ledger();
    log.feed(&mut late, 2);
    assert!(late.state().is_none());
    log.feed(&mut first, 0);
    log.append(4, first.checkpoint("fresh").unwrap().remove(0));
    log.feed(&mut late, 2);
    assert_eq!(claim_holder(&late, "k2").unwrap(), "a");
}

#[test]
fn a_checkpoint_counts_only_with_all_its_parts() {
    let (mut log, mut first) = (Log::default(), ledger());
    let claims = (0..500).map(|i| claim(&format!("k{i}"), 1)).collect();
    log.append(1, batch("a", 1, claims));
    log.feed(&mut first, 0);
    let parts = first.checkpoint("c").unwrap();
    assert!(parts.len() > 1);
    let mut late = ledger();
    log.feed(&mut late, 1);
    for part in parts {
        assert!(late.state().is_none());
        log.append(2, part);
        log.feed(&mut late, 1);
    }
    assert_eq!(late.state().unwrap().len(), 500);
}

fn source_files(weight: u32) -> Vec<SourceFile> {
    let key = "1".repeat(64);
    let text = format!(r#"{{"workspaces":{{"d":{{"key_sha256":["{key}"],"weight":{weight}}}}}}}"#);
    vec![SourceFile { name: "a.json".to_owned(), text }]
}

fn change(id: &str, base: u64, weight: u32) -> Vec<u8> {
    let (id, by) = (id.to_owned(), "ana".to_owned());
    let change = Change { id, base: Version(base), by, files: source_files(weight) };
    encode::<Publication>(&PublicationEntry::Change(change)).unwrap()
}

fn publication(log: &Log, first: usize) -> Replay<Publication> {
    let mut replay = Replay::new(());
    log.feed(&mut replay, first);
    replay
}

/// Two operators change version 1 concurrently; the second one's change is appended again later.
#[test]
fn of_two_changes_from_one_version_the_first_is_accepted() {
    let mut log = Log::default();
    for (id, base, weight) in [("x", 0, 1), ("y", 1, 2), ("z", 1, 3), ("x", 0, 1), ("z", 1, 3)] {
        log.append(1, change(id, base, weight));
    }
    let replay = publication(&log, 0);
    let fold = replay.state().unwrap();
    assert_eq!(fold.version(), Version(2));
    assert_eq!(fold.entry("z").unwrap().verdict, Verdict::Conflict(Version(2)));
    assert_eq!(fold.config().unwrap().workspaces[0].weight, 2);
    assert_eq!(fold.audit().count(), 3);
}

#[test]
fn a_configuration_with_findings_is_not_accepted() {
    let mut log = Log::default();
    log.append(1, change("x", 0, 1));
    log.append(2, change("y", 1, 0));
    let replay = publication(&log, 0);
    let fold = replay.state().unwrap();
    assert_eq!(fold.version(), Version(1));
    assert!(matches!(fold.entry("y").unwrap().verdict, Verdict::Rejected(_)));
}

#[test]
fn a_later_reader_finds_the_version_in_the_checkpoint() {
    let mut log = Log::default();
    log.append(1, change("x", 0, 1));
    log.append(2, change("y", 1, 2));
    let early = publication(&log, 0);
    log.append(3, early.checkpoint("c").unwrap().remove(0));
    log.append(4, change("y", 1, 2));
    log.append(5, change("z", 2, 4));
    let late = publication(&log, 2);
    let fold = late.state().unwrap();
    assert_eq!((fold.version(), fold.audit().count()), (Version(3), 3));
}

#[test]
fn streams_and_window_are_fixed_once_published() {
    let config = check_change(None, &source_files(1)).unwrap();
    let text = r#"{"ledger":{"streams":2,"window_minutes":5}}"#.to_owned();
    let more = SourceFile { name: "b.json".to_owned(), text };
    let files = [source_files(1), vec![more]].concat();
    let findings = check_change(Some(&config), &files).unwrap_err();
    let paths: Vec<_> = findings.iter().map(|finding| finding.path.as_str()).collect();
    assert_eq!(paths, ["ledger.streams", "ledger.window_minutes"]);
}

#[test]
fn a_difference_names_each_member() {
    let changes = difference(&source_files(1), &source_files(2));
    let texts: Vec<_> = changes.iter().map(ToString::to_string).collect();
    assert_eq!(texts, ["~ workspaces.d.weight: 1 -> 2"]);
    assert!(difference(&source_files(1), &source_files(1)).is_empty());
}

/// Builds a stream of claims and their outcomes by two writers from random bytes.
fn random_stream(steps: &[u8]) -> Log {
    let mut log = Log::default();
    let mut sequences = [0_u64; 2];
    for (time, step) in (1..).zip(steps) {
        let who = usize::from(step & 1);
        let text = format!("k{}", (step >> 1) & 3);
        let claim_id = ClaimId { sequence: u64::from(step >> 5), index: 0 };
        let entry = match (step >> 3) & 3 {
            0 | 1 => claim(&text, 1 + u32::from(step >> 7)),
            2 => Entry::NotRun { key: key(&text), claim: claim_id },
            _ => {
                let body = Some(format!("{time}"));
                let answer = Answer { status: 200, content_type: None, body };
                Entry::Done { key: key(&text), claim: claim_id, answer }
            }
        };
        // Some sequence numbers are used twice, as after a lost reply.
        sequences[who] += u64::from(step % 7 != 0);
        log.append(time * 50_000, batch(["a", "b"][who], sequences[who].max(1), vec![entry]));
    }
    log
}

fn states_match(a: &Replay<Ledger>, b: &Replay<Ledger>) -> bool {
    let (Some(left), Some(right)) = (a.state(), b.state()) else { return false };
    left.len() == right.len()
        && (0..4).all(|i| {
            let key = key(&format!("k{i}"));
            left.key_state(&key) == right.key_state(&key)
        })
}

quickcheck! {
    /// A reader that starts after records were dropped agrees with a reader of all records.
    fn a_checkpoint_stands_for_what_was_dropped(steps: Vec<u8>, at: usize, upto: usize) -> TestResult {
        if steps.is_empty() {
            return TestResult::discard();
        }
        let mut log = random_stream(&steps);
        let covered = 1 + at % steps.len();
        let mut early = ledger();
        let head = Log { records: log.records[..covered].to_vec() };
        head.feed(&mut early, 0);
        // Some records lie between those that the checkpoint covers and the checkpoint itself.
        let place = covered + upto % (steps.len() - covered + 1);
        let time = log.records[place - 1].0;
        let records = early.checkpoint("c").unwrap();
        for (i, record) in records.into_iter().enumerate() {
            log.records.insert(place + i, (time, record));
        }
        let (mut whole, mut late) = (ledger(), ledger());
        log.feed(&mut whole, 0);
        log.feed(&mut late, covered);
        TestResult::from_bool(states_match(&whole, &late))
    }

    /// Records that the log repeats change nothing.
    fn repeated_pages_change_nothing(steps: Vec<u8>) -> bool {
        let log = random_stream(&steps);
        let (mut once, mut twice) = (ledger(), ledger());
        log.feed(&mut once, 0);
        log.feed(&mut twice, 0);
        log.feed(&mut twice, 0);
        states_match(&once, &twice)
    }

    /// Malformed records never stop a reader.
    fn any_bytes_are_read_or_skipped(records: Vec<Vec<u8>>) -> bool {
        let log = Log { records: records.into_iter().map(|data| (1, data)).collect() };
        let (mut ledger, mut publication) = (ledger(), Replay::<Publication>::new(()));
        log.feed(&mut ledger, 0);
        log.feed(&mut publication, 0);
        ledger.next() == Offset(log.records.len() as u64) && publication.state().is_some()
    }
}
