//! Deduplicates fleet-wide messages, which gateways forward between data centres.

use indexmap::IndexMap;
use policy::{Incarnation, InstanceId};

use crate::peer::message::Origin;

/// Origins to remember; several times the instances of the long-run sizes.
const MAX_ORIGINS: usize = 2_048;

/// Remembers which fleet-wide messages have been received. Two gateways forward each message and
/// the copies may arrive in any order, so a window of numbers up to the newest one is kept for each
/// origin.
#[derive(Debug, Default)]
pub(super) struct FloodFilter {
    origins: IndexMap<InstanceId, Window>,
    last_own_number: u64,
}

#[derive(Debug)]
struct Window {
    incarnation: Incarnation,
    newest: u64,
    /// Bit n is set if the number `newest - n` has been received.
    seen_bits: u64,
}

impl FloodFilter {
    /// Returns the number for this instance's next message.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_own_number += 1;
        self.last_own_number
    }

    /// Records a message, and returns whether it is new. A message older than the window counts as
    /// received: fleet-wide messages carry a state rather than a change, and newer ones from the
    /// same origin have arrived since.
    pub(super) fn insert(&mut self, origin: &Origin) -> bool {
        if !self.origins.contains_key(&origin.instance) && self.origins.len() >= MAX_ORIGINS {
            self.origins.shift_remove_index(0);
        }
        let fresh = Window { incarnation: origin.incarnation, newest: 0, seen_bits: 0 };
        let window = self.origins.entry(origin.instance.clone()).or_insert(fresh);
        if origin.incarnation < window.incarnation {
            return false;
        }
        if origin.incarnation > window.incarnation {
            *window = Window { incarnation: origin.incarnation, newest: 0, seen_bits: 0 };
        }
        window.insert(origin.number)
    }
}

impl Window {
    fn insert(&mut self, number: u64) -> bool {
        if number > self.newest {
            let shift = u32::try_from(number - self.newest).unwrap_or(u32::MAX);
            self.seen_bits = self.seen_bits.checked_shl(shift).unwrap_or(0) | 1;
            self.newest = number;
            return true;
        }
        let behind = u32::try_from(self.newest - number).unwrap_or(u32::MAX);
        let Some(bit) = 1_u64.checked_shl(behind) else {
            return false;
        };
        let new = self.seen_bits & bit == 0;
        self.seen_bits |= bit;
        new
    }
}
