//! The process's limit on open files, which also limits its connections.

use rustix::process::{Resource, getrlimit, setrlimit};

/// Files that the process needs besides callers' connections: listeners, connections to other
/// instances, polls of endpoints.
const RESERVED_FILES: u64 = 256;

/// Raises the soft limit on open files to the hard limit, and logs a warning if that doesn't
/// suffice for `max_connections`.
///
/// Guards against refused connections: the usual soft limit is 1,024 and each stream takes two
/// files, so from about the five hundredth stream on connections wouldn't be accepted.
pub fn raise_open_files(max_connections: usize) {
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    if let Err(e) = setrlimit(Resource::Nofile, limit) {
        log::warn!(cause:% = e; "open_files_not_raised");
    }
    let allowed = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let wanted = 2 * max_connections as u64 + RESERVED_FILES;
    if allowed < wanted {
        log::warn!(allowed, wanted; "open_files_too_few");
    }
}
