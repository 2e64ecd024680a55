//! Back-off before retrying a failed store.
//!
//! **Load pattern.** A store fails for all instances at once, for seconds.
//!
//! **Without it.** Every instance retries several times a second, so that the store meets a retry
//! storm when it recovers, and each of these calls has a price.
//!
//! **Rule.** Exponential back-off with full jitter (M. Brooker, "Exponential Backoff and Jitter",
//! 2015). Its spans grow with the number of instances that share the retries, so that together they
//! retry as often as a few would; the first to succeed informs the others. The first attempt is
//! never delayed: failures of peers don't mean that this instance's attempt will fail.
//!
//! **Grounds.** An instance that shares its retries with no other retries within
//! [`MAX_BACKOFF_PER_INSTANCE`], so that it drops endpoints that left during an outage soon after
//! the store's recovery.

use std::time::Duration;

use fastrand::Rng;

/// Span of the first back-off, times the number of instances that share the retries.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(200);

/// Added to the maximum span by each instance that shares the retries: together they retry six
/// times a second on average.
pub const MAX_BACKOFF_PER_INSTANCE: Duration = Duration::from_millis(350);

/// Maximum span, however many instances share the retries. If the message about the recovery is
/// lost, a change takes effect this much later.
pub const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Span of the first back-off where the number of callers isn't known.
const FIRST_DIRECTORY_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum span of such a back-off.
const MAX_DIRECTORY_BACKOFF: Duration = Duration::from_secs(16);

/// Consecutive failures, which determine the next back-off.
#[derive(Debug, Clone, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Records a failure and returns the back-off. `instances` share the retries, this one
    /// included.
    pub fn record_failure(&mut self, instances: usize, rng: &mut Rng) -> Duration {
        let backoff = full_jitter(
            per_instance(FIRST_BACKOFF, instances),
            self.failures,
            max_backoff(instances),
            rng,
        );
        self.failures += 1;
        backoff
    }

    /// Resets the back-off after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

/// A back-off drawn uniformly from a span that doubles with each failure, up to `max_backoff`.
pub fn full_jitter(
    first: Duration,
    failures: u32,
    max_backoff: Duration,
    rng: &mut Rng,
) -> Duration {
    first.saturating_mul(1 << failures.min(16)).min(max_backoff).mul_f64(rng.f64())
}

/// Back-off of an instance that doesn't know how many others call the same store.
///
/// Guards against a retry storm after a simultaneous start: the spans double, so that the calls of
/// any number of instances soon arrive at less than the store's rate. Half of each span is fixed,
/// so that no call is repeated while the first may still be queued.
#[derive(Debug, Clone, Default)]
pub struct DirectoryBackoff {
    failures: u32,
}

impl DirectoryBackoff {
    /// Records a failure and returns the back-off.
    pub fn record_failure(&mut self, rng: &mut Rng) -> Duration {
        let span = FIRST_DIRECTORY_BACKOFF
            .saturating_mul(1 << self.failures.min(16))
            .min(MAX_DIRECTORY_BACKOFF);
        self.failures += 1;
        span.mul_f64(0.5 + 0.5 * rng.f64())
    }
}

fn max_backoff(instances: usize) -> Duration {
    per_instance(MAX_BACKOFF_PER_INSTANCE, instances).min(MAX_BACKOFF)
}

fn per_instance(span: Duration, instances: usize) -> Duration {
    span.saturating_mul(u32::try_from(instances).unwrap_or(u32::MAX))
}
