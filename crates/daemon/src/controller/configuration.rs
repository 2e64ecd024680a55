//! Follows the stream on which operators publish, and puts in force what it folds to.
//!
//! Peers tell one another of a new version at once (`controller/peers.rs`), and each instance
//! reads the log as well, so that a change is in force everywhere within two seconds whichever of
//! the two ways is slow. What is in force never reverts: versions only rise, and the fold ignores
//! whatever comes late, twice, or without its past.

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

/// The stream.
pub const STREAM: &str = "configuration";

/// Records in one read. A published folder is some tens of kilobytes.
const PAGE: usize = 50;
/// How long a read waits for a record. A connection that went silent is noticed a second later,
/// which leaves time to read the change on a new one within the two seconds that are promised.
const WAIT: Duration = Duration::from_millis(400);
/// Time between tries while the log can't be used.
const RETRY: Duration = Duration::from_millis(200);
/// How long an appended record may take to be read back before it is appended again.
const READ_BACK: Duration = Duration::from_millis(800);
/// How long the log keeps records, as assumed until the configuration says it.
const LOG_KEEPS: Duration = Duration::from_secs(3_600);

/// What happened to an entry that was to be published.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishOutcome {
    /// The log holds it, and this is what became of it.
    Entry(Box<AuditEntry>),
    /// The log took nothing; the entry has no effect.
    NotAppended,
    /// Time ran out while the entry may stand in the log.
    Unknown,
}

/// The configuration stream as this instance sees it.
pub struct Publications<L> {
    log: L,
    clock: Clock,
    state: Mutex<Followed>,
}

struct Followed {
    replay: Replay<Publication>,
    reached_end: bool,
    waiters: Vec<Sender<()>>,
}

/// What is in force by the stream.
struct InForce {
    config: Arc<Config>,
    version: Version,
}

impl<L: Log> Publications<L> {
    /// A reader that has read nothing yet. [`run`] has to be polled for it to do anything.
    pub fn new(log: L, clock: Clock) -> Self {
        let replay = Replay::new(());
        let state = Mutex::new(Followed { replay, reached_end: false, waiters: Vec::new() });
        Publications { log, clock, state }
    }

    /// Looks at the fold, if the stream has been read to its end.
    pub fn with_state<T>(&self, look: impl FnOnce(&Publication) -> T) -> Option<T> {
        let state = lock(&self.state);
        state.replay.state().filter(|_| state.reached_end).map(look)
    }

    /// Appends an entry until the stream shows what became of it, or `patience` is over. An append
    /// without answer is repeated; the fold takes the first.
    pub async fn publish(&self, entry: &PublicationEntry, patience: Duration) -> PublishOutcome {
        let id = match entry {
            PublicationEntry::Change(change) => change.id.as_str(),
            PublicationEntry::Note(note) => note.id.as_str(),
        };
        let Ok(data) = encode::<Publication>(entry) else { return PublishOutcome::NotAppended };
        let end = self.clock.now() + patience;
        let mut doubtful = false;
        while self.clock.now() < end {
            match self.log.append(STREAM, data.clone().into()).await {
                Ok(_) | Err(LogError::Unknown | LogError::BadAnswer) => doubtful = true,
                Err(LogError::NotSent | LogError::Refused | LogError::Busy) => {
                    Timer::after(RETRY).await;
                }
            }
            if doubtful && let Some(entry) = self.read_back(id, READ_BACK).await {
                return PublishOutcome::Entry(Box::new(entry));
            }
        }
        if doubtful { PublishOutcome::Unknown } else { PublishOutcome::NotAppended }
    }

    async fn read_back(&self, id: &str, patience: Duration) -> Option<AuditEntry> {
        let end = self.clock.now() + patience;
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
            let late = async {
                self.clock.sleep_until(end).await;
                false
            };
            if !woken.or(late).await {
                return None;
            }
        }
    }

    /// Reads what is new. Gives what is in force by it.
    async fn follow(&self) -> Result<Option<InForce>, LogError> {
        let (from, wait) = {
            let state = lock(&self.state);
            // At the start it has to be known at once where the stream ends.
            let wait = if state.reached_end { WAIT } else { Duration::ZERO };
            (state.replay.next(), wait)
        };
        let page = self.log.read(STREAM, from, PAGE, wait).await?;
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
        let whole = state.reached_end && state.replay.next() > Offset(0);
        state.replay.checkpoint(id).filter(|_| whole)
    }
}

/// Follows the stream for as long as the instance lives.
pub async fn run<L: Log>(publications: Arc<Publications<L>>, shared: Weak<Shared>) {
    let mut seen = Version(0);
    loop {
        match publications.follow().await {
            Ok(Some(in_force)) if in_force.version > seen => {
                let Some(shared) = shared.upgrade() else { return };
                seen = in_force.version;
                shared.set_config(Config::clone(&in_force.config), in_force.version);
            }
            Ok(_) => {}
            Err(e) => {
                log::debug!(cause:% = e; "configuration_not_read");
                Timer::after(RETRY).await;
            }
        }
        if shared.strong_count() == 0 {
            return;
        }
    }
}

/// Keeps the configuration alive beyond the log's retention.
pub async fn run_checkpoints<L: Log>(publications: Arc<Publications<L>>, shared: Weak<Shared>) {
    let Some(state) = shared.upgrade() else { return };
    let writer = state.owner.to_string();
    drop(state);
    loop {
        // The first version to be in force tells how long the log keeps its records.
        let Some(state) = shared.upgrade() else { return };
        let active = state.active();
        drop(state);
        if active.version > Version(0) {
            let minutes = active.config.ledger.log_keeps_minutes;
            let log_retention = Duration::from_secs(60 * minutes).min(LOG_KEEPS * 24);
            let schedule = Schedule { stream: STREAM, log_retention, writer };
            let (log, clock) = (&publications.log, publications.clock);
            return checkpoint::run(log, clock, schedule, &*publications).await;
        }
        Timer::after(RETRY).await;
    }
}
