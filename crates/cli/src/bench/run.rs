//! One pattern under one policy, with the runs it is compared with.

use std::time::Duration;

use indexmap::IndexMap;
use policy::{
    TokenRate, Tokens,
    config::{PolicyName, Weights},
};
use standin::{EngineConfig, EngineStats};

use crate::{
    bench::{
        band::Band,
        load::{Sample, drive},
        options::BenchOptions,
        pattern::{NamedWeights, Pattern, Scale, WORKSPACES},
        plan::{Plan, Planner, engine_capacity},
        result::{BandStats, BenchResult, Fate, Served, fairness},
    },
    error::CliResult,
    fleet::{Fleet, FleetPlan},
};

/// Engines of the bench. With four, losing one removes a large share, as at the users' sites.
pub(super) const ENGINES: usize = 4;
/// Daemon instances.
pub(super) const INSTANCES: usize = 2;
/// Threads of each instance; callers and engines need the other cores.
const THREADS: usize = 2;
/// Short calls sent before the timed part, so that a policy that learns speeds has learned them.
const WARM_UP: u64 = 24;

/// The engine of the bench: a million tokens take 10.7 s and three engines' memory, a thousand 10.3
/// ms. On faster ones even prompts of ten thousand tokens would be done in less time than a person
/// notices, and nothing would be long beside anything.
pub(super) fn engine() -> EngineConfig {
    EngineConfig {
        kv_total: Tokens(400_000),
        prefill_rate: TokenRate(100_000.0),
        chunk: Tokens(1_024),
        step_cost: Duration::from_micros(500),
        decode_cost: Duration::from_micros(10),
        ..EngineConfig::default()
    }
}

/// Prompt tokens a second of all engines together.
pub(super) fn capacity() -> f64 {
    engine_capacity(&engine()) * ENGINES as f64
}

/// The samples of one run and what the engines did.
struct Run {
    samples: Vec<Sample>,
    engines: EngineTotals,
    ran_though_refused: u64,
}

/// What all engines did together.
#[derive(Debug, Clone, Copy, Default)]
struct EngineTotals {
    prefilled: Tokens,
    wasted: Tokens,
}

impl EngineTotals {
    fn of(fleet: &Fleet) -> EngineTotals {
        let stats: Vec<EngineStats> = fleet.engines.iter().map(|engine| engine.stats()).collect();
        EngineTotals {
            prefilled: stats.iter().map(|stats| stats.prefilled).sum(),
            wasted: stats.iter().map(|stats| stats.wasted).sum(),
        }
    }
}

/// Runs a pattern: the short calls alone, where wanted the long ones alone, then all of them.
pub(super) fn measure(
    pattern: Pattern,
    policy: PolicyName,
    opts: &BenchOptions,
) -> CliResult<Vec<BenchResult>> {
    let scale = Scale { capacity: capacity(), span: opts.span, seed: opts.seed };
    let plan = pattern.plan(scale);
    let mut results = Vec::new();
    for NamedWeights { name, weights } in pattern.weights() {
        let short_alone = run(&plan.only(|band| band == Band::Short), policy, weights)?;
        let short_alone = short_p99(&short_alone.samples);
        let long_alone = match pattern {
            Pattern::LongAmongShort | Pattern::WeightsCurve => {
                run(&plan.only(Band::is_long), policy, weights)?.samples
            }
            _ => Vec::new(),
        };
        let run = run(&plan, policy, weights)?;
        let mut result = summarise(&run, &plan, opts.span);
        (result.pattern, result.policy, result.setting) = (pattern, policy, name);
        result.short_slowdown = ratio(result.short_ttft_p99_ms, short_alone);
        result.long_slowdown = long_slowdown(&run.samples, &long_alone);
        results.push(result);
    }
    Ok(results)
}

fn run(plan: &Plan, policy: PolicyName, weights: Weights) -> CliResult<Run> {
    let fleet = Fleet::start(&FleetPlan {
        engines: vec![engine(); ENGINES],
        instances: INSTANCES,
        threads: THREADS,
        workspaces: WORKSPACES,
        policy,
        weights,
    })?;
    drive(&fleet, warm_up(), Vec::new(), || ());
    let before = EngineTotals::of(&fleet);
    let samples = drive(&fleet, plan.calls(), plan.faults.clone(), || ());
    let after = EngineTotals::of(&fleet);
    let ran_though_refused = samples.iter().filter(|sample| said_not_run_but_ran(sample, &fleet));
    let ran_though_refused = ran_though_refused.count() as u64;
    fleet.close();
    let engines = EngineTotals {
        prefilled: after.prefilled - before.prefilled,
        wasted: after.wasted - before.wasted,
    };
    Ok(Run { samples, engines, ran_though_refused })
}

