//! Writes checkpoints of a stream before the log drops what the last one doesn't cover.

use std::time::Duration;

use bytes::Bytes;
use policy::Offset;
use protocols::log::Log;
use smol::Timer;

use crate::clock::Clock;

/// Time between the parts of a checkpoint, so that other appends aren't held up behind them.
const PART_GAP: Duration = Duration::from_millis(50);
/// How often it is looked whether a checkpoint is due, as a part of the log's retention.
const LOOKS: u32 = 40;
/// The longest time between two looks. When the log has dropped what no checkpoint covers, new
/// instances wait for one and refuse calls that may not be repeated.
const LONGEST_LOOK: Duration = Duration::from_secs(2);
/// How long a checkpoint may take to be read back before an urgent one is written again.
const READ_BACK: Duration = Duration::from_secs(10);
/// After which part of the log's retention the next checkpoint is due. Three quarters are left for
/// an outage and for instances that follow late.
const DUE: u32 = 4;

/// A state that is kept by checkpoints.
pub trait Source {
    /// Up to where the last checkpoint seen in the stream goes.
    fn covered(&self) -> Option<Offset>;

    /// Whether the log has dropped what no checkpoint covers.
    fn is_urgent(&self) -> bool;

    /// The records of a checkpoint of the present state; none while it isn't whole.
    fn records(&self, id: &str) -> Option<Vec<Vec<u8>>>;
}

/// Where and how often checkpoints are written.
pub struct Schedule<'a> {
    /// The stream.
    pub stream: &'a str,
    /// How long the log keeps records.
    pub log_retention: Duration,
    /// Names the writer, so that no two checkpoints have the same name.
    pub writer: String,
}

/// Writes checkpoints for as long as it is polled. Each instance would write one, and the first to
/// do it spares the others theirs.
pub async fn run<L: Log>(log: &L, clock: Clock, schedule: Schedule<'_>, source: &impl Source) {
    let keeps = schedule.log_retention;
    // Without this all instances would write theirs at once.
    let due = (keeps / DUE).mul_f64(0.75 + 0.5 * fastrand::f64());
    let (mut seen, mut since) = (None, clock.now());
    let mut written = None;
    loop {
        let look = (keeps / LOOKS).min(LONGEST_LOOK);
        Timer::after(look.mul_f64(0.5 + fastrand::f64())).await;
        let now = clock.now();
        let covered = source.covered();
        if covered != seen {
            (seen, since) = (covered, now);
        }
        let waits = written.is_some_and(|written| now.since(written) < READ_BACK);
        let urgent = source.is_urgent() && !waits;
        if !urgent && now.since(since) < due {
            continue;
        }
        let id = format!("{}/{}", schedule.writer, now.0);
        let Some(records) = source.records(&id) else { continue };
        if write(log, schedule.stream, records).await {
            since = clock.now();
            written = Some(since);
        }
    }
}

async fn write<L: Log>(log: &L, stream: &str, records: Vec<Vec<u8>>) -> bool {
    for record in records {
        if log.append(stream, Bytes::from(record)).await.is_err() {
            // Parts are of no use without the others; the next look writes a new one.
            return false;
        }
        Timer::after(PART_GAP).await;
    }
    true
}
