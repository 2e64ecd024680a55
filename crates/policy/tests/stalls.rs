//! Engines that answer nobody, or don't read parts for others, before many instances that each send
//! them little.

#![allow(clippy::unwrap_used)]

mod arranging;
mod engines;

use std::{collections::VecDeque, time::Duration};

use engines::engine;
use policy::{
    EndpointId, FailCause, Fingerprint, Incarnation, InstanceId, Time,
    placement::{GroupScheduler, JobId, Placement, PlacementRequest, PlacementRules},
};

const ENGINES: usize = 40;
const INSTANCES: usize = 32;

/// Milliseconds between two looks at what has to be told to all, as with so many instances.
const LEVELS_EVERY: u64 = 200;

/// Milliseconds for which an answer is written.
const WRITING: u64 = 800;

/// Milliseconds until the first of a request's helpers is named as the one at fault.
const REFUSED_AFTER: u64 = 3;

/// Instances that hear of each other within the millisecond.
struct Site {
    instances: Vec<GroupScheduler>,
    /// What happens later, in milliseconds, with the instance and the job.
    later: VecDeque<(u64, usize, JobId, Event)>,
}

enum Event {
    Begins,
    Ends,
    Refused(EndpointId),
}

impl Site {
    fn new() -> Site {
        let rules = PlacementRules::default();
        let scheduler = |index| arranging::scheduler(ENGINES, engine(), rules, index as u64);
        Site { instances: (0..INSTANCES).map(scheduler).collect(), later: VecDeque::new() }
    }

    fn at(&mut self, at: u64, instance: usize, job: JobId, event: Event) {
        let place = self.later.partition_point(|(known, ..)| *known <= at);
        self.later.insert(place, (at, instance, job, event));
    }

    /// Lets happen what is due, and tells the instance and job of what was refused.
    fn advance(&mut self, now: u64) -> Vec<(usize, JobId)> {
        let mut refused = Vec::new();
        while self.later.front().is_some_and(|(at, ..)| *at <= now) {
            let (at, from, job, event) = self.later.pop_front().unwrap();
            let time = Time::from_millis(at);
            let instance = &mut self.instances[from];
            match event {
                Event::Begins => {
                    instance.record_first_event(job, time);
                    self.at(at + WRITING, from, job, Event::Ends);
                }
                Event::Ends => instance.finish(job, None, time),
                Event::Refused(fault) => {
                    instance.record_helper_refusal(&fault, time);
                    instance.finish(job, Some(FailCause::Rejected), time);
                    refused.push((from, job));
                    self.tell(from, false, time);
                }
            }
        }
        if now.is_multiple_of(LEVELS_EVERY) {
            for from in 0..INSTANCES {
                self.tell(from, true, Time::from_millis(now));
            }
        }
        refused
    }

    fn tell(&mut self, from: usize, is_due: bool, now: Time) {
        let words = self.instances[from].take_updates(is_due);
        let peer = InstanceId::new(&format!("p-{from}")).unwrap();
        for (to, other) in self.instances.iter_mut().enumerate() {
            if to != from && !words.is_empty() {
                other.apply_updates(&peer, &words, now);
            }
        }
    }

