//! The arguments of `experiment`.

use std::path::PathBuf;

use clap::Args;

/// Arguments of `experiment`.
#[derive(Debug, Args)]
pub struct ExperimentOptions {
    /// The site, its load and what is tried on it, in JSON; examples/experiments has some.
    pub file: PathBuf,
    /// Other rules of placement to try besides, by name, in JSON; examples/variants has some.
    #[arg(long, value_name = "FILE")]
    pub variants: Option<PathBuf>,
    /// Also write the results to this file, as CSV.
    #[arg(long, value_name = "FILE")]
    pub csv: Option<PathBuf>,
    /// Also write the results to this file, as Markdown.
    #[arg(long, value_name = "FILE")]
    pub markdown: Option<PathBuf>,
}
