//! Writes checkpoints of a stream before the log drops what the last one doesn't cover.

use std::time::Duration;

use bytes::Bytes;
use policy::Offset;
use protocols::log::Log;
use smol::Timer;

use crate::clock::Clock;

/// Time between the parts of a checkpoint, so that other appends aren't held up behind them.
const PART_INTERVAL: Duration = Duration::from_millis(50);
/// How often it is looked whether a checkpoint is due, as a part of the log's retention.
const CHECKS_PER_RETENTION: u32 = 40;
/// The longest time between two looks. When the log has dropped what no checkpoint covers, new
/// instances wait for one and refuse calls that may not be repeated.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// How long a checkpoint may take to be read back before an urgent one is written again.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(10);
/// After which part of the log's retention the next checkpoint is due. Three quarters are left for
/// an outage and for instances that follow late.
const CHECKPOINTS_PER_RETENTION: u32 = 4;

/// A state that is kept by checkpoints.
pub trait CheckpointSource {
    /// Up to where the last checkpoint seen in the stream goes.
    fn covered_offset(&self) -> Option<Offset>;

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
pub async fn run<L: Log>(
    log: &L,
    clock: Clock,
    schedule: Schedule<'_>,
    source: &impl CheckpointSource,
) {
    let log_retention = schedule.log_retention;
    // Without this all instances would write theirs at once.
    let due = (log_retention / CHECKPOINTS_PER_RETENTION).mul_f64(0.75 + 0.5 * fastrand::f64());
    let (mut last_covered, mut covered_at) = (None, clock.now());
    let mut written_at = None;
    loop {
        let check_interval = (log_retention / CHECKS_PER_RETENTION).min(MAX_CHECK_INTERVAL);
        Timer::after(check_interval.mul_f64(0.5 + fastrand::f64())).await;
        let now = clock.now();
        let covered_offset = source.covered_offset();
        if covered_offset != last_covered {
            (last_covered, covered_at) = (covered_offset, now);
        }
        let awaits_read_back =
            written_at.is_some_and(|written_at| now.since(written_at) < READ_BACK_TIMEOUT);
        let urgent = source.is_urgent() && !awaits_read_back;
        if !urgent && now.since(covered_at) < due {
            continue;
        }
        let id = format!("{}/{}", schedule.writer, now.0);
        let Some(records) = source.records(&id) else { continue };
        if write(log, schedule.stream, records).await {
            covered_at = clock.now();
            written_at = Some(covered_at);
        }
    }
}

async fn write<L: Log>(log: &L, stream: &str, records: Vec<Vec<u8>>) -> bool {
    for record in records {
        if log.append(stream, Bytes::from(record)).await.is_err() {
            // Parts are of no use without the others; the next look writes a new one.
            return false;
        }
        Timer::after(PART_INTERVAL).await;
    }
    true
}
