//! Requests are confined to the regions of their routes and workspaces.

#![allow(clippy::unwrap_used)]

mod arranging;
mod engines;

use engines::engine;
use policy::{
    Fingerprint, Incarnation, Region, Time,
    placement::{GroupScheduler, Member, PlacementRefusal, PlacementRequest, PlacementRules},
    routes::Homes,
};

const ENGINES: usize = 30;
const REGIONS: usize = 3;

fn region(index: usize) -> Region {
    Region::new(&format!("region-{}", index % REGIONS)).unwrap()
}

fn homes(indices: &[usize]) -> Homes {
    Homes::only(indices.iter().map(|index| region(*index)))
}

fn scheduler() -> GroupScheduler {
    let mut scheduler = arranging::scheduler(0, engine(), PlacementRules::default(), 5);
    let member = |index| Member {
        region: Some(region(index)),
        ..arranging::member(index, engine().slots, false)
    };
    scheduler.set_members((0..ENGINES).map(member).collect(), Time::ZERO);
    scheduler
}

fn at(ms: u64) -> Time {
    Time((5_000 + ms) * 1_000)
}

/// Places requests with `homes`, and checks that all their engines lie in region `home`.
fn stay_in(home: usize, homes: &Homes, make: impl Fn(u64) -> PlacementRequest) {
    let mut scheduler = scheduler();
    let mut placed = 0;
    for index in 0..40 {
        let request = PlacementRequest { homes: homes.clone(), ..make(index) };
        let Ok(placement) = scheduler.place(&request, at(index * 2_000)) else { continue };
        placed += 1;
        let helpers = placement.helpers.iter().map(|helper| &helper.endpoint);
        for endpoint in std::iter::once(&placement.endpoint).chain(helpers) {
            assert_eq!(arranging::index(endpoint) % REGIONS, home);
        }
        scheduler.finish(placement.job, None, at(index * 2_000 + 1_900));
    }
    assert!(placed >= 20, "{placed} of 40 placed");
}

fn request(prompt: u64, index: u64) -> PlacementRequest {
    PlacementRequest { fingerprint: Fingerprint(u128::from(index)), ..arranging::request(prompt) }
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

cases! {
    /// Guards against questions that leave their route's region.
    a_question_stays_at_home => || stay_in(1, &homes(&[1]), |i| request(5_000, i));

    /// Guards against parts of split prompts on helpers elsewhere.
    parts_of_a_dossier_stay_at_home => || stay_in(0, &homes(&[0]), |i| request(210_000, i));

    /// Guards against hedges and retries elsewhere.
    a_hedge_stays_at_home => || stay_in(2, &homes(&[2]), |i| PlacementRequest {
        is_hedge: true,
        is_late: false,
        tried: vec![(arranging::id(2), Incarnation(1))],
        ..request(5_000, i)
    });

    /// Guards against a workspace's homes that lift those of the route, and the reverse.
    route_and_workspace_both_bind => || {
        stay_in(1, &homes(&[0, 1]).intersection(&homes(&[1, 2])), |i| request(5_000, i));
        stay_in(2, &Homes::everywhere().intersection(&homes(&[2])), |i| request(5_000, i));
        stay_in(2, &homes(&[2]).intersection(&Homes::everywhere()), |i| request(5_000, i));
    };

    /// Guards against a request that goes anywhere because its homes have nothing in common.
    nothing_is_left_without_a_common_home => || {
        let homes = homes(&[0]).intersection(&homes(&[1]));
        let request = PlacementRequest { homes, ..request(5_000, 1) };
        assert_eq!(scheduler().place(&request, at(0)), Err(PlacementRefusal::NoEndpoint));
    };

    /// Guards against endpoints in a data centre whose region isn't configured.
    an_unknown_region_is_no_home => || {
        let mut scheduler = arranging::scheduler(4, engine(), PlacementRules::default(), 1);
        let request = PlacementRequest { homes: homes(&[0]), ..request(5_000, 1) };
        assert_eq!(scheduler.place(&request, at(0)), Err(PlacementRefusal::NoEndpoint));
    };
}
