//! How fast an instance appends: as fast as the log takes it, shared with the other instances.

use std::time::Duration;

use policy::Time;

/// Appends a second at the start. Four instances at this rate stay below what the log takes, and
/// it bounds how much of a delay the first claims see.
const START: f64 = 60.0;
/// The fewest appends a second. A claim then waits a fifth of a second, less than clerks notice.
const FEWEST: f64 = 5.0;
/// The most appends a second, so that one busy instance leaves some to the others and to
/// checkpoints and operators, which have no pace of their own. Claims that come faster share an
/// append.
const MOST: f64 = 220.0;
/// By how much the rate rises in a second of appends: a fixed part, which lets the instances'
/// shares become alike, and a share of the rate, which finds a free log soon.
const RISE: f64 = 3.0;
const RISE_SHARE: f64 = 0.15;
/// What a refusal leaves of the rate. The log refuses what is over its rate, so each instance
/// finds its share without knowing how many others there are.
const FALL: f64 = 0.75;
/// Refusals within this time count once. The log's limit is over a second, and a full one refuses
/// every append until the second is over; counting each of them brought the rate to its floor
/// (measured: 80 of 300 appends a second used by four instances).
const FALL_PERIOD: Duration = Duration::from_millis(700);

/// The rate of appends.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    rate: f64,
    fell: Option<Time>,
}

impl Pace {
    pub(super) fn new() -> Self {
        Pace { rate: START, fell: None }
    }

    /// The time between two appends.
    pub(super) fn gap(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.rate)
    }

    /// The log took an append.
    pub(super) fn taken(&mut self) {
        self.rate = (self.rate + RISE / self.rate + RISE_SHARE).min(MOST);
    }

    /// The log refused an append.
    pub(super) fn refused(&mut self, now: Time) {
        if self.fell.is_some_and(|fell| now.since(fell) < FALL_PERIOD) {
            return;
        }
        self.fell = Some(now);
        self.rate = (self.rate * FALL).max(FEWEST);
    }
}
