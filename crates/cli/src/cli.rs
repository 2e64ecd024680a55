//! The command line as it is declared; [`crate::options`] turns it into checked types.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

use crate::{bench::options::BenchArgs, demo::options::DemoArgs};

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
    /// Show the whole path in one process, on loopback only, and check every answer.
    Demo(DemoArgs),
    /// Measure the policy and its baselines under several load patterns.
    Bench(BenchArgs),
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Print the manual page.
    Man,
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
