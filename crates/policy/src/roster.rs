//! Which registered endpoints count as there.
//!
//! **Load pattern.** Endpoints register in a store that forgets those it hasn't heard of for a
//! while, also while it is down itself; a few seconds after its return all that live are back.
//!
//! **Without it.** After each outage of the store every endpoint looks gone, and an instance
//! refuses everything although all of them serve.
//!
//! **Rule.** What is missing in a reading is gone at once, unless the store failed a short while
//! ago; then it is kept until [`RETURN`] after the first good reading, and whatever is still
//! missing then is gone.
//!
//! **Grounds.** Registrations are back about two seconds after the store. Sooner, live endpoints
//! would be dropped; much later, gone ones would get work past the bound for leaving.

use std::time::Duration;

use indexmap::IndexMap;

use crate::Time;

/// How long after a store's return its registrations are back.
pub const REGISTRATION_GRACE_PERIOD: Duration = Duration::from_millis(2_300);

/// The registrations of which the last reading, or the one before an outage, told.
#[derive(Debug)]
pub struct Roster<K, V> {
    entries: IndexMap<K, V>,
    /// When the first good reading after a failure was.
    recovered_at: Option<Time>,
    failing: bool,
}

impl<K: Clone + Eq + std::hash::Hash, V: Clone + PartialEq> Default for Roster<K, V> {
    fn default() -> Self {
        Roster { entries: IndexMap::new(), recovered_at: None, failing: false }
    }
}

impl<K: Clone + Eq + std::hash::Hash, V: Clone + PartialEq> Roster<K, V> {
    /// The store couldn't be read.
    pub fn failed(&mut self) {
        self.failing = true;
    }

    /// Takes in a good reading of all registrations; true where the result differs from before.
    pub fn update(&mut self, found: &IndexMap<K, V>, now: Time) -> bool {
        if std::mem::take(&mut self.failing) {
            self.recovered_at = Some(now);
        }
        let keeps_missing =
            self.recovered_at.is_some_and(|at| now.since(at) < REGISTRATION_GRACE_PERIOD);
        if !keeps_missing {
            self.recovered_at = None;
        }
        let mut next = found.clone();
        if keeps_missing {
            for (key, entry) in &self.entries {
                next.entry(key.clone()).or_insert_with(|| entry.clone());
            }
        }
        let changed = next != self.entries;
        self.entries = next;
        changed
    }

    /// Whether another reading is worth while although the store has nothing new: something is
    /// kept that it doesn't have.
    pub fn is_settling(&self) -> bool {
        self.recovered_at.is_some()
    }

    /// The endpoints that count as there.
    pub fn entries(&self) -> &IndexMap<K, V> {
        &self.entries
    }
}
