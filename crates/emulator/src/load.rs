//! Callers and their bursts, drawn from a seed.

use fastrand::Rng;

use crate::spec::{RequestKind, SiteSpec};

/// A request as its caller sends it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Call {
    /// When, in milliseconds.
    pub at_ms: f64,
    /// Index of its kind.
    pub kind: usize,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Events of its answer.
    pub events: u32,
    /// The instance that it comes to.
    pub instance: usize,
}

/// All calls of a run, in the order of their times.
pub fn calls(spec: &SiteSpec, seed: u64) -> Vec<Call> {
    let mut rng = Rng::with_seed(seed);
    let mut calls = Vec::new();
    for (index, kind) in spec.kinds.iter().enumerate() {
        let highest = highest_rate(spec, kind);
        let mut at_s = 0.0;
        if highest <= 0.0 {
            continue;
        }
        loop {
            at_s -= (1.0 - rng.f64()).ln() / highest;
            if at_s >= spec.seconds {
                break;
            }
            // Thinned down from the highest rate to that of the moment.
            if rng.f64() * highest <= rate(spec, kind, at_s) {
                calls.push(call(spec, index, at_s, &mut rng));
            }
        }
    }
    calls.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    calls
}

fn call(spec: &SiteSpec, index: usize, at_s: f64, rng: &mut Rng) -> Call {
    let kind = &spec.kinds[index];
    let prompt = skewed(kind.prompt, kind.spread, rng).clamp(1.0, kind.longest);
    let events = skewed(kind.events, 0.6, rng).clamp(1.0, 2.5 * kind.events);
    Call {
        at_ms: at_s * 1000.0,
        kind: index,
        prompt: prompt as u64,
        events: events as u32,
        instance: rng.usize(..spec.instances),
    }
}

/// Requests of a kind a second at a moment.
fn rate(spec: &SiteSpec, kind: &RequestKind, at_s: f64) -> f64 {
    let during = |burst: &&crate::spec::Burst| {
        burst.kind == kind.name && (burst.from_s..burst.from_s + burst.for_s).contains(&at_s)
    };
    let times: f64 = spec.bursts.iter().filter(during).map(|burst| burst.times).product();
    kind.per_s * times
}

fn highest_rate(spec: &SiteSpec, kind: &RequestKind) -> f64 {
    let starts = spec.bursts.iter().map(|burst| burst.from_s);
    starts.chain([0.0]).map(|at_s| rate(spec, kind, at_s)).fold(kind.per_s, f64::max)
}

/// A length with a long tail, of this mean.
fn skewed(mean: f64, spread: f64, rng: &mut Rng) -> f64 {
    let normal = (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos();
    mean * (spread * normal - spread * spread / 2.0).exp()
}
