//! Reads the stream of published configurations and puts the resulting version in force.
//!
//! Peers notify each other of a new version immediately (`controller/peers.rs`), and each instance
//! also reads the log, so a change is in force everywhere within two seconds even if one of the two
//! paths is slow. A version in force never reverts: versions only increase, and the fold ignores
//! records that are late, duplicated, or lack their history.

use std::{
    mem,
    sync::{Arc, Mutex, Weak},
    time::Duration,
};

use futures_lite::FutureExt;
use policy::{
    config::{Config, Version},
    publication::{AuditEntry, Publication, PublicationEntry},
    replay::{LogRecord, Replay, encode},
};
use protocols::log::{Log, LogError, Offset};
use smol::{
    Timer,
    channel::{Sender, bounded},
};

use crate::{
    checkpoint::{self, CheckpointSource, Schedule},
    clock::Clock,
    endpoint::lock,
    shared::Shared,
};

/// Name of the stream in the log.
pub const STREAM: &str = "configuration";

/// Records in one read. A published folder is some tens of kilobytes.
const MAX_PAGE_RECORDS: usize = 50;
/// How long a read waits for a record. A connection that went silent is noticed a second later,
/// which leaves time to read the change on a new one within the guaranteed two seconds.
const READ_WAIT: Duration = Duration::from_millis(400);
/// Delay between attempts while the log is unavailable.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long to wait for an appended record to be read back before it is appended again.
const READ_BACK_TIMEOUT: Duration = Duration::from_millis(800);
/// One hour. The checkpoint schedule assumes that the log keeps records for at most 24 hours.
const HOUR: Duration = Duration::from_secs(3_600);

/// Outcome of publishing an entry.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishOutcome {
    /// The log contains the entry, and this is the verdict on it.
    Entry(Box<AuditEntry>),
    /// Nothing was appended; the entry has no effect.
    NotAppended,
    /// The timeout expired; the log may contain the entry.
    Unknown,
}

/// The configuration stream as read by this instance.
pub struct Publications<L> {
    log: L,
    clock: Clock,
    state: Mutex<StreamState>,
}

struct StreamState {
    replay: Replay<Publication>,
    reached_end: bool,
    waiters: Vec<Sender<()>>,
}

/// The configuration in force according to the stream.
struct InForce {
    config: Arc<Config>,
    version: Version,
}

impl<L: Log> Publications<L> {
    /// Creates a reader that has read nothing yet. It makes progress only while [`run`] is polled.
    pub fn new(log: L, clock: Clock) -> Self {
        let replay = Replay::new(());
        let state = Mutex::new(StreamState { replay, reached_end: false, waiters: Vec::new() });
        Publications { log, clock, state }
    }

    /// Passes the folded state to `read_state`, if the stream has been read to its end.
    pub fn with_state<T>(&self, read_state: impl FnOnce(&Publication) -> T) -> Option<T> {
        let state = lock(&self.state);
        state.replay.state().filter(|_| state.reached_end).map(read_state)
    }

    /// Appends an entry and waits until the stream shows the verdict on it, or until `timeout`. An
    /// append without a reply is repeated; the fold uses the first copy.
    pub async fn publish(&self, entry: &PublicationEntry, timeout: Duration) -> PublishOutcome {
        let id = match entry {
            PublicationEntry::Change(change) => change.id.as_str(),
            PublicationEntry::Note(note) => note.id.as_str(),
        };
        let Ok(data) = encode::<Publication>(entry) else { return PublishOutcome::NotAppended };
        let deadline = self.clock.now() + timeout;
        let mut maybe_appended = false;
        while self.clock.now() < deadline {
            match self.log.append(STREAM, data.clone().into()).await {
                Ok(_) | Err(LogError::Unknown | LogError::BadAnswer) => maybe_appended = true,
                Err(LogError::NotSent | LogError::Refused | LogError::Busy) => {
                    Timer::after(RETRY_DELAY).await;
                }
            }
            if maybe_appended && let Some(entry) = self.read_back(id, READ_BACK_TIMEOUT).await {
                return PublishOutcome::Entry(Box::new(entry));
            }
        }
        if maybe_appended { PublishOutcome::Unknown } else { PublishOutcome::NotAppended }
    }

