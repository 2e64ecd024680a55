//! Prints how long a placement takes, by the number of engines and the length of the prompt.
//!
//! Run it with `cargo run --release -p policy --example arrange_cost`.

#![allow(clippy::print_stdout, clippy::unwrap_used)]

#[path = "../tests/arranging/mod.rs"]
mod arranging;

use std::{collections::VecDeque, time::Instant};

use policy::{
    Fingerprint, Time,
    placement::{GroupScheduler, JobId, PlacementRequest, PlacementRules},
    routes::EngineRules,
};

/// Number of placements measured in each setting.
const MEASURED_PLACEMENTS: usize = 400;

/// Questions that are decoded on each engine meanwhile.
const DECODING_PER_ENGINE: usize = 3;

/// Microseconds between two questions on one engine.
const ARRIVAL_INTERVAL_US: u64 = 500_000;

fn main() {
    println!("engines  prompt   median us   p99 us");
    for engines in [20, 54, 135, 1_000, 3_600] {
        for prompt in [5_000, 45_000, 220_000] {
            let (median, p99) = measure(engines, prompt);
            println!("{engines:7} {prompt:7} {median:11.1} {p99:8.1}");
        }
    }
}

/// Median and 99th percentile in microseconds, while questions are decoded on all engines.
fn measure(engines: usize, prompt: u64) -> (f64, f64) {
    let mut scheduler = scheduler(engines);
    let mut decoding: VecDeque<JobId> = VecDeque::new();
    let mut took = Vec::with_capacity(MEASURED_PLACEMENTS);
    let step = ARRIVAL_INTERVAL_US / engines as u64;
    for index in 0..(DECODING_PER_ENGINE * engines + MEASURED_PLACEMENTS) as u64 {
        let now = Time(1_000_000 + index * step.max(1));
        if let Ok(placed) = scheduler.place(&request(5_000, index), now) {
            scheduler.record_first_event(placed.job, now);
            decoding.push_back(placed.job);
        }
        if decoding.len() > DECODING_PER_ENGINE * engines {
            let oldest = decoding.pop_front().unwrap();
            scheduler.finish(oldest, None, now);
        }
        if index < (DECODING_PER_ENGINE * engines) as u64 {
            continue;
        }
        let started = Instant::now();
        let placed = scheduler.place(&request(prompt, u64::MAX - index), now);
        took.push(started.elapsed().as_secs_f64() * 1e6);
        if let Ok(placed) = placed {
            scheduler.finish(placed.job, None, now);
        }
    }
    took.sort_by(f64::total_cmp);
    (took[took.len() / 2], took[took.len() * 99 / 100])
}

fn scheduler(engines: usize) -> GroupScheduler {
    let engine = EngineRules {
        slots: 12,
        memory_tokens: 315_000,
        stride: 57,
        chunk_tokens: 2_048,
        step_ms: 0.85,
        step_ms_per_request: 0.00425,
        step_ms_per_1k_context: 0.00285,
        read_tokens_per_ms: 177.0,
        read_ms_per_1m_pairs: 0.184,
        usual_context: 13_000,
        max_helpers: 16,
    };
    arranging::scheduler(engines, engine, PlacementRules::default(), 1)
}

fn request(prompt: u64, index: u64) -> PlacementRequest {
    PlacementRequest { fingerprint: Fingerprint(u128::from(index)), ..arranging::request(prompt) }
}
