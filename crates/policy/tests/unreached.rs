//! What an instance that is cut off from endpoints tells the others about them.

#![allow(clippy::unwrap_used)]

mod arranging;
mod engines;

use std::time::Duration;

use engines::engine;
use policy::{
    EndpointId, FailCause, InstanceId, Time,
    placement::{GroupScheduler, PlacementRequest, PlacementRules},
};

const ENDPOINTS: usize = 12;

fn at(ms: u64) -> Time {
    Time((10_000 + ms) * 1_000)
}

fn scheduler(seed: u64) -> GroupScheduler {
    let mut scheduler = arranging::scheduler(ENDPOINTS, engine(), PlacementRules::default(), seed);
    scheduler.set_rules(None);
    scheduler
}

/// Places requests until one is on each endpoint; returns how many endpoints were used within 60.
fn endpoints_used(scheduler: &mut GroupScheduler, now: Time) -> usize {
    let mut used: Vec<EndpointId> = Vec::new();
    for _ in 0..60 {
        let placement = scheduler.place(&arranging::request(0), now).unwrap();
        used.push(placement.endpoint);
    }
    used.sort();
    used.dedup();
    used.len()
}

/// Fails once at each endpoint.
fn fail_everywhere(scheduler: &mut GroupScheduler, cause: FailCause, now: Time) {
    let mut tried = Vec::new();
    for _ in 0..ENDPOINTS {
        let request = PlacementRequest { tried: tried.clone(), ..arranging::request(0) };
        let placement = scheduler.place(&request, now).unwrap();
        if cause != FailCause::NotSent {
            scheduler.mark_sent(placement.job);
        }
        tried.push((placement.endpoint.clone(), placement.incarnation));
        scheduler.finish(placement.job, Some(cause), now);
    }
}

fn tell(from: &mut GroupScheduler, name: &str, to: &mut GroupScheduler, now: Time) {
    let updates = from.take_updates(true);
    to.apply_updates(&InstanceId::new(name).unwrap(), &updates, now);
}

/// Four instances fail at all endpoints, and tell another one.
fn ejects_nothing(cause: FailCause) {
    let mut sound = scheduler(0);
    for index in 1..5 {
        let mut cut_off = scheduler(index);
        fail_everywhere(&mut cut_off, cause, at(index));
        tell(&mut cut_off, &format!("entry-{index}"), &mut sound, at(10 + index));
    }
    assert_eq!(endpoints_used(&mut sound, at(200)), ENDPOINTS);
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

cases! {
    /// Guards against sound endpoints that all instances avoid because some are cut off from them.
    refused_connections_of_cut_instances_eject_nothing => || ejects_nothing(FailCause::NotSent);

    /// Guards against the same where the cut breaks what runs.
    broken_runs_of_cut_instances_eject_nothing => || ejects_nothing(FailCause::Broken);

    /// Guards against requests that all go to one endpoint after a cut, because the others failed
    /// more often while it lasted.
    endpoints_are_used_again_after_a_cut => || {
        let mut scheduler = scheduler(0);
        let spared = arranging::id(0);
        for round in 0..3 {
            let mut tried = vec![(spared.clone(), policy::Incarnation(1))];
            for _ in 1..ENDPOINTS {
                let request = PlacementRequest { tried: tried.clone(), ..arranging::request(0) };
                let placement = scheduler.place(&request, at(round)).unwrap();
                tried.push((placement.endpoint, placement.incarnation));
                scheduler.finish(placement.job, Some(FailCause::NotSent), at(round));
            }
        }
        for _ in 0..ENDPOINTS {
            let placement = scheduler.place(&arranging::request(0), at(200)).unwrap();
            assert_eq!(placement.endpoint, spared);
            scheduler.finish(placement.job, Some(FailCause::Deadline), at(200));
        }
        scheduler.forget_unconfirmed_failures();
        assert_eq!(endpoints_used(&mut scheduler, at(400)), ENDPOINTS);
        scheduler.record_connect_time(&spared, Duration::from_millis(2));
        let mut other = self::scheduler(1);
        for name in ["entry-1", "entry-2", "entry-3"] {
            tell(&mut scheduler, name, &mut other, at(410));
        }
        assert_eq!(endpoints_used(&mut other, at(500)), ENDPOINTS);
    };

    /// Guards against a dead endpoint that each instance has to find out about by itself.
    failures_beside_a_connection_elsewhere_are_told => || {
        let mut sound = scheduler(0);
        for index in 1..5 {
            let mut other = scheduler(index);
            let only: Vec<_> = (1..ENDPOINTS)
                .map(|index| (arranging::id(index), policy::Incarnation(1)))
                .collect();
            let request = PlacementRequest { tried: only, ..arranging::request(0) };
            let placement = other.place(&request, at(0)).unwrap();
            other.finish(placement.job, Some(FailCause::NotSent), at(1));
            other.record_connect_time(&arranging::id(1), Duration::from_millis(2));
            tell(&mut other, &format!("entry-{index}"), &mut sound, at(10));
        }
        assert_eq!(endpoints_used(&mut sound, at(200)), ENDPOINTS - 1);
    };
}
