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
    Gone,
}

impl<K: Clone + Eq + Hash> Membership<K> {
    /// Whether this life of the owner still counts.
    pub fn owner(&self, key: &K, incarnation: Incarnation, now: Time) -> OwnerStatus {
        let Some(member) = self.members.get(key) else {
            return self.unheard_owner(now);
        };
        if incarnation > member.incarnation {
            return OwnerStatus::Unknown;
        }
        if incarnation < member.incarnation {
            let replaced = member.replaced.unwrap_or(member.first_heard);
            return gone_after(replaced + OWNER_GRACE_PERIOD, now);
        }
        if member.state(self.apply_list, now) != MemberState::Dead {
            return OwnerStatus::Alive;
        }
        if member.stopped {
            return gone_after(member.last_sign + OWNER_GRACE_PERIOD, now);
        }
        let proved = member.last_sign + DEAD_TIMEOUT + MAX_LIST_LAG;
        match self.apply_list {
            Some(read) if read >= proved && member.listed.is_none() => {
                gone_after(proved + OWNER_GRACE_PERIOD, now)
            }
            _ => OwnerStatus::Unknown,
        }
    }

    /// An owner never heard of: perhaps it is one from before this instance's start.
    fn unheard_owner(&self, now: Time) -> OwnerStatus {
        let proved = self.started + DEAD_TIMEOUT + MAX_LIST_LAG;
        match self.apply_list {
            Some(read) if read >= proved => gone_after(proved + OWNER_GRACE_PERIOD, now),
            _ => OwnerStatus::Unknown,
        }
    }
}

fn gone_after(point: Time, now: Time) -> OwnerStatus {
    if now >= point { OwnerStatus::Gone } else { OwnerStatus::Unknown }
}
