//! What callers received.

use serde::Serialize;

use crate::spec::{RequestKind, SiteSpec};

/// What one caller received.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct CallResult {
    /// Index of its kind.
    pub kind: usize,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Milliseconds to its first event.
    pub first_ms: Option<f64>,
    /// When its first event was foretold, in milliseconds from its placing.
    pub foretold_ms: f64,
    /// Milliseconds for which it was held after it was placed.
    pub held_ms: f64,
    /// Milliseconds of its longest pause.
    pub pause_ms: f64,
    /// The answer was whole.
    pub is_whole: bool,
    /// It was refused in the end.
    pub is_refused: bool,
}

impl CallResult {
    /// First event and pauses were as wanted.
    pub fn is_on_time(&self, kind: &RequestKind) -> bool {
        let first = self.first_ms.is_some_and(|ms| ms <= kind.goal_ms);
        self.is_whole && first && self.pause_ms <= kind.pause_ms
    }

    /// What the answer is worth, in units of its kind's mean.
    fn worth(&self, kind: &RequestKind) -> f64 {
        match (self.is_whole, self.is_on_time(kind)) {
            (true, true) => kind.worth * self.size(kind),
            (true, false) => kind.late_worth * self.size(kind),
            _ => 0.0,
        }
    }

    /// Three tenths of a request's worth are the same for all of its kind, the rest goes by the length
    /// of its prompt, up to four times the mean: as the sites count.
    fn size(&self, kind: &RequestKind) -> f64 {
        (0.3 + 0.7 * self.prompt as f64 / kind.prompt).min(4.0)
    }
}

/// What the callers of one kind received.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct KindSummary {
    /// Its name.
    pub kind: String,
    /// Requests.
    pub asked: usize,
    /// Share that was whole and on time.
    pub on_time: f64,
    /// Share that was whole and late.
    pub late: f64,
    /// Share that was refused.
    pub refused: f64,
    /// Share of the worth that was earned.
    pub worth: f64,
    /// Milliseconds to the first event that half of them had.
    pub first_p50_ms: f64,
    /// The same for 99 in 100.
    pub first_p99_ms: f64,
    /// Milliseconds of the longest pause of 99 in 100.
    pub pause_p99_ms: f64,
}

/// Sums up each kind.
pub fn summarize_by_kind(spec: &SiteSpec, received: &[CallResult]) -> Vec<KindSummary> {
    let each = spec.kinds.iter().enumerate();
    each.map(|(index, kind)| {
        let of_kind: Vec<&CallResult> = received.iter().filter(|r| r.kind == index).collect();
        sum_up(kind, &of_kind)
    })
    .collect()
}

/// Share of all worth that was earned.
pub fn worth_ratio(spec: &SiteSpec, received: &[CallResult]) -> f64 {
    let (mut earned, mut owed) = (0.0, 0.0);
    for answer in received {
        let kind = &spec.kinds[answer.kind];
        earned += answer.worth(kind);
        owed += kind.worth * answer.size(kind);
    }
    share(earned, owed)
}

fn sum_up(kind: &RequestKind, received: &[&CallResult]) -> KindSummary {
    let asked = received.len();
    let part = |wanted: &dyn Fn(&&&CallResult) -> bool| {
        share(received.iter().filter(wanted).count() as f64, asked as f64)
    };
    let firsts = received.iter().filter_map(|r| r.first_ms).collect();
    let pauses = received.iter().filter(|r| r.is_whole).map(|r| r.pause_ms).collect();
    let earned: f64 = received.iter().map(|r| r.worth(kind)).sum();
    let owed: f64 = received.iter().map(|r| kind.worth * r.size(kind)).sum();
    let firsts = sorted(firsts);
    KindSummary {
        kind: kind.name.clone(),
        asked,
        on_time: part(&|r| r.is_on_time(kind)),
        late: part(&|r| r.is_whole && !r.is_on_time(kind)),
        refused: part(&|r| r.is_refused),
        worth: share(earned, owed),
        first_p50_ms: quantile(&firsts, 0.5),
        first_p99_ms: quantile(&firsts, 0.99),
        pause_p99_ms: quantile(&sorted(pauses), 0.99),
    }
}

fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 1.0 }
}

fn sorted(mut values: Vec<f64>) -> Vec<f64> {
    values.sort_by(f64::total_cmp);
    values
}

fn quantile(sorted: &[f64], part: f64) -> f64 {
    let index = ((sorted.len() as f64 * part) as usize).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or(f64::NAN)
}
