//! Appends batches and checkpoints to the ledger stream.

use std::time::Duration;

use futures_lite::FutureExt;
use policy::{Offset, ledger::Batch, replay::encode};
use protocols::log::{Log, LogError};
use smol::Timer;

use super::{Core, append_rate::AppendRate, outbox::AppendFailure, wake_all};
use crate::{
    checkpoint::{self, CheckpointSource, Schedule},
    endpoint::lock,
};

/// Interval between appends that probe a log that is down.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// How long a writer sleeps at most before it checks again whether there is something to append.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Appends the queued entries, one batch at a time.
pub(super) async fn run<L: Log>(core: &Core<L>) {
    let mut append_rate = AppendRate::new();
    loop {
        let batch = lock(&core.state).batch();
        let Some(batch) = batch else {
            let woken = async { core.wake_rx.recv().await.unwrap_or_default() };
            woken.or(sleep(IDLE_CHECK_INTERVAL)).await;
            continue;
        };
        append(core, &batch, &mut append_rate).await;
        let down = lock(&core.state).is_down(core.clock.now());
        sleep(if down { PROBE_INTERVAL } else { append_rate.interval() }).await;
    }
}

async fn append<L: Log>(core: &Core<L>, batch: &Batch, append_rate: &mut AppendRate) {
    let Ok(data) = encode::<policy::ledger::Ledger>(batch) else { return };
    let result = core.log.append(&core.cfg.stream, data.into()).await;
    let now = core.clock.now();
    let failure = match result {
        Ok(offset) => {
            append_rate.record_accepted();
            lock(&core.state).appended(batch.sequence, offset);
            return;
        }
        Err(LogError::Busy) => {
            append_rate.record_refused(now);
            AppendFailure::Busy
        }
        Err(LogError::Refused | LogError::NotSent) => AppendFailure::Refused,
        Err(LogError::Unknown | LogError::BadAnswer) => AppendFailure::Ambiguous,
    };
    let waiters = lock(&core.state).append_failed(failure, now);
    wake_all(&waiters);
}

/// Writes checkpoints of the ledger.
pub(super) async fn checkpoints<L: Log>(core: &Core<L>) {
    let writer = lock(&core.state).writer().to_string();
    let stream = core.cfg.stream.as_str();
    let schedule = Schedule { stream, log_retention: core.cfg.log_retention, writer };
    checkpoint::run(&core.log, core.clock, schedule, core).await;
}

impl<L> CheckpointSource for Core<L> {
    fn covered_offset(&self) -> Option<Offset> {
        lock(&self.state).last_checkpoint()
    }

    fn is_urgent(&self) -> bool {
        lock(&self.state).needs_checkpoint()
    }

    fn records(&self, id: &str) -> Option<Vec<Vec<u8>>> {
        lock(&self.state).checkpoint(id)
    }
}

async fn sleep(span: Duration) {
    Timer::after(span).await;
}
