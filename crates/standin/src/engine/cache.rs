//! The prefix cache of a stand-in engine, and the events it publishes late and with gaps.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexSet;
use protocols::engine::wire::CacheEvent;

/// Events kept for late readers. Ten million-token prompts' worth of blocks.
const KEPT_EVENTS: usize = 40_000;
/// Events in one page.
const PAGE_EVENTS: usize = 4_096;

/// Cached blocks in order of use, oldest first.
#[derive(Default)]
pub(crate) struct PrefixCache {
    blocks: IndexSet<u64>,
    events: VecDeque<Timed>,
    sequence: u64,
    /// Events still to be left out.
    pub(crate) drop_events: u64,
}

struct Timed {
    at: Instant,
    event: CacheEvent,
}

impl PrefixCache {
    /// How many leading blocks of `prefix` are cached.
    pub(crate) fn covered(&self, prefix: &[u64]) -> usize {
        prefix.iter().take_while(|block| self.blocks.contains(*block)).count()
    }

    /// Stores a prefix; its first blocks count as used last, because every longer prefix needs
    /// them.
    pub(crate) fn store(&mut self, prefix: &[u64], now: Instant) {
        for block in prefix.iter().rev() {
            let known = self.blocks.shift_remove(block);
            self.blocks.insert(*block);
            if !known {
                self.publish(*block, true, now);
            }
        }
    }

    /// Evicts the blocks used longest ago until at most `room` are left.
    pub(crate) fn shrink(&mut self, room: usize, now: Instant) {
        let surplus = self.blocks.len().saturating_sub(room);
        let evicted: Vec<u64> = self.blocks.drain(..surplus).collect();
        for block in evicted {
            self.publish(block, false, now);
        }
    }

    /// The events from `from` on that are older than `lag`.
    pub(crate) fn page(&self, from: u64, lag: Duration, now: Instant) -> Vec<CacheEvent> {
        let start = self.events.partition_point(|timed| timed.event.sequence < from);
        let due = self.events.iter().skip(start).take_while(|timed| timed.at + lag <= now);
        due.take(PAGE_EVENTS).map(|timed| timed.event).collect()
    }

    fn publish(&mut self, block: u64, stored: bool, now: Instant) {
        let sequence = self.sequence;
        self.sequence += 1;
        if self.drop_events > 0 {
            self.drop_events -= 1;
            return;
        }
        if self.events.len() == KEPT_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Timed { at: now, event: CacheEvent { sequence, block, stored } });
    }
}
