//! A bounded set of block hashes with approximate least-recently-used eviction.

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, Hasher},
};

/// Two generations approximate an LRU list: a touched block goes into the young generation; once
/// that is full, the old one is dropped and the young one takes its place. Both tables together
/// never hold more than `limit` blocks, and a touch costs one or two table operations.
#[derive(Debug)]
pub(super) struct LruBlockSet {
    young: Generation,
    old: Generation,
    limit: usize,
    /// Incremented whenever all blocks become uncertain; a block of an older epoch is uncertain.
    epoch: u32,
}

type Generation = HashMap<u64, u32, BuildHasherDefault<BlockHasher>>;

impl LruBlockSet {
    pub(super) fn new(limit: usize) -> LruBlockSet {
        LruBlockSet { young: Generation::default(), old: Generation::default(), limit, epoch: 0 }
    }

    pub(super) fn insert(&mut self, block: u64) {
        self.old.remove(&block);
        self.young.insert(block, self.epoch);
        if self.young.len() >= (self.limit / 2).max(1) {
            self.old = std::mem::take(&mut self.young);
        }
    }

    pub(super) fn remove(&mut self, block: u64) {
        self.young.remove(&block);
        self.old.remove(&block);
    }

    /// Whether the block is certainly cached; none if it isn't in the set.
    pub(super) fn is_certain(&self, block: u64) -> Option<bool> {
        let inserted_epoch = self.young.get(&block).or_else(|| self.old.get(&block))?;
        Some(*inserted_epoch == self.epoch)
    }

    pub(super) fn mark_all_uncertain(&mut self) {
        self.epoch = self.epoch.wrapping_add(1);
    }

    /// Lowers the limit, as more engines share the total.
    pub(super) fn lower_limit(&mut self, limit: usize) {
        self.limit = self.limit.min(limit);
        if self.len() > self.limit {
            self.old = Generation::default();
        }
        if self.young.len() > self.limit {
            self.young = Generation::default();
        }
    }

    pub(super) fn clear(&mut self) {
        self.young.clear();
        self.old.clear();
    }

    pub(super) fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }
}

/// Identity hasher, as block hashes are hashes already.
#[derive(Debug, Default)]
pub(super) struct BlockHasher(u64);

impl Hasher for BlockHasher {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, block: u64) {
        // The upper half is folded in because the table uses only the lowest and the highest bits.
        self.0 = block ^ (block >> 32);
    }

    fn finish(&self) -> u64 {
        self.0
    }
}
