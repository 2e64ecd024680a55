//! For how many others an engine reads parts.
//!
//! **Load pattern.** A burst of long prompts, each read by a dozen engines.
//!
//! **Without it.** An engine that reads parts for as many others as it has slots refuses one more, and with it the
//! whole request, of which the other parts are read for nothing. Its next attempt meets the next such engine.
//!
//! **Rule.** A part counts from its arrival until all parts of its request are expected to have been read.

use super::reading::{Part, PartKey};

#[derive(Debug, Default)]
pub(super) struct Helping(Vec<Help>);

#[derive(Debug)]
struct Help {
    key: PartKey,
    /// Milliseconds of the instance's clock.
    until: f64,
}

impl Helping {
    /// Notes a part that was placed by anybody.
    pub(super) fn note(&mut self, part: &Part, now: f64) {
        self.0.retain(|help| help.until > now);
        if part.overtakes && !part.is_head {
            self.0.push(Help { key: part.key, until: part.ready.max(part.arrives + part.ms) });
        }
    }

    /// A request's part is wanted no more, or has been read.
    pub(super) fn over(&mut self, key: PartKey) {
        self.0.retain(|help| help.key != key);
    }

    /// How many are helped at a time.
    pub(super) fn count(&self, at: f64) -> usize {
        self.0.iter().filter(|help| help.until > at).count()
    }
}
