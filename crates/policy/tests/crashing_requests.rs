//! A request that crashes the endpoints that run it, sent again to any of the instances, which tell
//! each other what they see.

#![allow(clippy::unwrap_used)]

mod arranging;
mod crash_site;
mod engines;

use std::{sync::Arc, time::Duration};

use crash_site::{Conditions, ENDPOINTS, Sent, Site, TICK_MS, at};
use engines::engine;
use policy::{
    FailCause, Fingerprint, Incarnation,
    placement::{PlacementRefusal, PlacementRequest, PlacementRules},
    quarantine::Entry,
};

/// How long after a third crash the instances may take to stop sending the request.
const CONTACT_MS: u64 = 3_000;

/// Copies that may reach endpoints later than that.
const MAX_LATE_COPIES: usize = 3;

const POISON: Fingerprint = Fingerprint(0);

/// The request that crashes endpoints, or a harmless one.
fn request(fingerprint: Fingerprint) -> Sent {
    Sent { fingerprint, parts: Arc::default(), crashes: fingerprint == POISON }
}

/// Plays 15 s: three copies at one instance, three at others, later one every 100 ms, and twice one
/// at every instance at once.
fn play(site: &mut Site) {
    let instances = site.schedulers.len();
    let mut next_harmless = 1;
    for ms in (0..15_000).step_by(TICK_MS) {
        site.now = ms;
        site.tick();
        if ms % 20 == 0 {
            let instance = site.rng.usize(0..instances);
            site.send(instance, &request(Fingerprint(next_harmless)), 1);
            next_harmless += 1;
        }
        match ms {
            1_000 => (0..3).for_each(|_| site.send(0, &request(POISON), 1)),
            1_400 | 1_500 | 1_600 => site.send(ms as usize % instances, &request(POISON), 1),
            5_000 | 12_000 => {
                (0..instances).for_each(|index| site.send(index, &request(POISON), 1))
            }
            6_000..10_000 if ms % 100 == 0 => {
                let instance = site.rng.usize(0..instances);
                site.send(instance, &request(POISON), 1);
            }
            _ => {}
        }
        if site.conditions.rack_fails && (1_050..1_550).contains(&ms) && ms % 50 == 0 {
            site.crash((ms as usize - 1_050) / 50);
        }
    }
}

/// Copies that were sent to endpoints later than `CONTACT_MS` after the third crash. A rack that fails
/// may take the endpoints down before the request has.
fn late_copies(site: &Site) -> usize {
    let bound = site.crashes.get(2).map_or(u64::MAX, |third| third + CONTACT_MS);
    site.sent.iter().filter(|ms| **ms > bound).count()
}

fn plays(conditions: Conditions) {
    let mut site = Site::new(conditions);
    play(&mut site);
    let late = late_copies(&site);
    assert!(late <= MAX_LATE_COPIES, "{late} late copies, {} crashes", site.crashes.len());
    assert_eq!(site.harmless_refused.len(), 0, "of {} done", site.harmless_done.len());
    assert!(site.harmless_done.len() > 600, "{}", site.harmless_done.len());
}

const CALM: Conditions = Conditions {
    instances: 4,
    endpoints: ENDPOINTS,
    lost: 0.0,
    late: 0.0,
    unaware: 0.0,
    rack_fails: false,
};
const ROUGH: Conditions = Conditions { lost: 0.1, late: 0.1, unaware: 0.5, ..CALM };

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

