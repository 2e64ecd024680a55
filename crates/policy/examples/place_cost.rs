//! Prints the time to place one request by the number of endpoints, and the memory of the cache
//! index.
//!
//! `cargo run --release -p policy --example place_cost` prints a table for
//! `docs/decisions/placement.md` and finishes within seconds.

#![allow(clippy::print_stdout, clippy::unwrap_used)]

use std::{
    fs,
    hint::black_box,
    time::{Duration, Instant},
};

use fastrand::Rng;
use policy::{
    EndpointId, Incarnation, Time, TokenRate, Tokens,
    affinity::CacheIndex,
    health::Health,
    selection::{Candidate, SelectionRequest, choose},
};

const ROUNDS: u32 = 20_000;

fn main() {
    println!("{:>9} {:>9} {:>11} {:>10}", "endpoints", "choose", "expected 16", "standing");
    for count in [4, 20, 200] {
        let endpoints: Vec<EndpointId> =
            (0..count).map(|n| EndpointId::new(&format!("model-{n:04}")).unwrap()).collect();
        println!(
            "{count:>9} {:>6.2} us {:>8.2} us {:>7.2} us",
            time_choose(&endpoints),
            time_expected_cached(&endpoints),
            time_state(&endpoints),
        );
    }
    print_memory();
}

fn mean_micros(mut step: impl FnMut()) -> f64 {
    let started = Instant::now();
    (0..ROUNDS).for_each(|_| step());
    started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn time_choose(endpoints: &[EndpointId]) -> f64 {
    let mut rng = Rng::with_seed(1);
    let candidates: Vec<Candidate> = endpoints
        .iter()
        .map(|endpoint| Candidate {
            endpoint: endpoint.clone(),
            wait: Duration::from_millis(rng.u64(..500)),
            rate: TokenRate(20_000.0),
            cached: Tokens::ZERO,
            distance: Duration::from_millis(1),
            free: Tokens(400_000),
            shorts_running: rng.u32(..20),
            longs_running: rng.u32(..2),
            accepts_long: true,
            penalty: 1.0,
        })
        .collect();
    let request = SelectionRequest {
        unreported_work: Duration::from_millis(200),
        ..SelectionRequest::new(Tokens(2_000), false)
    };
    mean_micros(|| {
        black_box(choose(black_box(&candidates), &request, &mut rng));
    })
}

/// A prompt of 4,096 tokens, 16 blocks, that every engine has cached: the maximum number of
/// lookups.
fn time_expected_cached(endpoints: &[EndpointId]) -> f64 {
    let mut index = CacheIndex::new();
    let prefix: Vec<u64> = (0..16).collect();
    endpoints.iter().for_each(|endpoint| index.record_sent(endpoint, Incarnation(1), &prefix));
    mean_micros(|| {
        for endpoint in endpoints {
            black_box(index.expected_cached(endpoint, black_box(&prefix)));
        }
    })
}

fn time_state(endpoints: &[EndpointId]) -> f64 {
    let mut health = Health::new();
    health.configure(endpoints);
    mean_micros(|| {
        for endpoint in endpoints {
            black_box(health.state(endpoint, Time::ZERO));
        }
    })
}

fn print_memory() {
    let before = resident_kb();
    let mut index = CacheIndex::new();
    let mut rng = Rng::with_seed(1);
    for n in 0..200 {
        let endpoint = EndpointId::new(&format!("model-{n:04}")).unwrap();
        let prefix: Vec<u64> = (0..8_192).map(|_| rng.u64(..)).collect();
        index.record_sent(&endpoint, Incarnation(1), &prefix);
    }
    let (held, blocks) = (resident_kb() - before, index.len());
    println!("cache index of 200 engines: {blocks} blocks, {held} KB resident");
}

fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}
