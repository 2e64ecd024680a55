//! Combined evidence about the newest incarnation of one member.

use crate::{
    Incarnation, Time,
    membership::{DEAD_TIMEOUT, MAX_LIST_LAG, MemberObservation, MemberState, SUSPECT_TIMEOUT},
};

#[derive(Debug)]
pub(super) struct Member {
    pub(super) incarnation: Incarnation,
    /// When this incarnation first became known.
    pub(super) first_seen_at: Time,
    /// Time of the last direct evidence; if there was none, when the incarnation became known.
    pub(super) last_seen_at: Time,
    /// When a newer incarnation replaced an older one, for the owners of engine memory.
    pub(super) replaced_at: Option<Time>,
    /// Whether the member was ever seen directly, by a heartbeat or an answer.
    pub(super) seen_directly: bool,
    pub(super) stopped: bool,
    /// When the last list was read, if it contained the member.
    pub(super) listed_at: Option<Time>,
    leaving: bool,
    operator_leaving: bool,
    /// When a list without incarnations last marked the member as leaving.
    listed_leaving_at: Option<Time>,
}

impl Member {
    pub(super) fn new(incarnation: Incarnation, now: Time) -> Member {
        Member {
            incarnation,
            first_seen_at: now,
            last_seen_at: now,
            replaced_at: None,
            seen_directly: false,
            stopped: false,
            listed_at: None,
            leaving: false,
            operator_leaving: false,
            listed_leaving_at: None,
        }
    }

    /// A newer incarnation voids everything except the operator's mark, which applies to the name.
    /// If only the list knew the member so far, this is the incarnation that the list meant.
    pub(super) fn begin_incarnation(&mut self, incarnation: Incarnation, now: Time) {
        let known = self.incarnation > Incarnation(0);
        *self = Member {
            replaced_at: if known { Some(now) } else { self.replaced_at },
            operator_leaving: self.operator_leaving,
            listed_at: self.listed_at,
            listed_leaving_at: if known { None } else { self.listed_leaving_at },
            ..Member::new(incarnation, now)
        };
    }

    pub(super) fn observe(&mut self, evidence: MemberObservation, now: Time) {
        match evidence {
            MemberObservation::Alive => {
                self.last_seen_at = self.last_seen_at.max(now);
                self.seen_directly = true;
            }
            MemberObservation::Leaving => self.leaving = true,
            MemberObservation::Stopped => self.stopped = true,
            MemberObservation::Operator { leaving } => self.operator_leaving = leaving,
        }
    }

    pub(super) fn observe_listed(&mut self, incarnation: Incarnation, leaving: bool, now: Time) {
        self.listed_at = Some(now);
        if incarnation > Incarnation(0) {
            self.leaving |= leaving;
            return;
        }
        // Such a list entry may still refer to the previous incarnation; applying it would exclude
        // an endpoint that has just restarted.
        let may_refer_to_previous = self.replaced_at.is_some_and(|at| now.since(at) < MAX_LIST_LAG);
        if leaving && !may_refer_to_previous {
            self.listed_leaving_at = Some(now);
        } else if !leaving && self.listed_leaving_at.is_some_and(|at| now.since(at) >= MAX_LIST_LAG)
        {
            // A list that reports *live* sooner may be an older copy than the one that reported
            // *leaving*.
            self.listed_leaving_at = None;
        }
    }

    pub(super) fn state(&self, list_read_at: Option<Time>, now: Time) -> MemberState {
        if self.stopped {
            return MemberState::Dead;
        }
        let silence = now.since(self.last_seen_at);
        // A member that was never seen directly is in service as long as the list contains it.
        let is_listed =
            !self.seen_directly && self.listed_at.is_some() && self.listed_at == list_read_at;
        if silence >= DEAD_TIMEOUT && !is_listed {
            return MemberState::Dead;
        }
        if self.leaving || self.operator_leaving || self.listed_leaving_at.is_some() {
            return MemberState::Leaving;
        }
        if silence >= SUSPECT_TIMEOUT && !is_listed {
            return MemberState::Suspect;
        }
        MemberState::Live
    }
}
