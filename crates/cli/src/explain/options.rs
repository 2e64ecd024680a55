//! The arguments of `explain`.

use std::path::PathBuf;

use clap::Args;

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainOptions {
    /// The lines of all instances, in one file.
    pub log: PathBuf,
    /// Seconds that are shown together.
    #[arg(long, value_name = "SECONDS", default_value_t = 2.0, value_parser = seconds)]
    pub every: f64,
}

fn seconds(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(seconds) if seconds >= 0.1 && seconds.is_finite() => Ok(seconds),
        _ => Err(format!("expected 0.1 seconds or more, found {text}")),
    }
}
