//! The command line as it is declared; [`crate::options`] turns it into checked types.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

use crate::{
    bench::options::BenchArgs, demo::options::DemoArgs, experiment::options::ExperimentOptions,
    explain::options::ExplainOptions,
};

/// Checks, publishes and watches the configuration of trefoilhall.
///
/// Exit codes: 0 done; 1 something failed; 2 findings, or a wrong command line; 3 another change
/// came first; 4 accepted, but not known to be in force everywhere in time.
#[derive(Debug, Parser)]
#[command(name = "trefoilhall", version, max_term_width = 100)]
pub struct Cli {
    /// How results are printed.
    #[arg(long, global = true, value_enum, default_value_t = Format::Table)]
    pub format: Format,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// How results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// For readers.
    Table,
    /// For scripts.
    Json,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a configuration folder and report all findings at once.
    Check(CheckArgs),
    /// Publish a configuration folder and wait until every instance has it in force.
    Publish(PublishArgs),
    /// Show each instance with its state and the version that it has in force.
    Status(TargetArgs),
    /// Show who changed what, when, and from which version.
    Audit(AuditArgs),
    /// Take an instance out of service; it finishes what it has.
    Drain(DrainArgs),
    /// Show the whole path in one process, on loopback only, and check every answer.
    Demo(DemoArgs),
    /// Measure the policy and its baselines under several load patterns.
    Bench(BenchArgs),
    /// Play a site in virtual time with several ways to place requests.
    Experiment(ExperimentOptions),
    /// Tell which requests weren't served on time, when and why, from instances' logs.
    Explain(ExplainOptions),
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Print the manual page, or that of a command.
    Man {
        /// The command.
        command: Option<String>,
    },
}

/// Arguments of `check`.
#[derive(Debug, Args)]
pub struct CheckArgs {
    /// The folder.
    pub dir: PathBuf,
}

/// Which instance is asked.
#[derive(Debug, Args)]
pub struct TargetArgs {
    /// Admin address of any instance.
    #[arg(long, value_name = "ADDR", env = "TREFOILHALL_TO")]
    pub to: SocketAddr,
    /// How long to wait, in seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 10.0)]
    pub timeout: f64,
}

/// Arguments of `publish`.
#[derive(Debug, Args)]
pub struct PublishArgs {
    /// The folder.
    pub dir: PathBuf,
    /// Which instance is asked.
    #[command(flatten)]
    pub target: TargetArgs,
    /// The version that the folder was made from; the one in force where absent.
    #[arg(long, value_name = "VERSION")]
    pub base: Option<u64>,
    /// Who publishes, for the audit trail; the user's name where absent.
    #[arg(long, value_name = "NAME", env = "USER", default_value = "unknown")]
    pub by: String,
    /// Show the difference and stop.
    #[arg(long)]
    pub dry_run: bool,
}

/// Arguments of `audit`.
#[derive(Debug, Args)]
pub struct AuditArgs {
    /// Which instance is asked.
    #[command(flatten)]
    pub target: TargetArgs,
    /// How many of the latest entries to show.
    #[arg(long, value_name = "N", default_value_t = 20)]
    pub last: usize,
}

/// Arguments of `drain`.
#[derive(Debug, Args)]
pub struct DrainArgs {
    /// The instance's name; it has to be the one that is asked, as a guard against slips.
    pub instance: String,
    /// Which instance is asked.
    #[command(flatten)]
    pub target: TargetArgs,
    /// Who drains, for the audit trail; the user's name where absent.
    #[arg(long, value_name = "NAME", env = "USER", default_value = "unknown")]
    pub by: String,
}
