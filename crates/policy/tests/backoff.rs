//! How often a source that fails is tried.

use std::time::Duration;

use fastrand::Rng;
use policy::backoff::{Backoff, MAX_BACKOFF, MAX_BACKOFF_PER_INSTANCE};

const OUTAGE: Duration = Duration::from_secs(8);

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

/// Tries of `instances` in each of `data_centres` while nothing answers; the first of each data centre
/// retries as if it were alone.
fn tries(data_centres: usize, instances: usize) -> usize {
    let mut rng = Rng::with_seed(7);
    let mut tries = 0;
    for instance in 0..data_centres * instances {
        let is_first = instance % instances == 0;
        let sharers = if is_first { 1 } else { instances };
        let mut backoff = Backoff::default();
        let mut at = Duration::ZERO;
        while at < OUTAGE {
            tries += 1;
            at += backoff.failed(sharers, &mut rng);
        }
    }
    tries
}

cases! {
    /// Guards against a retry storm: instances beyond a few a data centre add hardly any tries.
    tries_grow_with_data_centres => || {
        let small = tries(5, 6);
        let large = tries(5, 24);
        assert!(large < 2 * small, "{small} tries of 30 instances, {large} of 120");
        assert!(large < 600, "{large} tries of 120 instances in {OUTAGE:?}");
    };

    /// Guards against instances that fail together and come back together.
    tries_are_spread => || {
        let mut rng = Rng::with_seed(3);
        let mut wait = || {
            let mut backoff = Backoff::default();
            backoff.failed(24, &mut rng);
            backoff.failed(24, &mut rng)
        };
        let waits: Vec<_> = (0..100).map(|_| wait()).collect();
        let cap = (MAX_BACKOFF_PER_INSTANCE * 24).min(MAX_BACKOFF);
        for quarter in 0..4 {
            let (from, to) = (cap * quarter / 4, cap * (quarter + 1) / 4);
            let within = waits.iter().filter(|wait| (from..to).contains(*wait)).count();
            assert!(within > 10, "{within} of 100 in quarter {quarter}");
        }
    };

    /// Guards against an instance that is cut off alone and learns late of the source's return.
    alone_it_is_tried_often => || {
        let mut rng = Rng::with_seed(5);
        let mut backoff = Backoff::default();
        assert!((0..1_000).all(|_| backoff.failed(1, &mut rng) <= MAX_BACKOFF_PER_INSTANCE));
    };
}
