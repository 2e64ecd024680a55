//! Tracks the memory that this instance holds on one engine, by id.
//!
//! Guards against leaks when memory is abandoned while the engine's listing can't be read:
//! abandoned ids are kept and released by id until the engine confirms it. Only reservations are
//! renewed, each by its id, so that no renewal keeps abandoned memory alive.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use protocols::engine::wire::{HeldKind, HeldPage};

use crate::controller::RESERVATION_LEASE;

/// Maximum number of abandoned ids that are kept. The oldest are dropped first; their memory is
/// freed when their leases expire.
pub const MAX_ABANDONED_IDS: usize = 4_096;

/// How long a released id is kept while no listing confirms the release. By then its lease has
/// expired, because it isn't renewed.
const RELEASED_ID_RETENTION: Duration = RESERVATION_LEASE.saturating_mul(2);

/// The memory held on one engine, and the abandoned memory that may remain there.
#[derive(Debug, Default)]
pub struct Holdings {
    wanted: IndexMap<String, HeldKind>,
    abandoned: IndexMap<String, AbandonedHolding>,
}

#[derive(Debug)]
struct AbandonedHolding {
    abandoned_at: Instant,
    is_released: bool,
}

impl Holdings {
    /// Registers memory that is about to be held.
    pub fn insert(&mut self, id: String, kind: HeldKind) {
        self.wanted.insert(id, kind);
    }

    /// Removes memory that the engine has released itself.
    pub fn record_ended(&mut self, id: &str) {
        self.wanted.swap_remove(id);
    }

    /// Marks `id` as no longer wanted, so that it will be released.
    pub fn abandon(&mut self, id: &str, now: Instant) {
        let Some((id, _)) = self.wanted.swap_remove_entry(id) else { return };
        if self.abandoned.len() >= MAX_ABANDONED_IDS {
            self.abandoned.shift_remove_index(0);
        }
        self.abandoned.insert(id, AbandonedHolding { abandoned_at: now, is_released: false });
    }

    /// Whether `id` is held and not abandoned.
    pub fn is_wanted(&self, id: &str) -> bool {
        self.wanted.contains_key(id)
    }

    /// The ids whose leases have to be renewed. Streams are excluded: they have no lease while
    /// their connection is open, and those that lost it are abandoned.
    pub fn ids_to_renew(&self) -> Vec<String> {
        let reserved = self.wanted.iter().filter(|(_, kind)| **kind != HeldKind::Stream);
        reserved.map(|(id, _)| id.clone()).collect()
    }

    /// The abandoned ids whose release isn't confirmed, oldest first.
    pub fn abandoned(&self) -> Vec<String> {
        self.abandoned.keys().cloned().collect()
    }

    /// Records that the engine accepted the release of `ids`.
    pub fn record_release(&mut self, ids: &[String]) {
        for id in ids {
            if let Some(abandoned) = self.abandoned.get_mut(id) {
                abandoned.is_released = true;
            }
        }
    }

    /// Removes abandoned ids that are missing from a listing requested at `requested_at`. Those
    /// abandoned later are kept.
    pub fn record_listing(&mut self, page: &HeldPage, requested_at: Instant) {
        let listed_ids: HashSet<&str> = page.held.iter().map(|held| held.id.as_str()).collect();
        self.abandoned.retain(|id, abandoned| {
            abandoned.abandoned_at >= requested_at || listed_ids.contains(id.as_str())
        });
    }

    /// Removes ids that were released and whose lease has expired since.
    pub fn expire(&mut self, now: Instant) {
        self.abandoned.retain(|_, abandoned| {
            !abandoned.is_released
                || now.saturating_duration_since(abandoned.abandoned_at) < RELEASED_ID_RETENTION
        });
    }
}
