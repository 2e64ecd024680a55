//! The command line arguments.

use std::path::PathBuf;

use clap::{Parser, ValueEnum};

/// Serves callers of shared model engines and plain services.
#[derive(Debug, Parser)]
#[command(name = "trefoilhalld", version)]
pub struct Args {
    /// Folder of JSON files with this process's settings
    ///
    /// The files are merged in the order of their names. Without a log service in the settings,
    /// the folder holds the whole configuration too.
    #[arg(long, value_name = "DIR", env = "TREFOILHALL_CONFIG")]
    pub config: PathBuf,

    /// The least severe events to log
    #[arg(long, value_name = "LEVEL", default_value = "info")]
    pub log_level: LogLevel,
}

/// How much is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogLevel {
    /// Faults of the daemon itself
    Error,
    /// What an operator should look at
    Warn,
    /// One line for each request and each change of state
    Info,
    /// Details for finding faults
    Debug,
}
