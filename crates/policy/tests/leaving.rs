//! Endpoints that say in their answers that they are leaving.

#![allow(clippy::unwrap_used)]

mod arranging;
mod engines;

use engines::engine;
use policy::{
    FailCause, Incarnation, Time,
    placement::{GroupScheduler, LEAVING_TTL, Member, PlacementRefusal, PlacementRules},
};

fn at(ms: u64) -> Time {
    Time((5_000 + ms) * 1_000)
}

fn scheduler(engines: usize) -> GroupScheduler {
    arranging::scheduler(engines, engine(), PlacementRules::default(), 3)
}

/// Has an endpoint answer that it is leaving; returns its index.
fn leave(scheduler: &mut GroupScheduler, ms: u64) -> usize {
    let placement = scheduler.place(&arranging::request(5_000), at(ms)).unwrap();
    scheduler.mark_sent(placement.job);
    assert!(scheduler.record_leaving(placement.job, at(ms)));
    scheduler.finish(placement.job, None, at(ms));
    arranging::index(&placement.endpoint)
}

/// Endpoints that these requests are placed on.
fn endpoints_of(scheduler: &mut GroupScheduler, prompt: u64, ms: u64) -> Vec<usize> {
    let mut used = Vec::new();
    for index in 0..40 {
        let Ok(placement) = scheduler.place(&arranging::request(prompt + index), at(ms)) else {
            continue;
        };
        let helpers = placement.helpers.iter().map(|helper| arranging::index(&helper.endpoint));
        used.extend(helpers.chain([arranging::index(&placement.endpoint)]));
    }
    used
}

fn refuses(scheduler: &mut GroupScheduler, ms: u64) -> bool {
    let placed = scheduler.place(&arranging::request(5_000), at(ms));
    matches!(placed, Err(PlacementRefusal::NoEndpoint))
}

fn member(incarnation: u64, leaving: bool) -> Member {
    Member {
        incarnation: Incarnation(incarnation),
        ..arranging::member(0, engine().slots, leaving)
    }
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

cases! {
    /// Guards against work for an endpoint that is about to exit.
    it_gets_nothing_new => || {
        let mut scheduler = scheduler(12);
        let leaving = leave(&mut scheduler, 0);
        assert!(!endpoints_of(&mut scheduler, 5_000, 10).contains(&leaving));
        assert!(!endpoints_of(&mut scheduler, 400_000, 20).contains(&leaving));
    };

    /// Guards against requests that were placed there before and are sent later.
    what_was_placed_before_is_not_sent => || {
        let mut scheduler = scheduler(1);
        let waiting = scheduler.place(&arranging::request(5_001), at(0)).unwrap();
        leave(&mut scheduler, 10);
        assert!(!scheduler.accepts(waiting.job, at(20)));
    };

    /// Guards against instances that each have to hear it for themselves, in any order.
    the_others_are_told => || {
        let (mut here, mut there) = (scheduler(1), scheduler(1));
        leave(&mut here, 0);
        let reports = here.take_leaving_news(at(0));
        assert_eq!(reports.len(), 1);
        (0..2).for_each(|_| there.apply_leaving_reports(&reports, at(5)));
        assert!(refuses(&mut there, 10));
        assert_eq!(there.take_leaving_news(at(10)), [], "only who was told by the endpoint tells it");
        assert_eq!(there.leaving_reports(), here.leaving_reports());
    };

    /// Guards against an old word that holds for the endpoint's next life.
    a_new_incarnation_stays => || {
        let mut scheduler = scheduler(1);
        let before = scheduler.place(&arranging::request(5_001), at(0)).unwrap();
        leave(&mut scheduler, 0);
        let reports = scheduler.leaving_reports();
        scheduler.set_members(vec![member(2, false)], at(100));
        assert!(!scheduler.record_leaving(before.job, at(110)));
        scheduler.apply_leaving_reports(&reports, at(120));
        assert!(!refuses(&mut scheduler, 130));
    };

    /// Guards against an endpoint whose leaving is called off and that gets no work any more.
    registrations_call_it_off => || {
        let mut scheduler = scheduler(1);
        leave(&mut scheduler, 0);
        scheduler.set_members(vec![member(1, false)], at(100));
        assert!(refuses(&mut scheduler, 110), "this registration may be older than the word");
        scheduler.set_members(vec![member(1, true)], at(200));
        assert!(refuses(&mut scheduler, 210));
        scheduler.set_members(vec![member(1, false)], at(300));
        assert!(!refuses(&mut scheduler, 310));
    };

    /// Guards against an endpoint that is lost to the site by a word that nothing follows.
    the_word_has_a_bound => || {
        let mut scheduler = scheduler(1);
        leave(&mut scheduler, 0);
        let ttl = LEAVING_TTL.as_millis() as u64;
        assert!(refuses(&mut scheduler, ttl - 1_000));
        assert!(!refuses(&mut scheduler, ttl + 1));
    };

    /// Guards against a planned exit that is counted as a crash.
    its_end_is_no_death => || {
        let mut scheduler = scheduler(1);
        let broken = scheduler.place(&arranging::request(5_001), at(0)).unwrap();
        scheduler.mark_sent(broken.job);
        leave(&mut scheduler, 10);
        scheduler.finish(broken.job, Some(FailCause::Broken), at(20));
        assert_eq!(scheduler.record_death(&arranging::id(0), Incarnation(1), at(30)), 0);
        scheduler.set_members(Vec::new(), at(40));
        assert_eq!(scheduler.quarantine_entries(at(40)), []);
    };
}
