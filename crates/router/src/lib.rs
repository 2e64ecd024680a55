//! Forwards requests to endpoints by route, and returns the endpoints' answers unchanged.
//!
//! Names of headers and fields in outside systems are known only to a [`dialect::Dialect`] and to
//! the implementations of the traits in [`source`]; this crate works on the decoded values.
//! `docs/ARCHITECTURE.md` describes the path of a request, `docs/decisions/platform.md` the reasons
//! for the design.

pub mod clock;
mod connection_use;
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
mod panic;
pub mod payload;
mod peer_listener;
pub mod request_body;
pub mod resources;
pub mod serve;
pub mod settings;
pub mod signal;
pub mod snapshot;
pub mod source;
pub mod state;
mod supervise;

use std::sync::{Mutex, MutexGuard, PoisonError};

pub use instance::Instance;
pub use settings::Settings;

/// Maximum number of names in one log line.
const MAX_LOGGED_NAMES: usize = 16;

/// Joins names for a log line; beyond the maximum, only the number of further names is added.
pub(crate) fn join_names<'a>(names: impl ExactSizeIterator<Item = &'a str>) -> String {
    let more = names.len().saturating_sub(MAX_LOGGED_NAMES);
    let mut text = names.take(MAX_LOGGED_NAMES).collect::<Vec<_>>().join(",");
    if more > 0 {
        text += &format!("+{more}");
    }
    text
}

/// Locks a mutex even if it is poisoned: every change under these locks is a single step, so a
/// panic leaves no inconsistent state.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
