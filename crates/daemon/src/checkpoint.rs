//! Writes a checkpoint of a stream before the log drops records that the previous one doesn't
//! cover.

use std::time::Duration;

use bytes::Bytes;
use policy::Offset;
use protocols::log::Log;
use smol::Timer;

use crate::clock::Clock;

/// Delay between the parts of a checkpoint, so that other appends aren't held up behind them.
const PART_INTERVAL: Duration = Duration::from_millis(50);
/// Number of checks, during the log's retention, whether a checkpoint is due.
const CHECKS_PER_RETENTION: u32 = 40;
/// Upper bound on the interval between two checks. If the log has dropped records that no
/// checkpoint covers, new instances wait for a checkpoint and refuse calls that may not be
/// repeated.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// How long to wait for a checkpoint to be read back before an urgent one is written again.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of checkpoints due within the log's retention. Three quarters of the retention remain for
/// an outage and for instances that read late.
const CHECKPOINTS_PER_RETENTION: u32 = 4;

/// A state that is saved by checkpoints.
pub trait CheckpointSource {
    /// The offset up to which the last checkpoint in the stream covers it.
    fn covered_offset(&self) -> Option<Offset>;

    /// Whether the log has dropped records that no checkpoint covers.
    fn is_urgent(&self) -> bool;

    /// Encodes a checkpoint of the current state as records; none while the state is incomplete.
    fn records(&self, id: &str) -> Option<Vec<Vec<u8>>>;
}

/// Where and how often to write checkpoints.
pub struct Schedule<'a> {
    /// Name of the stream.
    pub stream: &'a str,
    /// The log's retention of records.
    pub log_retention: Duration,
    /// Identifies the writer, so that checkpoint ids are unique.
    pub writer: String,
}

/// Writes checkpoints for as long as it is polled. Every instance runs this; a checkpoint written
/// by one of them postpones the others'.
pub async fn run<L: Log>(
    log: &L,
    clock: Clock,
    schedule: Schedule<'_>,
    source: &impl CheckpointSource,
) {
    let log_retention = schedule.log_retention;
    // Jitter; otherwise all instances would write theirs at the same time.
    let checkpoint_interval =
        (log_retention / CHECKPOINTS_PER_RETENTION).mul_f64(0.75 + 0.5 * fastrand::f64());
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
        let is_urgent = source.is_urgent() && !awaits_read_back;
        if !is_urgent && now.since(covered_at) < checkpoint_interval {
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
            // A part is useless without the others; a later check writes a new checkpoint.
            return false;
        }
        Timer::after(PART_INTERVAL).await;
    }
    true
}
