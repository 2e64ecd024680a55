//! Requests that share a part of their prompts which crashes endpoints, at one to a thousand instances
//! that tell each other what they see.

#![allow(clippy::unwrap_used)]

mod arranging;
mod crash_site;
mod engines;

use std::sync::Arc;

use crash_site::{Conditions, ENDPOINTS, Sent, Site, TICK_MS, at};
use engines::engine;
use policy::{
    FailCause, Fingerprint, Incarnation, InstanceId,
    instances::Instances,
    placement::{
        GroupScheduler, Member, Placement, PlacementRefusal, PlacementRequest, PlacementRules,
    },
};

/// How long after the fifth crash the instances may take to stop sending requests with a part.
const CONTACT_MS: u64 = 3_000;

/// Requests with the part that may reach endpoints later than that.
const MAX_LATE: usize = 3;

/// Milliseconds between two sound requests.
const SOUND_EVERY_MS: u64 = 20;

/// Milliseconds between two crashing requests: half as many as sound ones come at first.
const CRASHING_EVERY_MS: u64 = 150;

const FIRST_CRASHING_MS: u64 = 1_000;
const END_MS: u64 = 20_000;

/// Parts of sound requests: each has one of these, the first ones more often.
const SOUND_PARTS: u64 = 12;

fn part(id: u64) -> Fingerprint {
    Fingerprint::of_part(id.into())
}

fn deadly(index: u64) -> Fingerprint {
    part(1_000 + index)
}

/// What differs from a part that crashes endpoints, follows one that some sound requests share, and is
/// held by a tenth of all requests.
#[derive(Debug, Clone, Copy)]
struct Variant {
    conditions: Conditions,
    /// Number of parts that crash endpoints, in different requests.
    deadly: u64,
    /// The crashing part comes before the shared one.
    is_first: bool,
    /// The part that crashing requests share with sound ones.
    shared: u64,
    /// Every how manieth sound request has that part alone; zero for its usual share.
    shared_every: u64,
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
const USUAL: Variant =
    Variant { conditions: CALM, deadly: 1, is_first: false, shared: 2, shared_every: 0 };

impl Variant {
    fn sound_part(&self, index: u64, draw: f64) -> u64 {
        if self.shared_every > 0 {
            let others = 100 + (draw * SOUND_PARTS as f64) as u64;
            return if index.is_multiple_of(self.shared_every) { self.shared } else { others };
        }
        (draw * draw * SOUND_PARTS as f64) as u64
    }

