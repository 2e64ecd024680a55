//! What a run comes to.

use std::time::Duration;

use indexmap::IndexMap;
use policy::{Tokens, config::PolicyName};
use serde::{Deserialize, Serialize};

use crate::bench::{band::Band, load::Sample, pattern::Pattern};

/// Codes of refusals, which come before a request is admitted. All other errors are failures of an
/// admitted request.
const REFUSALS: [&str; 9] = [
    "too_late",
    "over_limit",
    "over_share",
    "too_large",
    "no_endpoint",
    "quarantined",
    "stopping",
    "log_unavailable",
    "not_ready",
];

/// All that one invocation measured.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BenchReport {
    /// The machine.
    pub machine: Machine,
    /// The seed.
    pub seed: u64,
    /// How long calls came in, in each run.
    pub seconds: f64,
    /// Engines and instances.
    pub engines: usize,
    /// Daemon instances.
    pub instances: usize,
    /// Prompt tokens a second of all engines together.
    pub capacity_tokens_per_s: f64,
    /// One for each pattern, policy and setting.
    pub results: Vec<BenchResult>,
}

/// Where it was measured.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Machine {
    /// Cores that the process may use.
    pub cores: usize,
    /// Whether the binary was built with optimisation.
    pub optimised: bool,
}

/// One pattern under one policy.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BenchResult {
    /// The pattern.
    pub pattern: Pattern,
    /// The policy.
    pub policy: PolicyName,
    /// The weights.
    pub setting: String,
    /// Time to first token of short prompts.
    pub short_ttft_p99_ms: Option<f64>,
    /// That, over the same of the same short calls without the longer ones.
    pub short_slowdown: Option<f64>,
    /// Time to first token of prompts of 100k tokens and more.
    pub long_ttft_p95_ms: Option<f64>,
    /// The same of each band of long calls, over that band without the shorter ones; the larger
    /// one, where measured.
    pub long_slowdown: Option<f64>,
    /// The longest time that an admitted call waited for its first token or its failure.
    pub worst_ttft_ms: Option<f64>,
    /// Calls made; a call that was sent again counts once.
    pub offered: u64,
    /// Calls admitted: finished in time and failed.
    pub admitted: u64,
    /// Calls whose whole answer came by their deadline.
    pub finished_in_time: u64,
    /// Calls refused before they were admitted.
    pub refused: u64,
    /// Admitted calls without a whole answer by their deadline.
    pub failed: u64,
    /// Calls, whatever their outcome, that heard the end of it only after their deadline.
    pub ended_late: u64,
    /// Answers that ended as if whole but weren't the call's own whole answer.
    pub wrong_answers: u64,
    /// Calls of which every reply said "not run" although an engine ran them.
    pub refused_not_run_but_ran: u64,
    /// Sends, re-sent calls included.
    pub sends: u64,
    /// Prompt tokens that engines prefilled.
    pub prefilled_tokens: u64,
    /// Of these, for runs that didn't finish there.
    pub wasted_prefill_tokens: u64,
    /// Prompt tokens of calls finished in time, while calls came in, for each second of that.
    pub goodput_tokens_per_s: f64,
    /// Largest over smallest share of offered tokens that was served, over the workspaces with
    /// equal demand.
    pub fairness: Option<f64>,
    /// Share of offered tokens that was served to all but the hot caller.
    pub others_served: f64,
    /// Time to first token by prompt length.
    pub bands: IndexMap<Band, BandStats>,
}

impl BenchResult {
    /// The share of all prefilled tokens whose runs didn't finish.
    pub fn wasted_share(&self) -> f64 {
        self.wasted_prefill_tokens as f64 / self.prefilled_tokens.max(1) as f64
    }
}

/// Time to first token of one band. An admitted call that got none counts with the time to its
/// failure.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BandStats {
    /// Admitted calls.
    pub admitted: u64,
    /// Refused calls.
    pub refused: u64,
    /// Admitted calls that failed.
    pub failed: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// The worst.
    pub worst_ms: f64,
}

/// What became of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// Its whole answer came by the deadline.
    InTime,
    /// It was refused before it was admitted.
    Refused,
    /// It was admitted and had no whole answer by its deadline.
    Failed,
}

impl Sample {
    /// What became of the call.
    pub fn fate(&self) -> Fate {
        if self.reply.whole {
            return if self.is_late() { Fate::Failed } else { Fate::InTime };
        }
        match self.reply.code.as_deref() {
            Some(code) if REFUSALS.contains(&code) => Fate::Refused,
            _ => Fate::Failed,
        }
    }

    /// Whether the caller heard the end of it only after the deadline. Ends between a deadline and
    /// the next tick of a timer aren't late.
    pub fn is_late(&self) -> bool {
        const TICK: Duration = Duration::from_millis(10);
        self.total > self.call.deadline + TICK
    }

    /// Time to first token, or to the failure where there was none.
    pub fn ttft_ms(&self) -> f64 {
        self.first_token.unwrap_or(self.total).as_secs_f64() * 1e3
    }
}

impl BandStats {
    /// The figures of some samples; none where none was admitted or refused.
    pub fn of<'a>(samples: impl Iterator<Item = &'a Sample> + Clone) -> Option<BandStats> {
        let count = |fate| samples.clone().filter(|s| s.fate() == fate).count() as u64;
        let mut times: Vec<f64> = samples
            .clone()
            .filter(|sample| sample.fate() != Fate::Refused)
            .map(Sample::ttft_ms)
            .collect();
        times.sort_by(f64::total_cmp);
        let refused = count(Fate::Refused);
        if times.is_empty() && refused == 0 {
            return None;
        }
        Some(BandStats {
            admitted: times.len() as u64,
            refused,
            failed: count(Fate::Failed),
            p50_ms: quantile(&times, 0.5),
            p95_ms: quantile(&times, 0.95),
            p99_ms: quantile(&times, 0.99),
            worst_ms: quantile(&times, 1.0),
        })
    }
}

/// The smallest value that at least this share of the sorted values doesn't exceed.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied().unwrap_or(0.0)
}

/// Largest over smallest share of offered tokens served, leaving the hot caller out.
pub fn fairness(samples: &[Sample], hot: Option<usize>) -> Option<f64> {
    let mut shares: IndexMap<usize, Served> = IndexMap::new();
    for sample in samples.iter().filter(|s| Some(s.call.workspace) != hot) {
        shares.entry(sample.call.workspace).or_default().add(sample);
    }
    let shares = shares.values().map(Served::share);
    let smallest = shares.clone().min_by(f64::total_cmp)?;
    let largest = shares.max_by(f64::total_cmp)?;
    (smallest > 0.0).then_some(largest / smallest)
}

/// Tokens offered and served in time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Served {
    /// Prompt tokens of all calls.
    pub offered: Tokens,
    /// Prompt tokens of calls finished in time.
    pub served: Tokens,
}

impl Served {
    /// Counts a call.
    pub fn add(&mut self, sample: &Sample) {
        self.offered += sample.call.prompt.tokens;
        if sample.fate() == Fate::InTime {
            self.served += sample.call.prompt.tokens;
        }
    }

    /// The share that was served.
    pub fn share(&self) -> f64 {
        self.served.0 as f64 / self.offered.0.max(1) as f64
    }
}
