//! Exhaustive search through everything that can happen to one key between two instances.
//!
//! What a user sees when the protocol is wrong: one registration entered twice, or "not run" for
//! an entry that stands in the register. The search drives the fold and the claimant that the
//! daemon uses. An instance may rest between any two of its steps for as long as others take
//! theirs, which is what a pause is. Both broken variants must be caught, or the search proves
//! nothing.

#[path = "ledger_model/state.rs"]
mod state;
#[path = "ledger_model/world.rs"]
mod world;

use std::{
    cell::Cell,
    sync::{Mutex, PoisonError},
};

use pathfinding::directed::bfs::bfs;
use state::Node;
use world::{Limits, Protocol, World};

struct Search {
    states: usize,
    counterexample: Option<Vec<String>>,
}

fn search(protocol: Protocol, limits: Limits) -> Search {
    let world = World::new(protocol, limits);
    let states = Cell::new(0);
    let path = bfs(
        &Node::start(),
        |node| {
            states.set(states.get() + 1);
            world.successors(node)
        },
        |node| node.state.violation.is_some(),
    );
    let counterexample = path.map(|path| path.iter().map(Node::describe).collect());
    Search { states: states.get(), counterexample }
}

static SEARCH_LOCK: Mutex<()> = Mutex::new(());

const SMALL_LIMITS: Limits = Limits { calls: 2, faults: 1 };

/// Each case: what may happen, and the least number of states that must have been looked at.
macro_rules! runs_at_most_once {
    ($($case:ident: $limits:expr, $least:expr;)*) => {$(
        #[test]
        fn $case() {
            // One at a time: the larger search keeps two million states, about 1 GB.
            let _turn = SEARCH_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
            let found = search(Protocol::Claim, $limits);
            println!("{} states", found.states);
            assert_eq!(found.counterexample, None);
            assert!(found.states >= $least, "only {} states were looked at", found.states);
        }
    )*};
}

runs_at_most_once! {
    two_calls_and_two_faults: Limits { calls: 2, faults: 2 }, 1_500_000;
    three_calls_and_one_fault: Limits { calls: 3, faults: 1 }, 1_900_000;
}

/// A holder claims with a lease, pauses, the lease lapses, another instance claims and runs, and
/// the holder wakes up and runs as well.
#[test]
fn a_lease_is_caught_running_a_call_twice() {
    let trace = search(Protocol::Lease, SMALL_LIMITS).counterexample.unwrap();
    println!("{}", trace.join("\n"));
    assert!(trace.last().unwrap().contains("ran twice"), "{trace:#?}");
}

/// Two instances look, neither sees a run, and both run.
#[test]
fn check_then_run_is_caught_running_a_call_twice() {
    let trace = search(Protocol::CheckThenRun, SMALL_LIMITS).counterexample.unwrap();
    println!("{}", trace.join("\n"));
    assert!(trace.last().unwrap().contains("ran twice"), "{trace:#?}");
}

/// A caller hears "not run" from an instance whose own claim had not been read back; the first
/// instance's claim stood before it, and had run.
#[test]
fn saying_not_run_before_the_claim_is_read_back_is_caught() {
    let trace = search(Protocol::EarlyNotRun, SMALL_LIMITS).counterexample.unwrap();
    println!("{}", trace.join("\n"));
    assert!(trace.last().unwrap().contains("not run"), "{trace:#?}");
}
