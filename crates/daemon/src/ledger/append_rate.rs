//! How fast an instance appends: as fast as the log takes it, shared with the other instances.

use std::time::Duration;

use policy::Time;

/// Appends a second at the start. Four instances at this rate stay below what the log takes, and
/// it bounds how much of a delay the first claims see.
const INITIAL_APPENDS_PER_S: f64 = 60.0;
/// The fewest appends a second. A claim then waits a fifth of a second, less than clerks notice.
const MIN_APPENDS_PER_S: f64 = 5.0;
/// The most appends a second, so that one busy instance leaves some to the others and to
/// checkpoints and operators, which have no pace of their own. Claims that come faster share an
/// append.
const MAX_APPENDS_PER_S: f64 = 220.0;
/// By how much the rate rises in a second of appends: a fixed part, which lets the instances'
/// shares become alike, and a share of the rate, which finds a free log soon.
const RISE_PER_S: f64 = 3.0;
const RISE_RATIO: f64 = 0.15;
/// What a refusal leaves of the rate. The log refuses what is over its rate, so each instance
/// finds its share without knowing how many others there are.
const FALL_RATIO: f64 = 0.75;
/// Refusals within this time count once. The log's limit is over a second, and a full one refuses
/// every append until the second is over; counting each of them brought the rate to its floor
/// (measured: 80 of 300 appends a second used by four instances).
const FALL_INTERVAL: Duration = Duration::from_millis(700);

/// The rate of appends.
#[derive(Debug, Clone, Copy)]
pub(super) struct AppendRate {
    appends_per_s: f64,
    reduced_at: Option<Time>,
}

impl AppendRate {
    pub(super) fn new() -> Self {
        AppendRate { appends_per_s: INITIAL_APPENDS_PER_S, reduced_at: None }
    }

    /// The time between two appends.
    pub(super) fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.appends_per_s)
    }

    /// The log took an append.
    pub(super) fn record_accepted(&mut self) {
        self.appends_per_s = (self.appends_per_s + RISE_PER_S / self.appends_per_s + RISE_RATIO)
            .min(MAX_APPENDS_PER_S);
    }

    /// The log refused an append.
    pub(super) fn record_refused(&mut self, now: Time) {
        if self.reduced_at.is_some_and(|reduced_at| now.since(reduced_at) < FALL_INTERVAL) {
            return;
        }
        self.reduced_at = Some(now);
        self.appends_per_s = (self.appends_per_s * FALL_RATIO).max(MIN_APPENDS_PER_S);
    }
}
