//! Results as Markdown: one table for each pattern.

use std::fmt::Write as _;

use super::{Export, figure};
use crate::{
    bench::{
        goals::goals,
        result::{BenchReport, BenchResult},
    },
    error::CliResult,
};

const HEAD: &str = "| policy | short p99 ms | slowdown | long p95 ms | slowdown | worst ms \
    | offered | admitted | in time | refused | failed | ended late | goodput tokens/s \
    | wasted prefill | fairness | others served |\n\
    |---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n";

const BAND_HEAD: &str = "\n| policy | band | admitted | refused | failed | p50 ms | p95 ms | p99 ms \
    | worst ms |\n|---|---|--:|--:|--:|--:|--:|--:|--:|\n";

const GOALS_HEAD: &str = "| measured | goal |\n|---|---|\n";

/// Markdown.
pub(crate) struct Markdown;

impl Export for Markdown {
    fn export(&self, report: &BenchReport) -> CliResult<String> {
        let mut text = String::from(GOALS_HEAD);
        for goal in goals(report) {
            let verdict = if goal.met { "met" } else { "missed" };
            // Writing to a string can't fail.
            let _ = writeln!(text, "| {:.2} {} | {verdict} |", goal.measured, goal.wanted);
        }
        text.push('\n');
        let mut pattern = None;
        for result in &report.results {
            if pattern == Some(result.pattern) {
                continue;
            }
            pattern = Some(result.pattern);
            let of_pattern: Vec<&BenchResult> =
                report.results.iter().filter(|other| Some(other.pattern) == pattern).collect();
            let _ = write!(text, "### {}\n\n{HEAD}", result.pattern);
            of_pattern.iter().for_each(|result| summary(&mut text, result));
            text.push_str(BAND_HEAD);
            of_pattern.iter().for_each(|result| bands(&mut text, result));
            text.push('\n');
        }
        Ok(text)
    }
}

fn summary(text: &mut String, result: &BenchResult) {
    // Writing to a string can't fail.
    let _ = writeln!(
        text,
        "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {:.0} | {:.1}% | {} | {:.3} |",
        name(result),
        figure(result.short_ttft_p99_ms, 1),
        figure(result.short_slowdown, 2),
        figure(result.long_ttft_p95_ms, 0),
        figure(result.long_slowdown, 2),
        figure(result.worst_ttft_ms, 0),
        result.offered,
        result.admitted,
        result.finished_in_time,
        result.refused,
        result.failed,
        result.ended_late,
        result.goodput_tokens_per_s,
        result.wasted_share() * 100.0,
        figure(result.fairness, 2),
        result.others_served
    );
}

fn bands(text: &mut String, result: &BenchResult) {
    for (band, stats) in &result.bands {
        let _ = writeln!(
            text,
            "| {} | {band} | {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.1} |",
            name(result),
            stats.admitted,
            stats.refused,
            stats.failed,
            stats.p50_ms,
            stats.p95_ms,
            stats.p99_ms,
            stats.worst_ms
        );
    }
}

fn name(result: &BenchResult) -> String {
    match result.pattern {
        crate::bench::pattern::Pattern::WeightsCurve => result.setting.clone(),
        _ => result.policy.to_string(),
    }
}
