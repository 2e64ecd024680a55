//! Whether the owner of memory on an engine is gone for good.
//!
//! Releasing what a live owner uses would cut off a caller's answer, and keeping what a dead one
//! left would lose engine memory until its lease ends. The lease is the safe side: an engine
//! itself releases what nobody renews. Therefore an owner counts as gone only on proof: a newer
//! life under its name, its own goodbye, or silence on the links *and* absence from a list that
//! was read after the silence had lasted as long as that list may lag. In an outage of the list,
//! or when regions have lost each other, the answer is [`OwnerLife::Unknown`] and the lease
//! decides.

use std::{hash::Hash, time::Duration};

use crate::{
    Incarnation, Time,
    membership::{DEAD_AFTER, LIST_LAG, Membership, State},
};

/// How long after the proof an owner's memory is still left alone: what it sent just before its
/// end may still be on the way to the engine, and would be released before it arrives.
pub const GRACE: Duration = Duration::from_secs(10);

/// What is known of an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerLife {
    /// It lives.
    Alive,
    /// Nobody can tell; leave its memory to the lease.
    Unknown,
    /// It is gone; its memory may be released.
    Gone,
}

impl<K: Clone + Eq + Hash> Membership<K> {
    /// Whether this life of the owner still counts.
    pub fn owner(&self, key: &K, incarnation: Incarnation, now: Time) -> OwnerLife {
        let Some(member) = self.members.get(key) else {
            return self.unheard_owner(now);
        };
        if incarnation > member.incarnation {
            return OwnerLife::Unknown;
        }
        if incarnation < member.incarnation {
            let replaced = member.replaced.unwrap_or(member.first_heard);
            return gone_after(replaced + GRACE, now);
        }
        if member.state(self.list_read, now) != State::Dead {
            return OwnerLife::Alive;
        }
        if member.stopped {
            return gone_after(member.last_sign + GRACE, now);
        }
        let proved = member.last_sign + DEAD_AFTER + LIST_LAG;
        match self.list_read {
            Some(read) if read >= proved && member.listed.is_none() => {
                gone_after(proved + GRACE, now)
            }
            _ => OwnerLife::Unknown,
        }
    }

    /// An owner never heard of: perhaps it is one from before this instance's start.
    fn unheard_owner(&self, now: Time) -> OwnerLife {
        let proved = self.started + DEAD_AFTER + LIST_LAG;
        match self.list_read {
            Some(read) if read >= proved => gone_after(proved + GRACE, now),
            _ => OwnerLife::Unknown,
        }
    }
}

fn gone_after(point: Time, now: Time) -> OwnerLife {
    if now >= point { OwnerLife::Gone } else { OwnerLife::Unknown }
}
