//! What the daemon adds to a direct call to the engine.

use crate::{error::CliResult, output};

/// Measures and prints.
pub(super) fn run() -> CliResult<()> {
    output::print("")
}
