//! Entry point of the daemon `trefoilhalld`.

use std::process::ExitCode;

fn main() -> ExitCode {
    match daemon::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            log::error!(cause:% = format!("{report:#}"); "stopped_by_fault");
            ExitCode::FAILURE
        }
    }
}
