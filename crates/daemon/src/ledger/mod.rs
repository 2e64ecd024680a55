//! Calls that may not be repeated: the instance's side of the ledger stream.
//!
//! What claims mean is decided by [`policy::ledger`]; here they are appended, read back and waited
//! for. One append carries every claim that came while the last append was under way, because the
//! log takes a few hundred appends a second. `docs/decisions/ledger.md` has the measurements.

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

/// How a ledger is kept.
#[derive(Debug, Clone)]
pub struct LedgerConfig {
    /// The stream.
    pub stream: String,
    /// How long keys are remembered.
    pub window: Duration,
    /// How long the log keeps records.
    pub log_retention: Duration,
}

/// One ledger stream as this instance sees it.
pub struct Ledger<L> {
    core: Arc<Core<L>>,
}

impl<L> Clone for Ledger<L> {
    fn clone(&self) -> Self {
        Ledger { core: self.core.clone() }
    }
}

/// All ledger streams. A key's stream follows from its hash and never changes, because the count
/// of streams is fixed once a configuration was published.
pub struct Ledgers<L> {
    streams: Vec<Ledger<L>>,
}

impl<L: Log + Clone + 'static> Ledgers<L> {
    /// Ledgers that have read nothing yet.
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

    /// The ledger of a key.
    pub fn ledger_for(&self, key: &CallKey) -> &Ledger<L> {
        let hash = xxh3_64(key.to_string().as_bytes());
        let index = usize::try_from(hash % self.streams.len() as u64).unwrap_or(0);
        &self.streams[index]
    }

    /// All ledgers, each of which has to be run.
    pub fn iter(&self) -> impl Iterator<Item = &Ledger<L>> {
        self.streams.iter()
    }
}

struct Core<L> {
    log: L,
    cfg: LedgerConfig,
    clock: Clock,
    state: Mutex<State>,
    /// Tells the writer that there is something to append.
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
}

/// A call that wants to run.
#[derive(Debug, Clone)]
pub struct ClaimRequest {
    /// Its key.
    pub key: CallKey,
    /// Hash of what it asks for.
    pub fingerprint: Fingerprint,
    /// Whether the endpoint answers a repeated key with its first answer.
    pub deduplicates: bool,
    /// How long its caller waits.
    pub deadline: Time,
}

/// What is to be done with a call.
pub enum ClaimOutcome<L: Log> {
    /// It has the right to run, once.
    Run(RunClaim<L>),
    /// It ran before; this is its answer.
    Answer(Answer),
    /// Its outcome can't be told.
    Unknown,
    /// The key was used for another call.
    BodyDiffers,
    /// An earlier call with this key was given up before it ran, while this one waited for it.
    NotRun,
    /// The log can't be used, and no call with this key is known: it was not run.
    LogDown,
    /// The log can't be used, and what it holds isn't known here: it can't be told whether an
    /// earlier call with this key ran.
    Behind,
    /// Too many calls wait for the log; it was not run.
    Full,
    /// The key is older than what is remembered.
    KeyTooOld,
    /// The key says that it was made in the future.
    KeyFromTheFuture,
}

impl<L: Log> ClaimOutcome<L> {
    /// The outcome as it stands in metrics.
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
    /// A ledger that has read nothing yet. [`Ledger::run`] has to be polled for it to do anything.
    pub fn new(log: L, cfg: LedgerConfig, writer: Writer, clock: Clock) -> Self {
        let (wake_tx, wake_rx) = bounded(1);
        let state = Mutex::new(State::new(writer, cfg.window));
        Ledger { core: Arc::new(Core { log, cfg, clock, state, wake_tx, wake_rx }) }
    }

    /// Reads, appends and writes checkpoints for as long as it is polled.
    pub async fn run(self) {
        let reading = reader::run(&self.core);
        let writing = writer::run(&self.core);
        let checkpoints = writer::checkpoints(&self.core);
        reading.or(writing).or(checkpoints).await;
    }

    /// Whether the whole stream has been read and the log takes appends.
    pub fn is_ready(&self) -> bool {
        let state = lock(&self.core.state);
        state.is_complete() && !state.is_down(self.core.clock.now())
    }

    /// How many calls wait for the log or for another call with their key.
    pub fn waiting_calls(&self) -> usize {
        lock(&self.core.state).waiting_calls()
    }

    /// Whether the log has taken all that this instance had to say.
    pub fn is_flushed(&self) -> bool {
        lock(&self.core.state).is_flushed()
    }

    /// The offset that will be read next, which other instances may compare with theirs.
    pub fn next_offset(&self) -> policy::Offset {
        lock(&self.core.state).next_offset()
    }

    /// Takes note of how far another instance has read. An instance that is behind can't say that
    /// an unknown key has not run.
    pub fn record_stream_end(&self, next: policy::Offset) {
        lock(&self.core.state).record_stream_end(next);
    }

    /// How many keys are remembered.
    pub fn key_count(&self) -> usize {
        lock(&self.core.state).key_count()
    }

    /// Claims the right to run a call, or finds out what became of it. Ends by the deadline.
    pub async fn claim(&self, req: ClaimRequest) -> ClaimOutcome<L> {
        let mut waited = false;
        loop {
            let now = self.core.clock.now();
            let next = lock(&self.core.state).next_step(&req, waited, now);
            let changed = match next {
                NextStep::Finish(outcome) => return outcome.into(),
                NextStep::Read(changed) => {
                    if !self.completes_by(req.deadline, changed.recv()).await {
                        return ClaimOutcome::Unknown;
                    }
                    continue;
                }
                NextStep::Wait(changed) => {
                    if !self.completes_by(req.deadline, changed.recv()).await {
                        return ClaimOutcome::Unknown;
                    }
                    waited = true;
                    continue;
                }
                NextStep::Claim(changed) => changed,
            };
            self.core.wake_tx.try_send(()).ok();
            // Dropped with this future when the caller hangs up, which gives the claim up.
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
            let step = lock(&self.core.state).own_claim_result(&req.key, in_time, now);
            self.core.wake_tx.try_send(()).ok();
            if let Some(own) = step {
                return own;
            }
        }
    }

    /// Waits for `event`; whether it came by `deadline`.
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
        // A waiter that was woken already needs no second call.
        waiter.try_send(()).ok();
    }
}

/// What became of an own claim.
enum ClaimResult {
    Won,
    Lost,
    /// Given up while it may stand in the log.
    Abandoned,
    /// The log took no appends, and this one certainly not.
    NotAppended,
}
