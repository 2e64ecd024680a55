//! Endpoints that name a limit in their answers get no more than it from all instances together.

#![allow(clippy::unwrap_used)]

mod arranging;
mod engines;

use std::{collections::HashSet, time::Duration};

use engines::engine;
use fastrand::Rng;
use policy::{
    Fingerprint, Incarnation, InstanceId, Time,
    instances::Instances,
    named_limit::LimitReport,
    placement::{
        GroupScheduler, Member, Placement, PlacementRefusal, PlacementRequest, PlacementRules,
    },
};

/// How long after a limit is first named it has to be kept.
const CONTACT_MS: u64 = 3_000;

/// Span in which an endpoint counts its requests.
const SPAN_MS: u64 = 4_000;

/// How long after an instance has passed on an answer with the limit its requests count.
const TOLD_MS: u64 = 500;

/// Share of what is allowed that endpoints may get, and that they get where there is load.
const MOST: f64 = 0.8;
const LEAST: f64 = 0.5;

const ENDPOINTS: usize = 3;
const NAMED_AT_MS: u64 = 1_000;
const RESTART_MS: u64 = 6_000;
const END_MS: u64 = 16_000;
const TICK_MS: usize = 10;
const ANSWER_MS: u64 = 60;

fn allowed(per_s: f64) -> f64 {
    1.5 * per_s * SPAN_MS as f64 / 1_000.0 + 5.0
}

fn at(ms: u64) -> Time {
    Time((10_000 + ms) * 1_000)
}

/// What happens besides the load.
#[derive(Debug, Clone, Copy)]
struct Conditions {
    instances: usize,
    per_s: f64,
    /// Share of messages between instances that are lost, and that arrive two seconds late.
    lost: f64,
    late: f64,
    /// Instances that restart, which excuses them for `CONTACT_MS`, and those that hear nobody from 5 to 9 s.
    restarted: usize,
    cut: usize,
}

const CALM: Conditions =
    Conditions { instances: 4, per_s: 2.0, lost: 0.0, late: 0.0, restarted: 0, cut: 0 };

struct Arrival {
    endpoint: usize,
    instance: usize,
    ms: u64,
}

struct Site {
    conditions: Conditions,
    names: Vec<InstanceId>,
    schedulers: Vec<GroupScheduler>,
    arrivals: Vec<Arrival>,
    /// Answers that are under way.
    answers: Vec<(u64, usize, Placement, Option<f64>)>,
    messages: Vec<(u64, usize, Vec<LimitReport>)>,
    /// When each instance first passed on an answer with a limit of an endpoint.
    told: Vec<[Option<u64>; ENDPOINTS]>,
    next_request: u128,
    rng: Rng,
}

fn members() -> Vec<Member> {
    (0..ENDPOINTS).map(|index| arranging::member(index, engine().slots, false)).collect()
}

impl Site {
    fn new(conditions: Conditions) -> Site {
        let names: Vec<_> = (0..conditions.instances)
            .map(|index| InstanceId::new(&format!("entry-{index}")).unwrap())
            .collect();
        let mut site = Site {
            conditions,
            names,
            schedulers: Vec::new(),
            arrivals: Vec::new(),
            answers: Vec::new(),
            messages: Vec::new(),
            told: vec![[None; ENDPOINTS]; conditions.instances],
            next_request: 0,
            rng: Rng::with_seed(43),
        };
        site.schedulers = (0..conditions.instances).map(|index| site.scheduler(index)).collect();
        site
    }

    fn scheduler(&self, index: usize) -> GroupScheduler {
        let rules = PlacementRules::default();
        let mut scheduler = arranging::scheduler(0, engine(), rules, index as u64);
        scheduler.set_rules(None);
        scheduler.set_members(members(), at(0));
        let others = self.names.iter().filter(|name| **name != self.names[index]);
        let live = self.names.len() - 1;
        scheduler.set_instances(Instances::new(&self.names[index], others, live, 1.0));
        scheduler
    }

    fn send(&mut self, instance: usize, now: u64) {
        self.next_request += 1;
        let request = PlacementRequest {
            fingerprint: Fingerprint(self.next_request),
            ..arranging::request(0)
        };
        let Ok(placement) = self.schedulers[instance].place(&request, at(now)) else { return };
        let endpoint = arranging::index(&placement.endpoint);
        self.schedulers[instance].mark_sent(placement.job);
        self.arrivals.push(Arrival { endpoint, instance, ms: now });
        let limit = (now >= NAMED_AT_MS).then_some(self.conditions.per_s);
        self.answers.push((now + ANSWER_MS, instance, placement, limit));
    }

    fn is_cut(&self, instance: usize, now: u64) -> bool {
        instance < self.conditions.cut && (5_000..9_000).contains(&now)
    }

