//! Results as JSON, with an array `results`.

use error_stack::ResultExt;

use super::Export;
use crate::{
    bench::result::BenchReport,
    error::{CliError, CliResult},
};

/// JSON.
pub(crate) struct Json;

impl Export for Json {
    fn export(&self, report: &BenchReport) -> CliResult<String> {
        serde_json::to_string_pretty(report).change_context(CliError::Output)
    }
}
