//! Entry point of the daemon `trefoilhalld`.

use std::process::ExitCode;

fn main() -> ExitCode {
    match daemon::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}
