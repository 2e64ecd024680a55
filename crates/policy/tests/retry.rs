//! Retry budgets limit retries to a share of successes, and the back-off is bounded.

// Clippy exempts test functions from this lint, but not their helpers.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use fastrand::Rng;
use policy::{
    EndpointId, Time, Workspace,
    retry::{Hedge, INITIAL_BUDGET_UNITS, MAX_BACKOFF, MAX_BUDGET_UNITS, RetryBudgets, backoff},
};

fn workspace(name: &str) -> Workspace {
    Workspace::new(name).unwrap()
}

fn endpoint(name: &str) -> EndpointId {
    EndpointId::new(name).unwrap()
}

/// Guards against a retry storm: one engine of four fails, each of its requests is sent three more
/// times, and the other three engines, close to their limit before, serve no requests in time.
#[test]
fn an_outage_gets_the_allowance_and_then_a_tenth_of_successes() {
    let mut budgets = RetryBudgets::new(0.1);
    let (caller, failing, good) = (workspace("desk"), endpoint("e0"), endpoint("e1"));
    let now = Time::ZERO;
    let burst = (0..1_000).filter(|_| budgets.try_spend(&caller, &failing, now)).count();
    assert_eq!(burst, INITIAL_BUDGET_UNITS as usize);
    let retried = (0..1_000)
        .filter(|_| {
            budgets.record_success(&caller, &good, now);
            budgets.record_success(&caller, &failing, now);
            budgets.try_spend(&caller, &failing, now)
        })
        .count();
    assert!((95..=100).contains(&retried), "{retried}");
}

#[test]
fn a_hot_workspace_does_not_spend_the_others_budget() {
    let mut budgets = RetryBudgets::new(0.1);
    for n in 0..100 {
        budgets.try_spend(&workspace("hot"), &endpoint(&format!("e{n}")), Time::ZERO);
    }
    assert!(!budgets.try_spend(&workspace("hot"), &endpoint("e"), Time::ZERO));
    assert!(budgets.try_spend(&workspace("quiet"), &endpoint("e"), Time::ZERO));
}

#[test]
fn successes_do_not_save_up_for_a_storm() {
    let mut budgets = RetryBudgets::new(0.1);
    let (caller, target) = (workspace("desk"), endpoint("e0"));
    (0..100_000).for_each(|_| budgets.record_success(&caller, &target, Time::ZERO));
    let burst = (0..1_000).filter(|_| budgets.try_spend(&caller, &target, Time::ZERO)).count();
    assert_eq!(burst, MAX_BUDGET_UNITS as usize);
}

#[test]
fn backoff_spreads_over_a_span_that_doubles_up_to_a_bound() {
    let mut rng = Rng::with_seed(3);
    let mut longest = |attempt| (0..1_000).map(|_| backoff(attempt, &mut rng)).max().unwrap();
    assert!(longest(2) <= Duration::from_millis(20));
    assert!(longest(4) > Duration::from_millis(60) && longest(4) <= Duration::from_millis(80));
    assert!(longest(u32::MAX) <= MAX_BACKOFF);
}

#[test]
fn nothing_is_hedged_unless_asked_for() {
    let long = Duration::from_secs(100);
    assert!(!Hedge::default().is_due(long, true));
    assert!(!Hedge::IdleAfter(Duration::from_secs(1)).is_due(long, false));
    assert!(Hedge::IdleAfter(Duration::from_secs(1)).is_due(long, true));
}