    fn tick(&mut self, now: u64) {
        let (arrived, under_way): (Vec<_>, Vec<_>) =
            self.answers.drain(..).partition(|(ms, ..)| *ms <= now);
        self.answers = under_way;
        for (_, instance, placement, limit) in arrived {
            let scheduler = &mut self.schedulers[instance];
            scheduler.record_named_limit(placement.job, limit, at(now));
            scheduler.finish(placement.job, None, at(now));
            if limit.is_some() {
                let endpoint = arranging::index(&placement.endpoint);
                self.told[instance][endpoint].get_or_insert(now);
            }
        }
        let (arrived, under_way): (Vec<_>, Vec<_>) =
            self.messages.drain(..).partition(|(ms, ..)| *ms <= now);
        self.messages = under_way;
        for (_, to, reports) in arrived {
            self.schedulers[to].apply_limit_reports(&reports, at(now));
        }
        for from in 0..self.schedulers.len() {
            let reports = self.schedulers[from].take_limit_news(at(now));
            if reports.is_empty() {
                continue;
            }
            for to in (0..self.schedulers.len()).filter(|to| *to != from) {
                let is_cut = self.is_cut(from, now) || self.is_cut(to, now);
                if is_cut || self.rng.f64() < self.conditions.lost {
                    continue;
                }
                let delay = if self.rng.f64() < self.conditions.late { 2_000 } else { 5 };
                self.messages.push((now + delay, to, reports.clone()));
            }
        }
    }

    /// Plays a load that asks for more than the endpoints take.
    fn play(&mut self) {
        let instances = self.schedulers.len();
        for now in (0..END_MS).step_by(TICK_MS) {
            self.tick(now);
            if now == RESTART_MS {
                for index in 0..self.conditions.restarted {
                    self.schedulers[index] = self.scheduler(index);
                    let reports = self.schedulers[instances - 1].limit_reports();
                    self.messages.push((now + 50, index, reports));
                }
            }
            for _ in 0..instances.clamp(4, 100) {
                let instance = self.rng.usize(0..instances);
                self.send(instance, now);
            }
        }
    }

    /// The largest number of requests within a span that counts, and the mean. Where messages
    /// arrive, all instances know the limit, and all requests count.
    fn within_span(&self, endpoint: usize) -> (usize, f64) {
        let Conditions { lost, late, restarted, cut, .. } = self.conditions;
        let is_calm = lost + late == 0.0 && restarted + cut == 0;
        let is_told = |arrival: &&Arrival| {
            let told = self.told[arrival.instance][endpoint];
            let restarted = arrival.instance < restarted;
            if restarted && (RESTART_MS..RESTART_MS + CONTACT_MS).contains(&arrival.ms) {
                return false;
            }
            is_calm || told.is_some_and(|told| arrival.ms >= told + TOLD_MS)
        };
        let from = NAMED_AT_MS + CONTACT_MS;
        let all = self.arrivals.iter().filter(|a| a.endpoint == endpoint && a.ms >= from);
        let told: Vec<u64> = all.clone().filter(is_told).map(|arrival| arrival.ms).collect();
        let within =
            |start: &u64| told.iter().filter(|ms| (*start..*start + SPAN_MS).contains(*ms)).count();
        let spans = (END_MS - from) as f64 / SPAN_MS as f64;
        (told.iter().map(within).max().unwrap_or(0), all.count() as f64 / spans)
    }
}

fn keeps_to(conditions: Conditions) {
    let mut site = Site::new(conditions);
    site.play();
    let allowed = allowed(conditions.per_s);
    for endpoint in 0..ENDPOINTS {
        let (most, mean) = site.within_span(endpoint);
        assert!(most as f64 <= MOST * allowed, "{most} of {allowed} in a span");
        assert!(mean >= LEAST * allowed, "{mean} of {allowed} on average");
    }
}

/// Limits from one request in ten seconds to fifty a second.
fn keeps_to_limits(instances: usize) {
    for per_s in [0.1, 0.5, 1.0, 1.6, 2.0, 10.0, 50.0] {
        keeps_to(Conditions { instances, per_s, ..CALM });
    }
}

/// A scheduler of one instance whose endpoints have all named a limit.
fn limited(per_s: f64) -> GroupScheduler {
    let mut scheduler = Site::new(Conditions { instances: 1, ..CALM }).scheduler(0);
    let named: HashSet<_> = (0..ENDPOINTS as u64)
        .map(|index| {
            let placement = place(&mut scheduler, index, index * 10).unwrap();
            scheduler.record_named_limit(placement.job, Some(per_s), at(index * 10 + 5));
            arranging::index(&placement.endpoint)
        })
        .collect();
    assert_eq!(named.len(), ENDPOINTS);
    scheduler
}

