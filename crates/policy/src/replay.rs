//! Folding a stream of the log into state, the same on every instance.
//!
//! The log keeps records for a limited time, so a reader may find that its next record is gone. It
//! then must not go on as if nothing had been there: its state would differ from the others'. It
//! waits for a checkpoint that covers the gap, and is incomplete until then. A checkpoint covers
//! all records below its offset `covers`; one that leaves a gap to the first kept record is stale
//! and ignored. `docs/decisions/ledger.md` says what was weighed.

use std::{collections::HashMap, fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Position of a record in its stream; only rises.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Offset {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Offset)
    }
}

/// One record as the log gives it.
#[derive(Debug, Clone, Copy)]
pub struct LogRecord<'a> {
    /// Its place.
    pub offset: Offset,
    /// When the log took it, in milliseconds of the log's clock.
    pub time_ms: u64,
    /// Its content.
    pub data: &'a [u8],
}

/// Where and when an entry was taken by the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogPosition {
    /// Its place.
    pub offset: Offset,
    /// The log's clock, in milliseconds. It never goes back from entry to entry: an earlier time
    /// is raised to the latest one seen.
    pub time_ms: u64,
}

/// What a stream folds into.
pub trait Fold: Sized {
    /// What the stream's records hold.
    type Entry: Serialize + DeserializeOwned;
    /// One part of a checkpoint.
    type Part: Serialize + DeserializeOwned;
    /// What all readers of the stream agree on beforehand.
    type Params: Clone;
    /// What an entry changed, for whoever waits for it.
    type Change;

    /// The state before the first record.
    fn empty(setup: &Self::Params) -> Self;

    /// The state that a checkpoint holds.
    fn restore(setup: &Self::Params, parts: Vec<Self::Part>) -> Self;

    /// The state as parts of a checkpoint, each small enough for one record; at least one.
    fn parts(&self) -> Vec<Self::Part>;

    /// Takes one entry into account.
    fn apply(&mut self, entry: Self::Entry, position: LogPosition) -> Vec<Self::Change>;
}

/// What a record holds.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Content<E, P> {
    Entry(E),
    Checkpoint(CheckpointPart<P>),
}

#[derive(Debug, Serialize, Deserialize)]
struct CheckpointPart<P> {
    /// All records below this offset are covered.
    covers: Offset,
    /// The log's clock as of the covered records.
    time_ms: u64,
    /// Tells the parts of one checkpoint from those of another.
    id: String,
    part: usize,
    parts: usize,
    state: P,
}

/// The most parts of one checkpoint; a larger number is no checkpoint of ours.
const MAX_PARTS: usize = 100_000;

/// Writes an entry as the content of a record.
///
/// # Errors
///
/// Only where the entry can't be written as JSON.
pub fn encode<F: Fold>(entry: &F::Entry) -> serde_json::Result<Vec<u8>> {
    serde_json::to_vec(&Content::<&F::Entry, ()>::Entry(entry))
}

/// A stream as far as it was read, and the state that it folds into.
pub struct Replay<F: Fold> {
    setup: F::Params,
    next: Offset,
    time_ms: u64,
    state: State<F>,
    last_checkpoint: Option<LogPosition>,
    first_kept: Offset,
    unreadable_records: u64,
}

enum State<F: Fold> {
    Complete(F),
    Rebuilding(Rebuild<F>),
}

/// A reader that missed records and waits for a checkpoint.
struct Rebuild<F: Fold> {
    /// The first record that was still kept.
    first_kept: Offset,
    entries: Vec<(F::Entry, LogPosition)>,
    checkpoints: HashMap<String, Vec<Option<CheckpointPart<F::Part>>>>,
}

impl<F: Fold> Replay<F> {
    /// A reader of a stream from its beginning.
    pub fn new(setup: F::Params) -> Self {
        let state = State::Complete(F::empty(&setup));
        let (next, first_kept) = (Offset(0), Offset(0));
        Replay {
            setup,
            next,
            time_ms: 0,
            state,
            last_checkpoint: None,
            first_kept,
            unreadable_records: 0,
        }
    }

    /// The offset to read from next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// The state, unless records were missed and no checkpoint has covered them yet.
    pub fn state(&self) -> Option<&F> {
        match &self.state {
            State::Complete(fold) => Some(fold),
            State::Rebuilding(_) => None,
        }
    }

    /// When and up to where the last whole checkpoint was seen.
    pub fn last_checkpoint(&self) -> Option<LogPosition> {
        self.last_checkpoint
    }

    /// Whether the log has dropped records that no checkpoint covers: whoever starts reading now
    /// never gets whole.
    pub fn needs_checkpoint(&self) -> bool {
        self.first_kept > self.last_checkpoint.map_or(Offset(0), |position| position.offset)
    }

