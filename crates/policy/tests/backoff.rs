//! How often a failed store is retried.

use std::time::Duration;

use fastrand::Rng;
use policy::backoff::{Backoff, MAX_BACKOFF, MAX_BACKOFF_PER_INSTANCE};

const OUTAGE: Duration = Duration::from_secs(8);

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

/// Attempts of `instances` in each of `data_centres` while the store is down. The first instance of
/// each data centre retries as if it were alone.
fn attempts(data_centres: usize, instances: usize) -> usize {
    let mut rng = Rng::with_seed(7);
    let mut attempts = 0;
    for instance in 0..data_centres * instances {
        let is_first = instance % instances == 0;
        let sharing = if is_first { 1 } else { instances };
        let mut backoff = Backoff::default();
        let mut at = Duration::ZERO;
        while at < OUTAGE {
            attempts += 1;
            at += backoff.record_failure(sharing, &mut rng);
        }
    }
    attempts
}

cases! {
    /// Guards against a retry storm: beyond a few instances per data centre, more instances add
    /// hardly any attempts.
    tries_grow_with_data_centres => || {
        let small = attempts(5, 6);
        let large = attempts(5, 24);
        assert!(large < 2 * small, "{small} tries of 30 instances, {large} of 120");
        assert!(large < 600, "{large} tries of 120 instances in {OUTAGE:?}");
    };

    /// Guards against instances that fail together and retry together.
    tries_are_spread => || {
        let mut rng = Rng::with_seed(3);
        let mut backoff_after_two = || {
            let mut backoff = Backoff::default();
            backoff.record_failure(24, &mut rng);
            backoff.record_failure(24, &mut rng)
        };
        let backoffs: Vec<_> = (0..100).map(|_| backoff_after_two()).collect();
        let cap = (MAX_BACKOFF_PER_INSTANCE * 24).min(MAX_BACKOFF);
        for quarter in 0..4 {
            let (from, to) = (cap * quarter / 4, cap * (quarter + 1) / 4);
            let within = backoffs.iter().filter(|backoff| (from..to).contains(*backoff)).count();
            assert!(within > 10, "{within} of 100 in quarter {quarter}");
        }
    };

    /// Guards against a single disconnected instance that notices the store's recovery late.
    a_single_instance_retries_often => || {
        let mut rng = Rng::with_seed(5);
        let mut backoff = Backoff::default();
        assert!((0..1_000).all(|_| backoff.record_failure(1, &mut rng) <= MAX_BACKOFF_PER_INSTANCE));
    };
}
