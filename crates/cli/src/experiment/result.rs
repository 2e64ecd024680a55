//! The results of an experiment.

use emulator::{CallResult, KindSummary, SiteSpec, outcome};
use serde::Serialize;

/// One run.
pub(super) struct Played {
    /// Its place among the trials.
    pub(super) trial: usize,
    pub(super) seed: u64,
    pub(super) received: Vec<CallResult>,
}

/// What all runs came to.
#[derive(Debug, Serialize)]
pub(super) struct ExperimentReport {
    pub(super) results: Vec<TrialResult>,
}

/// One trial over all seeds.
#[derive(Debug, Serialize)]
pub(super) struct TrialResult {
    pub(super) trial: String,
    /// Mean share of the worth that was earned, over the seeds.
    pub(super) worth: f64,
    /// Half the width of the interval that holds the mean in 95 of 100 cases; none with one seed.
    pub(super) worth_error: Option<f64>,
    /// Mean difference to the first trial over the seeds, and half the width of its interval.
    pub(super) gain: f64,
    pub(super) gain_error: Option<f64>,
    /// The share with each seed.
    pub(super) by_seed: Vec<(u64, f64)>,
    pub(super) kinds: Vec<KindSummary>,
}

/// Deviations of a mean within which 95 of 100 lie.
const DEVIATIONS: f64 = 1.96;

impl ExperimentReport {
    pub(super) fn new(spec: &SiteSpec, played: &[Played]) -> ExperimentReport {
        let worths = |trial: usize| -> Vec<(u64, f64)> {
            let of_trial = played.iter().filter(|one| one.trial == trial);
            of_trial.map(|one| (one.seed, outcome::worth_ratio(spec, &one.received))).collect()
        };
        let first = worths(0);
        let results = spec.trials().into_iter().enumerate().map(|(index, trial)| {
            let by_seed = worths(index);
            let of_trial = played.iter().filter(|one| one.trial == index);
            let all: Vec<CallResult> =
                of_trial.flat_map(|one| one.received.iter().copied()).collect();
            let (worth, worth_error) = mean(by_seed.iter().map(|(_, worth)| *worth).collect());
            let pairs = by_seed.iter().zip(&first);
            let (gain, gain_error) = mean(pairs.map(|(one, base)| one.1 - base.1).collect());
            let kinds = outcome::summarize_by_kind(spec, &all);
            let trial = trial.name;
            TrialResult { trial, worth, worth_error, gain, gain_error, by_seed, kinds }
        });
        ExperimentReport { results: results.collect() }
    }
}

fn mean(values: Vec<f64>) -> (f64, Option<f64>) {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n.max(1.0);
    if values.len() < 2 {
        return (mean, None);
    }
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (n - 1.0);
    (mean, Some(DEVIATIONS * (variance / n).sqrt()))
}
