//! Digests, by which two instances find out which members they know differently.
//!
//! Members are divided into buckets by their names; a digest holds one hash of each bucket.

use xxhash_rust::xxh3::Xxh3;

use super::Entry;

/// Members for each bucket, so that few entries are sent for one that differs.
const MEMBERS_PER_BUCKET: usize = 8;

/// Maximum number of buckets, so that a digest fits into one packet.
const MAX_BUCKETS: usize = 64;

/// Number of buckets for this number of members.
pub(super) fn bucket_count(members: usize) -> usize {
    (members / MEMBERS_PER_BUCKET).next_power_of_two().clamp(1, MAX_BUCKETS)
}

/// Whether a digest may have this number of buckets.
pub(super) fn is_bucket_count(buckets: usize) -> bool {
    buckets.is_power_of_two() && buckets <= MAX_BUCKETS
}

/// Hashes of an entry: by which its bucket is chosen, and which changes with its content.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EntryHash {
    name: u64,
    content: u32,
}

impl EntryHash {
    pub(super) fn of(entry: &Entry) -> EntryHash {
        let mut hasher = Xxh3::new();
        hasher.update(entry.instance.as_str().as_bytes());
        let name = hasher.digest();
        hasher.update(&entry.incarnation.0.to_le_bytes());
        hasher.update(&entry.revision.to_le_bytes());
        hasher.update(&[entry.status as u8]);
        EntryHash { name, content: hasher.digest() as u32 }
    }

    /// Index of the entry's bucket among `buckets`, a power of two.
    pub(super) fn bucket(self, buckets: usize) -> usize {
        self.name as usize & (buckets - 1)
    }

    /// Adds the entry to a digest, or removes it.
    pub(super) fn toggle(self, digest: &mut [u32]) {
        let bucket = self.bucket(digest.len());
        digest[bucket] ^= self.content;
    }
}
