//! For how many others an engine reads parts.
//!
//! **Load pattern.** A burst of long prompts, each read by a dozen engines.
//!
//! **Without it.** An engine that reads parts for as many others as it has slots refuses one more, and with it the
//! whole request, of which the other parts are read for nothing. Its next attempt meets the next such engine.
//!
//! **Rule.** A part counts until the first event of its request, of which its instance tells the others, however late that
//! is: an engine that has turned slow holds on to its parts. What is foretold to be over by then isn't counted ahead, but what
//! is overdue is. Where the word is lost, a part counts until no caller can be waiting any more.

use crate::InstanceId;

use super::reading::{Part, PartKey};

/// Milliseconds beyond what was foretold after which a part counts no more: callers have given up by then.
const LOST_AFTER_MS: f64 = 15_000.0;

#[derive(Debug, Default)]
pub(super) struct Helping(Vec<Help>);

#[derive(Debug)]
struct Help {
    key: PartKey,
    /// Who placed it; none where this instance did.
    placed_by: Option<InstanceId>,
    /// When it is foretold to be over, in milliseconds of the instance's clock.
    until: f64,
}

impl Helping {
    /// Notes a part that anybody placed there.
    pub(super) fn note(&mut self, part: &Part, placed_by: Option<&InstanceId>, now: f64) {
        self.0.retain(|help| help.until + LOST_AFTER_MS > now);
        if part.overtakes && !part.is_head {
            let placed_by = placed_by.cloned();
            self.0.push(Help { key: part.key, placed_by, until: part.ready });
        }
    }

    /// A request's first event came, or it is over; true where it counted.
    pub(super) fn over(&mut self, key: PartKey) -> bool {
        let before = self.0.len();
        self.0.retain(|help| help.key != key);
        self.0.len() < before
    }

    /// An instance is gone, and with it the requests that it had sent.
    pub(super) fn forget(&mut self, placed_by: &InstanceId) {
        self.0.retain(|help| help.placed_by.as_ref() != Some(placed_by));
    }

    /// How many will be helped at a time from now on.
    pub(super) fn count(&self, at: f64, now: f64) -> usize {
        let counts = |help: &&Help| match help.until > now {
            true => help.until > at,
            false => help.until + LOST_AFTER_MS > now,
        };
        self.0.iter().filter(counts).count()
    }
}
