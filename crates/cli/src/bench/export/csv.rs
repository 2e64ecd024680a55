//! Results as CSV: a line for each band of each result.

use std::fmt::Write as _;

use super::Export;
use crate::{bench::result::BenchReport, error::CliResult};

const HEAD: &str =
    "pattern,policy,setting,band,admitted,refused,failed,p50_ms,p95_ms,p99_ms,worst_ms";

/// CSV.
pub(crate) struct Csv;

impl Export for Csv {
    fn export(&self, report: &BenchReport) -> CliResult<String> {
        let mut text = format!("{HEAD}\n");
        for result in &report.results {
            let (pattern, policy, setting) = (result.pattern, result.policy, &result.setting);
            for (band, stats) in &result.bands {
                // Writing to a string can't fail. Settings hold no comma.
                let _ = writeln!(
                    text,
                    "{pattern},{policy},{setting},{band},{},{},{},{:.3},{:.3},{:.3},{:.3}",
                    stats.admitted,
                    stats.refused,
                    stats.failed,
                    stats.p50_ms,
                    stats.p95_ms,
                    stats.p99_ms,
                    stats.worst_ms
                );
            }
        }
        Ok(text)
    }
}