fn place(
    scheduler: &mut GroupScheduler,
    request: u64,
    ms: u64,
) -> Result<Placement, PlacementRefusal> {
    let request =
        PlacementRequest { fingerprint: Fingerprint(u128::from(request)), ..arranging::request(0) };
    scheduler.place(&request, at(ms))
}

/// Number of requests that are placed at once, and the refusal of the next one.
fn fill(scheduler: &mut GroupScheduler, ms: u64) -> (usize, PlacementRefusal) {
    let mut placed = 0;
    loop {
        match place(scheduler, 100 + ms + placed as u64, ms) {
            Ok(_) => placed += 1,
            Err(refusal) => return (placed, refusal),
        }
        assert!(placed < 1_000);
    }
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

cases! {
    /// Guards against an endpoint in need that gets as much as it would without a limit.
    one_instance_keeps_to_limits => || keeps_to_limits(1);

    /// Guards against instances that each use the whole limit.
    four_instances_keep_to_limits => || keeps_to_limits(4);
    limits_are_kept_by_29 => || keeps_to_limits(29);
    limits_are_kept_by_86 => || keeps_to_limits(86);
    a_limit_is_kept_by_300 => || keeps_to(Conditions { instances: 300, ..CALM });
    a_limit_is_kept_by_985 => || keeps_to(Conditions { instances: 985, ..CALM });

    /// Guards against instances that learn of a limit late because messages are lost or late.
    limits_are_kept_on_rough_links => || {
        for instances in [4, 29, 300] {
            keeps_to(Conditions { instances, lost: 0.1, late: 0.1, ..CALM });
        }
    };

    /// Guards against instances that forget a limit, or spend the quota of others, after a restart
    /// or a cut.
    limits_are_kept_beside_restarts_and_cuts => || {
        for instances in [4, 29] {
            let conditions = Conditions { instances, cut: instances / 2, ..CALM };
            keeps_to(conditions);
            keeps_to(Conditions { restarted: 1, ..conditions });
        }
    };

    /// Guards against a refusal that tells the caller to come back before there is room.
    what_exceeds_all_limits_is_refused_with_a_true_time => || {
        let mut scheduler = limited(2.0);
        let (_, refusal) = fill(&mut scheduler, 100);
        let PlacementRefusal::Limited(wait) = refusal else { panic!("{refusal:?}") };
        let wait_ms = wait.as_millis() as u64;
        assert!(matches!(place(&mut scheduler, 9_000, 100 + wait_ms - 5), Err(PlacementRefusal::Limited(_))));
        place(&mut scheduler, 9_001, 100 + wait_ms + 1).unwrap();
    };

    /// Guards against an endpoint that is kept limited after it has stopped naming a limit.
    an_answer_without_a_limit_ends_it => || {
        let mut scheduler = limited(2.0);
        fill(&mut scheduler, 100);
        for (index, ms) in [(1, 4_600), (2, 4_700), (3, 4_800)] {
            let placement = place(&mut scheduler, 9_000 + index, ms).unwrap();
            assert!(scheduler.record_named_limit(placement.job, None, at(ms + 50)));
        }
        for index in 0..100 {
            place(&mut scheduler, 10_000 + index, 5_000).unwrap();
        }
    };

    /// Guards against an endpoint that takes nothing and is never asked again.
    a_limit_of_zero_lets_a_request_through_now_and_then => || {
        let mut scheduler = limited(0.0);
        assert_eq!(fill(&mut scheduler, 100).0, 0, "each had one before it named the limit");
        assert_eq!(fill(&mut scheduler, 4_500).0, ENDPOINTS);
        assert_eq!(fill(&mut scheduler, 6_000).0, 0);
        assert_eq!(fill(&mut scheduler, 9_000).0, ENDPOINTS);
    };

    /// Guards against an instance that is cut off for two seconds, too short to be removed, and misses
    /// a limit for good.
    a_limit_is_told_after_a_short_cut => || {
        let site = Site::new(CALM);
        let (mut here, mut there) = (site.scheduler(0), site.scheduler(1));
        let placement = place(&mut here, 1, 0).unwrap();
        here.record_named_limit(placement.job, Some(2.0), at(60));
        for ms in (60..5_060).step_by(10) {
            let reports = here.take_limit_news(at(ms));
            if ms >= 2_060 {
                there.apply_limit_reports(&reports, at(ms));
            }
        }
        assert_eq!(there.limit_reports(), here.limit_reports());
    };

    /// Guards against instances that each have to get an answer before they know of a limit.
    a_limit_reaches_instances_that_got_no_answer => || {
        let site = Site::new(CALM);
        let (mut here, mut there) = (site.scheduler(0), site.scheduler(1));
        let placement = place(&mut here, 1, 0).unwrap();
        here.record_named_limit(placement.job, Some(2.0), at(60));
        let mut times_told = 0;
        for ms in (60..20_000).step_by(10) {
            let reports = here.take_limit_news(at(ms));
            times_told += usize::from(!reports.is_empty());
            there.apply_limit_reports(&reports, at(ms + 5));
        }
        assert_eq!((times_told, there.limit_reports()), (5, here.limit_reports()));
        assert_eq!(there.take_limit_news(at(20_000)), [], "only who learned it tells it");
    };

    /// Guards against a limit that a late answer or a late message brings back.
    nothing_late_brings_a_limit_back => || {
        let mut scheduler = Site::new(Conditions { instances: 1, ..CALM }).scheduler(0);
        scheduler.set_members(members()[..1].to_vec(), at(0));
        let early = place(&mut scheduler, 1, 0).unwrap();
        let first = place(&mut scheduler, 2, 10).unwrap();
        assert!(scheduler.record_named_limit(first.job, Some(2.0), at(100)));
        let reported = scheduler.limit_reports();
        let ending = place(&mut scheduler, 3, 200).unwrap();
        assert!(scheduler.record_named_limit(ending.job, None, at(300)));
        assert!(!scheduler.record_named_limit(early.job, Some(2.0), at(400)), "answered late");
        scheduler.apply_limit_reports(&reported, at(500));
        assert_eq!(scheduler.limit_reports()[0].per_s, None, "told late");
    };

    /// Guards against an answer that overtook the one that names the limit, and ends it at once.
    an_answer_from_before_a_limit_does_not_end_it => || {
        let mut scheduler = Site::new(Conditions { instances: 1, ..CALM }).scheduler(0);
        scheduler.set_members(members()[..1].to_vec(), at(0));
        let before = place(&mut scheduler, 1, 0).unwrap();
        let naming = place(&mut scheduler, 2, 10).unwrap();
        assert!(scheduler.record_named_limit(naming.job, Some(2.0), at(100)));
        assert!(!scheduler.record_named_limit(before.job, None, at(110)));
        assert_eq!(scheduler.limit_reports()[0].per_s, Some(2.0));
    };

    /// Guards against instances that disagree for good because they heard changes in another order.
    reports_merge_in_any_order => || {
        let endpoint = (&arranging::id(0)).into();
        let report = |version, per_s| LimitReport { endpoint, incarnation: Incarnation(1), version, per_s };
        let reports = [report(1, Some(2.0)), report(2, None), report(2, Some(3.0)), report(2, Some(1.0))];
        for order in [[0, 1, 2, 3], [3, 2, 1, 0], [2, 3, 0, 1], [1, 3, 1, 0]] {
            let mut scheduler = Site::new(Conditions { instances: 1, ..CALM }).scheduler(0);
            for index in order {
                scheduler.apply_limit_reports(&[reports[index]], at(0));
            }
            assert_eq!(scheduler.limit_reports(), [report(2, Some(1.0))], "{order:?}");
        }
    };

    /// Guards against a limit that outlives the incarnation that named it.
    a_new_incarnation_has_no_limit => || {
        let mut scheduler = limited(1.0);
        fill(&mut scheduler, 100);
        let next = |member: Member| Member { incarnation: Incarnation(2), ..member };
        scheduler.set_members(members().into_iter().map(next).collect(), at(200));
        assert_eq!(scheduler.limit_reports(), []);
        for index in 0..100 {
            place(&mut scheduler, 10_000 + index, 300).unwrap();
        }
    };

    /// Guards against parts of long prompts that reach an endpoint in need as a helper.
    a_limited_endpoint_helps_nobody => || {
        let mut scheduler = Site::new(Conditions { instances: 1, ..CALM }).scheduler(0);
        scheduler.set_rules(Some(engine()));
        let limited: HashSet<_> = (0..2)
            .map(|index| {
                let report = LimitReport {
                    endpoint: (&arranging::id(index)).into(),
                    incarnation: Incarnation(1),
                    version: 1,
                    per_s: Some(2.0),
                };
                scheduler.apply_limit_reports(&[report], at(0));
                arranging::id(index)
            })
            .collect();
        for (index, prompt) in [45_000, 210_000, 500_000].into_iter().enumerate() {
            let request = PlacementRequest {
                fingerprint: Fingerprint(index as u128),
                ..arranging::request(prompt)
            };
            let now = at(index as u64 * 6_000);
            let Ok(placement) = scheduler.place(&request, now) else { continue };
            assert!(placement.helpers.iter().all(|helper| !limited.contains(&helper.endpoint)));
            scheduler.finish(placement.job, None, now + Duration::from_secs(5));
        }
    };
}
