//! Membership of instances and endpoints, derived from all sources of evidence.
//!
//! **Load pattern.** Instances and endpoints are replaced at any time, also a rack or a data centre
//! at once. The platform's list lags and has outages; heartbeats get lost; a paused process resumes
//! and assumes that it is still in service.
//!
//! **Without it.** With the list alone, a leaving endpoint gets new work for as long as the list
//! lags, and a dead instance's share of the load blocks its endpoints. With heartbeats alone, a
//! network partition between two data centres makes each declare the other dead and release memory
//! that the other's running requests use.
//!
//! **Rule.** Evidence applies to one incarnation. A newer incarnation voids the evidence about the
//! older one, and evidence about an older incarnation is ignored. *Leaving*, once reported by any
//! source, holds for that incarnation even if *live* is reported later. The operator's mark is
//! level-triggered: it holds while it is set. A list without incarnations is level-triggered as
//! well, but a list that reports *live* clears its earlier *leaving* only after the list's maximum
//! lag. Direct evidence (heartbeats, answers) decides between live, suspect and dead; the list only
//! introduces members and confirms absence.
//!
//! **Grounds.** Heartbeats arrive every [`HEARTBEAT_INTERVAL`]. [`SUSPECT_TIMEOUT`] is three
//! intervals, so that one lost and one late heartbeat change nothing. [`DEAD_TIMEOUT`] leaves time
//! to open a new connection, since an open one may be silent although the member is alive.
//! [`MAX_LIST_LAG`] is an assumption: the requirements say that the list lags, but not by how much.

mod member;
pub mod owners;

use std::{hash::Hash, time::Duration};

use indexmap::IndexMap;

use crate::{Incarnation, Time};

use member::Member;

/// Interval between the heartbeats of a member.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// A member that is silent for this long is suspect: it gets no new work, but nothing is failed
/// over yet.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);

/// A member that is silent for this long is dead. The second half of the time leaves room for
/// opening a new connection and receiving a reply.
pub const DEAD_TIMEOUT: Duration = Duration::from_secs(6);

/// Assumed maximum age of the list's content.
pub const MAX_LIST_LAG: Duration = Duration::from_secs(30);

/// How long a dead member's incarnation is retained, so that an outdated list or a late message
/// can't revive it.
pub const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(600);

/// Limit on the members kept: twice the number of endpoints and instances that are expected in the
/// long run.
pub const MAX_MEMBERS: usize = 8_192;

/// State of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// In service and available for new work.
    Live,
    /// Finishes its running requests and gets no new ones.
    Leaving,
    /// Silent for [`SUSPECT_TIMEOUT`]: gets no new requests; running ones aren't given up yet.
    Suspect,
    /// Stopped, silent for [`DEAD_TIMEOUT`], or unknown.
    Dead,
}

/// Evidence about a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberObservation {
    /// The member itself sent a heartbeat or an answer.
    Alive,
    /// The member announced that it is leaving, directly or through another instance.
    Leaving,
    /// The member announced that it has stopped.
    Stopped,
    /// The operator's configuration marks the member as leaving, or no longer does.
    Operator {
        /// Whether the member is marked as leaving.
        leaving: bool,
    },
}

/// A member in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListEntry<K> {
    /// Id of the member.
    pub member: K,
    /// Its incarnation; zero if the list doesn't contain incarnations.
    pub incarnation: Incarnation,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
}

/// All known members of one kind; `K` is the type of their id.
#[derive(Debug)]
pub struct Membership<K> {
    members: IndexMap<K, Member>,
    list_read_at: Option<Time>,
    started_at: Time,
}

impl<K: Clone + Eq + Hash> Membership<K> {
    /// Creates a membership without members.
    pub fn new(now: Time) -> Membership<K> {
        Membership { members: IndexMap::new(), list_read_at: None, started_at: now }
    }

    /// Records evidence about one incarnation of a member.
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

    /// Applies a complete list. Members that it lacks are no longer confirmed by the list, which
    /// alone doesn't make a member dead that sends heartbeats.
    pub fn apply_list(&mut self, entries: &[ListEntry<K>], now: Time) {
        self.list_read_at = Some(now);
        self.members.values_mut().for_each(|member| member.listed_at = None);
        for entry in entries {
            if let Some(member) = self.member(&entry.member, entry.incarnation, now) {
                member.observe_listed(entry.incarnation, entry.leaving, now);
            }
        }
        self.remove_long_dead(now);
    }

    /// The member's state; [`MemberState::Dead`] if it is unknown.
    pub fn state(&self, key: &K, now: Time) -> MemberState {
        self.members
            .get(key)
            .map_or(MemberState::Dead, |member| member.state(self.list_read_at, now))
    }

    /// The member's newest known incarnation.
    pub fn incarnation(&self, key: &K) -> Option<Incarnation> {
        self.members.get(key).map(|member| member.incarnation)
    }

    /// Iterates over the members that aren't dead.
    pub fn members(&self, now: Time) -> impl Iterator<Item = MemberStatus<'_, K>> {
        self.members.iter().filter_map(move |(key, member)| {
            let state = member.state(self.list_read_at, now);
            let incarnation = member.incarnation;
            (state != MemberState::Dead).then_some(MemberStatus { key, incarnation, state })
        })
    }

    /// Whether absence can be concluded yet: the list was read once, or heartbeats had time to
    /// arrive.
    pub fn is_settled(&self, now: Time) -> bool {
        self.list_read_at.is_some() || now.since(self.started_at) >= DEAD_TIMEOUT
    }

    /// The member to which evidence about `incarnation` applies; none if that incarnation was
    /// replaced or the limit on members is reached.
    fn member(&mut self, key: &K, incarnation: Incarnation, now: Time) -> Option<&mut Member> {
        if !self.members.contains_key(key) {
            if self.members.len() >= MAX_MEMBERS {
                self.remove_dead(now);
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
        // Zero means that the source doesn't state incarnations, as the list may.
        let current = incarnation == member.incarnation || incarnation == Incarnation(0);
        current.then_some(member)
    }

    fn remove_long_dead(&mut self, now: Time) {
        let list_read_at = self.list_read_at;
        self.members.retain(|_, member| {
            member.state(list_read_at, now) != MemberState::Dead
                || now.since(member.last_seen_at) < DEAD_MEMBER_RETENTION
        });
    }

    fn remove_dead(&mut self, now: Time) {
        let list_read_at = self.list_read_at;
        self.members.retain(|_, member| member.state(list_read_at, now) != MemberState::Dead);
    }
}

/// Snapshot of a member that isn't dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus<'a, K> {
    /// Id of the member.
    pub key: &'a K,
    /// Its newest known incarnation.
    pub incarnation: Incarnation,
    /// Its state at the time of the snapshot.
    pub state: MemberState,
}
