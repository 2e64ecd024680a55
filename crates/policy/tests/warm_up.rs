//! Cold endpoints get few requests from all instances together.

#![allow(clippy::unwrap_used)]

mod arranging;
mod engines;

use std::time::Duration;

use engines::engine;
use policy::{
    Fingerprint, InstanceId, Time,
    freshness::Position,
    instances::Instances,
    placement::{GroupScheduler, Member, PlacementRefusal, PlacementRequest, PlacementRules},
    warm_up::ColdStart,
};

/// Requests a second that a cold endpoint bears from all instances together.
const LIMIT_PER_S: f64 = 26.0;

const COLD_MS: u64 = 3_000;
const ENGINES: usize = 3;

fn instance(index: usize) -> InstanceId {
    InstanceId::new(&format!("entry-{index}")).unwrap()
}

fn at(ms: u64) -> Time {
    Time((5_000 + ms) * 1_000)
}

fn cold_members(reported_at: u64, cold: impl Fn(usize) -> bool) -> Vec<Member> {
    let start =
        ColdStart { reported_at: Position(reported_at), lasts: Duration::from_millis(COLD_MS) };
    let member = |index| Member {
        cold_start: cold(index).then_some(start),
        ..arranging::member(index, engine().slots, false)
    };
    (0..ENGINES).map(member).collect()
}

/// An instance that knows `known` others, all of whose endpoints are cold from the start.
fn scheduler(index: usize, known: Option<&[InstanceId]>) -> GroupScheduler {
    let mut scheduler = arranging::scheduler(0, engine(), PlacementRules::default(), index as u64);
    scheduler.set_cold_limit(Some(LIMIT_PER_S));
    if let Some(known) = known {
        let own = instance(index);
        let others = known.iter().filter(|other| **other != own);
        scheduler.set_instances(Instances::new(&own, others, known.len(), 1.0));
    }
    scheduler.set_members(cold_members(1, |_| true), at(0));
    scheduler
}

fn request(index: u64) -> PlacementRequest {
    PlacementRequest { fingerprint: Fingerprint(u128::from(index)), ..arranging::request(0) }
}

/// Offers each instance a call every 10 ms while all endpoints are cold, and returns the largest
/// and the mean number of calls that one endpoint gets within a second.
fn offer(mut schedulers: Vec<GroupScheduler>) -> (usize, f64) {
    schedulers.iter_mut().for_each(|scheduler| scheduler.set_rules(None));
    let mut sent: Vec<Vec<u64>> = vec![Vec::new(); ENGINES];
    for ms in (0..COLD_MS).step_by(10) {
        for scheduler in &mut schedulers {
            for _ in 0..ENGINES {
                let Ok(placement) = scheduler.place(&request(ms), at(ms)) else { break };
                sent[arranging::index(&placement.endpoint)].push(ms);
                scheduler.finish(placement.job, None, at(ms + 1));
            }
        }
    }
    let within_second = |sent: &[u64], from: u64| {
        sent.iter().filter(|ms| (from..from + 1_000).contains(*ms)).count()
    };
    let most = sent.iter().flat_map(|sent| sent.iter().map(|ms| within_second(sent, *ms))).max();
    let total: usize = sent.iter().map(Vec::len).sum();
    (most.unwrap_or(0), total as f64 / ENGINES as f64 / (COLD_MS as f64 / 1000.0))
}

fn fleet(count: usize) -> Vec<GroupScheduler> {
    let known: Vec<_> = (0..count).map(instance).collect();
    (0..count).map(|index| scheduler(index, Some(&known))).collect()
}

/// Checks the limit, and that at least half of it is used.
fn share_the_limit(count: usize) {
    let (most, mean) = offer(fleet(count));
    assert!(most as f64 <= 0.8 * LIMIT_PER_S, "{most} of {LIMIT_PER_S} within a second");
    assert!(mean >= 0.5 * LIMIT_PER_S, "{mean} of {LIMIT_PER_S} a second");
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

cases! {
    /// Guards against a cold endpoint that looks idle and best to every instance at once.
    one_instance_shares_the_limit => || share_the_limit(1);
    four_instances_share_the_limit => || share_the_limit(4);
    the_limit_is_shared_by_29 => || share_the_limit(29);
    the_limit_is_shared_by_86 => || share_the_limit(86);
    the_limit_is_shared_by_300 => || share_the_limit(300);
    the_limit_is_shared_by_985 => || share_the_limit(985);

    /// Guards against instances that have just started and don't know how many others there are.
    an_instance_that_knows_nobody_sends_nothing_cold => || {
        let (most, _) = offer((0..29).map(|index| scheduler(index, None)).collect());
        assert_eq!(most, 0);
        let refused = scheduler(0, None).place(&request(1), at(0));
        assert!(matches!(refused, Err(PlacementRefusal::WarmingUp(_))), "{refused:?}");
    };

    /// Guards against views that differ by a few instances, as during a rolling replacement.
    views_that_differ_keep_the_limit => || {
        let schedulers = (0..300).map(|index| {
            let known: Vec<_> = (0..320).filter(|i| i % 17 != index % 17).map(instance).collect();
            scheduler(index, Some(&known))
        });
        let (most, _) = offer(schedulers.collect());
        assert!(most as f64 <= LIMIT_PER_S, "{most}");
    };

    /// Guards against cold endpoints that are used although warm ones are free.
    warm_endpoints_come_first => || {
        let mut scheduler = fleet(1).remove(0);
        scheduler.set_members(cold_members(2, |index| index > 0), at(0));
        for index in 0..6 {
            let prompt = [0, 5_000, 45_000][index as usize % 3];
            let request = PlacementRequest { prompt_tokens: prompt, ..request(index) };
            let Ok(placement) = scheduler.place(&request, at(index * 480)) else { continue };
            assert_eq!(placement.endpoint, arranging::id(0), "prompt of {prompt} tokens");
            assert!(placement.helpers.is_empty());
            scheduler.finish(placement.job, None, at(index * 480 + 470));
        }
    };

    /// Guards against an endpoint that turns cold again and is taken for warm.
    a_second_cold_period_counts => || {
        let mut scheduler = scheduler(0, None);
        let later = at(COLD_MS + 1);
        scheduler.place(&request(1), later).unwrap();
        scheduler.set_members(cold_members(2, |_| true), later);
        let refused = scheduler.place(&request(2), later);
        assert!(matches!(refused, Err(PlacementRefusal::WarmingUp(_))), "{refused:?}");
    };

    /// Guards against a heartbeat during a cold period that begins it anew.
    the_same_registration_extends_nothing => || {
        let mut scheduler = scheduler(0, None);
        scheduler.set_members(cold_members(1, |_| true), at(COLD_MS - 1));
        scheduler.place(&request(1), at(COLD_MS + 1)).unwrap();
    };

    /// Guards against groups without warm-up that are treated as cold.
    a_group_without_warm_up_isnt_limited => || {
        let mut scheduler = scheduler(0, None);
        scheduler.set_cold_limit(None);
        scheduler.place(&request(1), at(0)).unwrap();
    };
}
