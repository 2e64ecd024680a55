//! Endpoints that ask an instance for rest get nothing from it until that is over.

#![allow(clippy::unwrap_used)]

mod arranging;
mod engines;

use std::time::Duration;

use engines::engine;
use policy::{
    FailCause, Incarnation, Time,
    placement::{
        GroupScheduler, Member, Placement, PlacementRefusal, PlacementRequest, PlacementRules,
    },
};

const REST: Duration = Duration::from_secs(3);

const LONG_PROMPT: u64 = 400_000;

fn at(ms: u64) -> Time {
    Time((5_000 + ms) * 1_000)
}

fn scheduler(engines: usize) -> GroupScheduler {
    arranging::scheduler(engines, engine(), PlacementRules::default(), 3)
}

fn place(scheduler: &mut GroupScheduler, ms: u64) -> Result<Placement, PlacementRefusal> {
    scheduler.place(&arranging::request(5_000), at(ms))
}

/// Has the endpoint of a request turn it away and ask for `rest`; returns its index.
fn shed(scheduler: &mut GroupScheduler, ms: u64, rest: Duration) -> usize {
    let placement = place(scheduler, ms).unwrap();
    scheduler.mark_sent(placement.job);
    scheduler.record_rest(placement.job, rest, at(ms));
    scheduler.finish(placement.job, Some(FailCause::Rejected), at(ms));
    arranging::index(&placement.endpoint)
}

/// Engines that these prompts are placed on, with their helpers.
fn engines_of(scheduler: &mut GroupScheduler, prompt: u64, count: usize, ms: u64) -> Vec<usize> {
    let mut used = Vec::new();
    for index in 0..count {
        let request = arranging::request(prompt + index as u64);
        let Ok(placement) = scheduler.place(&request, at(ms)) else { continue };
        let helpers = placement.helpers.iter().map(|helper| arranging::index(&helper.endpoint));
        used.extend(helpers.chain([arranging::index(&placement.endpoint)]));
    }
    used
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

cases! {
    /// Guards against endpoints that refuse at once, look idle, and are chosen for the next request.
    a_resting_endpoint_gets_no_request => || {
        let mut scheduler = scheduler(4);
        let resting = shed(&mut scheduler, 0, REST);
        assert!(!engines_of(&mut scheduler, 5_000, 60, 2_990).contains(&resting));
    };

    /// Guards against parts of long prompts, which are requests as well.
    a_resting_endpoint_gets_no_part => || {
        let mut scheduler = scheduler(12);
        let resting = shed(&mut scheduler, 0, REST);
        let used = engines_of(&mut scheduler, LONG_PROMPT, 3, 100);
        assert!(used.len() > 6, "{used:?}");
        assert!(!used.contains(&resting), "{used:?}");
    };

    /// Guards against an endpoint that is left out for longer than it asked.
    a_rest_ends => || {
        let mut scheduler = scheduler(2);
        let resting = shed(&mut scheduler, 0, REST);
        assert!(engines_of(&mut scheduler, 5_000, 40, 3_001).contains(&resting));
    };

    /// Guards against a shorter rest, or an answer without one, that cuts a longer one short.
    the_later_end_holds => || {
        let mut scheduler = scheduler(1);
        let [first, second, third] = [(); 3].map(|()| place(&mut scheduler, 0).unwrap());
        assert!(scheduler.record_rest(first.job, REST, at(10)));
        assert!(!scheduler.record_rest(second.job, REST / 3, at(20)));
        scheduler.record_first_event(third.job, at(30));
        scheduler.finish(third.job, None, at(40));
        let refused = place(&mut scheduler, 2_000).unwrap_err();
        assert_eq!(refused, PlacementRefusal::Resting(Duration::from_millis(1_010)));
    };

    /// Guards against requests that were placed before the rest and are sent within it.
    what_was_placed_before_is_not_sent => || {
        let mut scheduler = scheduler(1);
        let waiting = place(&mut scheduler, 0).unwrap();
        shed(&mut scheduler, 10, REST);
        assert!(!scheduler.accepts(waiting.job, at(20)));
        assert!(!scheduler.is_still_valid(waiting.job, at(20)));
        assert!(scheduler.accepts(waiting.job, at(3_011)));
    };

    /// Guards against callers that wait, or come back too early, where all endpoints rest.
    where_all_rest_the_earliest_end_is_told => || {
        let mut scheduler = scheduler(2);
        shed(&mut scheduler, 0, REST);
        shed(&mut scheduler, 100, REST / 2);
        let refused = place(&mut scheduler, 200).unwrap_err();
        assert_eq!(refused, PlacementRefusal::Resting(Duration::from_millis(1_400)));
        place(&mut scheduler, 1_601).unwrap();
    };

    /// Guards against a restarted endpoint that is left out for what its predecessor asked.
    a_new_incarnation_does_not_rest => || {
        let mut scheduler = scheduler(1);
        let before = place(&mut scheduler, 0).unwrap();
        shed(&mut scheduler, 0, REST);
        let restarted =
            Member { incarnation: Incarnation(2), ..arranging::member(0, engine().slots, false) };
        scheduler.set_members(vec![restarted], at(100));
        assert!(!scheduler.record_rest(before.job, REST, at(110)));
        place(&mut scheduler, 120).unwrap();
    };

    /// Guards against plain services, which are chosen by other rules.
    plain_endpoints_rest_as_well => || {
        let mut scheduler = scheduler(3);
        scheduler.set_rules(None);
        let resting = shed(&mut scheduler, 0, REST);
        let request = PlacementRequest { prompt_tokens: 0, ..arranging::request(0) };
        for _ in 0..60 {
            let placement = scheduler.place(&request, at(100)).unwrap();
            assert_ne!(arranging::index(&placement.endpoint), resting);
        }
    };
}
