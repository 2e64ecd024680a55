//! Who is in service: the fold of all witnesses about instances and endpoints.
//!
//! **Load pattern.** Instances and endpoints are replaced at any time, a rack or a data centre at
//! once. The platform's list lags and has outages; heartbeats get lost; a paused process wakes and
//! still believes itself in service.
//!
//! **Without it.** By the list alone, an endpoint that is leaving gets new work for as long as the
//! list lags, and a dead instance's share of the load blocks its endpoints. By heartbeats alone, a
//! cut between two data centres makes each declare the other dead and release the memory that the
//! other's running requests use.
//!
//! **Rule.** Evidence counts for one incarnation. A newer incarnation voids all that was known of
//! the older one; evidence about an older one is ignored. *Leaving*, once heard from any witness,
//! holds for that incarnation whatever *live* is heard later. The operator's mark is a level: it
//! holds while it is set. A list that states no incarnations is a level as well, and one that says
//! *live* takes its *leaving* back only after the list's lag. Direct signs of life (heartbeats, answers) decide between live, suspect
//! and dead; the list only introduces members and confirms absence.
//!
//! **Grounds.** Heartbeats come each [`HEARTBEAT_INTERVAL`]. [`SUSPECT_TIMEOUT`] is three of them, so that one
//! lost and one late change nothing; [`DEAD_TIMEOUT`] leaves time for one fresh connection, since
//! open ones may be silent while the member lives. [`MAX_LIST_LAG`] is the assumed lag of the list:
//! the brief says that it lags and not by how much.

mod member;
pub mod owners;

use std::{hash::Hash, time::Duration};

use indexmap::IndexMap;

use crate::{Incarnation, Time};

use member::Member;

/// The time between two heartbeats of a member.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// A member not heard of for this long is suspect: nothing new is sent, nothing is given up.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);

/// A member not heard of for this long is dead. The second half of the time is for a fresh
/// connection to be dialled and to answer.
pub const DEAD_TIMEOUT: Duration = Duration::from_secs(6);

/// How old the list's content may be.
pub const MAX_LIST_LAG: Duration = Duration::from_secs(30);

/// How long a dead member's incarnation is remembered, so that a late list or a late message can't
/// bring it back.
pub const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(600);

/// The most members kept. Twice the endpoints and instances of the long-run sizes.
pub const MAX_MEMBERS: usize = 8_192;

/// A member's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// In service.
    Live,
    /// It finishes what it has and gets nothing new.
    Leaving,
    /// Not heard of for a while: nothing new, and nothing given up yet.
    Suspect,
    /// Gone.
    Dead,
}

/// What a witness says of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberObservation {
    /// A heartbeat or an answer, by the member itself.
    Alive,
    /// The member itself says, or another instance passes on, that it is leaving.
    Leaving,
    /// The member said goodbye: it has stopped.
    Stopped,
    /// The operator's configuration marks it as leaving, or no longer does.
    Operator {
        /// Whether the mark is set.
        leaving: bool,
    },
}

/// One line of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListEntry<K> {
    /// The member.
    pub member: K,
    /// Its incarnation, or zero where the list doesn't know it.
    pub incarnation: Incarnation,
    /// Whether the list has it as leaving.
    pub leaving: bool,
}

/// All members of one kind. `K` is their id.
#[derive(Debug)]
pub struct Membership<K> {
    members: IndexMap<K, Member>,
    list_read_at: Option<Time>,
    started_at: Time,
}

impl<K: Clone + Eq + Hash> Membership<K> {
    /// Knows of nobody.
    pub fn new(now: Time) -> Membership<K> {
        Membership { members: IndexMap::new(), list_read_at: None, started_at: now }
    }

    /// Takes note of evidence about one incarnation of a member.
    pub fn observe(
        &mut self,
        key: &K,
        incarnation: Incarnation,
        evidence: MemberObservation,
        now: Time,
    ) {
        if let Some(member) = self.member(key, incarnation, now) {
            member.observe(evidence, now);
        }
    }

    /// Takes note of a whole list. Members that it lacks lose its support; that alone makes nobody
    /// dead who is heard of directly.
    pub fn apply_list(&mut self, lines: &[ListEntry<K>], now: Time) {
        self.list_read_at = Some(now);
        self.members.values_mut().for_each(|member| member.listed_at = None);
        for line in lines {
            if let Some(member) = self.member(&line.member, line.incarnation, now) {
                member.observe_listed(line.incarnation, line.leaving, now);
            }
        }
        self.forget_long_dead(now);
    }

    /// The member's state.
    pub fn state(&self, key: &K, now: Time) -> MemberState {
        self.members
            .get(key)
            .map_or(MemberState::Dead, |member| member.state(self.list_read_at, now))
    }

    /// The member's newest known incarnation.
    pub fn incarnation(&self, key: &K) -> Option<Incarnation> {
        self.members.get(key).map(|member| member.incarnation)
    }

    /// All members that aren't dead.
    pub fn members(&self, now: Time) -> impl Iterator<Item = MemberStatus<'_, K>> {
        self.members.iter().filter_map(move |(key, member)| {
            let state = member.state(self.list_read_at, now);
            let incarnation = member.incarnation;
            (state != MemberState::Dead).then_some(MemberStatus { key, incarnation, state })
        })
    }

    /// Whether enough is known to call anyone absent: the list was read once, or heartbeats had
    /// their time.
    pub fn is_settled(&self, now: Time) -> bool {
        self.list_read_at.is_some() || now.since(self.started_at) >= DEAD_TIMEOUT
    }

    /// The record that evidence about `incarnation` belongs to; none where that life is over.
    fn member(&mut self, key: &K, incarnation: Incarnation, now: Time) -> Option<&mut Member> {
        if !self.members.contains_key(key) {
            if self.members.len() >= MAX_MEMBERS {
                self.forget_dead(now);
            }
            if self.members.len() >= MAX_MEMBERS {
                return None;
            }
            self.members.insert(key.clone(), Member::new(incarnation, now));
        }
        let member = self.members.get_mut(key)?;
        if incarnation > member.incarnation {
            member.begin_incarnation(incarnation, now);
        }
        // Zero stands for a witness that doesn't know incarnations, as the list may.
        let current = incarnation == member.incarnation || incarnation == Incarnation(0);
        current.then_some(member)
    }

    fn forget_long_dead(&mut self, now: Time) {
        let list_read_at = self.list_read_at;
        self.members.retain(|_, member| {
            member.state(list_read_at, now) != MemberState::Dead
                || now.since(member.last_seen_at) < DEAD_MEMBER_RETENTION
        });
    }

    fn forget_dead(&mut self, now: Time) {
        let list_read_at = self.list_read_at;
        self.members.retain(|_, member| member.state(list_read_at, now) != MemberState::Dead);
    }
}

/// A member that isn't dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus<'a, K> {
    /// The member.
    pub key: &'a K,
    /// Its newest incarnation.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: MemberState,
}
