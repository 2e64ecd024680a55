//! Appends batches and checkpoints.

use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use platform::log::{Log, LogError};
use policy::{ledger::Batch, replay::encode};
use smol::Timer;

use super::{Core, pace::Pace, wake};
use crate::endpoint::lock;

/// Time between probes of a log that is down.
const PROBE: Duration = Duration::from_millis(250);
/// How long a writer sleeps at most before it looks again whether there is something to append.
const IDLE: Duration = Duration::from_millis(500);

/// Appends what waits, one batch at a time.
pub(super) async fn run<L: Log>(core: &Core<L>) {
    let mut pace = Pace::new();
    loop {
        let batch = lock(&core.state).batch();
        let Some(batch) = batch else {
            let woken = async { core.woken.recv().await.unwrap_or_default() };
            woken.or(sleep(IDLE)).await;
            continue;
        };
        append(core, &batch, &mut pace).await;
        let down = lock(&core.state).is_down(core.clock.now());
        sleep(if down { PROBE } else { pace.gap() }).await;
    }
}

async fn append<L: Log>(core: &Core<L>, batch: &Batch, pace: &mut Pace) {
    let Ok(data) = encode::<policy::ledger::Ledger>(batch) else { return };
    let result = core.log.append(&core.cfg.stream, data.into()).await;
    let now = core.clock.now();
    let doubtful = match result {
        Ok(offset) => {
            pace.taken();
            lock(&core.state).appended(batch.sequence, offset);
            return;
        }
        Err(LogError::Refused | LogError::NotSent) => {
            pace.refused();
            false
        }
        Err(LogError::Unknown | LogError::BadAnswer) => true,
    };
    let waiters = lock(&core.state).append_failed(doubtful, now);
    wake(&waiters);
}

/// Time between the parts of a checkpoint, so that claims aren't held up behind them.
const PART_GAP: Duration = Duration::from_millis(50);
/// How often it is looked whether a checkpoint is due, as a part of the log's retention.
const LOOKS: u32 = 40;
/// After which part of the log's retention the next checkpoint is due. Three quarters are left for
/// an outage and for instances that follow late.
const DUE: u32 = 4;

/// Writes a checkpoint before the log drops what the last one doesn't cover. Each instance would,
/// and the first to do it spares the others theirs.
pub(super) async fn checkpoints<L: Log>(core: &Core<L>) {
    let keeps = core.cfg.log_keeps;
    let mut seen = None;
    let mut since = core.clock.now();
    // Without this all instances would write theirs at once.
    let due = (keeps / DUE).mul_f64(0.75 + 0.5 * fastrand::f64());
    loop {
        sleep(keeps / LOOKS).await;
        let covered = lock(&core.state).checkpointed();
        if covered != seen {
            (seen, since) = (covered, core.clock.now());
        }
        if core.clock.now().since(since) < due {
            continue;
        }
        let records = {
            let state = lock(&core.state);
            let id = format!("{}/{}", state.writer(), core.clock.now().0);
            state.checkpoint(&id)
        };
        let Some(records) = records else { continue };
        if write(core, records).await {
            since = core.clock.now();
        }
    }
}

async fn write<L: Log>(core: &Core<L>, records: Vec<Vec<u8>>) -> bool {
    for record in records {
        if core.log.append(&core.cfg.stream, Bytes::from(record)).await.is_err() {
            // Parts are of no use without the others; the next look writes a new one.
            return false;
        }
        sleep(PART_GAP).await;
    }
    true
}

async fn sleep(span: Duration) {
    Timer::after(span).await;
}
