//! Short and long prompts on the same engines, at the size of current sites: 16 engines at three
//! quarters of their speed. With `--nocapture`, prints the figures used in `docs/decisions`.

#![allow(clippy::print_stdout, clippy::unwrap_used)]

mod driver;

use driver::{
    Call, World,
    engine::Engine,
    load::{Stream, mix},
};
use policy::config::{DeploymentRules, PolicyName, Weights, WorkspaceTable};

const DURATION_S: f64 = 300.0;

/// Short prompts' p99 and long prompts' p95 of the time to first token, in seconds.
#[derive(Debug, Clone, Copy)]
struct Measured {
    short: f64,
    long: f64,
}

fn calls() -> Vec<Call> {
    mix(&[Stream::short_prompts(64.0, DURATION_S), Stream::long_prompts(0.68, DURATION_S)])
}

fn run(instances: usize, weights: Weights, calls: Vec<Call>) -> World {
    let mut rules: DeploymentRules =
        serde_json::from_str(r#"{"group": "g", "kind": "engine"}"#).unwrap();
    rules.weights = weights;
    let engine = |n: usize| Engine::new(&format!("e{n:02}"), 10_000.0, 400_000);
    let engines = (1..=16).map(engine).collect();
    let policy = PolicyName::Trefoilhall;
    let world = World::with_rules(policy, instances, engines, rules, WorkspaceTable::new());
    let world = world.run(calls);
    assert_eq!(world.past_deadline(), 0);
    world
}

fn run_mixed(instances: usize, weights: Weights) -> Measured {
    let world = run(instances, weights, calls());
    let measured = Measured { short: world.ttft("short", 0.99), long: world.ttft("long", 0.95) };
    println!("{instances} instances, {weights:?}: {measured:?}");
    measured
}

fn run_alone(instances: usize) -> Measured {
    let only = |tag| calls().into_iter().filter(|call| call.tag == tag).collect::<Vec<Call>>();
    let short = run(instances, Weights::default(), only("short")).ttft("short", 0.99);
    let long = run(instances, Weights::default(), only("long")).ttft("long", 0.95);
    println!("{instances} instances, each kind alone: short {short}, long {long}");
    Measured { short, long }
}

/// The goals are at most 1.3 and 1.5 times the time without the other kind. Four instances, whose
/// views are half a second old, miss the goal for short prompts; their limit here keeps it from
/// getting worse unnoticed.
#[test]
fn both_kinds_stay_near_what_they_get_alone() {
    let (mixed_one, alone_one) = (run_mixed(1, Weights::default()), run_alone(1));
    assert!(mixed_one.short <= 1.3 * alone_one.short);
    assert!(mixed_one.long <= 1.5 * alone_one.long);
    let (mixed_four, alone_four) = (run_mixed(4, Weights::default()), run_alone(4));
    assert!(mixed_four.short <= 2.0 * alone_four.short);
    assert!(mixed_four.long <= 1.5 * alone_four.long);
}

/// One policy serves both sites: each weight improves its own kind's time at the cost of the
/// other's.
#[test]
fn each_weight_serves_its_own_kind() {
    let weights = |long_first_token, short_slowdown| Weights { long_first_token, short_slowdown };
    let long_first = run_mixed(1, weights(4.0, 1.0));
    let even = run_mixed(1, weights(1.0, 1.0));
    let short_first = run_mixed(1, weights(1.0, 4.0));
    assert!(long_first.long <= even.long && even.long <= short_first.long);
    assert!(long_first.short >= even.short && even.short >= short_first.short);
    assert!(long_first.long < short_first.long && long_first.short > short_first.short);
}
