//! Limits the rate of short prompts while long ones are starved.
//!
//! **Load pattern.** An engine is lost, or a campaign doubles the number of short prompts, while
//! long prompts are in flight.
//!
//! **Without it.** Engines serve short prompts first, so short prompts alone can fill them. An
//! admitted long prompt then makes no progress until its deadline, and its caller has waited for
//! nothing.
//!
//! **Rule.** While any instance has a long prompt whose first token takes more than [`LATE_RATIO`]
//! times its predicted time, short prompts may only start at the part of the fleet's speed that the
//! long demand leaves. The long demand counts up to `long_first_token / (long_first_token +
//! short_slowdown)` of the fleet, so each kind keeps the share of its weight. Short prompts in
//! excess of this rate wait, and admission takes the wait into account. Instances split the rate
//! like the workspaces' limits: half evenly, half by traffic.
//!
//! **Grounds.** [`BURST_S`] allows the random bursts of ordinary traffic, so only a lasting excess
//! is limited. Limiting short prompts whenever there were any long ones, by the learned speeds
//! alone, refused a tenth of the short calls of four instances at 80% load, because learned speeds
//! err towards slow. What matters is whether long prompts make progress.

/// Multiple of its predicted time to first token after which a long prompt counts as starved.
pub(super) const LATE_RATIO: f64 = 1.5;
/// Seconds of grace added to it, for the shortest of the long prompts.
pub(super) const LATE_GRACE_S: f64 = 1.0;

/// Seconds of the allowed rate that may start at once.
const BURST_S: f64 = 0.5;

/// Token bucket that limits the prefill of short prompts.
#[derive(Debug, Default)]
pub(super) struct ShortRateLimiter {
    rate: f64,
    bucket_tokens: f64,
    updated_at: f64,
    is_limited: bool,
}

impl ShortRateLimiter {
    /// Sets the allowed tokens per second, and whether the limit applies.
    pub(super) fn set(&mut self, rate: f64, is_limited: bool, now: f64) {
        self.refill(now);
        if self.rate <= 0.0 || !is_limited {
            self.bucket_tokens = rate * BURST_S;
        }
        self.rate = rate;
        self.is_limited = is_limited;
    }

    /// Whether a short prompt may start now.
    pub(super) fn allows(&mut self, now: f64) -> bool {
        self.refill(now);
        !self.is_limited || self.bucket_tokens > 0.0
    }

    /// Takes a started prompt's tokens from the bucket.
    pub(super) fn started(&mut self, prompt: f64) {
        if self.is_limited {
            self.bucket_tokens -= prompt;
        }
    }

    fn refill(&mut self, now: f64) {
        let gained = self.rate * (now - self.updated_at).max(0.0);
        self.bucket_tokens = (self.bucket_tokens + gained).min(self.rate * BURST_S);
        self.updated_at = now;
    }
}

/// Share of the fleet that long prompts may claim; `demand` is their demand as a share of the
/// fleet.
pub(super) fn long_claim(demand: f64, long_weight: f64, short_weight: f64) -> f64 {
    let share = long_weight / (long_weight + short_weight).max(f64::MIN_POSITIVE);
    demand.min(share)
}
