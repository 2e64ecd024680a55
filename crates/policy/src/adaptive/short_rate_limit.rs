//! How fast short prompts may start while long ones are under way.
//!
//! **Load pattern.** An engine is lost, or a campaign doubles the short questions, while dossiers
//! are being reviewed.
//!
//! **Without it.** Engines serve short prompts first. Short ones alone can fill them, and a dossier
//! that was admitted makes no progress until its deadline: its caller has waited for nothing.
//!
//! **Rule.** While any instance has a long prompt whose first token is overdue by [`LATE_TIMES`] its
//! predicted time, short ones start at no more than the part of the fleet's speed that long demand
//! leaves. Long demand counts up to
//! `long_first_token / (long_first_token + short_slowdown)` of the fleet, so each side keeps its
//! weight's share. What is over waits, and admission sees the wait. Instances split the speed like
//! the workspaces' limits: half evenly, half by traffic.
//!
//! **Grounds.** [`BURST`] lets the random bunches of ordinary traffic through; only a lasting excess
//! is held back. Holding short ones back whenever there are long ones at all, on the learned
//! speeds alone, refused a tenth of the short calls of four instances at 80% load, because learned
//! speeds err low; what counts is whether long ones get on.

/// How many times its predicted time a long prompt may take before short ones make room.
pub(super) const LATE_RATIO: f64 = 1.5;
/// Seconds on top, for the shortest of the long ones.
pub(super) const LATE_GRACE_S: f64 = 1.0;

/// Seconds of the allowed speed that may start at once.
const BURST_S: f64 = 0.5;

/// What short prompts may still start.
#[derive(Debug, Default)]
pub(super) struct ShortRateLimiter {
    rate: f64,
    level: f64,
    updated: f64,
    is_limited: bool,
}

impl ShortRateLimiter {
    /// Sets the allowed tokens a second, and whether it is in force.
    pub(super) fn set(&mut self, rate: f64, is_limited: bool, now: f64) {
        self.refill(now);
        if self.rate <= 0.0 || !is_limited {
            self.level = rate * BURST_S;
        }
        self.rate = rate;
        self.is_limited = is_limited;
    }

    /// Whether a short prompt may start.
    pub(super) fn allows(&mut self, now: f64) -> bool {
        self.refill(now);
        !self.is_limited || self.level > 0.0
    }

    /// Counts one that started.
    pub(super) fn started(&mut self, prompt: f64) {
        if self.is_limited {
            self.level -= prompt;
        }
    }

    fn refill(&mut self, now: f64) {
        let gained = self.rate * (now - self.updated).max(0.0);
        self.level = (self.level + gained).min(self.rate * BURST_S);
        self.updated = now;
    }
}

/// The part of the fleet that long prompts can claim, of `demand` (as a part of the fleet).
pub(super) fn long_claim(demand: f64, long_weight: f64, short_weight: f64) -> f64 {
    let share = long_weight / (long_weight + short_weight).max(f64::MIN_POSITIVE);
    demand.min(share)
}
