//! When a source that failed is tried again.
//!
//! **Load pattern.** A store fails for all instances at once, for seconds.
//!
//! **Without it.** Every instance retries several times a second, so that the store meets a retry storm the
//! moment it returns, and each of these calls has a price.
//!
//! **Rule.** Exponential back-off with full jitter (M. Brooker, "Exponential Backoff and Jitter", 2015). Its
//! spans grow with the instances that share the retries, so that together they retry as often as a few
//! would; whoever succeeds tells the others at once. The first try is never put off: that peers have failed
//! doesn't show that this instance will.
//!
//! **Grounds.** An instance that nobody shares with retries within [`CAP_EACH`], so that it drops what left in
//! an outage soon after the source's return.

use std::time::Duration;

use fastrand::Rng;

/// The first back-off is drawn from up to this, times the instances that share the retries.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(200);

/// How much each instance that shares the retries adds to the longest back-off: together they retry six
/// times a second on average.
pub const MAX_BACKOFF_PER_INSTANCE: Duration = Duration::from_millis(350);

/// No back-off is longer, however many share: where word of the return is lost, a change is in force this
/// much later.
pub const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Failures in a row, and what they mean for the next try.
#[derive(Debug, Clone, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// How long to wait after a failure, where `sharers` instances retry, this one included.
    pub fn failed(&mut self, instances: usize, rng: &mut Rng) -> Duration {
        let pause = full_jitter(
            per_instance(FIRST_BACKOFF, instances),
            self.failures,
            max_backoff(instances),
            rng,
        );
        self.failures += 1;
        pause
    }

    /// A try has succeeded.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

/// A pause drawn evenly from a span that doubles with each failure, up to `cap`.
pub fn full_jitter(
    first: Duration,
    failures: u32,
    max_backoff: Duration,
    rng: &mut Rng,
) -> Duration {
    first.saturating_mul(1 << failures.min(16)).min(max_backoff).mul_f64(rng.f64())
}

fn max_backoff(instances: usize) -> Duration {
    per_instance(MAX_BACKOFF_PER_INSTANCE, instances).min(MAX_BACKOFF)
}

fn per_instance(span: Duration, instances: usize) -> Duration {
    span.saturating_mul(u32::try_from(instances).unwrap_or(u32::MAX))
}
