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

use crate::controller::LEASE;

/// Ids that are remembered after they were let go. The oldest go first, and end with their leases.
pub const MAX_UNWANTED: usize = 4_096;

/// How long a released id is remembered while no listing shows that it is gone. By then its lease
/// has ended it, because nobody renews it.
const RELEASED_FOR: Duration = LEASE.saturating_mul(2);

/// What is held on one engine, and what was let go and may still be there.
#[derive(Debug, Default)]
pub struct Holdings {
    wanted: IndexMap<String, HeldKind>,
    unwanted: IndexMap<String, Unwanted>,
}

#[derive(Debug)]
struct Unwanted {
    since: Instant,
    is_released: bool,
}

impl Holdings {
    /// Notes what is about to be held.
    pub fn hold(&mut self, id: String, kind: HeldKind) {
        self.wanted.insert(id, kind);
    }

    /// Forgets what the engine has ended itself.
    pub fn ended(&mut self, id: &str) {
        self.wanted.swap_remove(id);
    }

    /// Notes that `id` has to be released.
    pub fn let_go(&mut self, id: &str, now: Instant) {
        let Some((id, _)) = self.wanted.swap_remove_entry(id) else { return };
        if self.unwanted.len() >= MAX_UNWANTED {
            self.unwanted.shift_remove_index(0);
        }
        self.unwanted.insert(id, Unwanted { since: now, is_released: false });
    }

    /// Whether `id` is still wanted.
    pub fn wants(&self, id: &str) -> bool {
        self.wanted.contains_key(id)
    }

    /// What has to be renewed. A stream has no lease while its connection stands, and none that
    /// lost its connection is wanted.
    pub fn renewed(&self) -> Vec<String> {
        let reserved = self.wanted.iter().filter(|(_, kind)| **kind != HeldKind::Stream);
        reserved.map(|(id, _)| id.clone()).collect()
    }

    /// What was let go and isn't proved to be gone.
    pub fn unwanted(&self) -> Vec<String> {
        self.unwanted.keys().cloned().collect()
    }

    /// The engine confirmed the release of `ids`.
    pub fn released(&mut self, ids: &[String]) {
        for id in ids {
            if let Some(unwanted) = self.unwanted.get_mut(id) {
                unwanted.is_released = true;
            }
        }
    }

    /// Forgets what a listing that was asked for at `asked` proves to be gone.
    pub fn listed(&mut self, page: &HeldPage, asked: Instant) {
        let there: HashSet<&str> = page.held.iter().map(|held| held.id.as_str()).collect();
        self.unwanted.retain(|id, unwanted| unwanted.since >= asked || there.contains(id.as_str()));
    }

    /// Forgets what was released so long ago that its lease has ended.
    pub fn expire(&mut self, now: Instant) {
        self.unwanted.retain(|_, unwanted| {
            !unwanted.is_released || now.saturating_duration_since(unwanted.since) < RELEASED_FOR
        });
    }
}
