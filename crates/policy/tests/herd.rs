//! Many instances place a burst of questions while word of each placement is still under way.

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

/// Microseconds until the others have word of a placement.
const WORD_US: u64 = 2_000;

/// Microseconds after which all instances know each other.
const LONG_AFTER_START_US: u64 = 5_000_000;

/// Microseconds between two questions of the burst.
const EVERY_US: u64 = 125;

fn instance(index: usize) -> GroupScheduler {
    let rules = PlacementRules::default();
    let mut scheduler = arranging::scheduler(ENGINES, engine(), rules, index as u64);
    for index in 0..ENGINES {
        scheduler.record_connect_time(&arranging::id(index), Duration::from_micros(WORD_US));
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

/// Guards against a herd: all instances see the same engine as the best one, and until each hears of the
/// others' placements there, it has a queue of prompts that makes all of them late.
#[test]
fn a_burst_on_many_instances_doesnt_queue_on_one_engine() {
    let mut instances: Vec<GroupScheduler> = (0..INSTANCES).map(instance).collect();
    let mut words: VecDeque<(u64, usize, Vec<EndpointUpdate>)> = VecDeque::new();
    // When each engine has read what it got.
    let mut read_at = vec![0.0_f64; ENGINES];
    let (mut late, mut asked) = (0, 0);
    for (index, now_us) in (0..50_000).step_by(EVERY_US as usize).enumerate() {
        let now = Time(LONG_AFTER_START_US + now_us);
        while words.front().is_some_and(|(at, ..)| *at <= now_us) {
            let (_, from, told) = words.pop_front().unwrap();
            let peer = InstanceId::new(&format!("p-{from}")).unwrap();
            for (to, other) in instances.iter_mut().enumerate() {
                if to != from {
                    other.apply_updates(&peer, &told, now);
                }
            }
        }
        let from = index * 7 % INSTANCES;
        let Ok(placed) = instances[from].place(&request(index as u64), now) else { continue };
        words.push_back((now_us + WORD_US, from, instances[from].take_updates(false)));
        let engine = arranging::index(&placed.endpoint);
        let now_ms = now_us as f64 / 1_000.0;
        read_at[engine] = read_at[engine].max(now_ms) + self::engine().read_ms(QUESTION);
        asked += 1;
        late += usize::from(read_at[engine] - now_ms > GOAL_MS);
    }
    println!("{late} of {asked} late");
    assert!(asked >= 390, "{asked} of 400 placed");
    assert!(late * 50 < asked, "{late} of {asked} late");
}

/// Guards against instances that start together and don't know each other yet: all find the same engine idle, and the
/// first questions of each queue there.
#[test]
fn a_burst_on_instances_that_have_just_started_spreads() {
    let mut instances: Vec<GroupScheduler> = (0..INSTANCES).map(instance).collect();
    let mut on_engine = [0_u32; ENGINES];
    for index in 0..300 {
        let now = Time(index * EVERY_US);
        let placed = instances[index as usize % INSTANCES].place(&request(index), now).unwrap();
        let engine = arranging::index(&placed.endpoint);
        on_engine[engine] += 1;
    }
    let most = on_engine.iter().max().unwrap();
    assert!(*most <= engine().slots, "{on_engine:?}");
}
