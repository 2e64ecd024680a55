//! Folds a stream of the log into state that is identical on every instance.
//!
//! The log keeps records for a limited time, so a reader may find that its next record was dropped.
//! Continuing with the next kept record would make its state differ from the others'. The reader
//! therefore waits for a checkpoint that covers the gap, and its state is incomplete until then. A
//! checkpoint covers all records below its offset `covers`. A checkpoint is stale, and ignored, if
//! records are missing between `covers` and the first kept record. `docs/decisions/ledger.md`
//! describes the alternatives.

use std::{collections::HashMap, fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Position of a record in its stream. Offsets increase but may skip numbers.
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

/// A record as read from the log.
#[derive(Debug, Clone, Copy)]
pub struct LogRecord<'a> {
    /// Position of the record in the stream.
    pub offset: Offset,
    /// When the log took the record, in milliseconds of the log's clock.
    pub time_ms: u64,
    /// The record's JSON text.
    pub data: &'a [u8],
}

/// Offset and time at which the log took an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogPosition {
    /// Position of the record in the stream.
    pub offset: Offset,
    /// Milliseconds of the log's clock. It never decreases from entry to entry: an earlier time is
    /// raised to the latest one seen.
    pub time_ms: u64,
}

/// State that is computed by applying the entries of a stream in order.
pub trait Fold: Sized {
    /// Type of the stream's entries.
    type Entry: Serialize + DeserializeOwned;
    /// Type of one part of a checkpoint.
    type Part: Serialize + DeserializeOwned;
    /// Parameters that must be equal for all readers of the stream.
    type Params: Clone;
    /// Describes what an entry changed, to notify waiting tasks.
    type Change;

    /// Creates the state before the first record.
    fn empty(params: &Self::Params) -> Self;

    /// Restores the state from all parts of a checkpoint.
    fn restore(params: &Self::Params, parts: Vec<Self::Part>) -> Self;

    /// Splits the state into at least one part, each small enough for one record.
    fn parts(&self) -> Vec<Self::Part>;

    /// Applies one entry.
    fn apply(&mut self, entry: Self::Entry, position: LogPosition) -> Vec<Self::Change>;
}

/// JSON content of a record.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Content<E, P> {
    Entry(E),
    Checkpoint(CheckpointPart<P>),
}

#[derive(Debug, Serialize, Deserialize)]
struct CheckpointPart<P> {
    /// The state includes all records below this offset.
    covers: Offset,
    /// The log's time of the last covered record.
    time_ms: u64,
    /// Identifies the checkpoint that the part belongs to.
    id: String,
    part: usize,
    parts: usize,
    state: P,
}

/// Limit on the parts of one checkpoint; a record with a larger number is invalid.
const MAX_PARTS: usize = 100_000;

/// Encodes an entry as the content of a record.
///
/// # Errors
///
/// If the entry can't be serialised to JSON.
pub fn encode<F: Fold>(entry: &F::Entry) -> serde_json::Result<Vec<u8>> {
    serde_json::to_vec(&Content::<&F::Entry, ()>::Entry(entry))
}

/// Reader of a stream: the position up to which it was read, and the folded state.
pub struct Replay<F: Fold> {
    params: F::Params,
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

/// State of a reader that missed records and waits for a checkpoint.
struct Rebuild<F: Fold> {
    /// Offset of the first record that the log still kept.
    first_kept: Offset,
    entries: Vec<(F::Entry, LogPosition)>,
    checkpoints: HashMap<String, Vec<Option<CheckpointPart<F::Part>>>>,
}

impl<F: Fold> Replay<F> {
    /// Creates a reader that starts at the beginning of the stream.
    pub fn new(params: F::Params) -> Self {
        let state = State::Complete(F::empty(&params));
        let (next, first_kept) = (Offset(0), Offset(0));
        Replay {
            params,
            next,
            time_ms: 0,
            state,
            last_checkpoint: None,
            first_kept,
            unreadable_records: 0,
        }
    }

    /// The offset to read from.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// The state; none while records are missing that no checkpoint has covered yet.
    pub fn state(&self) -> Option<&F> {
        match &self.state {
            State::Complete(fold) => Some(fold),
            State::Rebuilding(_) => None,
        }
    }

    /// Time at which the last complete checkpoint was seen, and the offset up to which it covers
    /// the stream.
    pub fn last_checkpoint(&self) -> Option<LogPosition> {
        self.last_checkpoint
    }

    /// Whether the log has dropped records that no checkpoint covers: a reader that starts now
    /// can't restore the state.
    pub fn needs_checkpoint(&self) -> bool {
        self.first_kept > self.last_checkpoint.map_or(Offset(0), |position| position.offset)
    }

    /// Time of the last record, in milliseconds of the log's clock.
    pub fn time_ms(&self) -> u64 {
        self.time_ms
    }

    /// Number of records that couldn't be parsed and were skipped.
    pub fn unreadable_records(&self) -> u64 {
        self.unreadable_records
    }

    /// Applies a page of the stream. `first` is the first offset that the log still keeps. Only
    /// `first` shows whether records were missed, because offsets may skip numbers.
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
            // The record was already applied: the page was requested twice or repeated by the log.
            if record.offset < self.next {
                continue;
            }
            self.next = Offset(record.offset.0 + 1);
            self.apply_record(record, &mut changes);
        }
        changes
    }

    /// Encodes a checkpoint of the current state as records; none while the state is incomplete.
    /// `id` must be unique in the stream.
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
            // All readers skip a malformed record alike.
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
        let mut fold = F::restore(&self.params, parts);
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
    /// Adds a part of a checkpoint. Once the checkpoint is complete, returns all its parts and the
    /// log's time of the last covered record.
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
        let same_covers = |other: &CheckpointPart<F::Part>| other.covers == covers;
        if !parts.iter().all(|part| part.as_ref().is_some_and(same_covers)) {
            return None;
        }
        let parts = self.checkpoints.remove(&id)?;
        Some((time_ms, parts.into_iter().flatten().map(|part| part.state).collect()))
    }
}
