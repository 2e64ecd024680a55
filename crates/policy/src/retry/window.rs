//! Limit of the retries that one instance may add within a sliding window.
//!
//! **Load pattern.** Endpoints fail many requests at once, and every instance retries them.
//!
//! **Without it.** Instances don't see each other's retries: each stays within its own limit, and
//! all together overload the remaining endpoints.
//!
//! **Rule.** An instance may retry a share of the first attempts that it made itself in the window,
//! plus its part of the constant allowance that operators grant to all instances. Both are counted
//! per second, and a second counts until it has left the window completely.
//!
//! **Grounds.** Shares of each instance's own traffic add up to the share of all traffic without
//! any communication. [`SAFETY_RATIO`] leaves room for instances that have just started and don't
//! see the others yet.

use std::collections::VecDeque;

use crate::Time;

/// Fraction of the permitted retries that is used.
const SAFETY_RATIO: f64 = 0.6;

#[derive(Debug, Clone, Copy)]
struct SecondCounts {
    number: u64,
    first_attempts: u32,
    retries: u32,
}

/// Counts one endpoint group's first attempts and retries per second.
#[derive(Debug, Default)]
pub struct RetryWindow {
    seconds: VecDeque<SecondCounts>,
}

/// Limits of retries over all instances, as configured.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryRules {
    /// Retries as a share of first attempts.
    pub share: f64,
    /// Retries permitted in each window in addition to the share.
    pub slack: f64,
    /// Length of the window in seconds.
    pub window_s: u64,
}

impl RetryWindow {
    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: Time) {
        self.second(now).first_attempts += 1;
    }

    /// Counts a retry and returns true, if it is permitted; `instances` share the constant
    /// allowance.
    pub fn try_retry(&mut self, rules: &RetryRules, instances: usize, now: Time) -> bool {
        let oldest = (now.0 / 1_000_000).saturating_sub(rules.window_s);
        while self.seconds.front().is_some_and(|second| second.number < oldest) {
            self.seconds.pop_front();
        }
        let first_attempts: u32 = self.seconds.iter().map(|second| second.first_attempts).sum();
        let retries: u32 = self.seconds.iter().map(|second| second.retries).sum();
        let allowed =
            rules.share * f64::from(first_attempts) + rules.slack / instances.max(1) as f64;
        if f64::from(retries + 1) > SAFETY_RATIO * allowed {
            return false;
        }
        self.second(now).retries += 1;
        true
    }

    fn second(&mut self, now: Time) -> &mut SecondCounts {
        let number = now.0 / 1_000_000;
        if self.seconds.back().is_none_or(|second| second.number != number) {
            self.seconds.push_back(SecondCounts { number, first_attempts: 0, retries: 0 });
        }
        let last = self.seconds.len() - 1;
        &mut self.seconds[last]
    }
}
