//! `trefoilhall drain`: takes an instance out of service without cutting a request.

use daemon::admin::publish::DrainRequest;

use crate::{
    cli::{DrainArgs, Format},
    error::{CliResult, Exit},
    instance::Instance,
    options::Target,
    output,
};

/// Runs the command.
pub fn run(args: &DrainArgs, format: Format) -> CliResult {
    let instance = Instance::new(Target::try_from(&args.target)?);
    let req = DrainRequest { by: Some(args.by.clone()), instance: Some(args.instance.clone()) };
    let status = instance.drain(&req)?;
    match format {
        Format::Json => output::print_json(&status)?,
        Format::Table => {
            output::print(&format!("{} is {}", status.instance, status.stage))?;
        }
    }
    Ok(Exit::Done)
}
