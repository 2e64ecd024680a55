//! Engines refuse to prefill parts for more other engines than they have slots.

#![allow(clippy::unwrap_used)]

mod arranging;
mod engines;

use std::collections::BTreeMap;

use engines::engine;
use policy::{
    EndpointId, Fingerprint, InstanceId, Time,
    placement::{EndpointLoad, GroupScheduler, PlacementRequest, PlacementRules},
    routes::EngineRules,
};

const ENGINES: usize = 12;

fn scheduler(seed: u64) -> GroupScheduler {
    arranging::scheduler(ENGINES, engine(), PlacementRules::default(), seed)
}

fn summary(index: u64) -> PlacementRequest {
    let fingerprint = Fingerprint(u128::from(index));
    let goal_ms = 6_000.0;
    PlacementRequest {
        max_output_tokens: 1_000,
        goal_ms,
        remaining_ms: 10_000.0,
        fingerprint,
        ..arranging::request(60_000)
    }
}

/// Summaries arrive at the same time on two instances. Guards against requests that are refused
/// because one of their engines helps too many others.
#[test]
fn no_engine_helps_more_others_than_it_has_slots() {
    let (mut one, mut two) = (scheduler(1), scheduler(2));
    let names = ["one", "two"].map(|name| InstanceId::new(name).unwrap());
    let mut helping: BTreeMap<EndpointId, u32> = BTreeMap::new();
    let mut placed = 0;
    for index in 0..120 {
        let now = Time(index * 100);
        let (here, there, name) = match index % 2 {
            0 => (&mut one, &mut two, &names[0]),
            _ => (&mut two, &mut one, &names[1]),
        };
        let Ok(placement) = here.place(&summary(index), now) else { continue };
        there.apply_updates(name, &here.take_updates(false), now);
        placed += 1;
        // A held prompt is sent only when its engines have prefilled the others' parts.
        if placement.hold.as_millis() < 20 {
            for helper in &placement.helpers {
                *helping.entry(helper.endpoint.clone()).or_default() += 1;
            }
        }
    }
    let most = helping.values().max().unwrap();
    assert!(*most <= engine().slots, "{most} of {}: {helping:?}", engine().slots);
    assert!(placed >= 60, "{placed} of 120 placed");
}

/// How a full engine becomes free.
enum Freed {
    /// The requests' first events come.
    FirstEvent,
    /// The instance that placed the parts is removed.
    PeerRemoved,
}

macro_rules! counts_until {
    ($($(#[$doc:meta])* $name:ident: $late_ms:expr, $freed:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { counts_until($late_ms, $freed) })*
    };
}

counts_until! {
    /// Guards against counting a part as prefilled because its predicted time is over: engines
    /// count it until the request's first event.
    a_late_prompt_counts_until_its_first_event: 100, Freed::FirstEvent;

    /// Guards against sending more parts to an engine that has turned slow and holds on to its
    /// parts for seconds.
    a_very_late_prompt_counts_until_its_first_event: 6_000, Freed::FirstEvent;

    /// Guards against counting parts for seconds although the instance that placed them has failed.
    a_late_prompt_counts_until_its_instance_is_gone: 6_000, Freed::PeerRemoved;
}

fn counts_until(late_ms: u64, freed: Freed) {
    // The cost to decoding requests and holds aren't under test here.
    let permissive = PlacementRules { most_harm: 1e9, holds: false, ..PlacementRules::default() };
    let few_slots = EngineRules { slots: 5, ..engine() };
    let rules = PlacementRules::default();
    let mut one = arranging::scheduler(ENGINES, few_slots.clone(), rules, 1);
    let mut two = arranging::scheduler(ENGINES, few_slots.clone(), permissive, 2);
    let name = InstanceId::new("one").unwrap();
    let mut helping: BTreeMap<EndpointId, u32> = BTreeMap::new();
    let (mut jobs, mut predicted_ms) = (Vec::new(), 0);
    for index in 0..200 {
        let Ok(placement) = one.place(&summary(index), Time(index)) else { continue };
        if placement.hold.as_millis() >= 20 {
            one.finish(placement.job, None, Time(index));
            break;
        }
        for helper in placement.helpers {
            *helping.entry(helper.endpoint).or_default() += 1;
        }
        predicted_ms = predicted_ms.max(placement.predicted_ms as u64);
        jobs.push(placement.job);
    }
    let mut updates = one.take_updates(false);
    for update in &mut updates {
        // Running and decoding requests would also make the engine unattractive.
        update.load = EndpointLoad::default();
    }
    two.apply_updates(&name, &updates, Time(200));
    let mut full = helping.into_iter().filter(|(_, count)| *count >= few_slots.slots - 1);
    let (full, _) = full.next().expect("an engine helps as many as it may");
    let late = Time::from_millis(predicted_ms + late_ms);
    let uses_full = |two: &mut GroupScheduler| {
        // A prompt that needs all engines.
        let dossier = PlacementRequest { prompt_tokens: 300_000, goal_ms: 9_000.0, ..summary(900) };
        let placement = two.place(&dossier, late).unwrap();
        two.finish(placement.job, None, late);
        let helps = |endpoint| placement.helpers.iter().any(|h| h.endpoint == endpoint);
        // A prompt that runs on a single engine needs no helpers.
        !placement.helpers.is_empty() && (placement.endpoint == full || helps(full.clone()))
    };
    assert!(!uses_full(&mut two), "{full} refuses");
    match freed {
        Freed::FirstEvent => {
            for job in jobs {
                one.record_first_event(job, late);
                one.finish(job, None, late);
            }
            two.apply_updates(&name, &one.take_updates(true), late);
        }
        Freed::PeerRemoved => two.remove_peer(&name),
    }
    assert!(uses_full(&mut two), "{full} is free again");
}
