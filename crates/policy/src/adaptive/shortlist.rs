//! Preselects the endpoints that are compared in detail.
//!
//! **Load pattern.** Hundreds of endpoints and thousands of requests per second.
//!
//! **Without it.** Each decision evaluates the cache, name and cost of every endpoint. That takes
//! 41 microseconds per request at 200 endpoints, mostly for endpoints that are never chosen.
//!
//! **Rule.** A cheap pass over all endpoints keeps the [`SHORTLIST_LENGTH`] endpoints with the
//! shortest wait. Only these become candidates, plus the endpoint that last received a prompt with
//! the same first block. The pass starts at a random endpoint, so that instances don't all select
//! the same ones among equals.
//!
//! **Grounds.** Selection draws at random among endpoints of similar cost, and a list of this
//! length contains enough of them; at current sites it leaves out a few of about 20. The endpoint
//! that last held the prefix is the only one that can be better than its wait suggests.

use indexmap::IndexMap;

use crate::EndpointId;

/// Maximum number of endpoints on the list.
const SHORTLIST_LENGTH: usize = 16;
/// Maximum number of prefixes whose last holder is remembered, at about 50 bytes each.
const MAX_PREFIX_HOLDERS: usize = 4_096;

/// The endpoints with the shortest wait so far, by their index in the fleet.
#[derive(Debug, Default)]
pub(super) struct Shortlist {
    entries: Vec<Listed>,
    worst: usize,
}

#[derive(Debug, Clone, Copy)]
struct Listed {
    index: usize,
    wait: f64,
}

impl Shortlist {
    /// Adds an endpoint if its wait, in seconds, is among the shortest.
    pub(super) fn offer(&mut self, index: usize, wait: f64) {
        let listed = Listed { index, wait };
        if self.entries.len() < SHORTLIST_LENGTH {
            self.entries.push(listed);
        } else if wait < self.entries[self.worst].wait {
            self.entries[self.worst] = listed;
        } else {
            return;
        }
        if self.entries.len() == SHORTLIST_LENGTH {
            self.find_worst();
        }
    }

    /// Indices of the listed endpoints in the fleet.
    pub(super) fn indices(&self) -> impl Iterator<Item = usize> + '_ {
        self.entries.iter().map(|listed| listed.index)
    }

    fn find_worst(&mut self) {
        let by_wait =
            |a: &usize, b: &usize| self.entries[*a].wait.total_cmp(&self.entries[*b].wait);
        self.worst = (0..self.entries.len()).max_by(by_wait).unwrap_or(0);
    }
}

/// The endpoints that last received prompts with the same first block.
#[derive(Debug, Default)]
pub(super) struct PrefixHolders {
    last: IndexMap<u64, EndpointId>,
    next: usize,
}

impl PrefixHolders {
    /// Records a sent prompt; if the table is full, a slot chosen in turn is overwritten.
    pub(super) fn record_sent(&mut self, first_block: u64, endpoint: &EndpointId) {
        if let Some(last) = self.last.get_mut(&first_block) {
            *last = endpoint.clone();
            return;
        }
        if self.last.len() >= MAX_PREFIX_HOLDERS {
            self.next = (self.next + 1) % MAX_PREFIX_HOLDERS;
            self.last.swap_remove_index(self.next);
        }
        self.last.insert(first_block, endpoint.clone());
    }

    /// The endpoint that last received a prompt with this first block.
    pub(super) fn get(&self, first_block: u64) -> Option<&EndpointId> {
        self.last.get(&first_block)
    }
}
