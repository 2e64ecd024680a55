//! Load patterns, each judged by what callers receive.

mod driver;

use driver::{
    World,
    engine::Engine,
    load::{Stream, mix},
};
use policy::config::PolicyName;

fn four() -> Vec<Engine> {
    (1..=4).map(|i| Engine::new(&format!("e{i}"), 10_000.0, 400_000)).collect()
}

/// A clerk asks short questions while dossiers are reviewed on the same four engines. Behind a
/// dossier in an engine's queue a question waits ten seconds and more.
#[test]
fn short_questions_are_answered_beside_dossiers() {
    let calls = mix(&[Stream::shorts(16.0, 120.0), Stream::longs(0.16, 120.0)]);
    let served = |policy| {
        let world = World::new(policy, 1, four()).run(calls.clone());
        assert_eq!(world.past_deadline(), 0);
        world.in_time("short") as f64 / world.count("short") as f64
    };
    assert!(served(PolicyName::Trefoilhall) >= 0.999);
    assert!(served(PolicyName::RoundRobin) < 0.9);
}
