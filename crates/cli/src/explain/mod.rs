//! `trefoilhall explain`: which requests weren't served on time, when, and why, from instances' logs.

mod line;
pub mod options;
mod story;

use std::{fs, path::Path};

use error_stack::ResultExt;
use indexmap::IndexMap;
use serde::Serialize;

use crate::{
    cli::Format,
    error::{CliError, CliResult, Exit},
    output,
};

use line::Line;
use options::ExplainOptions;
use story::Story;
pub use story::{Band, Cause};

/// Requests of one time and length that ended alike.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Group {
    /// Seconds from the first line of the log to the beginning of the span.
    pub from_s: f64,
    /// How long their prompts are.
    pub band: Band,
    /// What became of them.
    pub cause: Cause,
    /// How many there are.
    pub requests: usize,
    /// How many there are of that length in the span, served on time or not.
    pub of: usize,
}

/// Runs the command.
pub fn run(options: &ExplainOptions, format: Format) -> CliResult {
    let text = read(&options.log)?;
    let groups = lost(&text, options.every);
    match format {
        Format::Json => output::print_json(&groups)?,
        Format::Table => {
            let head = ["from s", "prompts", "cause", "requests", "of"];
            output::print_table(head, groups.iter().map(row).collect())?;
        }
    }
    Ok(Exit::Done)
}

fn read(path: &Path) -> CliResult<String> {
    let bytes = fs::read(path)
        .change_context_lazy(|| CliError::Other(format!("{} can't be read", path.display())))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn row(group: &Group) -> [String; 5] {
    let Group { from_s, band, cause, requests, of } = group;
    [
        format!("{from_s:.1}"),
        band.to_string(),
        cause.to_string(),
        requests.to_string(),
        of.to_string(),
    ]
}

/// The requests of a log that weren't served on time, by spans of `every_s` seconds.
pub fn lost(log: &str, every_s: f64) -> Vec<Group> {
    let lines: Vec<Line<'_>> = log.lines().filter_map(Line::parse).collect();
    let Some(began) = lines.iter().map(|line| line.time).min_by(f64::total_cmp) else {
        return Vec::new();
    };
    let mut stories: IndexMap<&str, Story> = IndexMap::new();
    for line in &lines {
        if let Some(id) = line.field("id") {
            stories.entry(id).or_default().read(line);
        }
    }
    let mut groups: IndexMap<(u64, Band, Cause), usize> = IndexMap::new();
    let mut all: IndexMap<(u64, Band), usize> = IndexMap::new();
    for story in stories.values() {
        let Some((arrived, cause)) = story.end() else { continue };
        let span = ((arrived - began) / every_s).max(0.0) as u64;
        *groups.entry((span, story.band(), cause)).or_default() += 1;
        *all.entry((span, story.band())).or_default() += 1;
    }
    groups.sort_keys();
    let lost = groups.into_iter().filter(|((.., cause), _)| *cause != Cause::OnTime);
    let group = |((span, band, cause), requests)| Group {
        from_s: span as f64 * every_s,
        band,
        cause,
        requests,
        of: all[&(span, band)],
    };
    lost.map(group).collect()
}
