//! How many repeats one instance may add within a sliding window.
//!
//! **Load pattern.** Endpoints fail at many requests at once, and every instance repeats them.
//!
//! **Without it.** Repeats add up over instances that don't see each other: each stays within its
//! own bound and all together overload what is left.
//!
//! **Rule.** An instance may repeat a share of the first attempts that it made itself in the
//! window, and its part of the free repeats that the operators allow to all. Both are counted by
//! the second, and a second counts until the whole window has passed it.
//!
//! **Grounds.** Shares of one's own traffic add up to the share of all traffic without any message.
//! [`CAUTION`] leaves room for instances that have just started and still believe to be alone.

use std::collections::VecDeque;

use crate::Time;

/// The part of what is allowed that is used.
const SAFETY_RATIO: f64 = 0.6;

#[derive(Debug, Clone, Copy)]
struct Second {
    number: u64,
    first_attempts: u32,
    retries: u32,
}

/// Counts one group's first attempts and repeats.
#[derive(Debug, Default)]
pub struct RetryWindow {
    seconds: VecDeque<Second>,
}

/// What operators allow over all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryRules {
    /// Repeats as a share of first attempts.
    pub share: f64,
    /// Repeats that are free in each window.
    pub slack: f64,
    /// The window in seconds.
    pub window_s: u64,
}

impl RetryWindow {
    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: Time) {
        self.second(now).first_attempts += 1;
    }

    /// Counts a repeat if one is allowed, with `instances` sharing what is free.
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

    fn second(&mut self, now: Time) -> &mut Second {
        let number = now.0 / 1_000_000;
        if self.seconds.back().is_none_or(|second| second.number != number) {
            self.seconds.push_back(Second { number, first_attempts: 0, retries: 0 });
        }
        let last = self.seconds.len() - 1;
        &mut self.seconds[last]
    }
}
