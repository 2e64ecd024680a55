//! The daemon as a library, so that tests, examples and the demo can run several instances in one
//! process.
//!
//! `docs/ARCHITECTURE.md` describes the path of a request.

pub mod active;
pub mod admin;
pub mod checkpoint;
pub mod cli;
pub mod controller;
pub mod deployment;
pub mod drain;
pub mod endpoint;
pub mod error;
pub mod filter;
pub mod folder;
pub mod holdings;
pub mod instance;
pub mod ledger;
pub mod limits;
pub mod logging;
pub mod metrics;
pub mod options;
pub mod peer;
mod readiness;
pub mod record;
mod routing;
pub mod server;
pub mod settings;
pub mod shared;

use std::fmt;

use async_signal::{Signal, Signals};
use clap::Parser;
use error_stack::{Report, ResultExt};
use futures_lite::StreamExt;

pub use instance::Instance;
pub use router::clock;

use crate::{cli::Args, options::Options};

/// The daemon couldn't start or failed; the causes are attached to the report.
#[derive(Debug)]
pub struct RunError;

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "trefoilhalld can't run")
    }
}

impl std::error::Error for RunError {}

/// Runs the daemon until it receives SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
///
/// [`RunError`] with its causes attached.
pub fn run() -> Result<(), Report<RunError>> {
    let args = Args::parse();
    let _logger = logging::start(args.log_level).change_context(RunError)?;
    // Logged here, because the logger ends with this function.
    run_instance(args).inspect_err(|report| {
        log::error!(cause:% = format!("{report:#}"); "stopped_by_fault");
    })
}

fn run_instance(args: Args) -> Result<(), Report<RunError>> {
    let Options { settings, config } = Options::read(&args).change_context(RunError)?;
    let mut signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).change_context(RunError)?;
    limits::raise_open_files(settings.max_connections);
    if let Some(routing) = &settings.routing {
        return routing::run(&settings, routing, args.config, signals).change_context(RunError);
    }
    let instance = Instance::start(settings, config).change_context(RunError)?;
    // The stream of signals ends only with the process. SIGHUP is ignored: configuration changes
    // are published or come from the log, and files aren't reloaded.
    let stop = |signal: &std::io::Result<Signal>| !matches!(signal, Ok(Signal::Hup));
    smol::block_on(signals.find(stop));
    instance.close();
    Ok(())
}
