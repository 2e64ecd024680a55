//! A poison request is identified at its second crash, and the requests that ran next to it are
//! cleared.

// Clippy exempts test functions from this lint, but not their helpers.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use fastrand::Rng;
use policy::{
    EndpointId, Fingerprint, Incarnation, Time,
    quarantine::{
        DeathId, DeathReport, Entry, EntryStatus, FIRST_REFUSAL_PERIOD, LAST_ENDPOINT_GRACE_PERIOD,
        MAX_SUSPECTS, Quarantine, QuarantineState, SUSPICION_TTL,
    },
};
use quickcheck::quickcheck;

fn endpoint(n: usize) -> EndpointId {
    EndpointId::new(&format!("e{n}")).unwrap()
}

/// Each death ends another incarnation.
fn record_death(
    quarantine: &mut Quarantine,
    endpoint: &EndpointId,
    present: &[Fingerprint],
    now: Time,
) {
    quarantine.record_death(endpoint, Incarnation(now.0), present, now);
}

const POISON: Fingerprint = Fingerprint(0);

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1000)
}

/// Guards against a poison request taking down all engines. Retried from engine to engine, one
/// request crashes four engines within a minute, and again after each restart. Here 40 requests run
/// on an engine, one of them crashes it; suspects are rerun isolated, and the second death
/// identifies it.
#[test]
fn the_second_death_identifies_the_poison_request_and_clears_the_rest() {
    for seed in 0..50 {
        let mut rng = Rng::with_seed(seed);
        let mut quarantine = Quarantine::new();
        let mut waiting: Vec<Fingerprint> = (0..40).map(Fingerprint).collect();
        record_death(&mut quarantine, &endpoint(0), &waiting, at(10));
        rng.shuffle(&mut waiting);
        let mut deaths = 1;
        let mut now = at(10);
        while let Some(fingerprint) = waiting.pop() {
            now = now + Duration::from_secs(5);
            let target = (1..4).find(|n| quarantine.may_run(fingerprint, &endpoint(*n), 3, now));
            let target = endpoint(target.unwrap());
            quarantine.record_start(fingerprint, &target, now);
            if fingerprint == POISON {
                deaths += 1;
                record_death(&mut quarantine, &target, &[fingerprint, Fingerprint(100)], now);
            } else {
                quarantine.record_completion(fingerprint, now);
            }
        }
        assert_eq!(deaths, 2);
        assert!(matches!(quarantine.state(POISON, now), QuarantineState::Refused(_)));
        assert!(!quarantine.may_run(POISON, &endpoint(3), 3, now));
        assert!((1..40).all(|n| quarantine.state(Fingerprint(n), now) == QuarantineState::Clear));
        assert_eq!(quarantine.state(Fingerprint(100), now), QuarantineState::Suspect);
    }
}

fn suspects(numbers: &[u128]) -> Quarantine {
    let mut quarantine = Quarantine::new();
    let present: Vec<Fingerprint> = numbers.iter().copied().map(Fingerprint).collect();
    record_death(&mut quarantine, &endpoint(0), &present, at(10));
    quarantine
}

#[test]
fn suspects_run_isolated_and_not_on_the_last_endpoint() {
    let mut quarantine = suspects(&[1, 2]);
    let now = at(12);
    quarantine.record_start(Fingerprint(1), &endpoint(1), now);
    assert!(!quarantine.may_run(Fingerprint(2), &endpoint(1), 3, now));
    assert!(quarantine.may_run(Fingerprint(2), &endpoint(2), 3, now));
    assert!(!quarantine.may_run(Fingerprint(2), &endpoint(2), 1, now));
    let later = at(10) + LAST_ENDPOINT_GRACE_PERIOD;
    assert!(quarantine.may_run(Fingerprint(2), &endpoint(2), 1, later), "a single endpoint");
    assert!(!quarantine.may_run(Fingerprint(2), &endpoint(1), 1, later), "still isolated");
    assert!(quarantine.may_run(Fingerprint(3), &endpoint(1), 1, now), "no suspect, no bounds");
    quarantine.record_stop(Fingerprint(1));
    assert!(quarantine.may_run(Fingerprint(2), &endpoint(1), 3, now));
}

#[test]
fn suspects_of_other_instances_are_kept_apart_too() {
    let mut quarantine = suspects(&[1]);
    quarantine.record_peer_suspect(&endpoint(1), at(12));
    assert!(!quarantine.may_run(Fingerprint(1), &endpoint(1), 3, at(13)));
    assert!(quarantine.may_run(Fingerprint(1), &endpoint(1), 3, at(16)));
}

