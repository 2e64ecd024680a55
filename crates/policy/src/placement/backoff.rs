//! Whether an engine may read parts of others' prompts, after requests were refused for its sake.
//!
//! **Load pattern.** An engine dies, or begins to leave, while every instance takes it as one of a
//! dozen helpers for each long prompt.
//!
//! **Without it.** Each instance learns by its own refusals only. The request that was refused is sent
//! again with the same helper and is lost, and so are those of the other instances, until the directory
//! no longer lists the engine.
//!
//! **Rule.** Whoever has a request refused for a helper's sake tells the others at once, and all leave
//! that helper out for a while that doubles with each further refusal. It still runs requests of its
//! own: if it can't, that shows there.

/// The first time for which an engine is left out: what it takes to hear of one that leaves, at most
/// sites.
const FIRST_BACKOFF_MS: f64 = 500.0;

/// The longest such time.
const MAX_BACKOFF_MS: f64 = 8_000.0;

/// How many times as long without a refusal makes it as good as any other.
const RESET_AFTER_FACTOR: f64 = 4.0;

/// An engine's standing as a helper. Times are milliseconds of the instance's clock.
#[derive(Debug, Default)]
pub(super) struct HelperBackoff {
    backoff_ms: f64,
    until: f64,
}

impl HelperBackoff {
    /// A request was refused for its sake. Refusals while it is left out are those of requests that
    /// were under way.
    pub(super) fn record_refusal(&mut self, now: f64) {
        if now < self.until {
            return;
        }
        let is_reset = now > self.until + RESET_AFTER_FACTOR * self.backoff_ms;
        let longer = if is_reset { FIRST_BACKOFF_MS } else { 2.0 * self.backoff_ms };
        self.backoff_ms = longer.clamp(FIRST_BACKOFF_MS, MAX_BACKOFF_MS);
        self.until = now + self.backoff_ms;
    }

    /// Whether it may read a part that reaches it then.
    pub(super) fn may_help(&self, arrives_at: f64) -> bool {
        arrives_at >= self.until
    }
}
