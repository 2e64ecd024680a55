//! What the lines of one request tell of its end.

use std::fmt;

use serde::Serialize;

use super::line::Line;

/// The length of a prompt, in the bands of the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Band {
    /// A call without a prompt.
    None,
    /// Up to 12,000 tokens.
    To12k,
    /// Up to 120,000 tokens.
    To120k,
    /// Up to 450,000 tokens.
    To450k,
    /// Longer ones.
    Over450k,
}

impl Band {
    fn of(tokens: f64) -> Band {
        match tokens {
            tokens if tokens < 1.0 => Band::None,
            tokens if tokens <= 12_000.0 => Band::To12k,
            tokens if tokens <= 120_000.0 => Band::To120k,
            tokens if tokens <= 450_000.0 => Band::To450k,
            _ => Band::Over450k,
        }
    }
}

impl fmt::Display for Band {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Band::None => "none",
            Band::To12k => "to_12k",
            Band::To120k => "to_120k",
            Band::To450k => "to_450k",
            Band::Over450k => "over_450k",
        })
    }
}

/// What became of a request. Where several things happened to it, the first one in this order that
/// explains its end.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It was served on time.
    OnTime,
    /// It was refused, for this reason.
    Refused(String),
    /// Its answer ended in another way than whole.
    Ended(String),
    /// Its first event was late, and an endpoint had refused it or couldn't be reached.
    LateAfterRefusal,
    /// The same after a run that failed.
    LateAfterFailure,
    /// The same, and another endpoint was asked beside a slow one.
    LateBesideSlow,
    /// The same, and it had to be placed anew.
    LatePlacedAnew,
    /// Its first event was late, as foretold.
    LateAsForetold,
    /// Its first event was late, which wasn't foretold.
    LateUnforeseen,
    /// A pause was too long, after which it went on elsewhere.
    PauseOfFailure,
    /// A pause was too long.
    Pause,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Cause::Refused(reason) => return write!(f, "refused: {reason}"),
            Cause::Ended(outcome) => return write!(f, "ended: {outcome}"),
            Cause::OnTime => "on time",
            Cause::LateAfterRefusal => "late after an endpoint's refusal",
            Cause::LateAfterFailure => "late after a failed run",
            Cause::LateBesideSlow => "late beside a slow endpoint",
            Cause::LatePlacedAnew => "late, placed anew",
            Cause::LateAsForetold => "late as foretold",
            Cause::LateUnforeseen => "late, unforeseen",
            Cause::PauseOfFailure => "pause after a failed run",
            Cause::Pause => "pause",
        })
    }
}

/// One request, as far as its lines have been read.
#[derive(Debug, Default)]
pub(super) struct Story {
    prompt: f64,
    predicted_ms: Option<f64>,
    goal_ms: f64,
    was_refused: bool,
    has_failed: bool,
    was_hedged: bool,
    was_placed_anew: bool,
    end: Option<End>,
}

#[derive(Debug)]
struct End {
    arrived: f64,
    how: How,
}

#[derive(Debug)]
enum How {
    Refused(String),
    Ended(String),
    Whole { first_late: bool, pause_late: bool },
}

impl Story {
    pub(super) fn read(&mut self, line: &Line<'_>) {
        self.prompt = self.prompt.max(line.number("prompt").unwrap_or_default());
        match line.event {
            "placed" => {
                self.predicted_ms = self.predicted_ms.or(line.number("predicted_ms"));
            }
            "not_run" | "not_sent" | "not_reserved" => self.was_refused = true,
            "attempt_failed" | "endpoint_error" => self.has_failed = true,
            "hedged" => self.was_hedged = true,
            "placed_anew" => self.was_placed_anew = true,
            "refused" => {
                let reason = line.field("reason").unwrap_or_default().to_owned();
                self.end = Some(End { arrived: line.time, how: How::Refused(reason) });
            }
            "request" => {
                self.goal_ms = line.number("goal_ms").unwrap_or(f64::MAX);
                self.end = request(line);
            }
            _ => {}
        }
    }

    pub(super) fn band(&self) -> Band {
        Band::of(self.prompt)
    }

    /// When it arrived, in seconds since 1970, and what became of it; none where it isn't over.
    pub(super) fn end(&self) -> Option<(f64, Cause)> {
        let End { arrived, how } = self.end.as_ref()?;
        let cause = match how {
            How::Refused(reason) => Cause::Refused(reason.clone()),
            How::Ended(outcome) => Cause::Ended(outcome.clone()),
            How::Whole { first_late: true, .. } => self.late(),
            How::Whole { pause_late: true, .. } if self.has_failed => Cause::PauseOfFailure,
            How::Whole { pause_late: true, .. } => Cause::Pause,
            How::Whole { .. } => Cause::OnTime,
        };
        Some((*arrived, cause))
    }

    fn late(&self) -> Cause {
        let foretold = self.predicted_ms.is_some_and(|ms| ms > self.goal_ms);
        match self {
            Story { was_refused: true, .. } => Cause::LateAfterRefusal,
            Story { has_failed: true, .. } => Cause::LateAfterFailure,
            Story { was_hedged: true, .. } => Cause::LateBesideSlow,
            Story { was_placed_anew: true, .. } => Cause::LatePlacedAnew,
            _ if foretold => Cause::LateAsForetold,
            _ => Cause::LateUnforeseen,
        }
    }
}

fn request(line: &Line<'_>) -> Option<End> {
    let outcome = line.field("outcome")?;
    let arrived = line.time - line.number("total_ms")? / 1_000.0;
    let how = match outcome {
        "finished" => {
            let over = |taken: &str, bound: &str| {
                let (taken, bound) = (line.number(taken), line.number(bound));
                taken.zip(bound).is_some_and(|(taken, bound)| taken > bound)
            };
            How::Whole {
                first_late: over("first_ms", "goal_ms"),
                pause_late: over("pause_ms", "pause_goal_ms"),
            }
        }
        other => How::Ended(other.to_owned()),
    };
    Some(End { arrived, how })
}
