//! Whether the owner of memory on an engine is dead.
//!
//! Releasing the memory of a live owner would break off a caller's answer, and keeping the memory
//! of a dead one would occupy the engine until the lease ends. The lease is the safe fallback: the
//! engine itself releases what isn't renewed. Therefore an owner counts as dead only on proof: a
//! newer incarnation under its name, its own announcement that it has stopped, or silence on the
//! connections *and* absence from a list that was read after the silence had lasted as long as that
//! list may lag. During an outage of the list, or when data centres are partitioned, the result is
//! [`OwnerStatus::Unknown`] and the lease decides.

use std::{hash::Hash, time::Duration};

use crate::{
    Incarnation, Time,
    membership::{DEAD_TIMEOUT, MAX_LIST_LAG, MemberState, Membership},
};

/// Delay between the proof that an owner is dead and the release of its memory. Messages that it
/// sent just before its end may still be in transit to the engine, and the release must not
/// overtake them.
pub const OWNER_GRACE_PERIOD: Duration = Duration::from_secs(10);

/// Whether an incarnation that owns memory is alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerStatus {
    /// The owner is alive.
    Alive,
    /// Neither life nor death is proven; the lease decides.
    Unknown,
    /// The owner is dead and its memory may be released.
    Dead,
}

impl<K: Clone + Eq + Hash> Membership<K> {
    /// Status of one incarnation of an owner.
    pub fn owner(&self, key: &K, incarnation: Incarnation, now: Time) -> OwnerStatus {
        let Some(member) = self.members.get(key) else {
            return self.unknown_owner(now);
        };
        if incarnation > member.incarnation {
            return OwnerStatus::Unknown;
        }
        if incarnation < member.incarnation {
            let replaced_at = member.replaced_at.unwrap_or(member.first_seen_at);
            return dead_from(replaced_at + OWNER_GRACE_PERIOD, now);
        }
        if member.state(self.list_read_at, now) != MemberState::Dead {
            return OwnerStatus::Alive;
        }
        if member.stopped {
            return dead_from(member.last_seen_at + OWNER_GRACE_PERIOD, now);
        }
        let proved_at = member.last_seen_at + DEAD_TIMEOUT + MAX_LIST_LAG;
        match self.list_read_at {
            Some(read) if read >= proved_at && member.listed_at.is_none() => {
                dead_from(proved_at + OWNER_GRACE_PERIOD, now)
            }
            _ => OwnerStatus::Unknown,
        }
    }

    /// Status of an owner that was never seen; it may predate the start of this instance.
    fn unknown_owner(&self, now: Time) -> OwnerStatus {
        let proved_at = self.started_at + DEAD_TIMEOUT + MAX_LIST_LAG;
        match self.list_read_at {
            Some(read) if read >= proved_at => dead_from(proved_at + OWNER_GRACE_PERIOD, now),
            _ => OwnerStatus::Unknown,
        }
    }
}

fn dead_from(point: Time, now: Time) -> OwnerStatus {
    if now >= point { OwnerStatus::Dead } else { OwnerStatus::Unknown }
}
