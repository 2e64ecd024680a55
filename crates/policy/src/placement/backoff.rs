//! Back-off of an engine as a helper, after requests were refused because of it.
//!
//! **Load pattern.** An engine dies, or begins to leave, while every instance uses it as one of a
//! dozen helpers for each long prompt.
//!
//! **Without it.** Each instance learns only from its own refusals. The refused request is sent
//! again with the same helper and is lost, and so are those of the other instances, until the
//! directory no longer lists the engine.
//!
//! **Rule.** An instance whose request is refused because of a helper reports it to the others at
//! once, and all of them leave that helper out for a period that doubles with each further refusal.
//! The engine still runs requests as their head: if it can't, those requests show it.

/// First back-off in milliseconds: at most sites, an engine's leaving is known within this time.
const FIRST_BACKOFF_MS: f64 = 500.0;

/// Longest back-off in milliseconds.
const MAX_BACKOFF_MS: f64 = 8_000.0;

/// Multiple of the last back-off after whose end, without a refusal, the next one starts from the
/// first again.
const RESET_AFTER_FACTOR: f64 = 4.0;

/// Back-off of one engine. Times are milliseconds of the instance's clock.
#[derive(Debug, Default)]
pub(super) struct HelperBackoff {
    backoff_ms: f64,
    until: f64,
}

impl HelperBackoff {
    /// Records that a request was refused because of it. Refusals during a back-off belong to
    /// requests that were already in flight.
    pub(super) fn record_refusal(&mut self, now: f64) {
        if now < self.until {
            return;
        }
        let is_reset = now > self.until + RESET_AFTER_FACTOR * self.backoff_ms;
        let longer = if is_reset { FIRST_BACKOFF_MS } else { 2.0 * self.backoff_ms };
        self.backoff_ms = longer.clamp(FIRST_BACKOFF_MS, MAX_BACKOFF_MS);
        self.until = now + self.backoff_ms;
    }

    /// Whether it may prefill a part that arrives at this time.
    pub(super) fn may_help(&self, arrives_at: f64) -> bool {
        arrives_at >= self.until
    }
}
