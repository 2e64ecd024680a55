//! Slots that an endpoint states far above those of its group.

#![allow(clippy::unwrap_used)]

mod arranging;
mod engines;

use engines::engine;
use policy::{
    Fingerprint, Time,
    placement::{GroupScheduler, PlacementRequest, PlacementRules},
};

const OTHERS: usize = 8;
const REQUESTS: u64 = 60;

/// Of requests that arrive at once, the number placed on the endpoint that states `slots`.
fn placed_on_endpoint_with(slots: u32) -> usize {
    let mut scheduler = GroupScheduler::with_rules(PlacementRules::default(), 1);
    let others = (0..OTHERS).map(|index| arranging::member(index, engine().slots, false));
    let members = others.chain([arranging::member(OTHERS, slots, false)]).collect();
    scheduler.set_rules(None);
    scheduler.set_members(members, Time::ZERO);
    let placed = (0..REQUESTS).filter(|index| {
        let fingerprint = Fingerprint(u128::from(*index));
        let request = PlacementRequest { fingerprint, ..arranging::request(0) };
        let placement = scheduler.place(&request, Time::from_millis(5_000)).unwrap();
        arranging::index(&placement.endpoint) == OTHERS
    });
    placed.count()
}

/// Guards against one endpoint that draws all requests by the number of slots that it states.
#[test]
fn an_endpoint_counts_for_four_times_the_median_at_most() {
    let placed = placed_on_endpoint_with(u32::MAX);
    // Four of twelve shares.
    assert_eq!(placed, 20, "of {REQUESTS}");
}

/// Guards against endpoints that differ within the bound, and get equal shares.
#[test]
fn twice_the_slots_get_twice_the_requests() {
    assert_eq!(placed_on_endpoint_with(2 * engine().slots), 12);
}
