//! Clocks: [`Time`] counted from the start of the process, as the decisions want it, and one that
//! also runs while the machine is suspended.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use policy::{Incarnation, Time};
use rustix::time::{ClockId, clock_gettime};
use smol::Timer;

/// Counts from the start of the instance. Monotonic, so that a step of the wall clock moves no
/// deadline.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock whose origin is now.
    pub fn start() -> Clock {
        Clock { origin: Instant::now() }
    }

    /// When it started.
    pub fn origin(&self) -> Instant {
        self.origin
    }

    /// The present.
    pub fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    /// How long until `time`; zero where it has passed.
    pub fn until(&self, time: Time) -> Duration {
        time.since(self.now())
    }

    /// Waits until `time`.
    pub async fn sleep_until(&self, time: Time) {
        if time == Time::MAX {
            return std::future::pending().await;
        }
        Timer::after(self.until(time)).await;
    }
}

/// The incarnation of a process that starts now: microseconds of the wall clock.
///
/// Instances have no disk to count lives on. A successor starts after its predecessor has ended,
/// so its number is higher as long as the wall clock isn't set back by more than the time between
/// the two. Where that happens all the same, others take the new life for an old one and ignore
/// its load digests until it is restarted; nothing that must happen once depends on the order,
/// only on two lives never having the same number.
pub fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}

/// The wall clock in milliseconds, for keys that tell when they were made.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// A point in time that also counts while the machine is suspended.
///
/// Guards against a suspended instance that wakes and takes what it knew for new: the monotonic
/// clock stands still meanwhile, so by it nothing has aged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct BootTime(Duration);

impl BootTime {
    /// The present.
    pub fn now() -> BootTime {
        let now = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
        BootTime(Duration::new(seconds, u32::try_from(now.tv_nsec).unwrap_or(0)))
    }

    /// How long ago it was.
    pub fn age(self) -> Duration {
        BootTime::now().0.saturating_sub(self.0)
    }

    /// The point `span` earlier.
    pub fn before(self, span: Duration) -> BootTime {
        BootTime(self.0.saturating_sub(span))
    }

    /// The point `span` later.
    pub fn after(self, span: Duration) -> BootTime {
        BootTime(self.0 + span)
    }
}
