//! How commands end: the exit codes that scripts may rely on, and errors.

use std::{fmt, process::ExitCode};

use error_stack::Report;

/// The exit codes, as documented in the man page and `docs/OPERATIONS.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// All done.
    Done = 0,
    /// Something failed: a file, a connection, an answer.
    Failed = 1,
    /// The command line or the configuration has findings.
    Findings = 2,
    /// Another change came first; nothing of this one is in force.
    Conflict = 3,
    /// Accepted, but not known to be in force everywhere in time.
    Pending = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

/// Why a command failed. The report's attachments say more.
#[derive(Debug)]
pub enum CliError {
    /// An instance can't be reached or its answer can't be read.
    Instance,
    /// Writing to the terminal or to a file failed.
    Output,
    /// Something else, as a sentence.
    Other(String),
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CliError::Instance => write!(f, "the instance gave no usable answer"),
            CliError::Output => write!(f, "the output can't be written"),
            CliError::Other(message) => f.write_str(message),
        }
    }
}

impl std::error::Error for CliError {}

/// What commands return.
pub type CliResult<T = Exit> = Result<T, Report<CliError>>;

/// Prints an error to standard error and gives the exit code.
pub fn print(report: &Report<CliError>) -> ExitCode {
    use std::io::Write as _;
    // An error while reporting an error has nowhere to go.
    let _ = writeln!(std::io::stderr(), "error: {report:#}");
    Exit::Failed.into()
}
