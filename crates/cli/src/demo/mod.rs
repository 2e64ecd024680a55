//! `trefoilhall demo`.

pub mod options;

use crate::{
    demo::options::DemoOptions,
    error::{CliResult, Exit},
};

/// Runs the command.
pub fn run(_opts: &DemoOptions) -> CliResult {
    Ok(Exit::Done)
}
