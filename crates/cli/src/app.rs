//! Dispatches to the commands.

use clap::{CommandFactory, Parser};
use error_stack::ResultExt;

use crate::{
    bench,
    cli::{Cli, Command},
    command, demo,
    error::{CliError, CliResult, Exit},
    experiment, explain, output,
};

/// Reads the command line and carries it out.
pub fn run() -> CliResult {
    let cli = Cli::parse();
    let format = cli.format;
    match cli.command {
        Command::Check(args) => command::check::run(&args, format),
        Command::Publish(args) => command::publish::run(&args, format),
        Command::Status(args) => command::status::run(&args, format),
        Command::Audit(args) => command::audit::run(&args, format),
        Command::Drain(args) => command::drain::run(&args, format),
        Command::Demo(args) => demo::run(&args.into()),
        Command::Bench(args) => bench::run(&args.try_into()?),
        Command::Experiment(options) => experiment::run(&options, format),
        Command::Explain(options) => explain::run(&options, format),
        Command::Completions { shell } => completions(shell),
        Command::Man { command } => man(command.as_deref()),
    }
}

fn completions(shell: clap_complete::Shell) -> CliResult {
    let mut text = Vec::new();
    clap_complete::generate(shell, &mut Cli::command(), "trefoilhall", &mut text);
    output::print(String::from_utf8_lossy(&text).trim_end())?;
    Ok(Exit::Done)
}

fn man(command: Option<&str>) -> CliResult {
    let mut root = Cli::command();
    root.build();
    let page = match command {
        None => root,
        Some(name) => match root.find_subcommand(name) {
            Some(found) => found.clone(),
            None => return Err(CliError::Other(format!("there is no command {name}")).into()),
        },
    };
    let mut text = Vec::new();
    clap_mangen::Man::new(page).render(&mut text).change_context(CliError::Output)?;
    output::print(String::from_utf8_lossy(&text).trim_end())?;
    Ok(Exit::Done)
}