/// Guards against refusing a popular request everywhere for ten minutes: a rack fails, and three
/// engines that all ran it die in the same second.
#[test]
fn a_failed_rack_confirms_no_suspect() {
    let mut quarantine = Quarantine::new();
    for n in 0..3 {
        record_death(
            &mut quarantine,
            &endpoint(n),
            &[Fingerprint(1)],
            at(10) + Duration::from_millis(300 * n as u64),
        );
    }
    assert_eq!(quarantine.state(Fingerprint(1), at(11)), QuarantineState::Suspect);
}

/// Guards against counting separate deaths as one. A poison request, rerun isolated after the first
/// death, crashes the next engine at once; if that death counted as the first one because they are
/// so close, all four engines would die within a second.
#[test]
fn an_isolated_poison_request_is_found_however_soon_it_crashes_again() {
    let mut quarantine = suspects(&[1, 2]);
    let now = at(10) + Duration::from_millis(50);
    quarantine.record_start(Fingerprint(1), &endpoint(1), now);
    record_death(&mut quarantine, &endpoint(1), &[Fingerprint(1)], now);
    assert_eq!(
        quarantine.state(Fingerprint(1), now),
        QuarantineState::Refused(FIRST_REFUSAL_PERIOD)
    );
    assert_eq!(quarantine.state(Fingerprint(2), now), QuarantineState::Suspect);
}

#[test]
fn a_refusal_expires_and_the_next_lasts_twice_as_long() {
    let mut quarantine = suspects(&[1]);
    record_death(&mut quarantine, &endpoint(1), &[Fingerprint(1)], at(20));
    assert_eq!(
        quarantine.state(Fingerprint(1), at(20)),
        QuarantineState::Refused(FIRST_REFUSAL_PERIOD)
    );
    let expiry = at(20) + FIRST_REFUSAL_PERIOD;
    assert_eq!(quarantine.state(Fingerprint(1), expiry), QuarantineState::Clear);
    record_death(&mut quarantine, &endpoint(1), &[Fingerprint(1)], expiry);
    record_death(
        &mut quarantine,
        &endpoint(2),
        &[Fingerprint(1)],
        expiry + Duration::from_secs(10),
    );
    let again = quarantine.state(Fingerprint(1), expiry + Duration::from_secs(10));
    assert_eq!(again, QuarantineState::Refused(FIRST_REFUSAL_PERIOD * 2));
}

#[test]
fn an_old_suspicion_is_forgotten() {
    let quarantine = suspects(&[1]);
    assert_eq!(quarantine.state(Fingerprint(1), at(10) + SUSPICION_TTL), QuarantineState::Clear);
}

#[test]
fn other_instances_refuse_what_one_has_confirmed() {
    let mut here = suspects(&[1, 2]);
    record_death(&mut here, &endpoint(1), &[Fingerprint(1)], at(20));
    let mut there = Quarantine::new();
    // Instances' clocks differ, so only durations are sent.
    there.import(&here.export(at(30)), at(5_000));
    let left = FIRST_REFUSAL_PERIOD - Duration::from_secs(10);
    assert_eq!(there.state(Fingerprint(1), at(5_000)), QuarantineState::Refused(left));
    assert_eq!(there.state(Fingerprint(2), at(5_000)), QuarantineState::Suspect);
}

#[test]
fn a_flood_of_suspects_stays_within_bounds() {
    let flood: Vec<Fingerprint> = (0..3 * MAX_SUSPECTS as u128).map(Fingerprint).collect();
    let mut quarantine = Quarantine::new();
    record_death(&mut quarantine, &endpoint(0), &flood, at(1));
    assert_eq!(quarantine.export(at(1)).len(), MAX_SUSPECTS);
}

/// Guards against memory that grows with each death where instances exchange whole states, and
/// nobody takes the changes.
#[test]
fn changes_that_nobody_takes_are_dropped() {
    let mut quarantine = suspects(&[1]);
    quarantine.expire(at(15));
    assert_eq!(quarantine.take_news(at(15)).len(), 1);
    let mut quarantine = suspects(&[1]);
    quarantine.expire(at(21));
    assert_eq!(quarantine.take_news(at(21)), []);
}

quickcheck! {
    fn any_import_stays_within_bounds(entries: Vec<(u8, u32, u64, u64)>) -> bool {
        let entries: Vec<Entry> = entries
            .into_iter()
            .map(|(f, endpoint, age_ms, refused_ms)| {
                let id = DeathId::new(&self::endpoint(endpoint as usize), Incarnation(1));
                let status = match refused_ms {
                    0 => EntryStatus::Suspect,
                    left_ms => EntryStatus::Refused { left_ms, age_ms },
                };
                let deaths = vec![DeathReport { id, age_ms, ran_isolated: false }];
                Entry { fingerprint: Fingerprint(f.into()), deaths, status }
            })
            .collect();
        let mut quarantine = Quarantine::new();
        quarantine.import(&entries, at(10));
        quarantine.expire(at(10) + Duration::from_secs(100 * 24 * 3600));
        quarantine.export(at(10)).is_empty()
    }
}
