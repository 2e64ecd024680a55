//! What all witnesses together say of one member's newest life.

use crate::{
    Incarnation, Time,
    membership::{DEAD_TIMEOUT, MAX_LIST_LAG, MemberObservation, MemberState, SUSPECT_TIMEOUT},
};

#[derive(Debug)]
pub(super) struct Member {
    pub(super) incarnation: Incarnation,
    /// When this life was first heard of.
    pub(super) first_heard: Time,
    /// The last direct sign of life; the first mention, where there was none.
    pub(super) last_sign: Time,
    /// When a newer life took over the name, for owners of memory.
    pub(super) replaced: Option<Time>,
    /// Whether the member was ever heard of directly.
    pub(super) heard: bool,
    pub(super) stopped: bool,
    /// When the last read list had it; none where it didn't.
    pub(super) listed: Option<Time>,
    leaving: bool,
    operator_leaving: bool,
    /// When a list without incarnations last had the member as leaving.
    listed_leaving: Option<Time>,
}

impl Member {
    pub(super) fn new(incarnation: Incarnation, now: Time) -> Member {
        Member {
            incarnation,
            first_heard: now,
            last_sign: now,
            replaced: None,
            heard: false,
            stopped: false,
            listed: None,
            leaving: false,
            operator_leaving: false,
            listed_leaving: None,
        }
    }

    /// A newer life voids everything but the operator's mark, which is about the name. Where only
    /// the list was known so far, this is the life that it means.
    pub(super) fn begin_life(&mut self, incarnation: Incarnation, now: Time) {
        let known = self.incarnation > Incarnation(0);
        *self = Member {
            replaced: if known { Some(now) } else { self.replaced },
            operator_leaving: self.operator_leaving,
            listed: self.listed,
            listed_leaving: if known { None } else { self.listed_leaving },
            ..Member::new(incarnation, now)
        };
    }

    pub(super) fn observe(&mut self, evidence: MemberObservation, now: Time) {
        match evidence {
            MemberObservation::Alive => {
                self.last_sign = self.last_sign.max(now);
                self.heard = true;
            }
            MemberObservation::Leaving => self.leaving = true,
            MemberObservation::Stopped => self.stopped = true,
            MemberObservation::Operator { leaving } => self.operator_leaving = leaving,
        }
    }

    pub(super) fn observe_listed(&mut self, incarnation: Incarnation, leaving: bool, now: Time) {
        self.listed = Some(now);
        if incarnation > Incarnation(0) {
            self.leaving |= leaving;
            return;
        }
        // Such a line may still mean the life before this one; taken at its word, an endpoint that
        // has just restarted would be shut out.
        let may_mean_the_last = self.replaced.is_some_and(|at| now.since(at) < MAX_LIST_LAG);
        if leaving && !may_mean_the_last {
            self.listed_leaving = Some(now);
        } else if !leaving && self.listed_leaving.is_some_and(|at| now.since(at) >= MAX_LIST_LAG) {
            // A list that says *live* sooner may be an older copy than the one that said
            // *leaving*.
            self.listed_leaving = None;
        }
    }

    pub(super) fn state(&self, apply_list: Option<Time>, now: Time) -> MemberState {
        if self.stopped {
            return MemberState::Dead;
        }
        let silent = now.since(self.last_sign);
        // One that was never heard of directly is in service on the word of a list that has it.
        let on_the_list = !self.heard && self.listed.is_some() && self.listed == apply_list;
        if silent >= DEAD_TIMEOUT && !on_the_list {
            return MemberState::Dead;
        }
        if self.leaving || self.operator_leaving || self.listed_leaving.is_some() {
            return MemberState::Leaving;
        }
        if silent >= SUSPECT_TIMEOUT && !on_the_list {
            return MemberState::Suspect;
        }
        MemberState::Live
    }
}
