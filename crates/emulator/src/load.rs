//! Generates the calls of a run from a seed: a Poisson process per kind, with bursts.

use fastrand::Rng;

use crate::spec::{RequestKind, SiteSpec};

/// A request as its caller sends it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Call {
    /// Time of arrival, in milliseconds from the start.
    pub at_ms: f64,
    /// Index of its kind in [`SiteSpec::kinds`].
    pub kind: usize,
    /// Length of its prompt, in tokens.
    pub prompt: u64,
    /// Number of events of its answer.
    pub events: u32,
    /// Index of the instance that receives it.
    pub instance: usize,
}

/// Generates all calls of a run, in the order of their arrival.
pub fn generate_calls(spec: &SiteSpec, seed: u64) -> Vec<Call> {
    let mut rng = Rng::with_seed(seed);
    let mut calls = Vec::new();
    for (index, kind) in spec.kinds.iter().enumerate() {
        let max_rate_per_s = max_rate(spec, kind);
        let mut at_s = 0.0;
        if max_rate_per_s <= 0.0 {
            continue;
        }
        loop {
            at_s -= (1.0 - rng.f64()).ln() / max_rate_per_s;
            if at_s >= spec.seconds {
                break;
            }
            // Thinning: arrivals at the maximum rate are accepted in proportion to the current
            // rate.
            if rng.f64() * max_rate_per_s <= rate(spec, kind, at_s) {
                calls.push(call(spec, index, at_s, &mut rng));
            }
        }
    }
    calls.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    calls
}

fn call(spec: &SiteSpec, index: usize, at_s: f64, rng: &mut Rng) -> Call {
    let kind = &spec.kinds[index];
    let prompt = log_normal(kind.prompt, kind.spread, rng).clamp(1.0, kind.longest);
    let events = log_normal(kind.events, 0.6, rng).clamp(1.0, 2.5 * kind.events);
    Call {
        at_ms: at_s * 1000.0,
        kind: index,
        prompt: prompt as u64,
        events: events as u32,
        instance: rng.usize(..spec.instances),
    }
}

/// Requests of a kind per second at the time `at_s`.
fn rate(spec: &SiteSpec, kind: &RequestKind, at_s: f64) -> f64 {
    let is_active = |burst: &&crate::spec::Burst| {
        burst.kind == kind.name && (burst.from_s..burst.from_s + burst.for_s).contains(&at_s)
    };
    let factor: f64 = spec.bursts.iter().filter(is_active).map(|burst| burst.times).product();
    kind.per_s * factor
}

fn max_rate(spec: &SiteSpec, kind: &RequestKind) -> f64 {
    let starts = spec.bursts.iter().map(|burst| burst.from_s);
    starts.chain([0.0]).map(|at_s| rate(spec, kind, at_s)).fold(kind.per_s, f64::max)
}

/// Draws from a log-normal distribution with this mean, by the Box-Muller transform; `spread` is
/// the standard deviation of the logarithm.
fn log_normal(mean: f64, spread: f64, rng: &mut Rng) -> f64 {
    let normal = (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos();
    mean * (spread * normal - spread * spread / 2.0).exp()
}
