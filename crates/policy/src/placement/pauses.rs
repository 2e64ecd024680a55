//! The pause goals of one endpoint group's callers, as observed.
//!
//! **Load pattern.** Short questions with tight goals and long prompts with loose ones share
//! engines, on sites whose goals aren't known in advance.
//!
//! **Without it.** Which prompts are short enough to be prefilled on engines that decode, and which
//! requests have to decode apart from prefill, is tuned to one site's goals and hurts callers at
//! another.
//!
//! **Rule.** A prompt is short if its prefill takes no more than a fraction of the shortest pause
//! goal. All requests but those with the longest pause goal run where others decode.

use crate::Time;
use std::time::Duration;

/// How long a pause goal is remembered without being used.
const RETENTION: Duration = Duration::from_secs(60);

/// Number of pause goals that are remembered; a group serves few kinds of callers.
const MAX_PAUSE_GOALS: usize = 16;

#[derive(Debug, Default)]
pub(super) struct PauseGoals {
    /// Pause goals in milliseconds, and when each was last used.
    seen: Vec<(u16, Time)>,
}

impl PauseGoals {
    pub(super) fn record(&mut self, pause_goal_ms: u16, now: Time) {
        if let Some((_, seen_at)) = self.seen.iter_mut().find(|(ms, _)| *ms == pause_goal_ms) {
            *seen_at = now;
            return;
        }
        self.seen.retain(|(_, seen_at)| now.since(*seen_at) < RETENTION);
        if self.seen.len() < MAX_PAUSE_GOALS {
            self.seen.push((pause_goal_ms, now));
        }
    }

    /// In milliseconds; infinite before the first request.
    pub(super) fn shortest(&self) -> f64 {
        self.seen.iter().map(|(ms, _)| f64::from(*ms)).fold(f64::INFINITY, f64::min)
    }

    /// Whether a longer pause goal is in use.
    pub(super) fn is_below_longest(&self, pause_goal_ms: u16) -> bool {
        self.seen.iter().any(|(ms, _)| *ms > pause_goal_ms)
    }
}
