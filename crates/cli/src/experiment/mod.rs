//! `trefoilhall experiment`: plays a site in virtual time with several ways to place requests.
//!
//! The engines, callers and words between instances are those of the `emulator` crate; what places
//! the requests is the daemon's own code, and its baselines.

mod export;
pub mod options;
mod result;

use std::{
    fs,
    path::Path,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use emulator::{SiteSpec, simulate, spec::Variants};
use error_stack::{Report, ResultExt};
use indicatif::ProgressBar;

use crate::{
    cli::Format,
    error::{CliError, CliResult, Exit},
    output,
};
use options::ExperimentOptions;
use result::{ExperimentReport, Played};

/// Runs the command.
pub fn run(options: &ExperimentOptions, format: Format) -> CliResult {
    let spec = read(options)?;
    let played = play_all(&spec);
    let report = ExperimentReport::new(&spec, &played);
    if let Some(path) = &options.csv {
        output::write_file(path, &export::csv(&report))?;
    }
    if let Some(path) = &options.markdown {
        output::write_file(path, &export::markdown(&report))?;
    }
    match format {
        Format::Json => output::print_json(&report)?,
        Format::Table => export::print_table(&report)?,
    }
    Ok(Exit::Done)
}

fn read(options: &ExperimentOptions) -> CliResult<SiteSpec> {
    let path = &options.file;
    let mut spec = SiteSpec::parse(&read_file(path)?).map_err(|findings| {
        let findings = findings.join("\n  ");
        Report::new(CliError::Other(format!("{}:\n  {findings}", path.display())))
    })?;
    if let Some(path) = &options.variants {
        let variants: Variants =
            serde_json::from_str(&read_file(path)?).change_context_lazy(|| {
                CliError::Other(format!("{} holds no variants", path.display()))
            })?;
        spec.variants.extend(variants);
    }
    Ok(spec)
}

fn read_file(path: &Path) -> CliResult<String> {
    fs::read_to_string(path)
        .change_context_lazy(|| CliError::Other(format!("{} can't be read", path.display())))
}

/// Plays each trial with each seed, on all cores.
fn play_all(spec: &SiteSpec) -> Vec<Played> {
    let trials = spec.trials();
    let seeds = |trial: usize| spec.seeds.iter().map(move |seed| (trial, *seed));
    let plays: Vec<(usize, u64)> = (0..trials.len()).flat_map(seeds).collect();
    let bar = ProgressBar::new(plays.len() as u64);
    let next = AtomicUsize::new(0);
    let played = Mutex::new(Vec::with_capacity(plays.len()));
    let cores = thread::available_parallelism().map_or(1, usize::from);
    thread::scope(|scope| {
        for _ in 0..cores.min(plays.len()) {
            scope.spawn(|| {
                while let Some((trial, seed)) = plays.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let received = simulate(spec, trials[*trial].clone(), *seed);
                    let one = Played { trial: *trial, seed: *seed, received };
                    played.lock().unwrap_or_else(PoisonError::into_inner).push(one);
                    bar.inc(1);
                }
            });
        }
    });
    bar.finish_and_clear();
    let mut played = played.into_inner().unwrap_or_else(PoisonError::into_inner);
    played.sort_by_key(|one| (one.trial, one.seed));
    played
}
