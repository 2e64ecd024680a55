//! The pauses that callers of one endpoint group bear, as far as they have been seen.
//!
//! **Load pattern.** Short questions with tight goals and long dossiers with loose ones share engines, on
//! sites whose goals aren't known beforehand.
//!
//! **Without it.** What is short enough to be read beside writers, and who has to write apart from
//! reading, is set for one site's goals and hurts callers on another.
//!
//! **Rule.** A prompt is short if reading it takes no more than a share of the least pause that anybody
//! bears. All but those who bear the longest pauses write where others write.

use crate::Time;
use std::time::Duration;

/// How long callers of a kind are remembered.
const RETENTION: Duration = Duration::from_secs(60);

/// Different pauses that are remembered; a group serves few kinds of callers.
const MAX_PAUSE_GOALS: usize = 16;

#[derive(Debug, Default)]
pub(super) struct PauseGoals {
    /// Milliseconds, and when they were seen last.
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

    /// The least pause that anybody bears, in milliseconds; infinite where nobody was seen.
    pub(super) fn shortest(&self) -> f64 {
        self.seen.iter().map(|(ms, _)| f64::from(*ms)).fold(f64::INFINITY, f64::min)
    }

    /// Whether somebody bears longer pauses than this one.
    pub(super) fn is_below_longest(&self, pause_goal_ms: u16) -> bool {
        self.seen.iter().any(|(ms, _)| *ms > pause_goal_ms)
    }
}
