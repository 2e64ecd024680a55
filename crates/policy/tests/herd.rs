//! Many instances place a burst of questions before the updates about each placement arrive.

#![allow(clippy::unwrap_used)]

mod arranging;
mod engines;

use std::{collections::VecDeque, time::Duration};

use engines::engine;
use policy::{
    Fingerprint, InstanceId, Time,
    placement::{EndpointUpdate, GroupScheduler, PlacementRequest, PlacementRules},
};

const ENGINES: usize = 60;
const INSTANCES: usize = 60;
const QUESTION: u64 = 5_000;
const GOAL_MS: f64 = 300.0;

/// Microseconds until the other instances receive the update about a placement.
const UPDATE_DELAY_US: u64 = 2_000;

/// Microseconds after which all instances know each other.
const LONG_AFTER_START_US: u64 = 5_000_000;

/// Microseconds between two questions of the burst.
const ARRIVAL_INTERVAL_US: u64 = 125;

fn instance(index: usize) -> GroupScheduler {
    let rules = PlacementRules::default();
    let mut scheduler = arranging::scheduler(ENGINES, engine(), rules, index as u64);
    for index in 0..ENGINES {
        scheduler
            .record_connect_time(&arranging::id(index), Duration::from_micros(UPDATE_DELAY_US));
    }
    scheduler
}

fn request(index: u64) -> PlacementRequest {
    let fingerprint = Fingerprint(u128::from(index));
    PlacementRequest {
        goal_ms: GOAL_MS,
        remaining_ms: 10_000.0,
        fingerprint,
        ..arranging::request(QUESTION)
    }
}

/// Guards against a thundering herd: all instances see the same engine as the best one, and until
/// the updates about each other's placements arrive, its queue grows until all its prompts are
/// late.
#[test]
fn a_burst_on_many_instances_doesnt_queue_on_one_engine() {
    let mut instances: Vec<GroupScheduler> = (0..INSTANCES).map(instance).collect();
    let mut in_flight: VecDeque<(u64, usize, Vec<EndpointUpdate>)> = VecDeque::new();
    // When each engine has prefilled its queue.
    let mut prefilled_at_ms = vec![0.0_f64; ENGINES];
    let (mut late, mut placed_count) = (0, 0);
    for (index, now_us) in (0..50_000).step_by(ARRIVAL_INTERVAL_US as usize).enumerate() {
        let now = Time(LONG_AFTER_START_US + now_us);
        while in_flight.front().is_some_and(|(at, ..)| *at <= now_us) {
            let (_, from, updates) = in_flight.pop_front().unwrap();
            let peer = InstanceId::new(&format!("p-{from}")).unwrap();
            for (to, other) in instances.iter_mut().enumerate() {
                if to != from {
                    other.apply_updates(&peer, &updates, now);
                }
            }
        }
        let from = index * 7 % INSTANCES;
        let Ok(placed) = instances[from].place(&request(index as u64), now) else { continue };
        in_flight.push_back((now_us + UPDATE_DELAY_US, from, instances[from].take_updates(false)));
        let engine = arranging::index(&placed.endpoint);
        let now_ms = now_us as f64 / 1_000.0;
        prefilled_at_ms[engine] =
            prefilled_at_ms[engine].max(now_ms) + self::engine().prefill_ms(QUESTION);
        placed_count += 1;
        late += usize::from(prefilled_at_ms[engine] - now_ms > GOAL_MS);
    }
    println!("{late} of {placed_count} late");
    assert!(placed_count >= 390, "{placed_count} of 400 placed");
    assert!(late * 50 < placed_count, "{late} of {placed_count} late");
}

/// Guards against instances that start together and don't know each other yet: all find the same
/// engine idle, and their first questions queue there.
#[test]
fn a_burst_on_instances_that_have_just_started_spreads() {
    let mut instances: Vec<GroupScheduler> = (0..INSTANCES).map(instance).collect();
    let mut on_engine = [0_u32; ENGINES];
    for index in 0..300 {
        let now = Time(index * ARRIVAL_INTERVAL_US);
        let placed = instances[index as usize % INSTANCES].place(&request(index), now).unwrap();
        let engine = arranging::index(&placed.endpoint);
        on_engine[engine] += 1;
    }
    let most = on_engine.iter().max().unwrap();
    assert!(*most <= engine().slots, "{on_engine:?}");
}
