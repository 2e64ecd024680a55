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
pub const BODY_BYTES: usize = 1 << 30;

/// Counts what is held.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    held: Arc<AtomicUsize>,
}

/// Bytes taken from a budget; dropping it gives them back.
#[derive(Debug)]
pub struct Share {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    /// Takes `bytes`, or none where that would pass [`BODY_BYTES`].
    pub fn take(&self, bytes: usize) -> Option<Share> {
        let grown = |held: usize| held.checked_add(bytes).filter(|sum| *sum <= BODY_BYTES);
        self.held.fetch_update(Ordering::AcqRel, Ordering::Acquire, grown).ok()?;
        Some(Share { budget: self.clone(), bytes })
    }
}

impl Share {
    /// Gives back what is above `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let over = self.bytes.saturating_sub(bytes);
        self.budget.held.fetch_sub(over, Ordering::AcqRel);
        self.bytes -= over;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.shrink(0);
    }
}
