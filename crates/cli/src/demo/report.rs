//! What the demo prints, and what it checks.

use standin::Service;

use crate::{
    bench::{
        band::Band,
        load::Sample,
        result::{BandStats, Fate},
    },
    demo::registrations::{Heard, Registration},
    error::CliResult,
    output,
};

/// What one run of the demo came to.
pub(super) struct Outcome<'a> {
    /// The prompts.
    pub(super) samples: &'a [Sample],
    /// The registrations.
    pub(super) registrations: &'a [Registration],
    /// The service that ran the registrations.
    pub(super) desk: &'a Service,
    /// Calls of which every reply said "not run" although an engine ran them.
    pub(super) ran_though_refused: usize,
}

/// Something that has to hold.
struct Check {
    name: &'static str,
    broken: usize,
}

impl Outcome<'_> {
    /// Prints everything, and says whether every check holds.
    pub(super) fn print(&self) -> CliResult<bool> {
        self.print_bands()?;
        self.print_worst()?;
        self.print_registrations()?;
        let checks = self.checks();
        for check in &checks {
            let verdict = if check.broken == 0 { "ok" } else { "BROKEN" };
            let count =
                if check.broken == 0 { String::new() } else { format!(" ({})", check.broken) };
            output::print(&format!("{verdict:<7} {}{count}", check.name))?;
        }
        Ok(checks.iter().all(|check| check.broken == 0))
    }

    fn print_bands(&self) -> CliResult<()> {
        let row = |band: Band| {
            let samples = self.samples.iter().filter(|sample| sample.call.band == band);
            let stats = BandStats::of(samples)?;
            let ms = |figure: f64| format!("{figure:.1}");
            Some([
                band.to_string(),
                stats.admitted.to_string(),
                stats.refused.to_string(),
                stats.failed.to_string(),
                ms(stats.p50_ms),
                ms(stats.p95_ms),
                ms(stats.p99_ms),
                ms(stats.worst_ms),
            ])
        };
        let head =
            ["prompt", "admitted", "refused", "failed", "ttft p50 ms", "p95", "p99", "worst"];
        output::print_table(head, Band::ALL.into_iter().filter_map(row).collect())
    }

    fn print_worst(&self) -> CliResult<()> {
        let share =
            |sample: &Sample| sample.total.as_secs_f64() / sample.call.deadline.as_secs_f64();
        let worst = self.samples.iter().max_by(|a, b| share(a).total_cmp(&share(b)));
        let Some(worst) = worst else { return Ok(()) };
        let fate = match worst.fate() {
            Fate::InTime => "whole and in time".to_owned(),
            Fate::Refused => format!("refused as {}", code(worst)),
            Fate::Failed => format!("failed as {}", code(worst)),
        };
        output::print(&format!(
            "\nworst answer: {} prompt, {fate}, after {:.1} s of {:.1} s",
            worst.call.band,
            worst.total.as_secs_f64(),
            worst.call.deadline.as_secs_f64()
        ))
    }

    fn print_registrations(&self) -> CliResult<()> {
        let heard = |wanted| self.heard().filter(|heard| *heard == wanted).count();
        output::print(&format!(
            "registrations: {} keys, sent by {} callers: {} heard done, {} not run, {} unknown; \
             the service ran {}\n",
            self.registrations.len(),
            self.heard().count(),
            heard(Heard::Done),
            heard(Heard::NotRun),
            heard(Heard::Unknown),
            self.desk.effects()
        ))
    }

    fn heard(&self) -> impl Iterator<Item = Heard> {
        self.registrations.iter().flat_map(|registration| registration.heard.iter().copied())
    }

    fn checks(&self) -> Vec<Check> {
        let samples = |broken: fn(&Sample) -> bool| {
            self.samples.iter().filter(|sample| broken(sample)).count()
        };
        let keys = |broken: fn(&Registration, u32) -> bool| {
            let broken = |r: &&Registration| broken(r, self.desk.runs(&r.key));
            self.registrations.iter().filter(broken).count()
        };
        let check = |name, broken| Check { name, broken };
        vec![
            check("every answer that ended is the whole answer to its own prompt", {
                samples(|sample| sample.reply.ended && !sample.reply.whole)
            }),
            check("every admitted prompt finished in time", {
                samples(|sample| sample.fate() == Fate::Failed)
            }),
            check("every caller heard the end by the deadline", samples(Sample::is_late)),
            check("no prompt ran whose caller heard \"not run\"", self.ran_though_refused),
            check("each registration ran at most once", keys(|_, runs| runs > 1)),
            check("every registration heard as done ran", {
                keys(|r, runs| runs == 0 && r.heard.contains(&Heard::Done))
            }),
            check("no registration ran whose callers all heard \"not run\"", {
                keys(|r, runs| runs > 0 && r.heard.iter().all(|heard| *heard == Heard::NotRun))
            }),
            check("every registration was done", {
                keys(|r, _| !r.heard.iter().all(|heard| *heard == Heard::Done))
            }),
        ]
    }
}

fn code(sample: &Sample) -> &str {
    sample.reply.code.as_deref().unwrap_or("no answer")
}
