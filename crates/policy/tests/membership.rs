//! The fold of witnesses: which word counts when they disagree.

// Helpers of tests count as tests; the linter's exemption covers only the functions themselves.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use policy::{
    Incarnation, InstanceId, Time,
    membership::{
        DEAD_MEMBER_RETENTION, DEAD_TIMEOUT, ListEntry, MAX_LIST_LAG, MemberObservation,
        MemberState, Membership,
        owners::{OWNER_GRACE_PERIOD, OwnerStatus},
    },
};

fn id() -> InstanceId {
    InstanceId::new("entry-1").unwrap()
}

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1000)
}

/// What a witness says, in seconds after the start.
enum Word {
    Says(u64, u64, MemberObservation),
    Listed(u64, u64, bool),
    Unlisted(u64),
}

use MemberObservation::{Alive, Leaving, Operator, Stopped};
use Word::{Listed, Says, Unlisted};

fn fold(words: &[Word]) -> Membership<InstanceId> {
    let mut members = Membership::new(at(0));
    for word in words {
        match word {
            Says(when, life, evidence) => {
                members.observe(&id(), Incarnation(*life), *evidence, at(*when));
            }
            Listed(when, life, leaving) => {
                let incarnation = Incarnation(*life);
                let line = ListEntry { member: id(), incarnation, leaving: *leaving };
                members.apply_list(&[line], at(*when));
            }
            Unlisted(when) => members.apply_list(&[], at(*when)),
        }
    }
    members
}

macro_rules! state_is {
    ($($case:ident: $words:expr, at $when:expr => $state:expr;)*) => {$(
        #[test]
        fn $case() {
            assert_eq!(fold(&$words).state(&id(), at($when)), $state);
        }
    )*};
}

state_is! {
    nobody_said_anything: [], at 1 => MemberState::Dead;
    listed_and_not_yet_heard: [Listed(1, 0, false)], at 20 => MemberState::Live;
    heard_and_not_listed: [Says(1, 5, Alive), Unlisted(2)], at 2 => MemberState::Live;
    silent_for_a_while: [Says(1, 5, Alive)], at 5 => MemberState::Suspect;
    silent_for_good: [Says(1, 5, Alive)], at 8 => MemberState::Dead;
    silent_though_the_list_has_it: [Says(1, 5, Alive), Listed(9, 5, false)], at 9 => MemberState::Dead;
    leaving_beats_a_later_live_of_the_list:
        [Says(1, 5, Alive), Says(2, 5, Leaving), Listed(3, 5, false)], at 3 => MemberState::Leaving;
    leaving_beats_a_later_heartbeat:
        [Says(1, 5, Leaving), Says(2, 5, Alive)], at 3 => MemberState::Leaving;
    leaving_of_an_older_life_is_void:
        [Says(1, 6, Alive), Says(2, 5, Leaving)], at 3 => MemberState::Live;
    a_new_life_ends_leaving: [Says(1, 5, Leaving), Says(2, 6, Alive)], at 3 => MemberState::Live;
    a_late_heartbeat_of_an_old_life_is_void:
        [Says(1, 6, Alive), Says(2, 6, Stopped), Says(3, 5, Alive)], at 3 => MemberState::Dead;
    the_operators_mark_outlives_a_restart:
        [Says(1, 5, Operator { leaving: true }), Says(2, 6, Alive)], at 3 => MemberState::Leaving;
    the_operator_takes_it_back:
        [Says(1, 5, Operator { leaving: true }), Says(2, 5, Operator { leaving: false }),
         Says(2, 5, Alive)], at 3 => MemberState::Live;
    a_list_without_lives_still_means_the_last_one:
        [Says(1, 5, Alive), Says(2, 6, Alive), Listed(3, 0, true)], at 3 => MemberState::Live;
    a_list_without_lives_means_this_one_after_its_lag:
        [Says(1, 5, Alive), Says(2, 6, Alive), Listed(33, 0, true), Says(33, 6, Alive)],
        at 33 => MemberState::Leaving;
    a_list_read_before_the_first_heartbeat_counts:
        [Listed(1, 0, true), Says(2, 5, Alive)], at 3 => MemberState::Leaving;
    an_older_copy_of_the_list_takes_nothing_back:
        [Says(1, 5, Alive), Listed(2, 0, true), Listed(3, 0, false)], at 3 => MemberState::Leaving;
    list_down_and_heartbeats_go_on:
        [Listed(1, 5, false), Says(500, 5, Alive)], at 501 => MemberState::Live;
}

fn silent_since_one(list: &[Word]) -> Membership<InstanceId> {
    let mut members = fold(&[Says(1, 5, Alive)]);
    for word in list {
        match word {
            Listed(when, ..) => {
                let line = ListEntry { member: id(), incarnation: Incarnation(5), leaving: false };
                members.apply_list(&[line], at(*when));
            }
            Unlisted(when) => members.apply_list(&[], at(*when)),
            Says(when, life, evidence) => {
                members.observe(&id(), Incarnation(*life), *evidence, at(*when));
            }
        }
    }
    members
}

macro_rules! owner_is {
    ($($case:ident: $words:expr, at $when:expr => $life:expr;)*) => {$(
        #[test]
        fn $case() {
            let members = silent_since_one(&$words);
            assert_eq!(members.owner(&id(), Incarnation(5), at($when)), $life);
        }
    )*};
}

/// Silence since second 1 is proof with a list read this much later that lacks the owner.
const PROVED: u64 = 1 + DEAD_TIMEOUT.as_secs() + MAX_LIST_LAG.as_secs();
const LATE: u64 = PROVED + OWNER_GRACE_PERIOD.as_secs();

owner_is! {
    a_live_owner: [], at 2 => OwnerStatus::Alive;
    a_silent_owner_while_the_list_is_down: [], at 10_000 => OwnerStatus::Unknown;
    a_silent_owner_that_the_list_has: [Listed(LATE, 5, false)], at LATE => OwnerStatus::Unknown;
    a_silent_owner_whom_an_early_list_lacks: [Unlisted(PROVED - 1)], at 10_000 => OwnerStatus::Unknown;
    a_silent_owner_whom_a_late_list_lacks: [Unlisted(PROVED)], at LATE => OwnerStatus::Dead;
    within_the_grace_period: [Unlisted(PROVED)], at LATE - 1 => OwnerStatus::Unknown;
    a_restarted_owner: [Says(3, 6, Alive)], at 3 + OWNER_GRACE_PERIOD.as_secs() => OwnerStatus::Dead;
    a_restarted_owner_within_grace: [Says(3, 6, Alive)], at 4 => OwnerStatus::Unknown;
}

#[test]
fn an_owner_never_heard_of_is_gone_only_by_a_late_list() {
    let mut members: Membership<InstanceId> = Membership::new(at(0));
    members.apply_list(&[], at(5));
    assert_eq!(members.owner(&id(), Incarnation(1), at(9_000)), OwnerStatus::Unknown);
    members.apply_list(&[], at(PROVED));
    assert_eq!(members.owner(&id(), Incarnation(1), at(9_000)), OwnerStatus::Dead);
}

#[test]
fn the_dead_are_remembered_for_a_while_and_then_forgotten() {
    let mut members = fold(&[Says(1, 5, Alive)]);
    members.apply_list(&[], at(100));
    assert_eq!(members.incarnation(&id()), Some(Incarnation(5)));
    members.apply_list(&[], at(2) + DEAD_MEMBER_RETENTION + Duration::from_secs(1));
    assert_eq!(members.incarnation(&id()), None);
}
