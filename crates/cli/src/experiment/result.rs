//! The results of an experiment.

use emulator::{KindSummary, PlacerName, Received, SiteSpec, outcome};
use serde::Serialize;

/// One run.
pub(super) struct Played {
    pub(super) policy: PlacerName,
    pub(super) seed: u64,
    pub(super) received: Vec<Received>,
}

/// What all runs came to.
#[derive(Debug, Serialize)]
pub(super) struct ExperimentReport {
    pub(super) results: Vec<PolicyResult>,
}

/// One policy over all seeds.
#[derive(Debug, Serialize)]
pub(super) struct PolicyResult {
    pub(super) policy: PlacerName,
    /// Mean share of the worth that was earned, over the seeds.
    pub(super) worth: f64,
    /// Half the width of the interval that holds the mean in 95 of 100 cases; none with one seed.
    pub(super) worth_error: Option<f64>,
    /// The share with each seed.
    pub(super) by_seed: Vec<(u64, f64)>,
    pub(super) kinds: Vec<KindSummary>,
}

/// Deviations of a mean within which 95 of 100 lie.
const DEVIATIONS: f64 = 1.96;

impl ExperimentReport {
    pub(super) fn new(spec: &SiteSpec, played: &[Played]) -> ExperimentReport {
        let results = spec.policies.iter().map(|policy| {
            let of_policy: Vec<_> = played.iter().filter(|one| one.policy == *policy).collect();
            let by_seed: Vec<(u64, f64)> = of_policy
                .iter()
                .map(|one| (one.seed, outcome::worth(spec, &one.received)))
                .collect();
            let all: Vec<Received> =
                of_policy.iter().flat_map(|one| one.received.iter().copied()).collect();
            let (worth, worth_error) = mean(&by_seed);
            let kinds = outcome::by_kind(spec, &all);
            PolicyResult { policy: *policy, worth, worth_error, by_seed, kinds }
        });
        ExperimentReport { results: results.collect() }
    }
}

fn mean(by_seed: &[(u64, f64)]) -> (f64, Option<f64>) {
    let n = by_seed.len() as f64;
    let mean = by_seed.iter().map(|(_, worth)| worth).sum::<f64>() / n.max(1.0);
    if by_seed.len() < 2 {
        return (mean, None);
    }
    let variance = by_seed.iter().map(|(_, w)| (w - mean).powi(2)).sum::<f64>() / (n - 1.0);
    (mean, Some(DEVIATIONS * (variance / n).sqrt()))
}