    fn place(&mut self, from: usize, request: &PlacementRequest, now: u64) -> Option<Placement> {
        let now = Time::from_millis(now);
        let placement = self.instances[from].place(request, now).ok()?;
        self.tell(from, false, now);
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

/// Guards against an engine that died without a word: it looks idle, as what was sent there counts as
/// read, and each instance sends questions there until it has lost some of its own.
#[test]
fn questions_leave_an_engine_that_answers_nobody() {
    let rules = PlacementRules::default();
    let [mut one, mut two] = [1, 2].map(|seed| arranging::scheduler(2, engine(), rules, seed));
    let peer = InstanceId::new("p-1").unwrap();
    let to = |scheduler: &mut GroupScheduler, engine: usize, index: u64, now: u64| {
        scheduler.place(&question_for(engine, index), Time::from_millis(now)).unwrap()
    };
    let unanswered = to(&mut one, 0, 0, 1);
    two.apply_updates(&peer, &one.take_updates(true), Time::from_millis(1));
    // The other engine answers, and has a few questions to read.
    let now = unanswered.predicted_ms as u64 + 700;
    for index in 1..4 {
        to(&mut two, 1, index, now);
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

/// Guards against a helper that refuses everybody, and is taken again by each instance and by each
/// second try, until the directory no longer lists it.
#[test]
fn long_prompts_leave_a_helper_that_refuses() {
    let mut site = Site::new();
    let refuses = arranging::id(3);
    let mut runs = vec![0_usize; ENGINES];
    let (mut asked, mut twice) = (0_usize, 0_usize);
    let mut tries: Vec<(usize, JobId, u64, usize)> = Vec::new();
    for index in 0..500_u64 {
        let now = index * 10;
        let refused = site.advance(now);
        let again = refused.iter().filter_map(|(from, job)| {
            tries.iter().find(|(instance, known, ..)| instance == from && known == job).copied()
        });
        let mut wanted: Vec<(usize, u64, usize)> =
            again.map(|(from, _, index, nth)| (from, index, nth + 1)).collect();
        if index % 5 == 0 {
            wanted.push(((index / 5 * 7) as usize % INSTANCES, index, 1));
            asked += 1;
        }
        for (from, index, nth) in wanted {
            if nth > 2 {
                twice += 1;
                continue;
            }
            let Some(placed) = site.place(from, &request(60_000, index), now) else { continue };
            tries.push((from, placed.job, index, nth));
            let engine = arranging::index(&placed.endpoint);
            runs[engine] += 1;
            let hold = placed.hold.as_millis() as u64;
            if placed.helpers.iter().any(|helper| helper.endpoint == refuses) {
                let event = Event::Refused(refuses.clone());
                site.at(now + hold + REFUSED_AFTER, from, placed.job, event);
            } else {
                let begins = now + placed.predicted_ms as u64 + 1;
                site.at(begins, from, placed.job, Event::Begins);
            }
        }
    }
    let most = runs.iter().max().unwrap();
    let share = runs.iter().sum::<usize>() as f64 / ENGINES as f64;
    assert!(*most as f64 <= 3.0 * share.max(1.0), "{most} runs on one engine: {runs:?}");
    assert!(twice * 50 < asked, "{twice} of {asked} refused twice");
}

/// Guards against an engine that is left out for good because it once was full.
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

/// Guards against engines of a large site that all look as if they stalled: with many instances, word
/// of a first event comes late.
#[test]
fn many_instances_tell_late_of_first_events() {
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

/// An instance that places dossiers, and another one that hears of them.
struct Pair {
    one: GroupScheduler,
    two: GroupScheduler,
    first: Placement,
}

impl Pair {
    /// The first of them has placed a dossier.
    fn new() -> Pair {
        let rules = PlacementRules::default();
        let [mut one, two] = [1, 2].map(|seed| arranging::scheduler(20, engine(), rules, seed));
        let first = one.place(&request(210_000, 1), Time::from_millis(1)).unwrap();
        let mut pair = Pair { one, two, first };
        pair.tell(Time::from_millis(1));
        pair
    }

    fn tell(&mut self, now: Time) {
        let peer = InstanceId::new("p-1").unwrap();
        self.two.apply_updates(&peer, &self.one.take_updates(true), now);
    }

    /// When the first dossier is overdue by `late_ms`.
    fn overdue_by(&self, late_ms: u64) -> Time {
        Time::from_millis(self.first.predicted_ms as u64 + late_ms)
    }

    /// How many of its engines the other instance takes for the next one.
    fn shared(mut self, now: Time) -> usize {
        self.tell(now);
        let second = self.two.place(&request(210_000, 2), now).unwrap();
        let first = engines(&self.first);
        engines(&second).iter().filter(|engine| first.contains(engine)).count()
    }
}

fn engines(placement: &Placement) -> Vec<usize> {
    let helpers = placement.helpers.iter().map(|helper| arranging::index(&helper.endpoint));
    helpers.chain([arranging::index(&placement.endpoint)]).collect()
}

/// Names each case by what the first dossier's instance learns before the second one is placed.
macro_rules! shares {
    ($($(#[$line:meta])* $case:ident: $late_ms:expr, $then:expr, $expected:expr;)*) => {$(
        $(#[$line])*
        #[test]
        fn $case() {
            let mut pair = Pair::new();
            let now = pair.overdue_by($late_ms);
            let then: fn(&mut Pair, Time) = $then;
            then(&mut pair, now);
            let shared = pair.shared(now);
            assert!($expected.contains(&shared), "{shared} engines");
        }
    )*};
}

shares! {
    /// Guards against a helper that died without a word and is taken again for each dossier until the
    /// first one breaks off.
    dossiers_leave_the_engines_of_an_overdue_one: 1_000, |_, _| {}, (0..=2);
    /// Guards against engines that are avoided because word of a first event takes its time.
    dossiers_share_engines_before_word_is_due: 100, |_, _| {}, (8..);
    /// Guards against engines that are avoided although they answered, if late.
    dossiers_share_engines_that_read: 1_000, |pair, now| pair.one.record_first_event(pair.first.job, now), (8..);
    /// Guards against engines that are avoided although they have read a later dossier.
    dossiers_share_engines_that_read_a_later_one: 1_000, |pair, now| {
        let soon = Time::from_millis(10);
        let later = pair.one.place(&request(210_000, 3), soon).unwrap();
        pair.tell(soon);
        pair.one.record_first_event(later.job, now);
    }, (8..);
    /// Guards against engines that are avoided after another one was named.
    dossiers_share_engines_once_one_is_named: 1_000, |pair, now| {
        pair.one.record_helper_refusal(&arranging::id(0), now);
        pair.one.finish(pair.first.job, Some(FailCause::Rejected), now);
    }, (8..);
}
