//! The memory that this instance has on one engine, by id.
//!
//! Guards against memory that is let go while the engine's listing can't be read: what was let go
//! is remembered by its id and released by it, until the engine confirms. Only reservations are
//! renewed, each by its id, so that no renewal keeps memory that nobody wants.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use protocols::engine::wire::{HeldKind, HeldPage};

use crate::controller::RESERVATION_LEASE;

/// Ids that are remembered after they were let go. The oldest go first, and end with their leases.
pub const MAX_ABANDONED_IDS: usize = 4_096;

/// How long a released id is remembered while no listing shows that it is gone. By then its lease
/// has ended it, because nobody renews it.
const RELEASED_ID_RETENTION: Duration = RESERVATION_LEASE.saturating_mul(2);

/// What is held on one engine, and what was let go and may still be there.
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
    /// Notes what is about to be held.
    pub fn insert(&mut self, id: String, kind: HeldKind) {
        self.wanted.insert(id, kind);
    }

    /// Forgets what the engine has ended itself.
    pub fn record_ended(&mut self, id: &str) {
        self.wanted.swap_remove(id);
    }

    /// Notes that `id` has to be released.
    pub fn abandon(&mut self, id: &str, now: Instant) {
        let Some((id, _)) = self.wanted.swap_remove_entry(id) else { return };
        if self.abandoned.len() >= MAX_ABANDONED_IDS {
            self.abandoned.shift_remove_index(0);
        }
        self.abandoned.insert(id, AbandonedHolding { abandoned_at: now, is_released: false });
    }

    /// Whether `id` is still wanted.
    pub fn is_wanted(&self, id: &str) -> bool {
        self.wanted.contains_key(id)
    }

    /// What has to be renewed. A stream has no lease while its connection stands, and none that
    /// lost its connection is wanted.
    pub fn ids_to_renew(&self) -> Vec<String> {
        let reserved = self.wanted.iter().filter(|(_, kind)| **kind != HeldKind::Stream);
        reserved.map(|(id, _)| id.clone()).collect()
    }

    /// What was let go and isn't proved to be gone.
    pub fn abandoned(&self) -> Vec<String> {
        self.abandoned.keys().cloned().collect()
    }

    /// The engine confirmed the release of `ids`.
    pub fn record_release(&mut self, ids: &[String]) {
        for id in ids {
            if let Some(abandoned) = self.abandoned.get_mut(id) {
                abandoned.is_released = true;
            }
        }
    }

    /// Forgets what a listing that was asked for at `asked` proves to be gone.
    pub fn record_listing(&mut self, page: &HeldPage, asked: Instant) {
        let there: HashSet<&str> = page.held.iter().map(|held| held.id.as_str()).collect();
        self.abandoned
            .retain(|id, abandoned| abandoned.abandoned_at >= asked || there.contains(id.as_str()));
    }

    /// Forgets what was released so long ago that its lease has ended.
    pub fn expire(&mut self, now: Instant) {
        self.abandoned.retain(|_, abandoned| {
            !abandoned.is_released
                || now.saturating_duration_since(abandoned.abandoned_at) < RELEASED_ID_RETENTION
        });
    }
}
