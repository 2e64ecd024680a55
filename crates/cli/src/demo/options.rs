//! The command line of `demo` as checked types.

use clap::Args;

/// Arguments of `demo`.
#[derive(Debug, Args)]
pub struct DemoArgs {
    /// Seed of prompts and arrivals.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// What `demo` is to do.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// Seed of prompts and arrivals.
    pub seed: u64,
}

impl From<DemoArgs> for DemoOptions {
    fn from(args: DemoArgs) -> DemoOptions {
        DemoOptions { seed: args.seed }
    }
}
