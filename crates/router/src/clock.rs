//! Clocks: [`Time`] since the start of the process, as the policies need it, and [`BootTime`],
//! which also advances while the machine is suspended.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use policy::{Incarnation, Time};
use rustix::time::{ClockId, clock_gettime};
use smol::Timer;

/// Measures time since the start of the instance. Monotonic, so a step of the wall clock moves no
/// deadline.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock whose origin is now.
    pub fn start() -> Clock {
        Clock { origin: Instant::now() }
    }

    /// The moment at which the clock was created.
    pub fn origin(&self) -> Instant {
        self.origin
    }

    /// The time since the origin.
    pub fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    /// Time left until `time`; zero where it has passed.
    pub fn until(&self, time: Time) -> Duration {
        time.since(self.now())
    }

    /// Waits until `time`; for ever where it is [`Time::MAX`].
    pub async fn sleep_until(&self, time: Time) {
        if time == Time::MAX {
            return std::future::pending().await;
        }
        Timer::after(self.until(time)).await;
    }
}

/// Returns the incarnation of a process that starts now: the wall clock in microseconds.
///
/// Instances have no disk on which to count incarnations. A process starts after its predecessor
/// has ended, so its number is higher unless the wall clock was set back by more than the time
/// between them. Where that happens, peers take the new incarnation for an older one and ignore its
/// updates until it is restarted. No guarantee depends on the order, only on two incarnations never
/// having the same number.
pub fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}

/// The wall clock in milliseconds since 1970, for keys that contain their time of creation.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// A point in time on a clock that also advances while the machine is suspended.
///
/// Guards against an instance that takes its knowledge for fresh after a suspension: the monotonic
/// clock doesn't advance meanwhile, so on that clock nothing has aged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct BootTime(Duration);

impl BootTime {
    /// The start of the machine. Knowledge as of this time vouches for nothing.
    pub const BOOT: BootTime = BootTime(Duration::ZERO);

    /// The current time.
    pub fn now() -> BootTime {
        let now = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
        BootTime(Duration::new(seconds, u32::try_from(now.tv_nsec).unwrap_or(0)))
    }

    /// Time since this point; zero where it lies in the future.
    pub fn age(self) -> Duration {
        BootTime::now().0.saturating_sub(self.0)
    }

    /// The point earlier by `span`.
    pub fn before(self, span: Duration) -> BootTime {
        BootTime(self.0.saturating_sub(span))
    }

    /// The point later by `span`.
    pub fn after(self, span: Duration) -> BootTime {
        BootTime(self.0 + span)
    }
}
