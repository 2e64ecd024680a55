//! The command line as checked types.

use std::{net::SocketAddr, time::Duration};

use error_stack::Report;

use crate::{
    cli::TargetArgs,
    error::{CliError, CliResult},
};

/// The longest wait that may be asked for: an hour.
const MAX_TIMEOUT_SECONDS: f64 = 3_600.0;

/// Which instance is asked, and for how long.
#[derive(Debug, Clone, Copy)]
pub struct Target {
    /// Its admin address.
    pub address: SocketAddr,
    /// How long the command may take in all.
    pub timeout: Duration,
}

impl TryFrom<&TargetArgs> for Target {
    type Error = Report<CliError>;

    fn try_from(args: &TargetArgs) -> CliResult<Target> {
        if !(0.1..=MAX_TIMEOUT_SECONDS).contains(&args.timeout) {
            let message = format!(
                "expected a timeout from 0.1 to {MAX_TIMEOUT_SECONDS} seconds, found {}",
                args.timeout
            );
            return Err(CliError::Other(message).into());
        }
        Ok(Target { address: args.to, timeout: Duration::from_secs_f64(args.timeout) })
    }
}
