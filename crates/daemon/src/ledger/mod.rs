//! The instance's side of the ledger, for calls that may not be repeated.
//!
//! [`policy::ledger`] defines what claims mean; this module appends them, reads them back and waits
//! for them. One append contains all claims that arrived while the previous append was in flight,
//! because the log accepts only a few hundred appends a second. `docs/decisions/ledger.md` contains
//! the measurements.

mod append_rate;
mod claim;
mod decide;
mod outbox;

mod reader;
mod state;
mod writer;

use std::{
    future::Future,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures_lite::FutureExt;
use policy::{
    Fingerprint, Time,
    config::LedgerRules,
    ledger::{Answer, CallKey, Writer},
};
use protocols::log::Log;
use smol::channel::{Receiver, Sender, bounded};
use xxhash_rust::xxh3::xxh3_64;

pub use claim::RunClaim;
use decide::NextStep;
use state::State;

use crate::{clock::Clock, endpoint::lock};

/// Settings of one ledger stream.
#[derive(Debug, Clone)]
pub struct LedgerConfig {
    /// Name of the stream.
    pub stream: String,
    /// How long keys are retained.
    pub window: Duration,
    /// The log's retention of records.
    pub log_retention: Duration,
}

/// This instance's view of one ledger stream. Clones share their state.
pub struct Ledger<L> {
    core: Arc<Core<L>>,
}

impl<L> Clone for Ledger<L> {
    fn clone(&self) -> Self {
        Ledger { core: self.core.clone() }
    }
}

/// All ledger streams. A key's stream is determined by its hash and never changes, because the
/// number of streams is fixed once a configuration has been published.
pub struct Ledgers<L> {
    streams: Vec<Ledger<L>>,
}

impl<L: Log + Clone + 'static> Ledgers<L> {
    /// Creates the ledgers, which have read nothing yet.
    pub fn new(log: &L, rules: LedgerRules, writer: &Writer, clock: Clock) -> Self {
        let streams = (0..rules.streams.max(1)).map(|index| {
            let cfg = LedgerConfig {
                stream: format!("ledger-{index}"),
                window: Duration::from_secs(60 * rules.window_minutes),
                log_retention: Duration::from_secs(60 * rules.log_keeps_minutes),
            };
            Ledger::new(log.clone(), cfg, writer.clone(), clock)
        });
        Ledgers { streams: streams.collect() }
    }

    /// The ledger whose stream stores `key`.
    pub fn ledger_for(&self, key: &CallKey) -> &Ledger<L> {
        let hash = xxh3_64(key.to_string().as_bytes());
        let index = usize::try_from(hash % self.streams.len() as u64).unwrap_or(0);
        &self.streams[index]
    }

    /// Iterates over all ledgers; each must be run.
    pub fn iter(&self) -> impl Iterator<Item = &Ledger<L>> {
        self.streams.iter()
    }
}

struct Core<L> {
    log: L,
    cfg: LedgerConfig,
    clock: Clock,
    state: Mutex<State>,
    /// Notifies the writer that there is something to append.
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
}

/// A call that requests the right to run.
#[derive(Debug, Clone)]
pub struct ClaimRequest {
    /// Key of the call.
    pub key: CallKey,
    /// Hash of the request body.
    pub fingerprint: Fingerprint,
    /// Whether the endpoint deduplicates: it answers a repeated key with its first answer.
    pub deduplicates: bool,
    /// When the call's deadline ends.
    pub deadline: Time,
}

/// Result of requesting the right to run a call.
pub enum ClaimOutcome<L: Log> {
    /// The call has the exclusive right to run, once.
    Run(RunClaim<L>),
    /// The call ran before; this is its answer.
    Answer(Answer),
    /// The outcome of the call can't be determined.
    Unknown,
    /// The key was already used with a different request body.
    BodyDiffers,
    /// An earlier call with this key, for which this one waited, was abandoned before it ran.
    NotRun,
    /// The log is unavailable and no call with this key is known: the call was not run.
    LogDown,
    /// The log is unavailable and has records that weren't read here: an earlier call with this key
    /// may have run.
    Behind,
    /// Too many calls wait for the log, or too many keys are retained; the call was not run.
    Full,
    /// The key's timestamp is older than the retention window.
    KeyTooOld,
    /// The key's timestamp is in the future.
    KeyFromTheFuture,
}

impl<L: Log> ClaimOutcome<L> {
    /// The outcome's label in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            ClaimOutcome::Run(_) => "run",
            ClaimOutcome::Answer(_) => "answered_before",
            ClaimOutcome::Unknown => "unknown",
            ClaimOutcome::BodyDiffers => "key_reused",
            ClaimOutcome::NotRun => "not_run",
            ClaimOutcome::LogDown => "log_down",
            ClaimOutcome::Behind => "behind",
            ClaimOutcome::Full => "full",
            ClaimOutcome::KeyTooOld => "key_too_old",
            ClaimOutcome::KeyFromTheFuture => "key_from_the_future",
        }
    }
}

