//! Engines that answer nothing or don't prefill parts for others, while many instances each send
//! them little.

#![allow(clippy::unwrap_used)]

mod arranging;
mod engines;

use std::{collections::VecDeque, time::Duration};

use engines::engine;
use policy::{
    EndpointId, FailCause, Fingerprint, Incarnation, InstanceId, Time,
    instances::Instances,
    placement::{GroupScheduler, JobId, Placement, PlacementRequest, PlacementRules},
};

const ENGINES: usize = 40;
const INSTANCES: usize = 32;

/// Interval of the periodic load updates in milliseconds, as with so many instances.
const LOAD_UPDATE_INTERVAL_MS: u64 = 200;

/// How long an answer is decoded, in milliseconds.
const DECODE_MS: u64 = 800;

/// Milliseconds until a request is refused because of one of its helpers.
const REFUSAL_DELAY_MS: u64 = 3;

/// Instances that receive each other's updates within the millisecond.
struct Site {
    instances: Vec<GroupScheduler>,
    /// Future events in order of their time in milliseconds, with the instance and the job.
    pending_events: VecDeque<(u64, usize, JobId, Event)>,
}

enum Event {
    Answered,
    Ended,
    HelperRefused(EndpointId),
}

impl Site {
    fn new() -> Site {
        let rules = PlacementRules::default();
        let scheduler = |index| arranging::scheduler(ENGINES, engine(), rules, index as u64);
        Site { instances: (0..INSTANCES).map(scheduler).collect(), pending_events: VecDeque::new() }
    }

    fn schedule(&mut self, at: u64, instance: usize, job: JobId, event: Event) {
        let place = self.pending_events.partition_point(|(known, ..)| *known <= at);
        self.pending_events.insert(place, (at, instance, job, event));
    }

    /// Applies the events that are due, and returns the instance and job of each refused request.
    fn advance(&mut self, now: u64) -> Vec<(usize, JobId)> {
        let mut refused = Vec::new();
        while self.pending_events.front().is_some_and(|(at, ..)| *at <= now) {
            let (at, from, job, event) = self.pending_events.pop_front().unwrap();
            let time = Time::from_millis(at);
            let instance = &mut self.instances[from];
            match event {
                Event::Answered => {
                    instance.record_first_event(job, time);
                    self.schedule(at + DECODE_MS, from, job, Event::Ended);
                }
                Event::Ended => instance.finish(job, None, time),
                Event::HelperRefused(endpoint) => {
                    instance.record_helper_refusal(&endpoint, time);
                    instance.finish(job, Some(FailCause::Rejected), time);
                    refused.push((from, job));
                    self.send_updates(from, false, time);
                }
            }
        }
        if now.is_multiple_of(LOAD_UPDATE_INTERVAL_MS) {
            for from in 0..INSTANCES {
                self.send_updates(from, true, Time::from_millis(now));
            }
        }
        refused
    }

    fn send_updates(&mut self, from: usize, is_due: bool, now: Time) {
        let updates = self.instances[from].take_updates(is_due);
        let peer = InstanceId::new(&format!("p-{from}")).unwrap();
        for (to, other) in self.instances.iter_mut().enumerate() {
            if to != from && !updates.is_empty() {
                other.apply_updates(&peer, &updates, now);
            }
        }
    }

    fn place(&mut self, from: usize, request: &PlacementRequest, now: u64) -> Option<Placement> {
        let now = Time::from_millis(now);
        let placement = self.instances[from].place(request, now).ok()?;
        self.send_updates(from, false, now);
        Some(placement)
    }
}

fn request(prompt: u64, index: u64) -> PlacementRequest {
    PlacementRequest { fingerprint: Fingerprint(u128::from(index)), ..arranging::request(prompt) }
}

/// A question that only one of two engines may run.
fn question_for(engine: usize, index: u64) -> PlacementRequest {
    let tried = vec![(arranging::id(1 - engine), Incarnation(1))];
    PlacementRequest { tried, is_hedge: true, ..request(5_000, index) }
}

