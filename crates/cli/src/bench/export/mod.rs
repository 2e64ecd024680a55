//! The forms in which results leave the bench, one file each.

pub(super) mod csv;
pub(super) mod json;
pub(super) mod markdown;
pub(super) mod svg;
pub(super) mod table;

use std::path::Path;

use crate::{bench::result::BenchReport, error::CliResult, output};

/// A form of results.
pub(super) trait Export {
    /// The results in this form.
    fn export(&self, report: &BenchReport) -> CliResult<String>;
}

/// Writes results to a file, where one is wanted.
pub(super) fn write<E: Export>(
    path: Option<&Path>,
    form: &E,
    report: &BenchReport,
) -> CliResult<()> {
    let Some(path) = path else { return Ok(()) };
    output::write_file(path, &form.export(report)?)
}

/// A figure that may be missing.
fn figure(value: Option<f64>, digits: usize) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.digits$}"))
}
