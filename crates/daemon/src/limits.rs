//! The process's limit of open files, which is also that of its connections.

use rustix::process::{Resource, getrlimit, setrlimit};

/// Files that the process needs besides its connections: listeners, links to other instances,
/// polls of endpoints.
const OTHERS: u64 = 256;

/// Raises the limit of open files as far as the system allows, and tells where that isn't enough
/// for `connections` callers.
///
/// The failure: the customary soft limit is 1,024, each stream takes two files, and from the five
/// hundredth on callers find nobody to accept them.
pub fn raise_open_files(connections: usize) {
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    if let Err(e) = setrlimit(Resource::Nofile, limit) {
        log::warn!(cause:% = e; "open_files_not_raised");
    }
    let allowed = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let wanted = 2 * connections as u64 + OTHERS;
    if allowed < wanted {
        log::warn!(allowed, wanted; "open_files_too_few");
    }
}
