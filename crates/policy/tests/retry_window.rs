//! Limit of the retries that one instance adds within a sliding window.

use policy::{
    Time,
    retry::{RetryRules, RetryWindow},
};

const RULES: RetryRules = RetryRules { share: 0.2, slack: 100.0, window_s: 10 };

fn allowed(window: &mut RetryWindow, instances: usize, at: Time) -> usize {
    (0..1_000).take_while(|_| window.try_retry(&RULES, instances, at)).count()
}

/// An engine dies under the requests of four instances at once, and each retries what it may.
/// Together they stay within the operators' limit.
#[test]
fn four_instances_stay_within_the_budget_of_all() {
    let now = Time::from_millis(5_000);
    let mut sum = 0;
    for _ in 0..4 {
        let mut window = RetryWindow::default();
        (0..50).for_each(|_| window.record_first_attempt(now));
        sum += allowed(&mut window, 4, now);
    }
    assert!(sum as f64 <= 0.2 * 200.0 + 100.0, "{sum}");
    assert!(sum >= 70, "{sum}");
}

#[test]
fn repeats_come_back_when_the_window_has_passed() {
    let mut window = RetryWindow::default();
    let first = allowed(&mut window, 4, Time::from_millis(1_000));
    assert!(first > 0);
    assert_eq!(allowed(&mut window, 4, Time::from_millis(10_000)), 0);
    assert_eq!(allowed(&mut window, 4, Time::from_millis(13_000)), first);
}

/// A second counts for a whole window, so no position of the sliding window over two bursts
/// contains more retries than permitted.
#[test]
fn no_span_of_a_window_holds_more() {
    let mut window = RetryWindow::default();
    let mut times = Vec::new();
    for ms in (0..40_000).step_by(50) {
        window.record_first_attempt(Time::from_millis(ms));
        if window.try_retry(&RULES, 4, Time::from_millis(ms)) {
            times.push(ms);
        }
    }
    for start in &times {
        let within = times.iter().filter(|ms| (*start..start + 10_000).contains(*ms)).count();
        assert!(within as f64 <= 0.2 * 200.0 + 25.0, "{within}");
    }
}

/// Number of times that an instance is started in the test below, and the time between.
const LIVES: u64 = 5;
const LIFE_MS: u64 = 3_000;

/// Four instances are killed and started again every few seconds while each request fails once.
/// Guards against lives that spend the allowance which earlier ones have spent in the same window.
#[test]
fn restarted_instances_stay_within_the_budget_of_all() {
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for _ in 0..4 {
        for life in 0..LIVES {
            let mut window = RetryWindow::default();
            for ms in (life * LIFE_MS..(life + 1) * LIFE_MS).step_by(100) {
                let now = Time::from_millis(ms);
                window.record_first_attempt(now);
                requests.push(ms);
                if window.try_retry(&RULES, 4, now) {
                    retries.push(ms);
                }
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
