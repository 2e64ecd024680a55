//! Drained data centres get nothing new, whatever a request needs.

#![allow(clippy::unwrap_used)]

mod arranging;
mod engines;

use engines::engine;
use policy::{
    DataCentre, Fingerprint, Incarnation, Time,
    drain::DrainedDataCentres,
    placement::{
        GroupScheduler, Member, Placement, PlacementRefusal, PlacementRequest, PlacementRules,
    },
};

const ENGINES: usize = 24;

/// Engines are spread over this many data centres in turn.
const DATA_CENTRES: usize = 3;

fn data_centre(index: usize) -> DataCentre {
    DataCentre::new(&format!("dc-{}", index % DATA_CENTRES)).unwrap()
}

fn drained(indices: &[usize]) -> DrainedDataCentres {
    let mut drained = DrainedDataCentres::default();
    indices.iter().for_each(|index| drained.insert(data_centre(*index)));
    drained
}

fn members() -> Vec<Member> {
    let member = |index| Member {
        data_centre: data_centre(index),
        ..arranging::member(index, engine().slots, false)
    };
    (0..ENGINES).map(member).collect()
}

fn scheduler() -> GroupScheduler {
    let mut scheduler = arranging::scheduler(0, engine(), PlacementRules::default(), 3);
    scheduler.set_members(members(), Time::ZERO);
    scheduler
}

fn at(ms: u64) -> Time {
    Time((5_000 + ms) * 1_000)
}

fn request(prompt: u64, index: u64) -> PlacementRequest {
    PlacementRequest { fingerprint: Fingerprint(u128::from(index)), ..arranging::request(prompt) }
}

/// Indices of all engines that a placement uses.
fn engines_of(placement: &Placement) -> Vec<usize> {
    let helpers = placement.helpers.iter().map(|helper| &helper.endpoint);
    std::iter::once(&placement.endpoint).chain(helpers).map(arranging::index).collect()
}

/// Places `make`'s requests while `indices` are drained, and checks where they go.
fn avoids(indices: &[usize], make: impl Fn(u64) -> PlacementRequest) {
    let mut scheduler = scheduler();
    scheduler.set_drained(&drained(indices));
    for index in 0..40 {
        let Ok(placement) = scheduler.place(&make(index), at(index * 400)) else { continue };
        for engine in engines_of(&placement) {
            assert!(!indices.contains(&(engine % DATA_CENTRES)), "engine {engine} is drained");
        }
        scheduler.finish(placement.job, None, at(index * 400 + 390));
    }
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

cases! {
    /// Guards against questions that are sent to a drained data centre.
    a_question_avoids_a_drained_data_centre => || avoids(&[1], |i| request(5_000, i));

    /// Guards against parts of split prompts on helpers there.
    parts_of_a_dossier_avoid_a_drained_data_centre => || avoids(&[0], |i| request(300_000, i));

    /// Guards against a drain that replaces an earlier one of another data centre.
    two_data_centres_are_drained_at_once => || avoids(&[0, 2], |i| request(45_000, i));

    /// Guards against hedges there.
    a_hedge_avoids_a_drained_data_centre => || avoids(&[1], |i| PlacementRequest {
        is_hedge: true,
        is_late: false,
        tried: vec![(arranging::id(0), Incarnation(1))],
        ..request(5_000, i)
    });

    /// Guards against retries and resumed streams there.
    a_retry_avoids_a_drained_data_centre => || avoids(&[1], |i| PlacementRequest {
        tried: vec![(arranging::id(2), Incarnation(1))],
        ..request(45_000, i)
    });

    /// Guards against calls to a plain service there.
    a_call_avoids_a_drained_data_centre => || {
        let mut scheduler = scheduler();
        scheduler.set_rules(None);
        scheduler.set_drained(&drained(&[0, 1]));
        for index in 0..40 {
            let placement = scheduler.place(&request(0, index), at(index)).unwrap();
            assert_eq!(arranging::index(&placement.endpoint) % DATA_CENTRES, 2);
        }
    };

    /// Guards against a prompt that was placed before the drain and is sent after its hold.
    a_held_prompt_is_placed_anew => || {
        let mut scheduler = scheduler();
        let placement = scheduler.place(&request(300_000, 1), at(0)).unwrap();
        assert!(scheduler.is_still_valid(placement.job, at(8)));
        assert!(scheduler.accepts(placement.job, at(8)));
        let engine = engines_of(&placement)[0];
        scheduler.set_drained(&drained(&[engine]));
        assert!(!scheduler.is_still_valid(placement.job, at(8)));
        assert!(!scheduler.accepts(placement.job, at(8)));
    };

    /// Guards against endpoints that register during a drain and get requests.
    an_endpoint_that_registers_later_is_drained => || {
        let mut scheduler = scheduler();
        scheduler.set_members(Vec::new(), at(0));
        scheduler.set_drained(&drained(&[0, 1, 2]));
        scheduler.set_members(members(), at(1));
        assert_eq!(scheduler.usable_endpoints(), 0);
    };

    /// Guards against a caller that waits although all endpoints are drained.
    nothing_is_left_where_all_are_drained => || {
        let mut scheduler = scheduler();
        scheduler.set_drained(&drained(&[0, 1, 2]));
        for prompt in [5_000, 45_000, 300_000] {
            let refused = scheduler.place(&request(prompt, prompt), at(0));
            assert_eq!(refused, Err(PlacementRefusal::Drained));
        }
    };

    /// Guards against a drain that outlasts its end, also where it comes twice in a row.
    a_drain_ends => || {
        let mut scheduler = scheduler();
        for _ in 0..2 {
            scheduler.set_drained(&drained(&[0, 1, 2]));
            assert_eq!(scheduler.usable_endpoints(), 0);
            scheduler.set_drained(&drained(&[]));
            assert_eq!(scheduler.usable_endpoints(), ENGINES);
        }
        scheduler.place(&request(5_000, 1), at(0)).unwrap();
    };
}
