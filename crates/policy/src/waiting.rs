//! The requests that wait at one instance until an engine has room for them.
//!
//! **Load pattern.** For some seconds, requests arrive faster than engines get room: slots in a
//! burst of short prompts, memory and prefill time in a burst of long ones.
//!
//! **Without it.** A request that finds no room is refused. Its caller comes back later, and is
//! late at best; room that becomes free in between is left unused. Where such requests queue at the
//! engines instead, the queue stays at its longest, and every answer is late.
//!
//! **Rule.** A request that finds no room waits at its instance. Those that can still be on time
//! come before those that are late already, which only run where engines are idle. Among equals,
//! workspaces within their share come before those that have used more, requests that were refused
//! before come before new ones, then those of the workspace that has used least, and then the one
//! whose caller leaves first. Only the first of each class tries to be placed, so a
//! long line costs no more than a short one. A full line keeps the requests that lose most by
//! being refused.
//!
//! **Grounds.** Serving the newest first under overload keeps answers on time where a queue in the
//! order of arrival makes all of them late; compare "adaptive LIFO" in Maurer, "Fail at Scale"
//! (2015), and Nichols and Jacobson, "Controlling Queue Delay" (2012).

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    Time, Workspace,
    shares::{Rank as ShareRank, Shares},
};

/// Requests of one class that wait at most.
pub const MAX_WAITING: usize = 64;

/// Bytes of the bodies of all waiting requests at most, so that they take a small part of the
/// smallest instance's memory.
pub const MAX_WAITING_BYTES: usize = 4 << 20;

/// Requests that compete for the same room: by the length of their prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Class {
    /// Prompts that fit into a pass of other answers.
    Short,
    /// Prompts between short and long ones.
    Middle,
    /// Prompts that occupy engines for seconds.
    Long,
}

impl Class {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Short => "short",
            Class::Middle => "middle",
            Class::Long => "long",
        }
    }

    /// How long a waiting request pauses between two tries. Placing a longer prompt takes more
    /// processor time, and its caller notices the pause less.
    pub fn retry_interval(self) -> Duration {
        match self {
            Class::Short => Duration::from_millis(30),
            Class::Middle | Class::Long => Duration::from_millis(100),
        }
    }
}

/// A request that waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// What it competes for.
    pub class: Class,
    /// The owner of its API key, if it needs one.
    pub workspace: Option<Workspace>,
    /// How often it was refused before.
    pub refusals: u8,
    /// Until when it may begin and be on time.
    pub on_time_until: Time,
    /// When waiting becomes useless to its caller.
    pub useful_until: Time,
    /// Bytes that the instance holds for it.
    pub bytes: usize,
}

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaiterId(u64);

/// How a workspace stands in relation to the others that want room.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default)]
pub struct Standing {
    /// It has used more than its share while others want capacity.
    pub is_over_share: bool,
    /// The one with the lowest rank goes first.
    pub rank: ShareRank,
}

impl Standing {
    /// The standing of a request's workspace; requests without one stand first.
    pub fn of(shares: &mut Shares, workspace: Option<&Workspace>, now: Time) -> Standing {
        workspace.map_or(Standing::default(), |workspace| Standing {
            is_over_share: shares.is_over_share(workspace, now),
            rank: shares.rank(workspace, now),
        })
    }
}

/// What a waiting request does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// It tries to be placed. `is_late` if it can't be on time any more.
    Try {
        /// Whether it may only run where engines are idle.
        is_late: bool,
    },
    /// Others of its class come first.
    Wait,
    /// It is refused: waiting is useless by now, or another one took its place.
    GiveUp,
}

/// The requests of one endpoint group that wait at this instance.
#[derive(Debug, Default)]
pub struct WaitingLine {
    entries: IndexMap<WaiterId, Entry>,
    last_id: u64,
    bytes: usize,
}

/// Orders waiting requests; the smallest comes first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Rank {
    is_late: bool,
    is_over_share: bool,
    is_new: bool,
    share: ShareRank,
    useful_until: Time,
    id: WaiterId,
}

impl WaitingLine {
    /// Adds a request. `standing` tells how a workspace stands. None if the line is full of requests
    /// that come before it.
    pub fn enter(
        &mut self,
        entry: Entry,
        mut standing: impl FnMut(Option<&Workspace>) -> Standing,
        now: Time,
    ) -> Option<WaiterId> {
        if entry.useful_until <= now || entry.bytes > MAX_WAITING_BYTES {
            return None;
        }
        let class = entry.class;
        self.last_id += 1;
        let id = WaiterId(self.last_id);
        self.bytes += entry.bytes;
        self.entries.insert(id, entry);
        while self.count(class) > MAX_WAITING || self.bytes > MAX_WAITING_BYTES {
            let last = self.last(self.count(class) > MAX_WAITING, class, &mut standing, now)?;
            self.leave(last);
        }
        self.entries.contains_key(&id).then_some(id)
    }

    /// What a waiting request does at `now`.
    pub fn turn(
        &self,
        id: WaiterId,
        mut standing: impl FnMut(Option<&Workspace>) -> Standing,
        now: Time,
    ) -> Turn {
        let Some(entry) = self.entries.get(&id).filter(|entry| entry.useful_until > now) else {
            return Turn::GiveUp;
        };
        let own = rank(id, entry, &mut standing, now);
        let is_first = self
            .entries
            .iter()
            .filter(|(_, other)| other.class == entry.class && other.useful_until > now)
            .all(|(other_id, other)| own <= rank(*other_id, other, &mut standing, now));
        match is_first {
            true => Turn::Try { is_late: own.is_late },
            false => Turn::Wait,
        }
    }

    /// Removes a request that was placed or refused, or whose caller has left.
    pub fn leave(&mut self, id: WaiterId) {
        if let Some(entry) = self.entries.swap_remove(&id) {
            self.bytes -= entry.bytes;
        }
    }

    /// Number of requests of a class that wait.
    pub fn count(&self, class: Class) -> usize {
        self.entries.values().filter(|entry| entry.class == class).count()
    }

    /// The request that comes last, among those of one class or among all.
    fn last(
        &self,
        is_class_full: bool,
        class: Class,
        standing: &mut impl FnMut(Option<&Workspace>) -> Standing,
        now: Time,
    ) -> Option<WaiterId> {
        let candidates =
            self.entries.iter().filter(|(_, entry)| !is_class_full || entry.class == class);
        let ranked = candidates.map(|(id, entry)| rank(*id, entry, standing, now));
        let last = ranked.max_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
        last.map(|rank| rank.id)
    }
}

fn rank(
    id: WaiterId,
    entry: &Entry,
    standing: &mut impl FnMut(Option<&Workspace>) -> Standing,
    now: Time,
) -> Rank {
    let standing = standing(entry.workspace.as_ref());
    Rank {
        is_late: entry.on_time_until <= now,
        is_over_share: standing.is_over_share,
        is_new: entry.refusals == 0,
        share: standing.rank,
        useful_until: entry.useful_until,
        id,
    }
}
