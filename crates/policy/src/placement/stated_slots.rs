//! How many slots an endpoint is believed to have.
//!
//! **Load pattern.** One endpoint states many times the slots of the others in its group, by a
//! mistake or because another writer registered it.
//!
//! **Without it.** Its load looks like none whatever runs there, and its failures don't count,
//! because their penalty is a factor of the load: it gets every request.
//!
//! **Rule.** An endpoint counts for at most [`MAX_RATIO`] times the median of its group.

use super::Member;

/// The most slots of one endpoint, as a multiple of the median of its group: engines of one group
/// differ by less.
const MAX_RATIO: u32 = 4;

/// Slots as an endpoint states them. A decision gets them only as far as a [`SlotCap`] allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StatedSlots(u32);

impl From<u32> for StatedSlots {
    fn from(slots: u32) -> StatedSlots {
        StatedSlots(slots)
    }
}

/// The most slots that an endpoint of a group counts for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SlotCap(u32);

impl Default for SlotCap {
    fn default() -> SlotCap {
        SlotCap(1)
    }
}

impl SlotCap {
    /// The cap of a group; of two medians the lower one, so that one of two endpoints can't raise
    /// it.
    pub(super) fn of(members: &[Member]) -> SlotCap {
        let mut stated: Vec<_> = members.iter().map(|member| member.slots).collect();
        stated.sort_unstable();
        let median = stated.get(stated.len().saturating_sub(1) / 2);
        SlotCap(median.map_or(1, |slots| slots.0.max(1)).saturating_mul(MAX_RATIO))
    }

    /// The slots that an endpoint counts for; at least one.
    pub(super) fn apply(self, stated: StatedSlots) -> u32 {
        stated.0.clamp(1, self.0)
    }
}
