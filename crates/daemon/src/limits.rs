//! The machine's limits: its memory, and the open files of the process.

use std::fs;

use router::resources::ResourceLimits;
use rustix::process::{Resource, getrlimit, setrlimit};

use crate::settings::Settings;

/// Files that the process needs besides callers' connections: listeners, connections to other
/// instances, polls of endpoints.
const RESERVED_FILES: u64 = 256;

/// Memory that is used at most where the settings don't state any. The rest of a larger machine may
/// be meant for other processes.
const MAX_DEFAULT_MEMORY_BYTES: u64 = 2 << 30;

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
    let allowed = open_files();
    let wanted = 2 * max_connections as u64 + RESERVED_FILES;
    if allowed < wanted {
        log::warn!(allowed, wanted; "open_files_too_few");
    }
}

/// What the settings and the machine allow callers to make the process hold.
pub fn of_machine(settings: &Settings) -> ResourceLimits {
    let memory = match settings.memory_mb {
        Some(megabytes) => megabytes << 20,
        None => system_memory()
            .map_or(MAX_DEFAULT_MEMORY_BYTES, |bytes| bytes.min(MAX_DEFAULT_MEMORY_BYTES)),
    };
    let open_files = settings.open_files.unwrap_or(u64::MAX).min(open_files());
    ResourceLimits {
        memory: usize::try_from(memory).unwrap_or(usize::MAX),
        open_files: usize::try_from(open_files).unwrap_or(usize::MAX),
        max_connections: settings.max_connections,
    }
}

fn open_files() -> u64 {
    getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX)
}

/// Memory of the machine in bytes, or what the process may use of it if that is less.
fn system_memory() -> Option<u64> {
    let allowed = [Resource::As, Resource::Data].into_iter().filter_map(|r| getrlimit(r).current);
    let info = fs::read_to_string("/proc/meminfo").ok();
    let total = info.as_deref().and_then(total_memory);
    allowed.chain(total).min()
}

/// Reads the line `MemTotal:  16384 kB` of `/proc/meminfo`.
fn total_memory(info: &str) -> Option<u64> {
    let line = info.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes << 10)
}
