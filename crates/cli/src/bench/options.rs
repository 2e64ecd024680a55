//! The command line of `bench` as checked types.

use std::{path::PathBuf, time::Duration};

use clap::{Args, Subcommand, ValueEnum};
use error_stack::Report;
use policy::config::PolicyName;

use crate::{
    bench::pattern::Pattern,
    error::{CliError, CliResult},
};

/// Shorter runs have too few long prompts to say anything; longer ones than an hour are mistakes.
const SECONDS: std::ops::RangeInclusive<f64> = 0.2..=3_600.0;

/// Arguments of `bench`.
#[derive(Debug, Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct BenchArgs {
    /// Measure one thing only.
    #[command(subcommand)]
    pub what: Option<What>,
    /// Patterns to run; all where absent.
    #[arg(long, value_enum, value_name = "PATTERN")]
    pub pattern: Vec<Pattern>,
    /// Policies to run; all where absent.
    #[arg(long, value_enum, value_name = "POLICY")]
    pub policy: Vec<PolicyArg>,
    /// How long calls come in, in each run.
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Seed of all arrivals and prompts.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Write the results as JSON.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Write the results as CSV, a line for each band.
    #[arg(long, value_name = "FILE")]
    pub csv: Option<PathBuf>,
    /// Write the results as Markdown tables.
    #[arg(long, value_name = "FILE")]
    pub markdown: Option<PathBuf>,
    /// Write a plot.
    #[arg(long, value_name = "FILE")]
    pub svg: Option<PathBuf>,
}

/// What else `bench` measures.
#[derive(Debug, Clone, Copy, Subcommand)]
pub enum What {
    /// What the daemon adds to a direct call: delay to first token, requests a second, memory.
    Overhead,
}

/// A policy on the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
#[value(rename_all = "snake_case")]
pub enum PolicyArg {
    /// The product's own.
    Trefoilhall,
    /// Endpoints in turn.
    RoundRobin,
    /// The endpoint with the fewest own requests.
    LeastOutstanding,
    /// One queue in order of arrival.
    FirstComeFirstServed,
}

impl From<PolicyArg> for PolicyName {
    fn from(policy: PolicyArg) -> PolicyName {
        match policy {
            PolicyArg::Trefoilhall => PolicyName::Trefoilhall,
            PolicyArg::RoundRobin => PolicyName::RoundRobin,
            PolicyArg::LeastOutstanding => PolicyName::LeastOutstanding,
            PolicyArg::FirstComeFirstServed => PolicyName::FirstComeFirstServed,
        }
    }
}

/// What `bench` is to do.
#[derive(Debug, Clone)]
pub struct BenchOptions {
    /// Whether only the daemon's own cost is measured.
    pub overhead: bool,
    /// Patterns to run.
    pub patterns: Vec<Pattern>,
    /// Policies to run.
    pub policies: Vec<PolicyName>,
    /// How long calls come in, in each run.
    pub span: Duration,
    /// Seed of all arrivals and prompts.
    pub seed: u64,
    /// Where results go besides the terminal.
    pub files: Files,
}

/// Where results go besides the terminal.
#[derive(Debug, Clone, Default)]
pub struct Files {
    /// As JSON.
    pub json: Option<PathBuf>,
    /// As CSV.
    pub csv: Option<PathBuf>,
    /// As Markdown.
    pub markdown: Option<PathBuf>,
    /// As a plot.
    pub svg: Option<PathBuf>,
}

impl TryFrom<BenchArgs> for BenchOptions {
    type Error = Report<CliError>;

    fn try_from(args: BenchArgs) -> CliResult<BenchOptions> {
        if !SECONDS.contains(&args.seconds) {
            let (first, last) = (SECONDS.start(), SECONDS.end());
            let message = format!("expected {first} to {last} seconds, found {}", args.seconds);
            return Err(CliError::Other(message).into());
        }
        let mut patterns = args.pattern;
        if patterns.is_empty() {
            patterns = Pattern::value_variants().to_vec();
        }
        let mut policies = args.policy;
        if policies.is_empty() {
            policies = PolicyArg::value_variants().to_vec();
        }
        Ok(BenchOptions {
            overhead: matches!(args.what, Some(What::Overhead)),
            patterns,
            policies: policies.into_iter().map(PolicyName::from).collect(),
            span: Duration::from_secs_f64(args.seconds),
            seed: args.seed,
            files: Files { json: args.json, csv: args.csv, markdown: args.markdown, svg: args.svg },
        })
    }
}