cases! {
    /// Guards against a request that goes on crashing endpoints, however many instances share what
    /// they see of it.
    one_instance_stops_sending => || plays(Conditions { instances: 1, ..CALM });
    four_instances_stop_sending => || plays(CALM);
    instances_stop_sending_with_29 => || plays(Conditions { instances: 29, ..CALM });
    instances_stop_sending_with_985 => || plays(Conditions { instances: 985, ..CALM });

    /// Guards against copies that crash each new life of a group which they have crashed whole.
    small_groups_stop_crashing => || {
        for instances in [1, 4, 86, 985] {
            for endpoints in 1..=3 {
                let mut site = Site::new(Conditions { instances, endpoints, ..CALM });
                for ms in (0..20_000).step_by(TICK_MS) {
                    site.now = ms;
                    site.tick();
                    if ms >= 1_000 && ms % 100 == 0 {
                        let instance = site.rng.usize(0..instances);
                        site.send(instance, &request(POISON), 1);
                    }
                }
                let late = late_copies(&site);
                assert!(late <= MAX_LATE_COPIES, "{late} of {instances} instances at {endpoints}");
            }
        }
    };

    /// Guards against deaths that some instances don't see and messages that are lost or late.
    four_instances_stop_sending_on_rough_links => || plays(ROUGH);
    instances_stop_sending_on_rough_links_with_29 => || plays(Conditions { instances: 29, ..ROUGH });

    /// Guards against harmless requests that are refused because a rack fails at the same time.
    a_rack_that_fails_beside_it_bars_no_other => || {
        plays(Conditions { rack_fails: true, ..ROUGH });
        plays(Conditions { rack_fails: true, instances: 29, ..ROUGH });
    };

    /// Guards against a suspicion that depends on the order or the repetition of messages.
    deaths_add_up_in_any_order => || {
        let mut seen: Vec<Vec<Entry>> = Vec::new();
        for index in 0..3_u64 {
            let mut scheduler = arranging::scheduler(0, engine(), PlacementRules::default(), index);
            scheduler.set_members(vec![arranging::member(index as usize, 16, false)], at(0));
            let sent = |ms| at(ms + index * 1_500);
            let request = PlacementRequest { fingerprint: POISON, ..arranging::request(0) };
            let placement = scheduler.place(&request, sent(0)).unwrap();
            scheduler.mark_sent(placement.job);
            scheduler.finish(placement.job, Some(FailCause::Broken), sent(150));
            scheduler.record_death(&placement.endpoint, Incarnation(1), sent(160));
            seen.push(scheduler.quarantine_entries(at(4_000)));
        }
        for order in [[0, 1, 2], [2, 1, 0], [1, 0, 2]] {
            let mut scheduler = arranging::scheduler(3, engine(), PlacementRules::default(), 9);
            for index in order.into_iter().chain(order) {
                scheduler.apply_quarantine_news(&seen[index], at(4_000));
            }
            let request = PlacementRequest { fingerprint: POISON, ..arranging::request(0) };
            let refused = scheduler.place(&request, at(4_000));
            assert!(matches!(refused, Err(PlacementRefusal::Quarantined(_))), "{order:?}: {refused:?}");
        }
    };

    /// Guards against a request that comes to every instance at once, seconds after it crashed three
    /// endpoints in quick succession.
    a_held_request_is_run_by_one_instance => || {
        for instances in [1, 4, 29, 985] {
            let mut site = Site::new(Conditions { instances, ..CALM });
            for ms in (0..8_000).step_by(TICK_MS) {
                site.now = ms;
                site.tick();
                match ms {
                    1_000 | 1_300 | 1_600 => site.send(ms as usize % instances, &request(POISON), 1),
                    5_000 => (0..instances).for_each(|index| site.send(index, &request(POISON), 1)),
                    _ => {}
                }
            }
            assert_eq!(site.sent.len(), 4, "{instances} instances");
        }
    };

    /// Guards against requests that aren't suspected because another instance found out that their
    /// endpoint died.
    a_peers_proof_counts_for_requests_here => || {
        let [mut here, mut there] =
            [1, 2].map(|seed| arranging::scheduler(1, engine(), PlacementRules::default(), seed));
        for (scheduler, fingerprint) in [(&mut here, POISON), (&mut there, Fingerprint(1))] {
            let request = PlacementRequest { fingerprint, ..arranging::request(0) };
            let placement = scheduler.place(&request, at(0)).unwrap();
            scheduler.mark_sent(placement.job);
            scheduler.finish(placement.job, Some(FailCause::Broken), at(100));
        }
        there.record_death(&arranging::id(0), Incarnation(1), at(110));
        here.apply_quarantine_news(&there.take_quarantine_news(at(110)), at(115));
        let known: Vec<_> = here.quarantine_entries(at(115)).iter().map(|e| e.fingerprint).collect();
        assert_eq!(known, [POISON, Fingerprint(1)]);
        assert_eq!(here.take_quarantine_news(at(115)).len(), 1, "only what the peer doesn't know");
    };

    /// Guards against an endpoint that vanishes without refusing a connection, as when its machine
    /// loses power.
    a_lapse_after_a_break_is_a_death => || {
        let mut scheduler = arranging::scheduler(2, engine(), PlacementRules::default(), 1);
        let request = PlacementRequest { fingerprint: POISON, ..arranging::request(0) };
        let placement = scheduler.place(&request, at(0)).unwrap();
        scheduler.mark_sent(placement.job);
        scheduler.finish(placement.job, Some(FailCause::Silent), at(1_000));
        let other = 1 - arranging::index(&placement.endpoint);
        scheduler.set_members(vec![arranging::member(other, 16, false)], at(3_500));
        assert_eq!(scheduler.quarantine_entries(at(3_500)).len(), 1);
    };

    /// Guards against several copies of a held request that run at once where they may.
    a_held_request_runs_once_at_a_time => || {
        let mut scheduler = arranging::scheduler(5, engine(), PlacementRules::default(), 1);
        let request = PlacementRequest { fingerprint: POISON, ..arranging::request(0) };
        for ms in [0, 200, 400] {
            let placement = scheduler.place(&request, at(ms)).unwrap();
            scheduler.mark_sent(placement.job);
            scheduler.finish(placement.job, Some(FailCause::Broken), at(ms + 150));
            scheduler.record_death(&placement.endpoint, Incarnation(1), at(ms + 155));
        }
        assert!(scheduler.place(&request, at(2_500)).is_err(), "endpoints may still be dying");
        scheduler.place(&request, at(2_600)).unwrap();
        let second = scheduler.place(&request, at(2_700));
        assert!(matches!(second, Err(PlacementRefusal::Quarantined(_))), "{second:?}");
    };

    /// Guards against copies that were placed before the request came under suspicion, wait for their
    /// engines or reservations, and are sent all the same.
    a_placed_copy_is_not_sent_once_it_is_refused => || {
        for apart_ms in [100, 3_000] {
            let mut scheduler = arranging::scheduler(6, engine(), PlacementRules::default(), 1);
            let request = PlacementRequest { fingerprint: POISON, ..arranging::request(0) };
            let waiting = scheduler.place(&request, at(0)).unwrap();
            let other = PlacementRequest { fingerprint: Fingerprint(1), ..request.clone() };
            let harmless = scheduler.place(&other, at(0)).unwrap();
            let mut now = 0;
            for _ in 0..3 {
                let Ok(placement) = scheduler.place(&request, at(now)) else { break };
                scheduler.mark_sent(placement.job);
                scheduler.finish(placement.job, Some(FailCause::Broken), at(now + 50));
                scheduler.record_death(&placement.endpoint, Incarnation(1), at(now + 55));
                now += apart_ms;
            }
            assert!(!scheduler.accepts(waiting.job, at(now)), "{apart_ms} ms apart");
            assert!(scheduler.accepts(harmless.job, at(now)));
        }
    };

    /// Guards against a held request whose trial breaks, and is sent to a second endpoint before the
    /// death of the first one is proved.
    a_trial_that_breaks_is_not_repeated_at_once => || {
        let mut scheduler = arranging::scheduler(6, engine(), PlacementRules::default(), 1);
        let mut request = PlacementRequest { fingerprint: POISON, ..arranging::request(0) };
        for ms in [0, 100, 200] {
            let placement = scheduler.place(&request, at(ms)).unwrap();
            scheduler.mark_sent(placement.job);
            scheduler.finish(placement.job, Some(FailCause::Broken), at(ms + 50));
            scheduler.record_death(&placement.endpoint, Incarnation(1), at(ms + 55));
        }
        let trial = scheduler.place(&request, at(3_000)).unwrap();
        scheduler.mark_sent(trial.job);
        scheduler.finish(trial.job, Some(FailCause::Broken), at(3_100));
        request.tried.push((trial.endpoint.clone(), trial.incarnation));
        let again = scheduler.place(&request, at(3_101));
        assert!(matches!(again, Err(PlacementRefusal::Quarantined(_))), "{again:?}");
        // No death was found, so that a link has broken.
        scheduler.place(&request, at(5_200)).unwrap();
    };

    /// Guards against a harmless request that stays refused although a run of it completes.
    a_complete_run_ends_a_refusal => || {
        let mut scheduler = arranging::scheduler(5, engine(), PlacementRules::default(), 1);
        let request = PlacementRequest { fingerprint: POISON, ..arranging::request(0) };
        let under_way = scheduler.place(&request, at(0)).unwrap();
        scheduler.mark_sent(under_way.job);
        for ms in [100, 3_000] {
            let tried = vec![(under_way.endpoint.clone(), under_way.incarnation)];
            let placement =
                scheduler.place(&PlacementRequest { tried, ..request.clone() }, at(ms)).unwrap();
            scheduler.mark_sent(placement.job);
            scheduler.finish(placement.job, Some(FailCause::Broken), at(ms + 150));
            scheduler.record_death(&placement.endpoint, Incarnation(1), at(ms + 155));
        }
        let refused = scheduler.place(&request, at(4_000));
        assert!(matches!(refused, Err(PlacementRefusal::Quarantined(_))), "{refused:?}");
        scheduler.finish(under_way.job, None, at(5_000));
        scheduler.place(&request, at(5_100)).unwrap();
    };

    /// Guards against a broken link that is taken for a death: the endpoint answers afterwards.
    a_break_before_an_answer_is_no_death => || {
        let mut scheduler = arranging::scheduler(1, engine(), PlacementRules::default(), 1);
        let request = PlacementRequest { fingerprint: POISON, ..arranging::request(0) };
        for ms in [0, 3_000, 6_000] {
            let placement = scheduler.place(&request, at(ms)).unwrap();
            scheduler.mark_sent(placement.job);
            scheduler.finish(placement.job, Some(FailCause::Broken), at(ms + 100));
            let other = PlacementRequest { fingerprint: Fingerprint(1), ..request.clone() };
            let placement = scheduler.place(&other, at(ms + 200)).unwrap();
            scheduler.mark_sent(placement.job);
            scheduler.record_first_event(placement.job, at(ms + 300));
            scheduler.finish(placement.job, None, at(ms + 400));
            let suspects = scheduler.record_death(&placement.endpoint, Incarnation(1), at(ms + 500));
            assert_eq!(suspects, 0);
        }
    };

    /// Guards against a planned stop of an endpoint that is counted as a crash.
    the_end_of_a_leaving_endpoint_is_no_crash => || {
        let mut scheduler = arranging::scheduler(1, engine(), PlacementRules::default(), 1);
        let request = PlacementRequest { fingerprint: POISON, ..arranging::request(0) };
        let placement = scheduler.place(&request, at(0)).unwrap();
        scheduler.mark_sent(placement.job);
        scheduler.set_members(vec![arranging::member(0, 16, true)], at(50));
        scheduler.finish(placement.job, Some(FailCause::Broken), at(100));
        assert_eq!(scheduler.record_death(&placement.endpoint, Incarnation(1), at(110)), 0);
        scheduler.set_members(Vec::new(), at(200));
        assert_eq!(scheduler.quarantine_entries(at(200)), []);
    };

    /// Guards against a harmless request that stays suspected on other instances after it has run.
    a_complete_run_clears_everywhere => || {
        let schedulers = || arranging::scheduler(3, engine(), PlacementRules::default(), 1);
        let (mut here, mut there) = (schedulers(), schedulers());
        let request = PlacementRequest { fingerprint: POISON, ..arranging::request(0) };
        let placement = here.place(&request, at(0)).unwrap();
        here.mark_sent(placement.job);
        here.finish(placement.job, Some(FailCause::Broken), at(100));
        here.record_death(&placement.endpoint, Incarnation(1), at(110));
        let suspected = here.take_quarantine_news(at(110));
        there.apply_quarantine_news(&suspected, at(115));
        assert_eq!(there.quarantine_entries(at(115)).len(), 1);
        let placement = there.place(&request, at(200)).unwrap();
        there.mark_sent(placement.job);
        there.finish(placement.job, None, at(600));
        here.apply_quarantine_news(&there.take_quarantine_news(at(600)), at(605));
        there.apply_quarantine_news(&suspected, at(700));
        for scheduler in [&here, &there] {
            let left = scheduler.quarantine_entries(at(700) + Duration::from_secs(60));
            assert_eq!(left, []);
        }
    };
}