    async fn read_back(&self, id: &str, timeout: Duration) -> Option<AuditEntry> {
        let deadline = self.clock.now() + timeout;
        loop {
            let (tx, changed) = bounded(1);
            {
                let mut state = lock(&self.state);
                if let Some(entry) = state.replay.state().and_then(|fold| fold.entry(id)) {
                    return Some(entry.clone());
                }
                state.waiters.retain(|waiter| !waiter.is_closed());
                state.waiters.push(tx);
            }
            let woken = async { changed.recv().await.is_ok() };
            let timed_out = async {
                self.clock.sleep_until(deadline).await;
                false
            };
            if !woken.or(timed_out).await {
                return None;
            }
        }
    }

    /// Reads new records and returns the configuration in force after them.
    async fn read_new(&self) -> Result<Option<InForce>, LogError> {
        let (from, read_wait) = {
            let state = lock(&self.state);
            // The first reads don't wait for records, so that the end of the stream is found at
            // once.
            let read_wait = if state.reached_end { READ_WAIT } else { Duration::ZERO };
            (state.replay.next(), read_wait)
        };
        let page = self.log.read(STREAM, from, MAX_PAGE_RECORDS, read_wait).await?;
        let mut state = lock(&self.state);
        let records = page.records.iter().map(|record| LogRecord {
            offset: record.offset,
            time_ms: record.time_ms,
            data: &record.data,
        });
        for entry in state.replay.apply_page(page.first, records) {
            log::info!(
                offset = entry.offset.0,
                id = entry.id.as_str(),
                by = entry.by.as_str(),
                base = entry.base.0,
                verdict:? = entry.verdict;
                "published"
            );
        }
        state.reached_end |= state.replay.next() >= page.end;
        for waiter in mem::take(&mut state.waiters) {
            waiter.try_send(()).ok();
        }
        let Some(fold) = state.replay.state() else { return Ok(None) };
        let version = fold.version();
        Ok(fold.config().cloned().map(|config| InForce { config, version }))
    }
}

impl<L> CheckpointSource for Publications<L> {
    fn covered_offset(&self) -> Option<Offset> {
        lock(&self.state).replay.last_checkpoint().map(|position| position.offset)
    }

    fn is_urgent(&self) -> bool {
        lock(&self.state).replay.needs_checkpoint()
    }

    fn records(&self, id: &str) -> Option<Vec<Vec<u8>>> {
        let state = lock(&self.state);
        let is_complete = state.reached_end && state.replay.next() > Offset(0);
        state.replay.checkpoint(id).filter(|_| is_complete)
    }
}

/// Reads the stream until the instance is dropped.
pub async fn run<L: Log>(publications: Arc<Publications<L>>, shared: Weak<Shared>) {
    let mut applied_version = Version(0);
    loop {
        match publications.read_new().await {
            Ok(Some(in_force)) if in_force.version > applied_version => {
                let Some(shared) = shared.upgrade() else { return };
                applied_version = in_force.version;
                shared.set_config(Config::clone(&in_force.config), in_force.version);
            }
            Ok(_) => {}
            Err(e) => {
                log::debug!(cause:% = e; "configuration_not_read");
                Timer::after(RETRY_DELAY).await;
            }
        }
        if shared.strong_count() == 0 {
            return;
        }
    }
}

/// Writes checkpoints, so that the configuration outlives the log's retention.
pub async fn run_checkpoints<L: Log>(publications: Arc<Publications<L>>, shared: Weak<Shared>) {
    let Some(state) = shared.upgrade() else { return };
    let writer = state.owner.to_string();
    drop(state);
    loop {
        // The retention of the log is known once a version is in force.
        let Some(state) = shared.upgrade() else { return };
        let active = state.active();
        drop(state);
        if active.version > Version(0) {
            let minutes = active.config.ledger.log_keeps_minutes;
            let log_retention = Duration::from_secs(60 * minutes).min(HOUR * 24);
            let schedule = Schedule { stream: STREAM, log_retention, writer };
            let (log, clock) = (&publications.log, publications.clock);
            return checkpoint::run(log, clock, schedule, &*publications).await;
        }
        Timer::after(RETRY_DELAY).await;
    }
}
