//! `trefoilhall bench`: real instances on real loopback before stand-in engines, the product's own
//! policy and its baselines under the same arrivals. `docs/BENCH.md` has the last figures.

pub mod band;
mod export;
pub mod goals;
pub mod load;
pub mod options;
mod overhead;
pub mod pattern;
pub mod plan;
pub mod result;
mod run;

use policy::config::PolicyName;

use crate::{
    bench::{
        options::{BenchOptions, Files},
        pattern::Pattern,
        result::{BenchReport, BenchResult, Machine},
        run::{ENGINES, INSTANCES, capacity},
    },
    error::{CliResult, Exit},
    output,
};

/// Runs the command.
pub fn run(opts: &BenchOptions) -> CliResult {
    if opts.overhead {
        overhead::run()?;
        return Ok(Exit::Done);
    }
    output::print(&export::table::head())?;
    let report = measure(opts, |result| output::print(&export::table::line(result)))?;
    write_files(&opts.files, &report)?;
    output::print("")?;
    for goal in goals::goals(&report) {
        output::print(&goal.to_string())?;
    }
    Ok(Exit::Done)
}

/// Runs every pattern under every policy, and tells each result as soon as it is there.
pub fn measure(
    opts: &BenchOptions,
    tell: impl Fn(&BenchResult) -> CliResult<()>,
) -> CliResult<BenchReport> {
    let mut report = BenchReport {
        machine: Machine {
            cores: std::thread::available_parallelism().map_or(1, usize::from),
            optimised: !cfg!(debug_assertions),
        },
        seed: opts.seed,
        seconds: opts.span.as_secs_f64(),
        engines: ENGINES,
        instances: INSTANCES,
        capacity_tokens_per_s: capacity(),
        results: Vec::new(),
    };
    for pattern in &opts.patterns {
        for policy in &opts.policies {
            // Baselines have no weights, so one point of the curve would stand for all.
            if *pattern == Pattern::WeightsCurve && *policy != PolicyName::Trefoilhall {
                continue;
            }
            for result in run::measure(*pattern, *policy, opts)? {
                tell(&result)?;
                report.results.push(result);
            }
        }
    }
    Ok(report)
}

/// Writes results to all files that are wanted.
pub fn write_files(files: &Files, report: &BenchReport) -> CliResult<()> {
    export::write(files.json.as_deref(), &export::json::Json, report)?;
    export::write(files.csv.as_deref(), &export::csv::Csv, report)?;
    export::write(files.markdown.as_deref(), &export::markdown::Markdown, report)?;
    export::write(files.svg.as_deref(), &export::svg::Svg, report)
}
