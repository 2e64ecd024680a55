//! Limits the total size of the request bodies that an instance buffers.
//!
//! Guards against many concurrent large uploads, each within its own limit, that exhaust the memory
//! of the process and so cut off all callers, not only those that caused it. A request that would
//! exceed the limit is refused before its body is read.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Maximum total size of buffered bodies: two hundred prompts of a million tokens. A fleet of
/// today's size couldn't serve more than that within their deadlines anyway.
pub const MAX_BUFFERED_BODY_BYTES: usize = 1 << 30;

/// Counts the bytes of all permits.
#[derive(Debug, Clone, Default)]
pub struct BodyBudget {
    used_bytes: Arc<AtomicUsize>,
}

/// Permission to buffer a number of bytes. Dropping it returns them to the budget.
#[derive(Debug)]
pub struct BodyPermit {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyBudget {
    /// Acquires `bytes`, unless the total would exceed [`MAX_BUFFERED_BODY_BYTES`].
    pub fn try_acquire(&self, bytes: usize) -> Option<BodyPermit> {
        let increased = |used_bytes: usize| {
            used_bytes.checked_add(bytes).filter(|sum| *sum <= MAX_BUFFERED_BODY_BYTES)
        };
        self.used_bytes.fetch_update(Ordering::AcqRel, Ordering::Acquire, increased).ok()?;
        Some(BodyPermit { budget: self.clone(), bytes })
    }
}

impl BodyPermit {
    /// Reduces the permit to `bytes` and returns the rest to the budget.
    pub fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.budget.used_bytes.fetch_sub(excess, Ordering::AcqRel);
        self.bytes -= excess;
    }
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
