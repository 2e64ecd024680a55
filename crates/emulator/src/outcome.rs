//! Evaluation of what callers received.

use serde::Serialize;

use crate::spec::{RequestKind, SiteSpec};

/// What the caller of one request received.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct CallResult {
    /// Index of its kind in [`SiteSpec::kinds`].
    pub kind: usize,
    /// Length of its prompt, in tokens.
    pub prompt: u64,
    /// Time to its first event, in milliseconds; `None` if none arrived.
    pub first_ms: Option<f64>,
    /// Predicted time from its last placement to its first event, in milliseconds.
    pub predicted_ms: f64,
    /// Time between its last placement and the time to send it, in milliseconds.
    pub held_ms: f64,
    /// Longest pause between two events, in milliseconds.
    pub pause_ms: f64,
    /// Whether the answer was complete.
    pub is_complete: bool,
    /// Whether the request was finally refused.
    pub is_refused: bool,
}

impl CallResult {
    /// Whether the answer was complete, and its first event and pauses met the goals of `kind`.
    pub fn is_on_time(&self, kind: &RequestKind) -> bool {
        let first = self.first_ms.is_some_and(|ms| ms <= kind.goal_ms);
        self.is_complete && first && self.pause_ms <= kind.pause_ms
    }

    /// Value of the answer: that of its kind, weighted by [`CallResult::size`].
    fn worth(&self, kind: &RequestKind) -> f64 {
        match (self.is_complete, self.is_on_time(kind)) {
            (true, true) => kind.worth * self.size(kind),
            (true, false) => kind.late_worth * self.size(kind),
            _ => 0.0,
        }
    }

    /// Weight of a request within its kind, as the sites count it: three tenths are the same for
    /// all requests of the kind, the rest is proportional to the length of the prompt. The weight
    /// is at most four times the mean.
    fn size(&self, kind: &RequestKind) -> f64 {
        (0.3 + 0.7 * self.prompt as f64 / kind.prompt).min(4.0)
    }
}

/// Summary of what the callers of one kind received.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct KindSummary {
    /// Name of the kind.
    pub kind: String,
    /// Number of requests.
    pub asked: usize,
    /// Share of requests that were complete and on time.
    pub on_time: f64,
    /// Share of requests that were complete and late.
    pub late: f64,
    /// Share of requests that were refused.
    pub refused: f64,
    /// Goodput: earned share of the kind's possible value.
    pub worth: f64,
    /// Median time to the first event, in milliseconds.
    pub first_p50_ms: f64,
    /// 99th percentile of the time to the first event, in milliseconds.
    pub first_p99_ms: f64,
    /// 99th percentile of the longest pause of a complete answer, in milliseconds.
    pub pause_p99_ms: f64,
}

/// Summarizes the results of each kind, in the order of [`SiteSpec::kinds`].
pub fn summarize_by_kind(spec: &SiteSpec, received: &[CallResult]) -> Vec<KindSummary> {
    let kinds = spec.kinds.iter().enumerate();
    kinds
        .map(|(index, kind)| {
            let of_kind: Vec<&CallResult> = received.iter().filter(|r| r.kind == index).collect();
            summarize(kind, &of_kind)
        })
        .collect()
}

/// Goodput: earned share of the possible value of all requests.
pub fn worth_ratio(spec: &SiteSpec, received: &[CallResult]) -> f64 {
    let (mut earned, mut possible) = (0.0, 0.0);
    for answer in received {
        let kind = &spec.kinds[answer.kind];
        earned += answer.worth(kind);
        possible += kind.worth * answer.size(kind);
    }
    ratio(earned, possible)
}

fn summarize(kind: &RequestKind, received: &[&CallResult]) -> KindSummary {
    let asked = received.len();
    let share_of = |predicate: &dyn Fn(&&&CallResult) -> bool| {
        ratio(received.iter().filter(predicate).count() as f64, asked as f64)
    };
    let firsts = received.iter().filter_map(|r| r.first_ms).collect();
    let pauses = received.iter().filter(|r| r.is_complete).map(|r| r.pause_ms).collect();
    let earned: f64 = received.iter().map(|r| r.worth(kind)).sum();
    let possible: f64 = received.iter().map(|r| kind.worth * r.size(kind)).sum();
    let firsts = sorted(firsts);
    KindSummary {
        kind: kind.name.clone(),
        asked,
        on_time: share_of(&|r| r.is_on_time(kind)),
        late: share_of(&|r| r.is_complete && !r.is_on_time(kind)),
        refused: share_of(&|r| r.is_refused),
        worth: ratio(earned, possible),
        first_p50_ms: quantile(&firsts, 0.5),
        first_p99_ms: quantile(&firsts, 0.99),
        pause_p99_ms: quantile(&sorted(pauses), 0.99),
    }
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 1.0 }
}

fn sorted(mut values: Vec<f64>) -> Vec<f64> {
    values.sort_by(f64::total_cmp);
    values
}

fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    let index = ((sorted.len() as f64 * fraction) as usize).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or(f64::NAN)
}