fn warm_up() -> Vec<crate::bench::load::Call> {
    const PAUSE: Duration = Duration::from_millis(10);
    let mut planner = Planner::new(u64::from(u32::MAX), WORKSPACES, 1.0);
    for number in 0..WARM_UP {
        planner.one(Band::Short, PAUSE * number as u32, number as usize % WORKSPACES);
    }
    planner.finish().calls()
}

/// Every reply said that the call wasn't run, yet an engine began to run it. A call sent again
/// counts only if none of its replies leaves room for a run.
fn said_not_run_but_ran(sample: &Sample, fleet: &Fleet) -> bool {
    let fingerprint = sample.call.fingerprint;
    sample.not_run == sample.sends
        && fleet.engines.iter().any(|engine| engine.runs_of(fingerprint) > 0)
}

fn summarise(run: &Run, plan: &Plan, span: Duration) -> BenchResult {
    let samples = &run.samples;
    let count = |fate| samples.iter().filter(|sample| sample.fate() == fate).count() as u64;
    let (finished_in_time, failed) = (count(Fate::InTime), count(Fate::Failed));
    let mut others = Served::default();
    let without_hot = samples.iter().filter(|sample| Some(sample.call.workspace) != plan.hot);
    without_hot.for_each(|sample| others.add(sample));
    let bands: IndexMap<Band, BandStats> = Band::ALL
        .into_iter()
        .filter_map(|band| Some((band, BandStats::of(of_band(samples, band))?)))
        .collect();
    let worst = bands.values().filter(|band| band.admitted > 0).map(|band| band.worst_ms);
    BenchResult {
        pattern: Pattern::LongAmongShort,
        policy: PolicyName::default(),
        setting: String::new(),
        short_ttft_p99_ms: short_p99(samples),
        short_slowdown: None,
        long_ttft_p95_ms: long_p95(samples),
        long_slowdown: None,
        worst_ttft_ms: worst.max_by(f64::total_cmp),
        offered: samples.len() as u64,
        admitted: finished_in_time + failed,
        finished_in_time,
        refused: count(Fate::Refused),
        failed,
        ended_late: samples.iter().filter(|sample| sample.is_late()).count() as u64,
        wrong_answers: samples.iter().filter(|s| s.reply.ended && !s.reply.whole).count() as u64,
        refused_not_run_but_ran: run.ran_though_refused,
        sends: samples.iter().map(|sample| u64::from(sample.sends)).sum(),
        prefilled_tokens: run.engines.prefilled.0,
        wasted_prefill_tokens: run.engines.wasted.0,
        goodput_tokens_per_s: goodput(samples, span),
        fairness: fairness(samples, plan.hot),
        others_served: others.share(),
        bands,
    }
}

/// Prompt tokens of calls that finished in time, for each second that calls came in. Those that
/// finished after that don't count: at twice capacity the engines work on for seconds, and counting
/// that work would show more goodput than the engines can give.
fn goodput(samples: &[Sample], span: Duration) -> f64 {
    let in_time = samples.iter().filter(|sample| sample.fate() == Fate::InTime);
    let by_then = in_time.filter(|sample| sample.call.at + sample.total <= span);
    let tokens: Tokens = by_then.map(|sample| sample.call.prompt.tokens).sum();
    tokens.0 as f64 / span.as_secs_f64()
}

fn of_band(samples: &[Sample], band: Band) -> impl Iterator<Item = &Sample> + Clone {
    samples.iter().filter(move |sample| sample.call.band == band)
}

fn short_p99(samples: &[Sample]) -> Option<f64> {
    let stats = BandStats::of(of_band(samples, Band::Short))?;
    (stats.admitted > 0).then_some(stats.p99_ms)
}

fn long_p95(samples: &[Sample]) -> Option<f64> {
    let long = samples.iter().filter(|sample| sample.call.band.is_long());
    let stats = BandStats::of(long)?;
    (stats.admitted > 0).then_some(stats.p95_ms)
}

/// The largest slowdown at p95 of the bands of long prompts, each over the same band alone. Taken
/// together, the few longest would hide what happens to the others.
fn long_slowdown(samples: &[Sample], alone: &[Sample]) -> Option<f64> {
    let slowdown = |band: Band| {
        let beside = BandStats::of(of_band(samples, band)).filter(|stats| stats.admitted > 0)?;
        let alone = BandStats::of(of_band(alone, band)).filter(|stats| stats.admitted > 0)?;
        ratio(Some(beside.p95_ms), Some(alone.p95_ms))
    };
    let long = Band::ALL.into_iter().filter(|band| band.is_long());
    long.filter_map(slowdown).max_by(f64::total_cmp)
}

fn ratio(value: Option<f64>, of: Option<f64>) -> Option<f64> {
    Some(value? / of.filter(|of| *of > 0.0)?)
}
