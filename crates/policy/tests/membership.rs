//! Guards against wrong states of members when the list, heartbeats and the operator's mark
//! disagree.

// Clippy exempts test functions from this lint, but not their helpers.
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

/// A report about the member; the first value is its time in seconds after the start.
enum Report {
    Observed(u64, u64, MemberObservation),
    Listed(u64, u64, bool),
    Unlisted(u64),
}

use MemberObservation::{Alive, Leaving, Operator, Stopped};
use Report::{Listed, Observed, Unlisted};

fn fold(reports: &[Report]) -> Membership<InstanceId> {
    let mut members = Membership::new(at(0));
    for report in reports {
        match report {
            Observed(when, incarnation, evidence) => {
                members.observe(&id(), Incarnation(*incarnation), *evidence, at(*when));
            }
            Listed(when, incarnation, leaving) => {
                let incarnation = Incarnation(*incarnation);
                let line = ListEntry { member: id(), incarnation, leaving: *leaving };
                members.apply_list(&[line], at(*when));
            }
            Unlisted(when) => members.apply_list(&[], at(*when)),
        }
    }
    members
}

macro_rules! state_is {
    ($($case:ident: $reports:expr, at $when:expr => $state:expr;)*) => {$(
        #[test]
        fn $case() {
            assert_eq!(fold(&$reports).state(&id(), at($when)), $state);
        }
    )*};
}

state_is! {
    nobody_said_anything: [], at 1 => MemberState::Dead;
    listed_and_not_yet_heard: [Listed(1, 0, false)], at 20 => MemberState::Live;
    heard_and_not_listed: [Observed(1, 5, Alive), Unlisted(2)], at 2 => MemberState::Live;
    silent_for_a_while: [Observed(1, 5, Alive)], at 5 => MemberState::Suspect;
    silent_for_good: [Observed(1, 5, Alive)], at 8 => MemberState::Dead;
    silent_though_the_list_has_it:
        [Observed(1, 5, Alive), Listed(9, 5, false)], at 9 => MemberState::Dead;
    leaving_beats_a_later_live_of_the_list:
        [Observed(1, 5, Alive), Observed(2, 5, Leaving), Listed(3, 5, false)],
        at 3 => MemberState::Leaving;
    leaving_beats_a_later_heartbeat:
        [Observed(1, 5, Leaving), Observed(2, 5, Alive)], at 3 => MemberState::Leaving;
    leaving_of_an_older_incarnation_is_void:
        [Observed(1, 6, Alive), Observed(2, 5, Leaving)], at 3 => MemberState::Live;
    a_new_incarnation_ends_leaving:
        [Observed(1, 5, Leaving), Observed(2, 6, Alive)], at 3 => MemberState::Live;
    a_late_heartbeat_of_an_old_incarnation_is_void:
        [Observed(1, 6, Alive), Observed(2, 6, Stopped), Observed(3, 5, Alive)],
        at 3 => MemberState::Dead;
    the_operators_mark_outlives_a_restart:
        [Observed(1, 5, Operator { leaving: true }), Observed(2, 6, Alive)],
        at 3 => MemberState::Leaving;
    the_operator_takes_it_back:
        [Observed(1, 5, Operator { leaving: true }), Observed(2, 5, Operator { leaving: false }),
         Observed(2, 5, Alive)], at 3 => MemberState::Live;
    a_list_without_incarnations_still_means_the_previous_one:
        [Observed(1, 5, Alive), Observed(2, 6, Alive), Listed(3, 0, true)],
        at 3 => MemberState::Live;
    a_list_without_incarnations_means_this_one_after_its_lag:
        [Observed(1, 5, Alive), Observed(2, 6, Alive), Listed(33, 0, true), Observed(33, 6, Alive)],
        at 33 => MemberState::Leaving;
    a_list_read_before_the_first_heartbeat_counts:
        [Listed(1, 0, true), Observed(2, 5, Alive)], at 3 => MemberState::Leaving;
    an_older_copy_of_the_list_takes_nothing_back:
        [Observed(1, 5, Alive), Listed(2, 0, true), Listed(3, 0, false)],
        at 3 => MemberState::Leaving;
    list_down_and_heartbeats_go_on:
        [Listed(1, 5, false), Observed(500, 5, Alive)], at 501 => MemberState::Live;
}

fn silent_since_one(list: &[Report]) -> Membership<InstanceId> {
    let mut members = fold(&[Observed(1, 5, Alive)]);
    for report in list {
        match report {
            Listed(when, ..) => {
                let line = ListEntry { member: id(), incarnation: Incarnation(5), leaving: false };
                members.apply_list(&[line], at(*when));
            }
            Unlisted(when) => members.apply_list(&[], at(*when)),
            Observed(when, incarnation, evidence) => {
                members.observe(&id(), Incarnation(*incarnation), *evidence, at(*when));
            }
        }
    }
    members
}

macro_rules! owner_is {
    ($($case:ident: $reports:expr, at $when:expr => $status:expr;)*) => {$(
        #[test]
        fn $case() {
            let members = silent_since_one(&$reports);
            assert_eq!(members.owner(&id(), Incarnation(5), at($when)), $status);
        }
    )*};
}

/// Time from which a list without the owner proves that an owner is dead that has been silent since
/// second 1.
const PROVED_AT_S: u64 = 1 + DEAD_TIMEOUT.as_secs() + MAX_LIST_LAG.as_secs();
const RELEASE_AT_S: u64 = PROVED_AT_S + OWNER_GRACE_PERIOD.as_secs();

owner_is! {
    a_live_owner: [], at 2 => OwnerStatus::Alive;
    a_silent_owner_while_the_list_is_down: [], at 10_000 => OwnerStatus::Unknown;
    a_silent_owner_that_the_list_has:
        [Listed(RELEASE_AT_S, 5, false)], at RELEASE_AT_S => OwnerStatus::Unknown;
    a_silent_owner_whom_an_early_list_lacks:
        [Unlisted(PROVED_AT_S - 1)], at 10_000 => OwnerStatus::Unknown;
    a_silent_owner_whom_a_late_list_lacks:
        [Unlisted(PROVED_AT_S)], at RELEASE_AT_S => OwnerStatus::Dead;
    within_the_grace_period: [Unlisted(PROVED_AT_S)], at RELEASE_AT_S - 1 => OwnerStatus::Unknown;
    a_restarted_owner:
        [Observed(3, 6, Alive)], at 3 + OWNER_GRACE_PERIOD.as_secs() => OwnerStatus::Dead;
    a_restarted_owner_within_grace: [Observed(3, 6, Alive)], at 4 => OwnerStatus::Unknown;
}

#[test]
fn an_owner_never_heard_of_is_gone_only_by_a_late_list() {
    let mut members: Membership<InstanceId> = Membership::new(at(0));
    members.apply_list(&[], at(5));
    assert_eq!(members.owner(&id(), Incarnation(1), at(9_000)), OwnerStatus::Unknown);
    members.apply_list(&[], at(PROVED_AT_S));
    assert_eq!(members.owner(&id(), Incarnation(1), at(9_000)), OwnerStatus::Dead);
}

#[test]
fn the_dead_are_remembered_for_a_while_and_then_forgotten() {
    let mut members = fold(&[Observed(1, 5, Alive)]);
    members.apply_list(&[], at(100));
    assert_eq!(members.incarnation(&id()), Some(Incarnation(5)));
    members.apply_list(&[], at(2) + DEAD_MEMBER_RETENTION + Duration::from_secs(1));
    assert_eq!(members.incarnation(&id()), None);
}
