//! Limit of the retries that one instance adds within a sliding window.

#![allow(clippy::unwrap_used)]

use policy::{
    InstanceId, Time,
    instances::Instances,
    retry::{RetryRules, RetryWindow},
};

const RULES: RetryRules = RetryRules { share: 0.2, slack: 100.0, window_s: 10 };

/// Part of one of four instances.
const QUARTER: f64 = 0.25;

/// The window of an instance with this part of the constant allowance.
fn window_with(part: f64) -> RetryWindow {
    let mut window = RetryWindow::default();
    window.set_part(part);
    window
}

fn allowed(window: &mut RetryWindow, at: Time) -> usize {
    (0..1_000).take_while(|_| window.try_retry(&RULES, at)).count()
}

/// An engine dies under the requests of four instances at once, and each retries what it may.
/// Together they stay within the operators' limit.
#[test]
fn four_instances_stay_within_the_budget_of_all() {
    let now = Time::from_millis(25_000);
    let mut sum = 0;
    for _ in 0..4 {
        let mut window = window_with(QUARTER);
        (0..50).for_each(|_| window.record_first_attempt(now));
        sum += allowed(&mut window, now);
    }
    assert!(sum as f64 <= 0.2 * 200.0 + 100.0, "{sum}");
    assert!(sum >= 70, "{sum}");
}

#[test]
fn repeats_come_back_when_the_window_has_passed() {
    let mut window = window_with(QUARTER);
    let first = allowed(&mut window, Time::from_millis(21_000));
    assert!(first > 0);
    assert_eq!(allowed(&mut window, Time::from_millis(30_000)), 0);
    assert_eq!(allowed(&mut window, Time::from_millis(33_000)), first);
}

/// A second counts for a whole window, so no position of the sliding window over two bursts
/// contains more retries than permitted.
#[test]
fn no_span_of_a_window_holds_more() {
    let mut window = window_with(QUARTER);
    let mut times = Vec::new();
    for ms in (0..40_000).step_by(50) {
        window.record_first_attempt(Time::from_millis(ms));
        if window.try_retry(&RULES, Time::from_millis(ms)) {
            times.push(ms);
        }
    }
    for start in &times {
        let within = times.iter().filter(|ms| (*start..start + 10_000).contains(*ms)).count();
        assert!(within as f64 <= 0.2 * 200.0 + 25.0, "{within}");
    }
}

/// An instance that has just started may retry some requests before a window has passed.
#[test]
fn the_allowance_grows_from_the_start_on() {
    let per_s: Vec<_> = (1..=9)
        .map(|s| allowed(&mut window_with(QUARTER), Time::from_millis(s * 1_000 + 50)))
        .collect();
    assert_eq!(per_s, [1, 2, 3, 4, 5, 6, 7, 8, 9]);
}

/// When attempts begin to fail, and how long the first life of each instance lasts at least.
#[derive(Clone, Copy)]
struct Begin {
    failures_ms: u64,
    first_life_ms: u64,
}

/// From the first start on.
const AT_ONCE: Begin = Begin { failures_ms: 0, first_life_ms: 0 };

/// Once the first lives have the whole allowance.
const AFTER_A_WINDOW: Begin = Begin { failures_ms: 11_000, first_life_ms: 12_000 };

/// Four instances are killed and started again each `life_ms` while each request fails once.
fn restart_each(life_ms: u64, begin: Begin) {
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for _ in 0..4 {
        let mut window = window_with(QUARTER);
        let mut started = 0;
        for ms in (0..45_000).step_by(100) {
            if ms > begin.first_life_ms && ms - started >= life_ms {
                window = window_with(QUARTER);
                started = ms;
            }
            let now = Time::from_millis(ms - started);
            window.record_first_attempt(now);
            requests.push(ms);
            if ms >= begin.failures_ms && window.try_retry(&RULES, now) {
                retries.push(ms);
            }
        }
    }
    for start in &retries {
        let span = *start..start + 10_000;
        let retried = retries.iter().filter(|ms| span.contains(ms)).count();
        let requested = requests.iter().filter(|ms| span.contains(ms)).count();
        let allowed = 0.2 * requested as f64 + 100.0;
        assert!(retried as f64 <= allowed, "{retried} of {allowed} from {start} ms on");
    }
}

/// Defines one test function per named case.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body })*
    };
}

cases! {
    /// Guards against lives that spend the allowance which earlier ones have spent in the same window.
    restarted_instances_stay_within_the_budget_of_all => restart_each(3_000, AT_ONCE);

    /// The same where the first lives have spent a whole part.
    restarts_after_a_whole_window_stay_within_the_budget => restart_each(3_000, AFTER_A_WINDOW);

    /// The same where no life lasts for a second.
    instances_that_restart_again_and_again_stay_within_the_budget => restart_each(500, AFTER_A_WINDOW);

    /// The same where each life lasts for most of a window.
    instances_that_restart_once_a_window_stay_within_the_budget => restart_each(9_500, AFTER_A_WINDOW);
}

/// Part of an instance that knows `others`, hears `live_others` of them, and hears this share of all.
fn part(others: usize, live_others: usize, heard_share: f64) -> f64 {
    let own = InstanceId::new("entry-0").unwrap();
    let others: Vec<_> =
        (1..=others).map(|n| InstanceId::new(&format!("entry-{n}")).unwrap()).collect();
    Instances::new(&own, &others, live_others, heard_share).part()
}

/// Guards against instances behind a cut that each take the allowance of those they don't hear.
#[test]
fn instances_behind_a_cut_keep_their_parts() {
    assert_eq!(part(3, 3, 1.0), 0.25);
    assert_eq!(part(3, 1, 0.5), 0.25);
    assert_eq!(part(3, 0, 0.25), 0.25);
    // Started behind the cut: three addresses of others that don't answer.
    assert_eq!(part(0, 0, 0.25), 0.25);
    assert_eq!(part(0, 0, 1.0), 1.0);
}
