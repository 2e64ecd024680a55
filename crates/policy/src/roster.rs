//! Which endpoints count as registered while their registry is unreliable.
//!
//! **Load pattern.** Endpoints register in a store whose registrations expire unless renewed, also
//! while the store itself is down. A few seconds after its recovery, all live endpoints are
//! registered again.
//!
//! **Without it.** After each outage of the store all endpoints look removed, and an instance
//! refuses every request although they all work.
//!
//! **Rule.** An endpoint missing from a read of the store is removed at once, unless the store
//! failed recently. Then it is kept until [`REGISTRATION_GRACE_PERIOD`] after the first successful
//! read, and removed if it is still missing.
//!
//! **Grounds.** Endpoints register again about two seconds after the store's recovery. A shorter
//! period would drop live endpoints; a much longer one would send requests to removed ones beyond
//! the time allowed for leaving.

use std::time::Duration;

use indexmap::IndexMap;

use crate::Time;

/// Time after a store's recovery within which its live endpoints register again.
pub const REGISTRATION_GRACE_PERIOD: Duration = Duration::from_millis(2_300);

/// Registrations of the last read, including those kept from before an outage.
#[derive(Debug, Clone)]
pub struct Roster<K, V> {
    entries: IndexMap<K, V>,
    /// Time of the first successful read after a failure.
    recovered_at: Option<Time>,
    failing: bool,
}

impl<K: Clone + Eq + std::hash::Hash, V: Clone + PartialEq> Default for Roster<K, V> {
    fn default() -> Self {
        Roster { entries: IndexMap::new(), recovered_at: None, failing: false }
    }
}

impl<K: Clone + Eq + std::hash::Hash, V: Clone + PartialEq> Roster<K, V> {
    /// Records that the store couldn't be read.
    pub fn record_failure(&mut self) {
        self.failing = true;
    }

    /// Applies a successful read of all registrations; true if the result differs from before.
    pub fn update(&mut self, registrations: &IndexMap<K, V>, now: Time) -> bool {
        if std::mem::take(&mut self.failing) {
            self.recovered_at = Some(now);
        }
        let keeps_missing =
            self.recovered_at.is_some_and(|at| now.since(at) < REGISTRATION_GRACE_PERIOD);
        if !keeps_missing {
            self.recovered_at = None;
        }
        let mut merged = registrations.clone();
        if keeps_missing {
            for (key, entry) in &self.entries {
                merged.entry(key.clone()).or_insert_with(|| entry.clone());
            }
        }
        let changed = merged != self.entries;
        self.entries = merged;
        changed
    }

    /// Whether to read again although the store has no changes, because missing entries are being
    /// kept.
    pub fn is_settling(&self) -> bool {
        self.recovered_at.is_some()
    }

    /// The entries that count as registered.
    pub fn entries(&self) -> &IndexMap<K, V> {
        &self.entries
    }
}
