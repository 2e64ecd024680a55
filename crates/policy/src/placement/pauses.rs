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
const KEEP: Duration = Duration::from_secs(60);

/// Different pauses that are remembered; a group serves few kinds of callers.
const MOST: usize = 16;

#[derive(Debug, Default)]
pub(super) struct Pauses {
    /// Milliseconds, and when they were seen last.
    seen: Vec<(u16, Time)>,
}

impl Pauses {
    pub(super) fn note(&mut self, pause_ms: u16, now: Time) {
        if let Some((_, at)) = self.seen.iter_mut().find(|(ms, _)| *ms == pause_ms) {
            *at = now;
            return;
        }
        self.seen.retain(|(_, at)| now.since(*at) < KEEP);
        if self.seen.len() < MOST {
            self.seen.push((pause_ms, now));
        }
    }

    /// The least pause that anybody bears, in milliseconds; infinite where nobody was seen.
    pub(super) fn least(&self) -> f64 {
        self.seen.iter().map(|(ms, _)| f64::from(*ms)).fold(f64::INFINITY, f64::min)
    }

    /// Whether somebody bears longer pauses than this one.
    pub(super) fn is_below_longest(&self, pause_ms: u16) -> bool {
        self.seen.iter().any(|(ms, _)| *ms > pause_ms)
    }
}