/// Guards against an engine that died silently: it looks idle, because what was sent there counts
/// as prefilled, and each instance sends questions there until it has lost some of its own.
#[test]
fn questions_leave_an_engine_that_answers_nobody() {
    let rules = PlacementRules::default();
    let [mut one, mut two] = [1, 2].map(|seed| arranging::scheduler(2, engine(), rules, seed));
    let peer = InstanceId::new("p-1").unwrap();
    let place_on = |scheduler: &mut GroupScheduler, engine: usize, index: u64, now: u64| {
        scheduler.place(&question_for(engine, index), Time::from_millis(now)).unwrap()
    };
    let unanswered = place_on(&mut one, 0, 0, 1);
    two.apply_updates(&peer, &one.take_updates(true), Time::from_millis(1));
    // The other engine answers, and has a few questions to prefill.
    let now = unanswered.predicted_ms as u64 + 700;
    for index in 1..4 {
        place_on(&mut two, 1, index, now);
    }
    let place = |two: &mut GroupScheduler, index| {
        two.place(&request(5_000, index), Time::from_millis(now)).unwrap()
    };
    assert_eq!(place(&mut two, 10).endpoint, arranging::id(1));
    // Its first event comes after all.
    one.record_first_event(unanswered.job, Time::from_millis(now));
    two.apply_updates(&peer, &one.take_updates(true), Time::from_millis(now));
    assert_eq!(place(&mut two, 11).endpoint, arranging::id(0));
}

/// Guards against engines that look stalled in a large site: an instance that has heard of few
/// placements expects reports of first events as soon as in a site of few instances.
#[test]
fn a_report_that_isnt_due_yet_is_no_stall() {
    let rules = PlacementRules::default();
    let [mut one, mut two] = [1, 2].map(|seed| arranging::scheduler(2, engine(), rules, seed));
    let peers: Vec<_> = (0..984).map(|i| InstanceId::new(&format!("p-{i}")).unwrap()).collect();
    let own = InstanceId::new("own").unwrap();
    two.set_instances(Instances::new(&own, &peers, peers.len(), 1.0));
    let unanswered = one.place(&question_for(0, 0), Time::from_millis(1)).unwrap();
    two.apply_updates(&peers[1], &one.take_updates(true), Time::from_millis(1));
    let now = Time::from_millis(unanswered.predicted_ms as u64 + 700);
    for index in 1..4 {
        two.place(&question_for(1, index), now).unwrap();
    }
    assert_eq!(two.place(&request(5_000, 10), now).unwrap().endpoint, arranging::id(0));
}

/// Guards against a helper that refuses all requests and is used again by each instance and by each
/// retry until the directory no longer lists it.
#[test]
fn long_prompts_leave_a_helper_that_refuses() {
    let mut site = Site::new();
    let refusing = arranging::id(3);
    let mut runs = vec![0_usize; ENGINES];
    let (mut requests, mut lost) = (0_usize, 0_usize);
    let mut attempts: Vec<(usize, JobId, u64, usize)> = Vec::new();
    for index in 0..500_u64 {
        let now = index * 10;
        let refused = site.advance(now);
        let again = refused.iter().filter_map(|(from, job)| {
            attempts.iter().find(|(instance, known, ..)| instance == from && known == job).copied()
        });
        let mut to_place: Vec<(usize, u64, usize)> =
            again.map(|(from, _, index, attempt)| (from, index, attempt + 1)).collect();
        if index % 5 == 0 {
            to_place.push(((index / 5 * 7) as usize % INSTANCES, index, 1));
            requests += 1;
        }
        for (from, index, attempt) in to_place {
            if attempt > 2 {
                lost += 1;
                continue;
            }
            let Some(placed) = site.place(from, &request(60_000, index), now) else { continue };
            attempts.push((from, placed.job, index, attempt));
            let engine = arranging::index(&placed.endpoint);
            runs[engine] += 1;
            let hold = placed.hold.as_millis() as u64;
            if placed.helpers.iter().any(|helper| helper.endpoint == refusing) {
                let event = Event::HelperRefused(refusing.clone());
                site.schedule(now + hold + REFUSAL_DELAY_MS, from, placed.job, event);
            } else {
                let first_event_at = now + placed.predicted_ms as u64 + 1;
                site.schedule(first_event_at, from, placed.job, Event::Answered);
            }
        }
    }
    let most = runs.iter().max().unwrap();
    let share = runs.iter().sum::<usize>() as f64 / ENGINES as f64;
    assert!(*most as f64 <= 3.0 * share.max(1.0), "{most} runs on one engine: {runs:?}");
    assert!(lost * 50 < requests, "{lost} of {requests} refused twice");
}

/// Guards against leaving out an engine for good because it was full once.
#[test]
fn a_helper_that_refused_is_taken_again() {
    let rules = PlacementRules::default();
    let mut scheduler = arranging::scheduler(3, engine(), rules, 1);
    let other = arranging::id(1);
    let helps = |scheduler: &mut GroupScheduler, now: Time| {
        let placed = scheduler.place(&request(210_000, 1), now).unwrap();
        scheduler.finish(placed.job, None, now);
        let mut all = placed.helpers.iter().map(|helper| &helper.endpoint);
        placed.endpoint == other || all.any(|helper| *helper == other)
    };
    assert!(helps(&mut scheduler, Time::from_millis(1)));
    scheduler.record_helper_refusal(&other, Time::from_millis(2));
    assert!(!helps(&mut scheduler, Time::from_millis(3)));
    let later = Time::from_millis(3) + Duration::from_secs(1);
    assert!(helps(&mut scheduler, later));
}