impl<L: Log + 'static> Ledger<L> {
    /// Creates a ledger that has read nothing yet. It does nothing until [`Ledger::run`] is polled.
    pub fn new(log: L, cfg: LedgerConfig, writer: Writer, clock: Clock) -> Self {
        let (wake_tx, wake_rx) = bounded(1);
        let state = Mutex::new(State::new(writer, cfg.window));
        Ledger { core: Arc::new(Core { log, cfg, clock, state, wake_tx, wake_rx }) }
    }

    /// Reads the stream, appends batches and writes checkpoints for as long as it is polled.
    pub async fn run(self) {
        let reading = reader::run(&self.core);
        let writing = writer::run(&self.core);
        let checkpoints = writer::checkpoints(&self.core);
        reading.or(writing).or(checkpoints).await;
    }

    /// Whether the whole stream has been read and the log accepts appends.
    pub fn is_ready(&self) -> bool {
        let state = lock(&self.core.state);
        state.is_complete() && !state.is_down(self.core.clock.now())
    }

    /// Number of calls that wait for the log or for another call with the same key.
    pub fn waiting_calls(&self) -> usize {
        lock(&self.core.state).waiting_calls()
    }

    /// Whether the log has accepted everything that this instance had to append.
    pub fn is_flushed(&self) -> bool {
        lock(&self.core.state).is_flushed()
    }

    /// The next offset to read. Other instances compare it with theirs.
    pub fn next_offset(&self) -> policy::Offset {
        lock(&self.core.state).next_offset()
    }

    /// Records the offset up to which another instance has read. An instance that has read less
    /// can't report that a call with an unknown key has not run.
    pub fn record_stream_end(&self, next: policy::Offset) {
        lock(&self.core.state).record_stream_end(next);
    }

    /// Number of retained keys.
    pub fn key_count(&self) -> usize {
        lock(&self.core.state).key_count()
    }

    /// Claims the right to run a call, or determines its earlier outcome. Returns at the call's
    /// deadline at the latest.
    pub async fn claim(&self, req: ClaimRequest) -> ClaimOutcome<L> {
        let mut waited = false;
        loop {
            let now = self.core.clock.now();
            let next = lock(&self.core.state).next_step(&req, waited, now);
            let changed = match next {
                NextStep::Finish(outcome) => return outcome.into(),
                NextStep::WaitForStreamEnd(changed) => {
                    if !self.completes_by(req.deadline, changed.recv()).await {
                        return ClaimOutcome::Unknown;
                    }
                    continue;
                }
                NextStep::WaitForKey(changed) => {
                    if !self.completes_by(req.deadline, changed.recv()).await {
                        return ClaimOutcome::Unknown;
                    }
                    waited = true;
                    continue;
                }
                NextStep::WaitForClaim(changed) => changed,
            };
            self.core.wake_tx.try_send(()).ok();
            // Dropped with this future when the caller disconnects, which abandons the claim.
            let claim = RunClaim::new(self.clone(), req.key.clone());
            match self.wait_for_claim(&req, &changed).await {
                ClaimResult::Won => return ClaimOutcome::Run(claim),
                ClaimResult::Lost => claim.disarm(),
                ClaimResult::Abandoned => {
                    claim.disarm();
                    return ClaimOutcome::Unknown;
                }
                ClaimResult::NotAppended => {
                    claim.disarm();
                    return ClaimOutcome::LogDown;
                }
            }
            waited = true;
        }
    }

    async fn wait_for_claim(&self, req: &ClaimRequest, changed: &Receiver<()>) -> ClaimResult {
        loop {
            let in_time = self.completes_by(req.deadline, changed.recv()).await;
            let now = self.core.clock.now();
            let result = lock(&self.core.state).own_claim_result(&req.key, in_time, now);
            self.core.wake_tx.try_send(()).ok();
            if let Some(result) = result {
                return result;
            }
        }
    }

    /// Waits for `event` until `deadline`, and returns whether it occurred in time.
    async fn completes_by<T>(&self, deadline: Time, event: impl Future<Output = T>) -> bool {
        let event = async {
            event.await;
            true
        };
        let late = async {
            self.core.clock.sleep_until(deadline).await;
            false
        };
        event.or(late).await
    }
}

fn wake_all(waiters: &[Sender<()>]) {
    for waiter in waiters {
        // The channel is full if the waiter was already notified.
        waiter.try_send(()).ok();
    }
}

/// Result of a claim of this instance.
enum ClaimResult {
    Won,
    Lost,
    /// Abandoned although the log may contain it.
    Abandoned,
    /// The log was unavailable and certainly doesn't contain the claim.
    NotAppended,
}