    fn crashing(&self, index: u64) -> Sent {
        let (deadly, shared) = (deadly(index % self.deadly), part(self.shared));
        let parts = if self.is_first { [deadly, shared] } else { [shared, deadly] };
        let fingerprint = Fingerprint(u128::from(1_000_000 + index));
        Sent { fingerprint, parts: Arc::new(parts), crashes: true }
    }
}

fn plays(variant: Variant) {
    let mut site = Site::new(variant.conditions);
    let instances = site.schedulers.len();
    let mut arrived: Vec<(u64, Arc<[Fingerprint]>)> = Vec::new();
    for ms in (0..END_MS).step_by(TICK_MS) {
        site.now = ms;
        site.tick();
        if ms.is_multiple_of(SOUND_EVERY_MS) {
            let index = ms / SOUND_EVERY_MS;
            let draw = site.rng.f64();
            let parts: Arc<[Fingerprint]> = Arc::new([part(variant.sound_part(index, draw))]);
            let fingerprint = Fingerprint(u128::from(index));
            arrived.push((ms, parts.clone()));
            let instance = site.rng.usize(0..instances);
            site.send(instance, &Sent { fingerprint, parts, crashes: false }, 1);
        }
        if ms >= FIRST_CRASHING_MS
            && ms.is_multiple_of(CRASHING_EVERY_MS.next_multiple_of(TICK_MS as u64))
        {
            let instance = site.rng.usize(0..instances);
            site.send(instance, &variant.crashing(ms / CRASHING_EVERY_MS), 1);
        }
        if variant.conditions.rack_fails && (1_050..1_550).contains(&ms) && ms % 50 == 0 {
            site.crash((ms as usize - 1_050) / 50);
        }
    }
    let fifth = site.crashes.get(4 * variant.deadly as usize).copied().unwrap_or(END_MS);
    let late = site.sent.iter().filter(|ms| **ms > fifth + CONTACT_MS).count();
    assert!(
        late <= MAX_LATE * variant.deadly as usize,
        "{late} late requests, {} crashes, fifth at {fifth}",
        site.crashes.len()
    );
    for shared in [part(variant.shared), part(0)] {
        let counted = |(ms, parts): &&(u64, Arc<[Fingerprint]>)| {
            *ms > fifth + 2 * CONTACT_MS && parts.contains(&shared)
        };
        let sent = arrived.iter().filter(counted).count();
        let refused = site.harmless_refused.iter().filter(counted).count();
        assert!(2 * refused <= sent, "{refused} of {sent} sound requests refused");
    }
    assert!(site.harmless_done.len() > 700, "{} done", site.harmless_done.len());
}

fn request(parts: &[Fingerprint], index: u128) -> PlacementRequest {
    PlacementRequest {
        fingerprint: Fingerprint(index),
        parts: parts.into(),
        ..arranging::request(0)
    }
}

/// The last of `instances` in the order for the parts of these tests.
fn one_of_a_fleet(instances: usize) -> GroupScheduler {
    let mut scheduler = arranging::scheduler(12, engine(), PlacementRules::default(), 1);
    scheduler.set_rules(None);
    let names: Vec<_> =
        (0..instances).map(|n| InstanceId::new(&format!("entry-{n}")).unwrap()).collect();
    let view = |own: usize| {
        let others = names.iter().filter(|other| **other != names[own]);
        Instances::new(&names[own], others, instances - 1, 1.0)
    };
    let order =
        |own: &usize| [part(1), deadly(0)].map(|part| view(*own).preceding(part)).into_iter().min();
    let last = (0..instances).max_by_key(order).unwrap();
    scheduler.set_instances(view(last));
    scheduler
}

/// Endpoints die, 10 ms apart until 100 ms, each with a request that has these parts.
fn die(scheduler: &mut GroupScheduler, parts: &[Fingerprint], deaths: u64) {
    let mut placed = Vec::new();
    for index in 0..deaths {
        let tried = placed
            .iter()
            .map(|placement: &Placement| (placement.endpoint.clone(), placement.incarnation));
        let tried = tried.collect();
        let request = PlacementRequest { tried, ..request(parts, 1_000 + u128::from(index)) };
        let placement = scheduler.place(&request, at(0)).unwrap();
        scheduler.mark_sent(placement.job);
        placed.push(placement);
    }
    for (placement, index) in placed.into_iter().zip(0..) {
        let now = at(110 + 10 * index - 10 * deaths);
        scheduler.finish(placement.job, Some(FailCause::Broken), now);
        scheduler.record_death(&placement.endpoint, placement.incarnation, now);
    }
}

fn is_refused(scheduler: &mut GroupScheduler, parts: &[Fingerprint], ms: u64) -> bool {
    match scheduler.place(&request(parts, 1), at(ms)) {
        Ok(placement) => {
            scheduler.finish(placement.job, Some(FailCause::Deadline), at(ms));
            false
        }
        Err(refusal) => matches!(refusal, PlacementRefusal::Quarantined(_)),
    }
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

fn with(conditions: Conditions) -> Variant {
    Variant { conditions, ..USUAL }
}

cases! {
    /// Guards against a part that goes on crashing endpoints, however many instances share what they
    /// see of it.
    one_instance_stops_sending => || plays(with(Conditions { instances: 1, ..CALM }));
    four_instances_stop_sending => || plays(USUAL);
    instances_stop_sending_with_29 => || plays(with(Conditions { instances: 29, ..CALM }));
    instances_stop_sending_with_985 => || plays(with(Conditions { instances: 985, ..CALM }));

    /// Guards against deaths that some instances don't see and messages that are lost or late.
    four_instances_stop_sending_on_rough_links => || plays(with(ROUGH));
    instances_stop_sending_on_rough_links_with_29 => || plays(with(Conditions { instances: 29, ..ROUGH }));

    /// Guards against the blame of a part that merely follows the one to blame.
    a_part_that_comes_first => || plays(Variant { is_first: true, ..USUAL });

    /// Guards against two parts at once that hide each other.
    two_parts_at_once => || plays(Variant { deadly: 2, ..USUAL });

    /// Guards against sound requests that are refused because they share a part with crashing ones
    /// and are rare.
    a_shared_part_of_few_requests => || {
        plays(Variant { shared_every: 25, ..USUAL });
        plays(Variant { shared_every: 25, conditions: Conditions { instances: 985, ..CALM }, ..USUAL });
    };

    /// Guards against the same where half of all requests share the part.
    a_shared_part_of_many_requests => || {
        plays(Variant { shared_every: 2, ..USUAL });
        plays(Variant { shared_every: 2, conditions: Conditions { instances: 985, ..CALM }, ..USUAL });
    };

    /// Guards against parts that are refused because a rack fails at the same time.
    a_rack_that_fails_beside_it => || plays(with(Conditions { rack_fails: true, ..ROUGH }));

    /// Guards against a fleet in which the one instance that may try a part gets no request with it.
    a_part_is_tried_by_more_instances_with_time => || {
        let parts = [part(1), deadly(0)];
        let mut scheduler = one_of_a_fleet(985);
        die(&mut scheduler, &parts, 3);
        assert!(is_refused(&mut scheduler, &parts, 1_000));
        assert!(!is_refused(&mut scheduler, &parts, 12_000));
    };

    /// Guards against a part that goes on being tried every few seconds.
    pauses_between_trials_grow => || {
        let mut scheduler = one_of_a_fleet(1);
        die(&mut scheduler, &[deadly(0)], 5);
        let mut trials = Vec::new();
        for ms in (200..60_000).step_by(100) {
            if is_refused(&mut scheduler, &[deadly(0)], ms) {
                continue;
            }
            trials.push(ms);
            let trial = scheduler.place(&request(&[deadly(0)], u128::from(ms)), at(ms)).unwrap();
            scheduler.mark_sent(trial.job);
            scheduler.finish(trial.job, Some(FailCause::Broken), at(ms + 90));
            scheduler.record_death(&trial.endpoint, trial.incarnation, at(ms + 90));
            let member = |index| Member {
                incarnation: Incarnation(ms),
                ..arranging::member(index, 16, false)
            };
            scheduler.set_members((0..12).map(member).collect(), at(ms + 95));
        }
        let late = trials.iter().filter(|ms| **ms > 110 + CONTACT_MS).count();
        assert!((1..=MAX_LATE).contains(&late), "{trials:?}");
    };

    /// Guards against a route that is refused for minutes because all its endpoints crashed at once.
    endpoints_that_crash_together_are_one_death => || {
        let mut scheduler = one_of_a_fleet(4);
        die(&mut scheduler, &[part(1)], 10);
        assert!(is_refused(&mut scheduler, &[part(1)], 1_000));
        assert!(!is_refused(&mut scheduler, &[part(1)], 4_500));
    };

    /// Guards against sound requests that are refused for a part that was merely present.
    parts_are_told_apart_by_requests_that_hold_some => || {
        let mut scheduler = one_of_a_fleet(985);
        die(&mut scheduler, &[part(1), deadly(0)], 5);
        assert!(is_refused(&mut scheduler, &[part(1), deadly(0)], 300));
        let sound = scheduler.place(&request(&[part(1)], 1), at(300)).unwrap();
        let beside = scheduler.place(&request(&[part(1)], 2), at(310));
        assert!(matches!(beside, Err(PlacementRefusal::Quarantined(_))), "one at a time");
        scheduler.finish(sound.job, None, at(600));
        scheduler.place(&request(&[part(1)], 3), at(610)).unwrap();
        assert!(is_refused(&mut scheduler, &[part(1), deadly(0)], 620));
    };

    /// Guards against a prompt that was placed before its part was suspected, and is sent afterwards.
    a_held_prompt_is_not_sent => || {
        let mut scheduler = one_of_a_fleet(985);
        let held = scheduler.place(&request(&[deadly(0)], 1), at(0)).unwrap();
        assert!(scheduler.accepts(held.job, at(10)));
        let mut other = one_of_a_fleet(985);
        die(&mut other, &[deadly(0)], 5);
        scheduler.apply_quarantine_news(&other.take_quarantine_news(at(200)), at(210));
        assert!(!scheduler.accepts(held.job, at(220)));
    };

    /// Guards against an instance that learns of a part by its own deaths only.
    deaths_at_several_instances_add_up => || {
        let mut scheduler = one_of_a_fleet(985);
        for seed in 0..5 {
            let mut other = one_of_a_fleet(985);
            // Each of them sees another endpoint die.
            other.set_members(vec![arranging::member(seed, 16, false)], at(0));
            die(&mut other, &[deadly(0)], 1);
            scheduler.apply_quarantine_news(&other.take_quarantine_news(at(200)), at(210));
        }
        assert!(is_refused(&mut scheduler, &[deadly(0)], 300));
    };
}
