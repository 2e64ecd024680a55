//! The entries of the quarantine and their bounds.

use std::{hash::Hash, time::Duration};

use indexmap::IndexMap;

use crate::{
    Time,
    quarantine::{COMMON_CAUSE_WINDOW, FIRST_REFUSAL_PERIOD, MAX_REFUSAL_PERIOD, SUSPICION_TTL},
};

/// The most suspects kept, at about 60 bytes each: some hundred running requests at each of 40
/// deaths an hour.
pub const MAX_SUSPECTS: usize = 4_096;

/// The most verdicts kept. Each cost two endpoints, so this many never come about by accident.
pub const MAX_CONFIRMED: usize = 1_024;

#[derive(Debug, Clone, Copy)]
pub(super) struct Suspect {
    pub(super) deaths: u32,
    pub(super) last_death: Time,
}

impl Suspect {
    /// A suspect whose first death is about to be added.
    pub(super) fn at(now: Time) -> Suspect {
        Suspect { deaths: 0, last_death: now }
    }

    /// Adds a death at which the suspect was present. One that it `ran_apart` at counts by itself;
    /// another counts only where it can't have the same cause as the one before.
    pub(super) fn add_death(&mut self, ran_apart: bool, now: Time) {
        if !self.is_current(now) {
            self.deaths = 0;
        }
        let is_other_cause = ran_apart || now.since(self.last_death) >= COMMON_CAUSE_WINDOW;
        if self.deaths == 0 || is_other_cause {
            self.deaths += 1;
        }
        self.last_death = self.last_death.max(now);
    }

    pub(super) fn is_current(&self, now: Time) -> bool {
        now.since(self.last_death) < SUSPICION_TTL
    }
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Confirmed {
    pub(super) until: Time,
    next_span: Duration,
}

impl Confirmed {
    pub(super) const NEW: Confirmed =
        Confirmed { until: Time::ZERO, next_span: FIRST_REFUSAL_PERIOD };

    /// Starts the next term, twice as long as the one before.
    pub(super) fn renew(&mut self, now: Time) {
        self.until = self.until.max(now + self.next_span);
        self.next_span = (self.next_span * 2).min(MAX_REFUSAL_PERIOD);
    }

    pub(super) fn extend(&mut self, until: Time) {
        self.until = self.until.max(until);
    }

    /// Whether the entry still matters: in force, or recent enough to double the next term.
    pub(super) fn is_remembered(&self, now: Time) -> bool {
        now < self.until + self.next_span
    }
}

/// The point `age` before `now`.
pub(super) fn before(now: Time, age: Duration) -> Time {
    Time(now.0.saturating_sub(u64::try_from(age.as_micros()).unwrap_or(u64::MAX)))
}

/// Drops the oldest entry of a full table, so that a flood of entries can't grow it.
pub(super) fn make_room<K: Hash + Eq, V>(
    table: &mut IndexMap<K, V>,
    limit: usize,
    age: impl Fn(&V) -> Time,
) {
    if table.len() < limit {
        return;
    }
    let oldest = table.values().enumerate().min_by_key(|(_, value)| age(value));
    if let Some(index) = oldest.map(|(index, _)| index) {
        table.swap_remove_index(index);
    }
}
