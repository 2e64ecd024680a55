//! The load patterns, each a plan drawn from a seed.

use std::{fmt, time::Duration};

use clap::ValueEnum;
use policy::{Tokens, config::Weights};
use serde::{Deserialize, Serialize};

use crate::bench::{
    band::Band,
    load::Fault,
    plan::{Action, Plan, Planner},
};

/// Workspaces that send.
pub const WORKSPACES: usize = 10;

/// A pattern of load and faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[value(rename_all = "snake_case")]
pub enum Pattern {
    /// All lengths at four fifths of capacity.
    LongAmongShort,
    /// All but the longest, at capacity; what overload is compared with.
    Capacity,
    /// The same at twice capacity.
    Overload,
    /// A third of capacity, and twice three times capacity for a short while.
    Burst,
    /// One of ten workspaces sends ten times its share.
    HotCaller,
    /// Most calls share a prefix.
    HotKey,
    /// One engine of four becomes ten times slower.
    SlowEndpoint,
    /// One engine of four dies and stays dead.
    LostEngine,
    /// An engine dies for a while, and callers re-send at once whatever fails.
    RetryStorm,
    /// All lengths at four fifths of capacity, for several weights of the product's own policy.
    WeightsCurve,
}

impl fmt::Display for Pattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Pattern::LongAmongShort => "long_among_short",
            Pattern::Capacity => "capacity",
            Pattern::Overload => "overload",
            Pattern::Burst => "burst",
            Pattern::HotCaller => "hot_caller",
            Pattern::HotKey => "hot_key",
            Pattern::SlowEndpoint => "slow_endpoint",
            Pattern::LostEngine => "lost_engine",
            Pattern::RetryStorm => "retry_storm",
            Pattern::WeightsCurve => "weights_curve",
        })
    }
}

/// What a plan is drawn for.
#[derive(Debug, Clone, Copy)]
pub struct Scale {
    /// Prompt tokens a second of all engines together.
    pub capacity: f64,
    /// How long calls come in.
    pub span: Duration,
    /// The seed.
    pub seed: u64,
}

impl Pattern {
    /// All arrivals and faults of the pattern.
    pub fn plan(self, scale: Scale) -> Plan {
        let mut planner = Planner::new(scale.seed, WORKSPACES, scale.capacity);
        let span = scale.span;
        match self {
            Pattern::LongAmongShort | Pattern::WeightsCurve => long_among_short(&mut planner, span),
            Pattern::Capacity => mix(&mut planner, 1.0, Duration::ZERO, span),
            Pattern::Overload => mix(&mut planner, 2.0, Duration::ZERO, span),
            Pattern::Burst => burst(&mut planner, span),
            Pattern::HotCaller => hot_caller(&mut planner, span),
            Pattern::HotKey => hot_key(&mut planner, span),
            Pattern::SlowEndpoint => slow_endpoint(&mut planner, span),
            Pattern::LostEngine => lost_engine(&mut planner, span),
            Pattern::RetryStorm => retry_storm(&mut planner, span),
        }
        planner.finish()
    }

    /// The weights to try, by name; one for all patterns but the curve.
    pub fn weights(self) -> Vec<NamedWeights> {
        let named = |name: &str, long_first_token, short_slowdown| NamedWeights {
            name: name.to_owned(),
            weights: Weights { long_first_token, short_slowdown },
        };
        match self {
            Pattern::WeightsCurve => vec![
                named("long 4 : short 1", 4.0, 1.0),
                named("long 2 : short 1 (name-change desk)", 2.0, 1.0),
                named("long 1 : short 1", 1.0, 1.0),
                named("long 1 : short 2 (shopping lists)", 1.0, 2.0),
                named("long 1 : short 4", 1.0, 4.0),
            ],
            _ => vec![named("long 1 : short 1", 1.0, 1.0)],
        }
    }
}

/// Weights with the name that stands in the results.
#[derive(Debug, Clone)]
pub struct NamedWeights {
    /// The name.
    pub name: String,
    /// The weights.
    pub weights: Weights,
}

/// Calls of all lengths but the longest: of the tokens, two fifths are in short questions, one
/// fifth in case files, two fifths in dossiers.
fn mix(planner: &mut Planner, load: f64, from: Duration, to: Duration) {
    planner.stream(Band::Short, 0.4 * load, from, to);
    planner.stream(Band::Medium, 0.2 * load, from, to);
    planner.stream(Band::Long, 0.4 * load, from, to);
}

/// A million tokens are as much as all else brings in two seconds, so the longest prompts come
/// rarely: one in 16 s. What they bring is taken from the dossiers, so that all is four fifths.
fn long_among_short(planner: &mut Planner, span: Duration) {
    const LOAD: f64 = 0.8;
    let count = (span.as_secs_f64() / 16.0).round().max(1.0) as u32;
    let longest = planner.share(Band::Longest, count, span);
    planner.stream(Band::Short, 0.3, Duration::ZERO, span);
    planner.stream(Band::Medium, 0.15, Duration::ZERO, span);
    planner.stream(Band::Long, (LOAD - 0.45 - longest).max(0.1), Duration::ZERO, span);
    for number in 0..count {
        let at = span / count * number + span / count / 10;
        planner.one(Band::Longest, at, number as usize % WORKSPACES);
    }
}

fn burst(planner: &mut Planner, span: Duration) {
    mix(planner, 0.35, Duration::ZERO, span);
    for start in [span / 4, span * 5 / 8] {
        mix(planner, 3.0, start, start + span / 16);
    }
}

/// The others use 0.72 of capacity, each 0.08; the hot one sends ten times that.
fn hot_caller(planner: &mut Planner, span: Duration) {
    mix(planner, 0.8, Duration::ZERO, span);
    let before = planner.plan.arrivals.len();
    mix(planner, 0.72, Duration::ZERO, span);
    for arrival in &mut planner.plan.arrivals[before..] {
        arrival.workspace = 0;
    }
    planner.plan.hot = Some(0);
}

/// Without its cache the shared prefix alone would be 1.2 times capacity, and one engine can't
/// serve what is left of it.
fn hot_key(planner: &mut Planner, span: Duration) {
    planner.stream(Band::Medium, 1.3, Duration::ZERO, span);
    for arrival in &mut planner.plan.arrivals {
        arrival.shared = Tokens(8_192);
    }
    planner.stream(Band::Short, 0.15, Duration::ZERO, span);
    planner.stream(Band::Long, 0.1, Duration::ZERO, span);
}

fn slow_endpoint(planner: &mut Planner, span: Duration) {
    mix(planner, 0.5, Duration::ZERO, span);
    planner.plan.faults = vec![Fault { at: span / 4, action: Action::Speed(0, 0.1) }];
}

/// Half of capacity is two thirds of what is left.
fn lost_engine(planner: &mut Planner, span: Duration) {
    mix(planner, 0.5, Duration::ZERO, span);
    planner.plan.faults = vec![Fault { at: span * 2 / 5, action: Action::Kill(0) }];
}

fn retry_storm(planner: &mut Planner, span: Duration) {
    mix(planner, 0.9, Duration::ZERO, span);
    for arrival in &mut planner.plan.arrivals {
        arrival.resends = 5;
    }
    planner.plan.faults = vec![
        Fault { at: span / 4, action: Action::Kill(0) },
        Fault { at: span / 2, action: Action::Revive(0) },
    ];
}
