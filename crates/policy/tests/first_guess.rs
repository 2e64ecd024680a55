//! Long prompts on instances that haven't measured the speed of any engine.

#![allow(clippy::unwrap_used)]

mod driver;

use driver::{Action, Call, CallResult, World, engine::Engine, load::Stream};
use policy::{FailCause, RequestId, config::PolicyName};

/// Prefill rate, in tokens per second, of engines that serve any prompt here well in time.
const FAST_RATE: f64 = 400_000.0;

/// Prefill rate, in tokens per second, of engines that can't serve the longest prompt in time.
const SLOW_RATE: f64 = 8_000.0;

/// Memory in tokens of an engine that can hold any prompt alone, and of one that can hold only a
/// third of the longest.
const LARGE_MEMORY: u64 = 4_000_000;
const SMALL_MEMORY: u64 = 400_000;

/// Seconds after its arrival within which a prompt that can't be served has to fail, if another
/// prompt's first token gives the measurement.
const MAX_FAILURE_DELAY_S: f64 = 1.0;

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
        ..Stream::short_prompts(1.0, 1.0)
    };
    stream.call(RequestId(id), at, 1.0)
}

fn longest(id: u64, at: f64) -> Call {
    prompt(id, at, 1_000_000, "longest")
}

fn short(id: u64, at: f64) -> Call {
    prompt(id, at, 1_000, "short")
}

fn run(instances: usize, engines: Vec<Engine>, calls: Vec<Call>) -> World {
    World::new(PolicyName::Trefoilhall, instances, engines).run(calls)
}

fn longest_of(world: &World) -> Vec<&CallResult> {
    world.received.values().filter(|received| received.tag == "longest").collect()
}

/// Generates a test per case; in each case, every prompt can be served in time.
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
    /// Guards against refusing a long prompt because a short one is in flight.
    beside_a_short_one:
        run(1, engines(FAST_RATE, LARGE_MEMORY), vec![short(1, 0.0), longest(2, 0.001)]);
    /// The same for a prompt over several engines.
    beside_a_short_one_over_several_engines:
        run(1, engines(FAST_RATE, SMALL_MEMORY), vec![short(1, 1.5), longest(2, 1.501)]);
    /// Guards against refusing a second long prompt because the first one is in flight.
    two_on_one_instance:
        run(1, engines(FAST_RATE, LARGE_MEMORY), vec![longest(1, 0.0), longest(2, 0.001)]);
    /// The same for prompts over several engines.
    two_over_several_engines:
        run(1, engines(FAST_RATE, SMALL_MEMORY), vec![longest(1, 1.5), longest(2, 1.501)]);
    /// Guards against an instance that refuses a prompt because of what the other instance placed.
    two_on_two_instances:
        run(
            2,
            engines(FAST_RATE, SMALL_MEMORY),
            vec![longest(1, 1.5), longest(2, 1.501), short(3, 1.5)],
        );
    /// Guards against refusing prompts by the measured speeds of engines that were replaced by
    /// faster ones.
    on_engines_that_replaced_slow_ones: {
        let mut world = World::new(PolicyName::Trefoilhall, 1, engines(SLOW_RATE, LARGE_MEMORY));
        for engine in 0..4 {
            world = world
                .at(2.0, Action::Die(engine))
                .at(2.1, Action::Rate(engine, FAST_RATE))
                .at(2.2, Action::Restart(engine));
        }
        world.run(vec![short(1, 0.0), short(2, 3.0), longest(3, 3.001), longest(4, 3.002)])
    };
}

/// Guards against a thundering herd of long prompts on engines that turn out to be slow: only one
/// prompt may be sent before their speed is measured.
#[test]
fn one_long_prompt_at_a_time_tries_unmeasured_engines() {
    let calls = (0..10).map(|id| longest(id, 0.0)).collect();
    let world = run(1, engines(SLOW_RATE, LARGE_MEMORY), calls);
    let started = longest_of(&world).iter().filter(|received| received.starts > 0).count();
    assert_eq!(started, 1);
}

/// Guards against callers that wait until their deadline although a measured speed already shows
/// that they can't be served.
#[test]
fn those_that_cannot_be_served_hear_it_with_the_first_measure() {
    let calls = [short(20, 0.0)].into_iter().chain((0..10).map(|id| longest(id, 0.001))).collect();
    let world = run(1, engines(SLOW_RATE, LARGE_MEMORY), calls);
    let waiting = longest_of(&world).into_iter().filter(|received| received.starts == 0);
    for received in waiting {
        let (at, cause) = received.failed.unwrap();
        assert_eq!(cause, FailCause::TooLate);
        assert!(at.since(received.arrived).as_secs_f64() < MAX_FAILURE_DELAY_S, "{received:?}");
    }
}

/// Guards against further trials after speeds have been measured.
#[test]
fn measured_speeds_refuse_at_once() {
    let calls = vec![short(1, 0.0), longest(2, 2.0), short(3, 2.5), longest(4, 2.501)];
    let world = run(1, engines(SLOW_RATE, LARGE_MEMORY), calls);
    assert!(world.received[&RequestId(4)].refused.is_some());
}
