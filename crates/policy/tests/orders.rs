//! Rollout of a version over a deployment's engines, with the effects that callers would notice.

#![allow(clippy::unwrap_used)]

use policy::{
    EndpointId,
    config::Version,
    orders::{EngineStatus, RolloutStep, next_step},
};
use quickcheck::quickcheck;

/// The status of an engine; the letters of `state` mean current (`c`) and ready (`r`).
fn engine(name: &str, state: &str) -> EngineStatus {
    EngineStatus {
        endpoint: EndpointId::new(name).unwrap(),
        is_current: state.contains('c'),
        ready: state.contains('r'),
        fencing: Version(3),
    }
}

macro_rules! steps {
    ($($name:ident: [$($engine:literal $state:literal),*] => $step:ident $($chosen:literal)?;)*) => {$(
        #[test]
        fn $name() {
            let engines = [$(engine($engine, $state)),*];
            let expected = RolloutStep::$step $((EndpointId::new($chosen).unwrap()))?;
            assert_eq!(next_step(&engines, Version(4)), expected);
        }
    )*};
}

steps! {
    all_as_wanted: ["a" "cr", "b" "cr"] => Done;
    first_by_name: ["b" "r", "a" "r"] => Order "a";
    what_is_not_ready_goes_first: ["a" "r", "b" ""] => Order "b";
    one_at_a_time: ["a" "c", "b" "r", "c" "r"] => Loading "a";
    the_last_ready_one_stays: ["a" "r"] => LastReady "a";
    the_last_old_one_goes_when_others_are_ready: ["a" "cr", "b" "r"] => Order "b";
    none_ready: ["a" "", "b" ""] => Order "a";
    none_at_all: [] => Done;
}

#[test]
fn an_instance_with_an_outdated_configuration_gives_no_orders() {
    let engines = [engine("a", "r"), engine("b", "r")];
    assert_eq!(next_step(&engines, Version(2)), RolloutStep::Behind(EndpointId::new("a").unwrap()));
}

quickcheck! {
    /// From any states of the engines, following the steps to the end never leaves callers without
    /// a ready engine if there was one, and never has two engines loading.
    fn a_rollout_never_takes_the_last_ready_engine(states: Vec<(bool, bool)>) -> bool {
        let mut engines: Vec<_> = states
            .iter()
            .take(20)
            .enumerate()
            .map(|(i, (current, ready))| EngineStatus {
                endpoint: EndpointId::new(&format!("e{i}")).unwrap(),
                is_current: *current,
                ready: *ready,
                fencing: Version(0),
            })
            .collect();
        let served = engines.iter().any(|r| r.ready);
        for _ in 0..100 {
            let (name, ready) = match next_step(&engines, Version(1)) {
                RolloutStep::Order(name) => (name, false),
                RolloutStep::Loading(name) => (name, true),
                RolloutStep::Done | RolloutStep::LastReady(_) => break,
                RolloutStep::Behind(_) => return false,
            };
            let engine = engines.iter_mut().find(|r| r.endpoint == name).unwrap();
            (engine.is_current, engine.ready) = (true, ready);
            if served && !engines.iter().any(|r| r.ready) {
                return false;
            }
        }
        engines.iter().all(|r| r.is_current) || engines.iter().filter(|r| r.ready).count() == 1
    }
}
