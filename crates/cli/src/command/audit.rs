//! `trefoilhall audit`: who changed what, when, and from which version.

use policy::publication::{AuditEntry, Verdict};

use crate::{
    cli::{AuditArgs, Format},
    error::{CliResult, Exit},
    instance::Instance,
    options::Target,
    output,
};

const SECONDS_A_DAY: u64 = 86_400;

/// Runs the command.
pub fn run(args: &AuditArgs, format: Format) -> CliResult {
    let entries = Instance::new(Target::try_from(&args.target)?).audit(args.last)?;
    match format {
        Format::Json => output::print_json(&entries)?,
        Format::Table => {
            let head = ["when (UTC)", "who", "what", "from", "outcome"];
            output::print_table(head, entries.iter().map(row).collect())?;
        }
    }
    Ok(Exit::Done)
}

fn row(entry: &AuditEntry) -> [String; 5] {
    let outcome = match &entry.verdict {
        Verdict::Accepted(version) => format!("version {version}"),
        Verdict::Conflict(version) => format!("conflict with version {version}"),
        Verdict::Rejected(findings) => format!("{} findings", findings.len()),
        Verdict::Noted => String::new(),
    };
    let what = entry.action.clone();
    [date_time(entry.time_ms), entry.by.clone(), what, entry.base.to_string(), outcome]
}

/// A moment of the log's clock as `2026-12-03 00:12:30`.
pub fn date_time(time_ms: u64) -> String {
    let seconds = time_ms / 1_000;
    let (days, second) = (seconds / SECONDS_A_DAY, seconds % SECONDS_A_DAY);
    let (mut year, mut left) = (1970, days);
    while left >= year_days(year) {
        left -= year_days(year);
        year += 1;
    }
    let mut month = 1;
    while left >= month_days(year, month) {
        left -= month_days(year, month);
        month += 1;
    }
    let (hour, minute) = (second / 3_600, second / 60 % 60);
    format!("{year:04}-{month:02}-{:02} {hour:02}:{minute:02}:{:02}", left + 1, second % 60)
}

fn year_days(year: u64) -> u64 {
    if is_leap(year) { 366 } else { 365 }
}

fn month_days(year: u64, month: u64) -> u64 {
    match month {
        2 if is_leap(year) => 29,
        2 => 28,
        4 | 6 | 9 | 11 => 30,
        _ => 31,
    }
}

fn is_leap(year: u64) -> bool {
    year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
}