    /// The log's clock as of the last record.
    pub fn time_ms(&self) -> u64 {
        self.time_ms
    }

    /// How many records couldn't be read.
    pub fn unreadable_records(&self) -> u64 {
        self.unreadable_records
    }

    /// Takes a page of the stream: `first` is the first offset that the log still keeps. It alone
    /// tells whether records were missed, because offsets only rise and may leave numbers out.
    pub fn apply_page<'a>(
        &mut self,
        first: Offset,
        records: impl IntoIterator<Item = LogRecord<'a>>,
    ) -> Vec<F::Change> {
        self.first_kept = first;
        if first > self.next {
            self.begin_rebuild(first);
        }
        let mut changes = Vec::new();
        for record in records {
            // A page that was asked for twice, or that the log repeats, was folded already.
            if record.offset < self.next {
                continue;
            }
            self.next = Offset(record.offset.0 + 1);
            self.apply_record(record, &mut changes);
        }
        changes
    }

    /// The records of a checkpoint of the present state, if it is complete. `id` has to be unique.
    pub fn checkpoint(&self, id: &str) -> Option<Vec<Vec<u8>>> {
        let parts = self.state()?.parts();
        let count = parts.len();
        let records = parts.into_iter().enumerate().map(|(part, state)| {
            let part = CheckpointPart {
                covers: self.next,
                time_ms: self.time_ms,
                id: id.to_owned(),
                part,
                parts: count,
                state,
            };
            serde_json::to_vec(&Content::<(), F::Part>::Checkpoint(part)).ok()
        });
        records.collect()
    }

    fn begin_rebuild(&mut self, first: Offset) {
        self.next = first;
        self.state = State::Rebuilding(Rebuild {
            first_kept: first,
            entries: Vec::new(),
            checkpoints: HashMap::new(),
        });
    }

    fn apply_record(&mut self, record: LogRecord<'_>, changes: &mut Vec<F::Change>) {
        self.time_ms = self.time_ms.max(record.time_ms);
        let position = LogPosition { offset: record.offset, time_ms: self.time_ms };
        match serde_json::from_slice::<Content<F::Entry, F::Part>>(record.data) {
            Ok(Content::Entry(entry)) => match &mut self.state {
                State::Complete(fold) => changes.extend(fold.apply(entry, position)),
                State::Rebuilding(rebuild) => rebuild.entries.push((entry, position)),
            },
            Ok(Content::Checkpoint(part)) => self.apply_checkpoint_part(part, changes),
            // Whoever wrote it, all readers skip it alike.
            Err(_) => self.unreadable_records += 1,
        }
    }

    fn apply_checkpoint_part(
        &mut self,
        part: CheckpointPart<F::Part>,
        changes: &mut Vec<F::Change>,
    ) {
        let covers = part.covers;
        if part.part + 1 == part.parts && covers <= self.next {
            self.last_checkpoint = Some(LogPosition { offset: covers, time_ms: self.time_ms });
        }
        let State::Rebuilding(rebuild) = &mut self.state else { return };
        if covers < rebuild.first_kept || covers > self.next {
            return;
        }
        let Some((time_ms, parts)) = rebuild.add_part(part) else { return };
        let entries = std::mem::take(&mut rebuild.entries);
        self.time_ms = self.time_ms.max(time_ms);
        let mut fold = F::restore(&self.setup, parts);
        for (entry, position) in entries {
            if position.offset >= covers {
                let position = LogPosition { time_ms: position.time_ms.max(time_ms), ..position };
                changes.extend(fold.apply(entry, position));
            }
        }
        self.state = State::Complete(fold);
    }
}

impl<F: Fold> Rebuild<F> {
    /// Adds a part; gives all parts and the covered time once they are there.
    fn add_part(&mut self, part: CheckpointPart<F::Part>) -> Option<(u64, Vec<F::Part>)> {
        if part.parts == 0 || part.parts > MAX_PARTS || part.part >= part.parts {
            return None;
        }
        let (id, time_ms, count) = (part.id.clone(), part.time_ms, part.parts);
        let parts = self.checkpoints.entry(id.clone()).or_default();
        if parts.len() < count {
            parts.resize_with(count, || None);
        }
        let at = part.part;
        let covers = part.covers;
        parts[at] = Some(part);
        let same = |other: &CheckpointPart<F::Part>| other.covers == covers;
        if !parts.iter().all(|part| part.as_ref().is_some_and(same)) {
            return None;
        }
        let parts = self.checkpoints.remove(&id)?;
        Some((time_ms, parts.into_iter().flatten().map(|part| part.state).collect()))
    }
}
