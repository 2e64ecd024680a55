//! Limit of the retries that one instance may add within a sliding window.
//!
//! **Load pattern.** Endpoints fail many requests at once, and every instance retries them.
//!
//! **Without it.** Instances don't see each other's retries: each stays within its own limit, and
//! all together overload the remaining endpoints.
//!
//! **Rule.** An instance may retry a share of the first attempts that it made itself in the window,
//! plus its part of the constant allowance that operators grant to all instances. Both are counted
//! per second, and a second counts until it has left the window completely. In its first window an
//! instance gets its part of the constant allowance little by little.
//!
//! **Grounds.** Shares of each instance's own traffic add up to the share of all traffic without
//! any communication. The constant allowance is divided by the instances that are known, heard or
//! not, since those behind a cut go on retrying. An instance doesn't know what earlier processes
//! of its name have spent: they may have used [`SAFETY_RATIO`] of its part, and what is left is
//! spread over the window. Any number of restarts therefore adds up to one part, but for the first
//! retries of each start ([`FIRST_RATIO`]).

use std::{collections::VecDeque, time::Duration};

use crate::Time;

/// Fraction of the permitted retries that is used.
const SAFETY_RATIO: f64 = 0.6;

/// Fraction of the constant allowance that all starts of an instance within one window may use.
const STARTUP_RATIO: f64 = 1.0 - SAFETY_RATIO;

/// Fraction of the constant allowance that is permitted right after a start, and at least one retry:
/// without any, the first caller whose attempt fails gets an error.
const FIRST_RATIO: f64 = 0.04;

#[derive(Debug, Clone, Copy)]
struct SecondCounts {
    number: u64,
    first_attempts: u32,
    retries: u32,
}

/// Counts one endpoint group's first attempts and retries per second. Times are since the start of
/// the instance.
#[derive(Debug, Default)]
pub struct RetryWindow {
    /// This instance's part of the constant allowance, from 0 to 1.
    part: f64,
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

    /// Sets this instance's part of the constant allowance, from 0 to 1. It is 0 until then.
    pub fn set_part(&mut self, part: f64) {
        self.part = part;
    }

    /// Counts a retry and returns true, if it is permitted.
    pub fn try_retry(&mut self, rules: &RetryRules, now: Time) -> bool {
        let oldest = (now.0 / 1_000_000).saturating_sub(rules.window_s);
        while self.seconds.front().is_some_and(|second| second.number < oldest) {
            self.seconds.pop_front();
        }
        let retries: u32 = self.seconds.iter().map(|second| second.retries).sum();
        if f64::from(retries + 1) > self.allowed(rules, now) {
            return false;
        }
        self.second(now).retries += 1;
        true
    }

    /// Number of retries that are permitted in the window that ends now.
    fn allowed(&self, rules: &RetryRules, now: Time) -> f64 {
        let first_attempts: u32 = self.seconds.iter().map(|second| second.first_attempts).sum();
        let earned = SAFETY_RATIO * rules.share * f64::from(first_attempts);
        let constant = rules.slack * self.part;
        let window = Duration::from_secs(rules.window_s);
        let age = now.since(Time::ZERO);
        if age >= window {
            return earned + SAFETY_RATIO * constant;
        }
        let elapsed_ratio = age.as_secs_f64() / window.as_secs_f64();
        (earned + STARTUP_RATIO * elapsed_ratio * constant).max((FIRST_RATIO * constant).max(1.0))
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
