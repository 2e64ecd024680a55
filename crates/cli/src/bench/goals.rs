//! The goals that the product's own policy is held to, and how far a report meets them.

use std::fmt;

use policy::config::PolicyName;

use crate::bench::{
    pattern::Pattern,
    result::{BenchReport, BenchResult},
};

/// Short requests beside long ones, at p99, over the same alone.
const SHORT_SLOWDOWN: f64 = 1.3;
/// Long prompts beside short ones, at p95, over the same alone.
const LONG_SLOWDOWN: f64 = 1.5;
/// Goodput at twice capacity, over that at capacity.
const OVERLOAD_GOODPUT: f64 = 0.9;
/// Share of the others' tokens that is served beside a hot caller.
const OTHERS_SERVED: f64 = 0.9;

/// One goal, as far as it was measured.
#[derive(Debug, Clone, PartialEq)]
pub struct Goal {
    /// What is wanted, as a sentence.
    pub wanted: &'static str,
    /// The figure measured.
    pub measured: f64,
    /// Whether it meets the goal.
    pub met: bool,
}

impl fmt::Display for Goal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.met { "met" } else { "MISSED" };
        write!(f, "{verdict:<6} {:>9.2}  {}", self.measured, self.wanted)
    }
}

/// All goals that the report has figures for.
pub fn goals(report: &BenchReport) -> Vec<Goal> {
    let mixed = own(report, Pattern::LongAmongShort);
    let overload = own(report, Pattern::Overload);
    let hot = own(report, Pattern::HotCaller);
    let lost = own(report, Pattern::LostEngine);
    let capacity = own(report, Pattern::Capacity);
    let goodput = overload.zip(capacity).map(|(overload, capacity)| {
        overload.goodput_tokens_per_s / capacity.goodput_tokens_per_s.max(1.0)
    });
    let all = report.results.iter().filter(|r| r.policy == PolicyName::Trefoilhall);
    let lies = all.clone().map(|r| r.refused_not_run_but_ran + r.wrong_answers);
    let late = |result: &BenchResult| result.ended_late as f64;
    let goals = [
        at_most(
            "times at most is a short request slowed down at p99 by the long ones beside it",
            mixed.and_then(|result| result.short_slowdown),
            SHORT_SLOWDOWN,
        ),
        at_most(
            "times at most is a long prompt slowed down at p95 by the short ones beside it",
            mixed.and_then(|result| result.long_slowdown),
            LONG_SLOWDOWN,
        ),
        at_least("of the goodput at capacity, at twice capacity", goodput, OVERLOAD_GOODPUT),
        at_most(
            "requests heard their end after their deadline, at twice capacity",
            overload.map(late),
            0.0,
        ),
        at_least(
            "of the others' tokens are served beside a hot caller",
            hot.map(|result| result.others_served),
            OTHERS_SERVED,
        ),
        at_most(
            "admitted requests had no whole answer in time, with one engine of four lost",
            lost.map(|result| result.failed as f64),
            0.0,
        ),
        at_most(
            "requests heard their end after their deadline, with one engine lost",
            lost.map(late),
            0.0,
        ),
        at_most(
            "answers of all patterns were wrong, or \"not run\" although it ran",
            Some(lies.sum::<u64>() as f64).filter(|_| all.clone().next().is_some()),
            0.0,
        ),
    ];
    goals.into_iter().flatten().collect()
}

fn own(report: &BenchReport, pattern: Pattern) -> Option<&BenchResult> {
    let own = |r: &&BenchResult| r.pattern == pattern && r.policy == PolicyName::Trefoilhall;
    report.results.iter().find(own)
}

fn at_most(wanted: &'static str, measured: Option<f64>, limit: f64) -> Option<Goal> {
    let measured = measured?;
    Some(Goal { wanted, measured, met: measured <= limit })
}

fn at_least(wanted: &'static str, measured: Option<f64>, limit: f64) -> Option<Goal> {
    let measured = measured?;
    Some(Goal { wanted, measured, met: measured >= limit })
}
