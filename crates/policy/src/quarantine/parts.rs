//! Isolation of parts of prompts that crash the endpoints that run them.
//!
//! **Load pattern.** Many requests, no two alike, share a part of their prompts that crashes each
//! endpoint that begins to write an answer. Sound requests share their other parts.
//!
//! **Without it.** Each request is a suspect by one death and never seen again, and one endpoint
//! after the other goes down.
//!
//! **Rule.** A death counts for each part that ran there, and a run that has written for some time,
//! or to its end, clears all its parts of the deaths before. From [`DEATHS_TO_HOLD`] deaths on a
//! part is tried by one request at a time, and from [`DEATHS_TO_REFUSE`] on after growing pauses
//! only. Who may try is one instance that all choose alike, and twice as many with each
//! [`TRIAL_SPREAD_INTERVAL`], as the chosen one may get no such request. Parts that were present at
//! all deaths of another are to blame as much: a request that holds only some of them may run at any
//! instance, and shows which it is.
//!
//! **Grounds.** This is adaptive group testing: the part to blame is in every death and in no run
//! that went on, while popular parts are cleared by the requests that are writing at any time. There
//! is no isolation as for whole requests, since half of all requests may hold a part.

use std::{collections::HashSet, time::Duration};

use super::{
    COMMON_CAUSE_WINDOW, Cleared, DEATHS_TO_HOLD, Quarantine, RUNNING_RETRY_DELAY, Suspect,
    table::DeathId,
};
use crate::{Fingerprint, Time, instances::Instances};

/// Deaths from which on a part is tried after pauses only.
const DEATHS_TO_REFUSE: usize = 5;

/// Shortest pause before such a trial: endpoints of a rack that fails may still be dying.
const MIN_TRIAL_PAUSE: Duration = COMMON_CAUSE_WINDOW;

/// The pause, as a multiple of the time between the death from which on a part is refused and the
/// latest one. Deaths at the same time may have one cause, and don't make it longer.
const TRIAL_PAUSE_FACTOR: u32 = 3;

/// Time in which twice as many instances may try a part.
const TRIAL_SPREAD_INTERVAL: Duration = Duration::from_secs(1);

/// How long a run has to write until it clears its parts. A part crashes its endpoint when the
/// answer begins.
pub(crate) const SOUND_AFTER: Duration = Duration::from_millis(300);

impl Quarantine {
    /// Records that a run with these parts has written for [`SOUND_AFTER`] or has ended completely.
    pub fn record_sound_run(&mut self, parts: &[Fingerprint], now: Time) {
        for part in parts {
            let Some(suspect) = self.suspects.get(part) else { continue };
            let deaths = suspect.deaths().iter().map(|death| death.id).collect();
            self.clear(*part, Cleared { at: now, deaths });
            self.news.add(*part, now);
        }
    }

    /// How long a request with these parts must not start at this instance; `None` if it may start
    /// now. `is_running` tells whether a request with a part is under way here.
    pub fn part_refusal(
        &self,
        parts: &[Fingerprint],
        is_running: impl Fn(Fingerprint) -> bool,
        instances: Option<&Instances>,
        now: Time,
    ) -> Option<Duration> {
        let refusal = |part: &Fingerprint| {
            let suspect = self.suspects.get(part).filter(|suspect| suspect.is_current(now))?;
            if suspect.deaths().len() < DEATHS_TO_HOLD {
                return None;
            }
            let pause = match self.holds_all_to_blame(parts, suspect) {
                true => trial_pause(*part, suspect, instances, now),
                false => Duration::ZERO,
            };
            match pause.is_zero() {
                false => Some(pause),
                true => is_running(*part).then_some(RUNNING_RETRY_DELAY),
            }
        };
        parts.iter().filter_map(refusal).max()
    }

    /// Whether `parts` has all parts that were present at each of a suspect's deaths.
    fn holds_all_to_blame(&self, parts: &[Fingerprint], suspect: &Suspect) -> bool {
        let is_to_blame = |other: &Suspect| {
            let known: HashSet<DeathId> = other.deaths().iter().map(|death| death.id).collect();
            suspect.deaths().iter().all(|death| known.contains(&death.id))
        };
        let candidates = self
            .suspects
            .iter()
            .filter(|(other, suspect)| other.is_part() && suspect.deaths().len() >= DEATHS_TO_HOLD);
        let mut to_blame = candidates.filter(|(_, other)| is_to_blame(other));
        to_blame.all(|(other, _)| parts.contains(other))
    }
}

/// How long this instance has to wait until it may try a part.
fn trial_pause(
    part: Fingerprint,
    suspect: &Suspect,
    instances: Option<&Instances>,
    now: Time,
) -> Duration {
    let refused_from = suspect.deaths().get(DEATHS_TO_REFUSE - 1);
    let pause = refused_from.map_or(Duration::ZERO, |death| {
        MIN_TRIAL_PAUSE.max(suspect.last_death().since(death.at) * TRIAL_PAUSE_FACTOR)
    });
    let preceding = instances.map_or(0, |instances| instances.preceding(part));
    // One instance may try at once, two after an interval, four after two.
    let doublings = (preceding + 1).next_power_of_two().trailing_zeros();
    let from = suspect.last_death() + pause + TRIAL_SPREAD_INTERVAL * doublings;
    from.since(now)
}
