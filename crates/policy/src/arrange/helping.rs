//! For how many others an engine reads parts.
//!
//! **Load pattern.** A burst of long prompts, each read by a dozen engines.
//!
//! **Without it.** An engine that reads parts for as many others as it has slots refuses one more, and with it the
//! whole request, of which the other parts are read for nothing. Its next attempt meets the next such engine.
//!
//! **Rule.** A part counts until the first event of its request, of which its instance tells the others. Where that word is
//! lost, it counts for some time beyond what was foretold.

use super::reading::{Part, PartKey};

/// Milliseconds beyond twice what was foretold after which a part counts no more.
const LOST_AFTER_MS: f64 = 1_000.0;

#[derive(Debug, Default)]
pub(super) struct Helping(Vec<Help>);

#[derive(Debug)]
struct Help {
    key: PartKey,
    /// Milliseconds of the instance's clock.
    until: f64,
}

impl Helping {
    /// Notes a part that anybody placed there.
    pub(super) fn note(&mut self, part: &Part, now: f64) {
        self.0.retain(|help| help.until > now);
        if part.overtakes && !part.is_head {
            let until = part.ready + (part.ready - part.arrives).max(part.ms) + LOST_AFTER_MS;
            self.0.push(Help { key: part.key, until });
        }
    }

    /// A request's first event came, or it is over; true where it counted.
    pub(super) fn over(&mut self, key: PartKey) -> bool {
        let before = self.0.len();
        self.0.retain(|help| help.key != key);
        self.0.len() < before
    }

    /// How many are helped at a time.
    pub(super) fn count(&self, at: f64) -> usize {
        self.0.iter().filter(|help| help.until > at).count()
    }
}
