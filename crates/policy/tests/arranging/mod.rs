//! Schedulers of sites with engines of one kind, and requests for them.

// Each test file uses only some of these.
#![allow(dead_code, missing_docs, unreachable_pub, clippy::unwrap_used)]

use policy::{
    DataCentre, EndpointId, Fingerprint, Incarnation, Time,
    placement::{GroupScheduler, Member, PlacementRequest, PlacementRules},
    routes::{EngineRules, Homes},
};

pub fn id(index: usize) -> EndpointId {
    EndpointId::new(&format!("i-{index}")).unwrap()
}

/// The index of an engine with an [`id`].
pub fn index(engine: &EndpointId) -> usize {
    engine.as_str()["i-".len()..].parse().unwrap()
}

pub fn member(index: usize, slots: u32, leaving: bool) -> Member {
    Member {
        endpoint: id(index),
        incarnation: Incarnation(1),
        slots: slots.into(),
        leaving,
        data_centre: DataCentre::new("a").unwrap(),
        region: None,
        cold_start: None,
    }
}

pub fn scheduler(
    engines: usize,
    engine: EngineRules,
    placement: PlacementRules,
    seed: u64,
) -> GroupScheduler {
    let mut scheduler = GroupScheduler::with_rules(placement, seed);
    let members = (0..engines).map(|index| member(index, engine.slots, false)).collect();
    scheduler.set_rules(Some(engine));
    scheduler.set_members(members, Time::ZERO);
    scheduler
}

/// A question, a summary or a dossier, by its length.
pub fn request(prompt: u64) -> PlacementRequest {
    let (goal_ms, pause_ms) = match prompt {
        0..=30_000 => (300.0, 200.0),
        30_001..=120_000 => (1_500.0, 500.0),
        _ => (3_000.0, 800.0),
    };
    PlacementRequest {
        prompt_tokens: prompt,
        max_output_tokens: 1_500,
        goal_ms,
        max_pause_ms: pause_ms,
        remaining_ms: 60_000.0,
        priority: 1,
        fingerprint: Fingerprint(u128::from(prompt)),
        parts: Default::default(),
        is_hedge: false,
        is_late: false,
        tried: Vec::new(),
        homes: Homes::everywhere(),
    }
}
