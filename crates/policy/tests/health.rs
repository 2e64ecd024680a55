//! Outlier ejection and its limits, probes, the ramp after a restore, and lost connections versus
//! dead endpoints.

// Clippy exempts test functions from this lint, but not their helpers.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use fastrand::Rng;
use policy::{
    EndpointId, FailCause, Time,
    health::{EjectionCause, Health, HealthState, RAMP_UP_PENALTY, silence},
};

fn endpoint(n: usize) -> EndpointId {
    EndpointId::new(&format!("e{n}")).unwrap()
}

struct Group {
    health: Health,
    rng: Rng,
    now: Time,
}

impl Group {
    fn of(count: usize) -> Group {
        let mut health = Health::new();
        let endpoints: Vec<EndpointId> = (0..count).map(endpoint).collect();
        health.configure(&endpoints);
        Group { health, rng: Rng::with_seed(7), now: Time::from_millis(1000) }
    }

    fn fail(mut self, n: usize, cause: FailCause, times: u32) -> Group {
        (0..times).for_each(|_| self.health.record_failure(&endpoint(n), cause));
        self
    }

    /// Records ten answers that took `slowness` times the prediction.
    fn answer(mut self, n: usize, slowness: f64) -> Group {
        let predicted = Duration::from_millis(100);
        (0..10).for_each(|_| {
            self.health.record_answer(&endpoint(n), predicted.mul_f64(slowness), predicted);
        });
        self
    }

    fn causes(&mut self, needed: usize) -> Vec<EjectionCause> {
        let ejected = self.health.assess(needed, self.now, &mut self.rng);
        ejected.into_iter().map(|ejected| ejected.cause).collect()
    }
}

macro_rules! ejects {
    ($($case:ident: $group:expr, needed $needed:expr => $causes:expr;)*) => {$(
        #[test]
        fn $case() {
            assert_eq!($group.causes($needed), $causes);
        }
    )*};
}

use EjectionCause::{Dead, Failures, Slow};
use FailCause::{Broken, NotSent, Rejected, Silent};

ejects! {
    three_failures_eject: Group::of(4).fail(0, Broken, 3), needed 1 => [Failures];
    two_failures_do_not: Group::of(4).fail(0, Broken, 2), needed 1 => [];
    an_answer_resets_the_failures: Group::of(4).fail(0, Broken, 2).answer(0, 1.0).fail(0, Broken, 2),
        needed 1 => [];
    a_busy_endpoint_is_not_at_fault: Group::of(4).fail(0, Rejected, 50), needed 1 => [];
    silence_alone_ejects_nobody: Group::of(4).fail(0, Silent, 50), needed 1 => [];
    of_four_only_one_is_ejected: Group::of(4).fail(0, Broken, 3).fail(1, Broken, 3), needed 1 => [Failures];
    of_two_none_is_ejected: Group::of(2).fail(0, Broken, 9), needed 1 => [];
    load_needs_all_of_them: Group::of(4).fail(0, Broken, 9), needed 4 => [];
    a_dead_one_is_ejected_even_of_two: Group::of(2).fail(0, NotSent, 2), needed 2 => [Dead];
    a_dead_one_uses_up_the_floor: Group::of(4).fail(0, NotSent, 2).fail(1, Broken, 9),
        needed 1 => [Dead];
    far_slower_than_the_others:
        Group::of(4).answer(0, 1.0).answer(1, 1.1).answer(2, 0.9).answer(3, 8.0), needed 1 => [Slow];
    all_slow_alike_is_load:
        Group::of(4).answer(0, 9.0).answer(1, 8.0).answer(2, 9.0).answer(3, 8.0), needed 1 => [];
}

/// Guards against ejecting a whole group. A shared cause (a slow store, a lost switch) makes every
/// engine fail now and then. Without a limit, the first engines at the threshold are ejected, the
/// rest take over their load and fail as well, until no requests are served.
#[test]
fn a_shared_cause_does_not_empty_the_group() {
    let mut group = (0..9).fold(Group::of(9), |group, n| group.fail(n, Broken, 5));
    assert_eq!(group.causes(1).len(), 3);
    assert_eq!(group.causes(1).len(), 0);
}

#[test]
fn a_slow_endpoint_costs_more_before_it_is_ejected() {
    let mut group = Group::of(4).answer(0, 1.0).answer(1, 1.0).answer(2, 1.0).answer(3, 3.0);
    assert!(group.causes(1).is_empty());
    let penalty = |n| group.health.state(&endpoint(n), group.now);
    assert_eq!(penalty(0), HealthState::Usable(1.0));
    assert!(matches!(penalty(3), HealthState::Usable(penalty) if (penalty - 3.0).abs() < 1e-9));
}

#[test]
fn a_dead_endpoint_gets_probes_ever_farther_apart_and_returns_on_a_ramp() {
    let mut group = Group::of(4).fail(0, NotSent, 2);
    group.causes(1);
    let mut gaps = Vec::new();
    for _ in 0..6 {
        assert_eq!(group.health.state(&endpoint(0), group.now), HealthState::Ejected);
        let due = group.health.next_probe().unwrap();
        gaps.push(due.since(group.now).as_secs());
        assert!(group.health.due_probes(group.now).is_empty());
        group.now = due;
        assert_eq!(group.health.due_probes(group.now), [endpoint(0)]);
        assert!(group.health.due_probes(group.now).is_empty(), "one probe at a time");
        group.health.record_probe(&endpoint(0), false, group.now, &mut group.rng);
    }
    assert!(gaps.windows(2).all(|pair| pair[0] <= pair[1] || pair[1] >= 60), "{gaps:?}");
    assert!(gaps.iter().all(|gap| (5..=75).contains(gap)), "{gaps:?}");

    group.health.record_probe(&endpoint(0), true, group.now, &mut group.rng);
    let penalty = |seconds| {
        let at = group.now + Duration::from_secs(seconds);
        group.health.state(&endpoint(0), at)
    };
    assert_eq!(penalty(0), HealthState::Usable(RAMP_UP_PENALTY));
    assert_eq!(penalty(10), HealthState::Usable(1.0));
}

#[test]
fn if_all_are_ejected_all_are_usable() {
    let mut group = Group::of(2).fail(0, NotSent, 2).fail(1, NotSent, 2);
    assert_eq!(group.causes(1), [Dead, Dead]);
    assert!(matches!(group.health.state(&endpoint(0), group.now), HealthState::Usable(_)));
}

/// Guards against ejecting a healthy endpoint. When a device on the network path loses track of all
/// open connections at once, answers hang until their deadline. Without the probe, each connection
/// would have to time out by itself and would count against the endpoint.
#[test]
fn one_probe_settles_all_silent_connections() {
    let mut detector = silence::SilenceDetector::new();
    let (opened, noticed) = (Time::from_millis(0), Time::from_millis(5_000));
    assert_eq!(detector.silent(&endpoint(0), opened, noticed), silence::SilenceAction::Probe);
    assert_eq!(detector.silent(&endpoint(0), opened, noticed), silence::SilenceAction::Wait);
    assert_eq!(detector.probed(&endpoint(0), true), silence::SilenceAction::DropBefore(noticed));
    let later = Time::from_millis(5_200);
    assert_eq!(
        detector.silent(&endpoint(0), opened, later),
        silence::SilenceAction::DropBefore(noticed)
    );
    assert_eq!(detector.silent(&endpoint(0), later, later), silence::SilenceAction::Probe);
    assert_eq!(detector.probed(&endpoint(0), false), silence::SilenceAction::Dead);
}
