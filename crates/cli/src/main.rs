//! `trefoilhall`, the command-line tool of operators.

use std::process::ExitCode;

use cli::{app, error};

fn main() -> ExitCode {
    match app::run() {
        Ok(code) => code.into(),
        Err(report) => error::print(&report),
    }
}
