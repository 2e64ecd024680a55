//! The few endpoints worth a closer look.
//!
//! **Load pattern.** Hundreds of endpoints, thousands of requests a second.
//!
//! **Without it.** Each decision weighs every endpoint's cache, name and cost in full: 41
//! microseconds a request at 200 endpoints, most of it for endpoints that never come first.
//!
//! **Rule.** One cheap pass over all endpoints keeps the [`LENGTH`] with the least wait; only
//! these become candidates, and besides them the one that this prompt's beginning was last sent to.
//! The pass begins at a random endpoint, so that among equals not everybody's list is the same.
//!
//! **Grounds.** Placement draws among near equals, of which a list of this length holds enough;
//! at today's sites it leaves out a few of some 20. The last holder of a prefix is the one
//! endpoint that can be worth more than its wait.

use indexmap::IndexMap;

use crate::EndpointId;

/// Endpoints on the list.
const SHORTLIST_LENGTH: usize = 16;
/// Prefixes whose last holder is remembered, at some 50 bytes each.
const MAX_PREFIX_HOLDERS: usize = 4_096;

/// The endpoints with the least wait seen so far, by their place in the fleet.
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
    /// Takes note of an endpoint.
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

    /// The listed endpoints.
    pub(super) fn indices(&self) -> impl Iterator<Item = usize> + '_ {
        self.entries.iter().map(|listed| listed.index)
    }

    fn find_worst(&mut self) {
        let by_wait =
            |a: &usize, b: &usize| self.entries[*a].wait.total_cmp(&self.entries[*b].wait);
        self.worst = (0..self.entries.len()).max_by(by_wait).unwrap_or(0);
    }
}

/// Where the prompts that begin alike were last sent.
#[derive(Debug, Default)]
pub(super) struct PrefixHolders {
    last: IndexMap<u64, EndpointId>,
    next: usize,
}

impl PrefixHolders {
    /// Takes note of a send; the oldest slot makes room.
    pub(super) fn sent(&mut self, first_block: u64, endpoint: &EndpointId) {
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

    /// Where prompts with this first block were last sent.
    pub(super) fn get(&self, first_block: u64) -> Option<&EndpointId> {
        self.last.get(&first_block)
    }
}
