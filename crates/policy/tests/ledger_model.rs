//! Exhaustive search through the states of one key with two instances, concurrent calls and faults.
//!
//! Guards against a call that runs twice, and against a false "not run" for a call that ran: one
//! registration entered twice, or one reported as missing that exists. The search drives the same
//! fold and claimant as the daemon. Any instance may be delayed between any two of its steps, which
//! models a pause. The broken protocol variants must be caught; otherwise the search proves
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

/// Each case: the limits of the search, and the minimum number of states to visit.
macro_rules! runs_at_most_once {
    ($($case:ident: $limits:expr, $min_states:expr;)*) => {$(
        #[test]
        fn $case() {
            // Serialises the searches: the larger one keeps two million states, about 1 GB.
            let _turn = SEARCH_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
            let found = search(Protocol::Claim, $limits);
            println!("{} states", found.states);
            assert_eq!(found.counterexample, None);
            assert!(found.states >= $min_states, "only {} states were visited", found.states);
        }
    )*};
}

runs_at_most_once! {
    two_calls_and_two_faults: Limits { calls: 2, faults: 2 }, 1_500_000;
    three_calls_and_one_fault: Limits { calls: 3, faults: 1 }, 1_900_000;
}

/// A holder claims with a lease and pauses; the lease expires; another instance claims and runs the
/// call; the holder resumes and runs it as well.
#[test]
fn a_lease_is_caught_running_a_call_twice() {
    let trace = search(Protocol::Lease, SMALL_LIMITS).counterexample.unwrap();
    println!("{}", trace.join("\n"));
    assert!(trace.last().unwrap().contains("ran twice"), "{trace:#?}");
}

/// Two instances check concurrently, neither finds a previous run, and both run the call.
#[test]
fn check_then_run_is_caught_running_a_call_twice() {
    let trace = search(Protocol::CheckThenRun, SMALL_LIMITS).counterexample.unwrap();
    println!("{}", trace.join("\n"));
    assert!(trace.last().unwrap().contains("ran twice"), "{trace:#?}");
}

/// An instance reports "not run" before its own claim is read back, while an earlier claim of
/// another instance has run the call.
#[test]
fn saying_not_run_before_the_claim_is_read_back_is_caught() {
    let trace = search(Protocol::EarlyNotRun, SMALL_LIMITS).counterexample.unwrap();
    println!("{}", trace.join("\n"));
    assert!(trace.last().unwrap().contains("not run"), "{trace:#?}");
}
