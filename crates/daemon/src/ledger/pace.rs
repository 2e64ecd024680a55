//! How fast an instance appends: as fast as the log takes it, shared with the other instances.

use std::time::Duration;

/// The shortest time between two appends. 250 a second and instance is below what the log takes;
/// claims that come faster share an append.
const SHORTEST: Duration = Duration::from_millis(4);
/// The longest time between two appends while the log is up. 16 instances that share 300 appends a
/// second need 53 ms each; a claim still waits less than clerks notice.
const LONGEST: Duration = Duration::from_millis(200);
/// By how much each append that was taken shortens the time to the next.
const SHORTEN: f64 = 0.97;
/// By how much a refused one lengthens it. The log refuses what is over its rate, so each instance
/// finds its share without knowing how many others there are.
const LENGTHEN: f64 = 1.5;

/// The time between two appends.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    gap: Duration,
}

impl Pace {
    pub(super) fn new() -> Self {
        Pace { gap: SHORTEST }
    }

    pub(super) fn gap(self) -> Duration {
        self.gap
    }

    pub(super) fn taken(&mut self) {
        self.gap = self.gap.mul_f64(SHORTEN).max(SHORTEST);
    }

    pub(super) fn refused(&mut self) {
        self.gap = self.gap.mul_f64(LENGTHEN).min(LONGEST);
    }
}
