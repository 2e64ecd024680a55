//! Adapts an instance's append rate to what the log accepts, shared with the other instances.

use std::time::Duration;

use policy::Time;

/// Initial rate. Four instances at this rate stay below the log's limit; the rate also bounds the
/// delay of the first claims.
const INITIAL_APPENDS_PER_S: f64 = 60.0;
/// At the lowest rate a claim waits for 200 ms, which clerks don't notice.
const MIN_APPENDS_PER_S: f64 = 5.0;
/// The upper bound leaves capacity for the other instances, and for checkpoints and operators,
/// whose appends aren't paced. Claims that arrive faster share an append.
const MAX_APPENDS_PER_S: f64 = 220.0;
/// Increase of the rate during one second of appends: a constant, by which the instances' rates
/// converge, and a fraction of the rate, which quickly uses an idle log.
const RISE_PER_S: f64 = 3.0;
const RISE_RATIO: f64 = 0.15;
/// Fraction of the rate that remains after a refusal. The log refuses what exceeds its limit, so
/// each instance finds its share without knowing how many others there are.
const FALL_RATIO: f64 = 0.75;
/// Refusals within this interval count once. The log's limit applies to each second, and once it is
/// reached, every append is refused until the second ends. Counting each refusal reduced the rate
/// to its minimum (measured: four instances used 80 of 300 appends a second).
const FALL_INTERVAL: Duration = Duration::from_millis(700);

/// Append rate with additive and proportional increase and multiplicative decrease.
#[derive(Debug, Clone, Copy)]
pub(super) struct AppendRate {
    appends_per_s: f64,
    reduced_at: Option<Time>,
}

impl AppendRate {
    pub(super) fn new() -> Self {
        AppendRate { appends_per_s: INITIAL_APPENDS_PER_S, reduced_at: None }
    }

    /// Time between two appends.
    pub(super) fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.appends_per_s)
    }

    /// Increases the rate after an accepted append.
    pub(super) fn record_accepted(&mut self) {
        self.appends_per_s = (self.appends_per_s + RISE_PER_S / self.appends_per_s + RISE_RATIO)
            .min(MAX_APPENDS_PER_S);
    }

    /// Reduces the rate after a refused append.
    pub(super) fn record_refused(&mut self, now: Time) {
        if self.reduced_at.is_some_and(|reduced_at| now.since(reduced_at) < FALL_INTERVAL) {
            return;
        }
        self.reduced_at = Some(now);
        self.appends_per_s = (self.appends_per_s * FALL_RATIO).max(MIN_APPENDS_PER_S);
    }
}
