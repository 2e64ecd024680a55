//! Which registrations count while their store fails.

use std::time::Duration;

use indexmap::IndexMap;
use policy::{
    Time,
    roster::{REGISTRATION_GRACE_PERIOD, Roster},
};

fn found(keys: &[u32]) -> IndexMap<u32, &'static str> {
    keys.iter().map(|key| (*key, "registered")).collect()
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn keys(roster: &Roster<u32, &'static str>) -> Vec<u32> {
    let mut keys: Vec<_> = roster.entries().keys().copied().collect();
    keys.sort_unstable();
    keys
}

#[test]
fn a_missing_entry_is_removed() {
    let mut roster = Roster::default();
    assert!(roster.update(&found(&[1, 2]), at(0)));
    assert!(!roster.update(&found(&[1, 2]), at(500)));
    assert!(roster.update(&found(&[2]), at(1_000)));
    assert_eq!(keys(&roster), [2]);
}

/// Guards against refusing callers after an outage of the store, in which every registration
/// expired. The endpoints are alive and register again two seconds after the store's recovery.
#[test]
fn an_outage_removes_no_entry() {
    let mut roster = Roster::default();
    roster.update(&found(&[1, 2]), at(0));
    roster.record_failure();
    assert!(!roster.update(&found(&[]), at(5_000)));
    assert_eq!(keys(&roster), [1, 2]);
    roster.update(&found(&[1]), at(6_500));
    assert_eq!(keys(&roster), [1, 2]);
    roster.update(&found(&[1]), at(5_000) + REGISTRATION_GRACE_PERIOD);
    assert_eq!(keys(&roster), [1]);
}

/// Two outages in a row. What was kept for the first one is kept for the second, and no longer than
/// the grace period.
#[test]
fn a_second_outage_begins_anew() {
    let mut roster = Roster::default();
    roster.update(&found(&[1]), at(0));
    roster.record_failure();
    roster.update(&found(&[]), at(1_000));
    roster.record_failure();
    roster.update(&found(&[]), at(3_000));
    assert_eq!(keys(&roster), [1]);
    roster.update(&found(&[]), at(3_000) + REGISTRATION_GRACE_PERIOD + Duration::from_millis(1));
    assert_eq!(keys(&roster), [0; 0]);
}

#[test]
fn a_change_within_an_outage_counts() {
    let mut roster = Roster::default();
    roster.update(&found(&[1]), at(0));
    roster.record_failure();
    let draining: IndexMap<u32, &str> = [(1, "leaving")].into_iter().collect();
    assert!(roster.update(&draining, at(1_000)));
    assert_eq!(roster.entries()[&1], "leaving");
}
