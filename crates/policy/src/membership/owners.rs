//! Whether the owner of memory on an engine is gone for good.
//!
//! Releasing what a live owner uses would cut off a caller's answer, and keeping what a dead one
//! left would lose engine memory until its lease ends. The lease is the safe side: an engine
//! itself releases what nobody renews. Therefore an owner counts as gone only on proof: a newer
//! life under its name, its own goodbye, or silence on the links *and* absence from a list that
//! was read after the silence had lasted as long as that list may lag. In an outage of the list,
//! or when regions have lost each other, the answer is [`OwnerStatus::Unknown`] and the lease
//! decides.

use std::{hash::Hash, time::Duration};

use crate::{
    Incarnation, Time,
    membership::{DEAD_TIMEOUT, MAX_LIST_LAG, MemberState, Membership},
};

/// How long after the proof an owner's memory is still left alone: what it sent just before its
/// end may still be on the way to the engine, and would be released before it arrives.
pub const OWNER_GRACE_PERIOD: Duration = Duration::from_secs(10);

/// What is known of an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerStatus {
    /// It lives.
    Alive,
    /// Nobody can tell; leave its memory to the lease.
    Unknown,
    /// It is gone; its memory may be released.
    Dead,
}

impl<K: Clone + Eq + Hash> Membership<K> {
    /// Whether this life of the owner still counts.
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

    /// An owner never heard of: perhaps it is one from before this instance's start.
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
