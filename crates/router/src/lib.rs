//! Passes requests on to endpoints by route, answers as the endpoints gave them.
//!
//! What an outside system calls its headers and fields is the affair of a [`dialect::Dialect`] and
//! of the sources in [`source`]; here they are facts. `docs/ARCHITECTURE.md` describes the path of
//! a request, `docs/decisions/platform.md` why it is arranged so.

pub mod clock;
pub mod dialect;
mod entry;
pub mod events;
pub mod filter;
pub mod follow;
pub mod freshness;
pub mod instance;
pub mod links;
pub mod metrics;
pub mod net;
pub mod serve;
pub mod settings;
pub mod signal;
pub mod snapshot;
pub mod source;
pub mod state;

use std::sync::{Mutex, MutexGuard, PoisonError};

pub use instance::Instance;
pub use settings::Settings;

/// The most names in one log line.
const MAX_NAMES: usize = 16;

/// Names for a log line, and how many more there are.
pub(crate) fn names<'a>(names: impl ExactSizeIterator<Item = &'a str>) -> String {
    let more = names.len().saturating_sub(MAX_NAMES);
    let mut text = names.take(MAX_NAMES).collect::<Vec<_>>().join(",");
    if more > 0 {
        text += &format!("+{more}");
    }
    text
}

/// Locks, also after a panic elsewhere: every change under these locks is a single step.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
