//! A bound on the bytes of bodies that an instance holds at once.
//!
//! The failure: many large uploads come together, each within its own limit, and the process runs
//! out of memory, which cuts every caller and not only the ones who caused it. A request that
//! would pass the bound is refused before its body is read.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// The most bytes of bodies held at once: two hundred prompts of a million tokens. More than that
/// many can't meet their deadlines on a fleet of today's size anyway.
pub const MAX_BUFFERED_BODY_BYTES: usize = 1 << 30;

/// Counts what is held.
#[derive(Debug, Clone, Default)]
pub struct BodyBudget {
    used_bytes: Arc<AtomicUsize>,
}

/// Bytes taken from a budget; dropping it gives them back.
#[derive(Debug)]
pub struct BodyPermit {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyBudget {
    /// Takes `bytes`, or none where that would pass [`BODY_BYTES`].
    pub fn try_acquire(&self, bytes: usize) -> Option<BodyPermit> {
        let grown = |used_bytes: usize| {
            used_bytes.checked_add(bytes).filter(|sum| *sum <= MAX_BUFFERED_BODY_BYTES)
        };
        self.used_bytes.fetch_update(Ordering::AcqRel, Ordering::Acquire, grown).ok()?;
        Some(BodyPermit { budget: self.clone(), bytes })
    }
}

impl BodyPermit {
    /// Gives back what is above `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let over = self.bytes.saturating_sub(bytes);
        self.budget.used_bytes.fetch_sub(over, Ordering::AcqRel);
        self.bytes -= over;
    }
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