/// Guards against taking all engines of a large site for stalled: with many instances, first events
/// are reported late.
#[test]
fn many_instances_report_first_events_late() {
    let rules = PlacementRules::default();
    let [mut one, mut two] = [1, 2].map(|seed| arranging::scheduler(2, engine(), rules, seed));
    for index in 0..120 {
        let peer = InstanceId::new(&format!("p-{index}")).unwrap();
        two.apply_updates(&peer, &[], Time::from_millis(1));
    }
    let unanswered = one.place(&question_for(0, 0), Time::from_millis(1)).unwrap();
    let peer = InstanceId::new("p-1").unwrap();
    two.apply_updates(&peer, &one.take_updates(true), Time::from_millis(1));
    let now = Time::from_millis(unanswered.predicted_ms as u64 + 600);
    let next = two.place(&question_for(0, 1), now).unwrap();
    assert!(next.predicted_ms < 100.0);
}

/// An instance that places dossiers, and another one that receives its updates.
struct Pair {
    one: GroupScheduler,
    two: GroupScheduler,
    first: Placement,
}

impl Pair {
    /// A pair whose first instance has placed a dossier.
    fn new() -> Pair {
        let rules = PlacementRules::default();
        let [mut one, two] = [1, 2].map(|seed| arranging::scheduler(20, engine(), rules, seed));
        let first = one.place(&request(210_000, 1), Time::from_millis(1)).unwrap();
        let mut pair = Pair { one, two, first };
        pair.send_updates(Time::from_millis(1));
        pair
    }

    fn send_updates(&mut self, now: Time) {
        let peer = InstanceId::new("p-1").unwrap();
        self.two.apply_updates(&peer, &self.one.take_updates(true), now);
    }

    /// When the first dossier is overdue by `late_ms`.
    fn overdue_by(&self, late_ms: u64) -> Time {
        Time::from_millis(self.first.predicted_ms as u64 + late_ms)
    }

    /// How many of its engines the other instance uses for the next dossier.
    fn shared(mut self, now: Time) -> usize {
        self.send_updates(now);
        let second = self.two.place(&request(210_000, 2), now).unwrap();
        let first = engines(&self.first);
        engines(&second).iter().filter(|engine| first.contains(engine)).count()
    }
}

fn engines(placement: &Placement) -> Vec<usize> {
    let helpers = placement.helpers.iter().map(|helper| arranging::index(&helper.endpoint));
    helpers.chain([arranging::index(&placement.endpoint)]).collect()
}

/// Each case is named by what is known of the first dossier before the second one is placed.
macro_rules! shares {
    ($($(#[$line:meta])* $case:ident: $late_ms:expr, $action:expr, $expected:expr;)*) => {$(
        $(#[$line])*
        #[test]
        fn $case() {
            let mut pair = Pair::new();
            let now = pair.overdue_by($late_ms);
            let action: fn(&mut Pair, Time) = $action;
            action(&mut pair, now);
            let shared = pair.shared(now);
            assert!($expected.contains(&shared), "{shared} engines");
        }
    )*};
}

shares! {
    /// Guards against a helper that died silently and is used again for each dossier until the
    /// first one fails.
    dossiers_leave_the_engines_of_an_overdue_one: 1_000, |_, _| {}, (0..=2);
    /// Guards against avoiding engines because the report of a first event takes its time.
    dossiers_share_engines_before_an_update_is_due: 100, |_, _| {}, (8..);
    /// Guards against avoiding engines that answered, if late.
    dossiers_share_engines_that_prefill: 1_000, |pair, now| {
        pair.one.record_first_event(pair.first.job, now)
    }, (8..);
    /// Guards against avoiding engines that have prefilled a later dossier.
    dossiers_share_engines_that_prefilled_a_later_one: 1_000, |pair, now| {
        let soon = Time::from_millis(10);
        let later = pair.one.place(&request(210_000, 3), soon).unwrap();
        pair.send_updates(soon);
        pair.one.record_first_event(later.job, now);
    }, (8..);
    /// Guards against avoiding engines once another one is known to have refused.
    dossiers_share_engines_once_another_refuses: 1_000, |pair, now| {
        pair.one.record_helper_refusal(&arranging::id(0), now);
        pair.one.finish(pair.first.job, Some(FailCause::Rejected), now);
    }, (8..);
}
