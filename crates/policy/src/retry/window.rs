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
const CAUTION: f64 = 0.6;

#[derive(Debug, Clone, Copy)]
struct Second {
    number: u64,
    firsts: u32,
    repeats: u32,
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
    pub fn first(&mut self, now: Time) {
        self.second(now).firsts += 1;
    }

    /// Counts a repeat if one is allowed, with `instances` sharing what is free.
    pub fn repeat(&mut self, rules: &RetryRules, instances: usize, now: Time) -> bool {
        let oldest = (now.0 / 1_000_000).saturating_sub(rules.window_s);
        while self.seconds.front().is_some_and(|second| second.number < oldest) {
            self.seconds.pop_front();
        }
        let firsts: u32 = self.seconds.iter().map(|second| second.firsts).sum();
        let repeats: u32 = self.seconds.iter().map(|second| second.repeats).sum();
        let allowed = rules.share * f64::from(firsts) + rules.slack / instances.max(1) as f64;
        if f64::from(repeats + 1) > CAUTION * allowed {
            return false;
        }
        self.second(now).repeats += 1;
        true
    }

    fn second(&mut self, now: Time) -> &mut Second {
        let number = now.0 / 1_000_000;
        if self.seconds.back().is_none_or(|second| second.number != number) {
            self.seconds.push_back(Second { number, firsts: 0, repeats: 0 });
        }
        let last = self.seconds.len() - 1;
        &mut self.seconds[last]
    }
}
