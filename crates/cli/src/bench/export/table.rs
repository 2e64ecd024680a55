//! Results on the terminal: a line each, as they come.

use super::figure;
use crate::bench::result::BenchResult;

/// The line above the results.
pub(crate) fn head() -> String {
    format!(
        "{:<17} {:<24} {:>9} {:>9} {:>9} {:>9} {:>9} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7}",
        "pattern",
        "policy",
        "short p99",
        "slowdown",
        "long p95",
        "slowdown",
        "worst ms",
        "offered",
        "admitted",
        "in time",
        "refused",
        "failed",
        "wasted",
        "wrong"
    )
}

/// One result.
pub(crate) fn line(result: &BenchResult) -> String {
    let wrong = result.wrong_answers + result.refused_not_run_but_ran;
    let mut line = format!(
        "{:<17} {:<24} {:>9} {:>9} {:>9} {:>9} {:>9} {:>8} {:>8} {:>8} {:>7} {:>7} {:>6.1}% {:>7}",
        result.pattern,
        result.policy.to_string(),
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
        result.wasted_share() * 100.0,
        wrong
    );
    if result.pattern == crate::bench::pattern::Pattern::WeightsCurve {
        line.push_str("  ");
        line.push_str(&result.setting);
    }
    line
}
