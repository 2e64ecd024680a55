//! The forms in which results leave an experiment.

use std::fmt::Write as _;

use super::result::{ExperimentReport, TrialResult};
use crate::{error::CliResult, output};

const HEAD: [&str; 12] = [
    "trial",
    "worth",
    "gain",
    "kind",
    "asked",
    "on time",
    "late",
    "refused",
    "of its worth",
    "first p50 ms",
    "first p99 ms",
    "pause p99 ms",
];

/// Prints a line for each kind and trial.
pub(super) fn print_table(report: &ExperimentReport) -> CliResult<()> {
    output::print_table(HEAD, rows(report))
}

/// The same as CSV.
pub(super) fn csv(report: &ExperimentReport) -> String {
    let mut text = HEAD.map(|name| name.replace(' ', "_")).join(",") + "\n";
    for row in rows(report) {
        // Writing to a string can't fail.
        let _ = writeln!(text, "{}", row.map(|cell| quoted(&cell)).join(","));
    }
    text
}

/// The same as Markdown.
pub(super) fn markdown(report: &ExperimentReport) -> String {
    let mut text = format!("| {} |\n|---|--:|---{}|\n", HEAD.join(" | "), "|--:".repeat(9));
    for row in rows(report) {
        let _ = writeln!(text, "| {} |", row.join(" | "));
    }
    text
}

fn rows(report: &ExperimentReport) -> Vec<[String; 12]> {
    let kinds = |result: &TrialResult| {
        let worth = with_error(result.worth, result.worth_error);
        let gain = with_error(result.gain, result.gain_error);
        let row = |kind: &emulator::KindSummary| {
            [
                result.trial.clone(),
                worth.clone(),
                gain.clone(),
                kind.kind.clone(),
                kind.asked.to_string(),
                format!("{:.3}", kind.on_time),
                format!("{:.3}", kind.late),
                format!("{:.3}", kind.refused),
                format!("{:.3}", kind.worth),
                format!("{:.0}", kind.first_p50_ms),
                format!("{:.0}", kind.first_p99_ms),
                format!("{:.0}", kind.pause_p99_ms),
            ]
        };
        result.kinds.iter().map(row).collect::<Vec<_>>()
    };
    report.results.iter().flat_map(kinds).collect()
}

fn with_error(value: f64, error: Option<f64>) -> String {
    match error {
        Some(error) => format!("{value:.3} ± {error:.3}"),
        None => format!("{value:.3}"),
    }
}

/// A cell of a CSV file; names of kinds may hold anything.
fn quoted(cell: &str) -> String {
    if cell.contains([',', '"', '\n']) {
        return format!("\"{}\"", cell.replace('"', "\"\""));
    }
    cell.to_owned()
}
