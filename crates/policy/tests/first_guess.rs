//! Long prompts on instances that have measured no engine's speed.

#![allow(clippy::unwrap_used)]

mod driver;

use driver::{Action, Call, Received, World, engine::Engine, load::Stream};
use policy::{FailCause, RequestId, config::PolicyName};

/// Tokens a second of engines that read any prompt here well in time.
const FAST: f64 = 400_000.0;

/// Tokens a second of engines that can't read the longest prompt in time.
const SLOW: f64 = 8_000.0;

/// Memory of an engine that holds each prompt alone, and of one that holds a third of the longest.
const LARGE: u64 = 4_000_000;
const SMALL: u64 = 400_000;

/// Seconds after its arrival by which a prompt that can't be served has to hear it, where another
/// one's first token gives the measure.
const TOLD_WITHIN: f64 = 1.0;

fn engines(rate: f64, memory: u64) -> Vec<Engine> {
    (0..4).map(|n| Engine::new(&format!("e{n}"), rate, memory)).collect()
}

fn prompt(id: u64, at: f64, tokens: u64, tag: &'static str) -> Call {
    let stream = Stream {
        tag,
        prompt: tokens,
        output: 20.0,
        first_token_within: 59.0,
        deadline: 60.0,
        ..Stream::shorts(1.0, 1.0)
    };
    stream.call(RequestId(id), at, 1.0)
}

fn longest(id: u64, at: f64) -> Call {
    prompt(id, at, 1_000_000, "longest")
}

fn short(id: u64, at: f64) -> Call {
    prompt(id, at, 1_000, "short")
}

fn play(instances: usize, engines: Vec<Engine>, calls: Vec<Call>) -> World {
    World::new(PolicyName::Trefoilhall, instances, engines).run(calls)
}

fn longest_of(world: &World) -> Vec<&Received> {
    world.received.values().filter(|received| received.tag == "longest").collect()
}

/// Names each case, in which every prompt can be served in time.
macro_rules! all_served {
    ($($(#[$line:meta])* $case:ident: $world:expr;)*) => {$(
        $(#[$line])*
        #[test]
        fn $case() {
            let world = $world;
            for received in world.received.values() {
                assert!(received.in_time(), "{received:?}");
            }
        }
    )*};
}

all_served! {
    /// Guards against a long prompt that is refused because a short one is under way.
    beside_a_short_one: play(1, engines(FAST, LARGE), vec![short(1, 0.0), longest(2, 0.001)]);
    /// Guards against the same for a prompt over several engines.
    beside_a_short_one_over_several_engines:
        play(1, engines(FAST, SMALL), vec![short(1, 1.5), longest(2, 1.501)]);
    /// Guards against a second long prompt that is refused because the first one is under way.
    two_on_one_instance: play(1, engines(FAST, LARGE), vec![longest(1, 0.0), longest(2, 0.001)]);
    /// Guards against the same for prompts over several engines.
    two_over_several_engines:
        play(1, engines(FAST, SMALL), vec![longest(1, 1.5), longest(2, 1.501)]);
    /// Guards against one of two instances that refuses because of what the other one placed.
    two_on_two_instances:
        play(2, engines(FAST, SMALL), vec![longest(1, 1.5), longest(2, 1.501), short(3, 1.5)]);
    /// Guards against speeds of replaced engines by which prompts are refused on faster ones.
    on_engines_that_replaced_slow_ones: {
        let mut world = World::new(PolicyName::Trefoilhall, 1, engines(SLOW, LARGE));
        for engine in 0..4 {
            world = world
                .at(2.0, Action::Die(engine))
                .at(2.1, Action::Rate(engine, FAST))
                .at(2.2, Action::Restart(engine));
        }
        world.run(vec![short(1, 0.0), short(2, 3.0), longest(3, 3.001), longest(4, 3.002)])
    };
}

/// Guards against a herd of long prompts on engines that turn out to be slow: one tries them.
#[test]
fn one_long_prompt_at_a_time_tries_unmeasured_engines() {
    let calls = (0..10).map(|id| longest(id, 0.0)).collect();
    let world = play(1, engines(SLOW, LARGE), calls);
    let started = longest_of(&world).iter().filter(|received| received.starts > 0).count();
    assert_eq!(started, 1);
}

/// Guards against callers that wait for their deadlines although a measure says that it is in vain.
#[test]
fn those_that_cannot_be_served_hear_it_with_the_first_measure() {
    let calls = [short(20, 0.0)].into_iter().chain((0..10).map(|id| longest(id, 0.001))).collect();
    let world = play(1, engines(SLOW, LARGE), calls);
    let waiting = longest_of(&world).into_iter().filter(|received| received.starts == 0);
    for received in waiting {
        let (at, cause) = received.failed.unwrap();
        assert_eq!(cause, FailCause::TooLate);
        assert!(at.since(received.arrived).as_secs_f64() < TOLD_WITHIN, "{received:?}");
    }
}

/// Guards against trials that go on once speeds are measured.
#[test]
fn measured_speeds_refuse_at_once() {
    let calls = vec![short(1, 0.0), longest(2, 2.0), short(3, 2.5), longest(4, 2.501)];
    let world = play(1, engines(SLOW, LARGE), calls);
    assert!(world.received[&RequestId(4)].refused.is_some());
}
