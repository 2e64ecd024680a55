//! Entries of the quarantine, and the bounds of its tables.

use std::{hash::Hash, time::Duration};

use indexmap::IndexMap;

use crate::{
    Time,
    quarantine::{COMMON_CAUSE_WINDOW, FIRST_REFUSAL_PERIOD, MAX_REFUSAL_PERIOD, SUSPICION_TTL},
};

/// Maximum number of suspects kept, at about 60 bytes each: a hundred running requests at each of
/// 40 deaths an hour.
pub const MAX_SUSPECTS: usize = 4_096;

/// Maximum number of refused fingerprints kept. Each took two deaths of endpoints to confirm, so
/// this many can't come about by chance.
pub const MAX_CONFIRMED: usize = 1_024;

#[derive(Debug, Clone, Copy)]
pub(super) struct Suspect {
    pub(super) deaths: u32,
    pub(super) last_death: Time,
}

impl Suspect {
    /// A suspect before its first death is added.
    pub(super) fn at(now: Time) -> Suspect {
        Suspect { deaths: 0, last_death: now }
    }

    /// Adds a death at which the suspect was running. It counts if the suspect `ran_isolated`;
    /// otherwise it counts only if it can't have the same cause as the previous one.
    pub(super) fn add_death(&mut self, ran_isolated: bool, now: Time) {
        if !self.is_current(now) {
            self.deaths = 0;
        }
        let is_separate_cause = ran_isolated || now.since(self.last_death) >= COMMON_CAUSE_WINDOW;
        if self.deaths == 0 || is_separate_cause {
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
    next_period: Duration,
}

impl Confirmed {
    pub(super) const NEW: Confirmed =
        Confirmed { until: Time::ZERO, next_period: FIRST_REFUSAL_PERIOD };

    /// Starts the next refusal period, twice as long as the previous one.
    pub(super) fn renew(&mut self, now: Time) {
        self.until = self.until.max(now + self.next_period);
        self.next_period = (self.next_period * 2).min(MAX_REFUSAL_PERIOD);
    }

    pub(super) fn extend(&mut self, until: Time) {
        self.until = self.until.max(until);
    }

    /// Whether the entry is still needed: in force, or recent enough to double the next period.
    pub(super) fn is_needed(&self, now: Time) -> bool {
        now < self.until + self.next_period
    }
}

/// The time `age` before `now`.
pub(super) fn time_before(now: Time, age: Duration) -> Time {
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
