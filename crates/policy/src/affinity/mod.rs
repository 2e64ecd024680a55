//! Index of the prefixes that each engine likely has cached.
//!
//! **Load pattern.** Many prompts of a workspace share a prefix (the same instructions, several
//! questions about one long document). Engines cache prefixes in limited memory, and their cache
//! events arrive late and with gaps.
//!
//! **Without it.** Each engine prefills the shared part again; a document of a hundred thousand
//! tokens with ten questions is prefilled ten times. Unconditional preference for the cache would
//! queue all of them at one engine, and an index that trusts a feed with gaps sends prompts to
//! caches evicted long ago.
//!
//! **Rule.** A block is expected to be cached if a cache event or a prompt sent by this instance
//! put it there and no event evicted it. A gap in the events, or an answer that reports far less
//! cached than expected, makes all blocks known before it uncertain: they count
//! [`UNCERTAIN_WEIGHT`] of their size until seen again. They aren't discarded, since they are
//! probably still cached. A new incarnation empties the engine's index. The cache doesn't override
//! load, because placement weighs only the prefill time saved; see [`crate::selection`].
//!
//! **Grounds.** [`MAX_BLOCKS_PER_ENGINE`] blocks are 2 million tokens, more than an engine's
//! specified memory (the longest prompts, a million tokens, need more than twice the memory of one
//! engine). [`MAX_BLOCKS`] limits the whole index to about 40 MB of the daemon's 256 MB.

mod blocks;

use indexmap::IndexMap;

use crate::{CacheEvents, EndpointId, Incarnation, RequestSpec, Tokens};

use blocks::LruBlockSet;

/// Weight of an uncertain block, as a share of its size. One half, as nothing indicates whether the
/// engine evicted it during the gap.
pub const UNCERTAIN_WEIGHT: f64 = 0.5;

/// Maximum number of blocks kept for one engine.
pub const MAX_BLOCKS_PER_ENGINE: usize = 8_192;

/// Maximum number of blocks kept in total, at about 40 bytes each in the hash tables.
pub const MAX_BLOCKS: usize = 1 << 20;

/// The likely contents of each engine's prefix cache.
#[derive(Debug, Default)]
pub struct CacheIndex {
    engines: IndexMap<EndpointId, EngineCache>,
}

#[derive(Debug)]
struct EngineCache {
    incarnation: Incarnation,
    /// Sequence number of the next expected event; none before the first event of this incarnation.
    next_event: Option<u64>,
    blocks: LruBlockSet,
}

impl CacheIndex {
    /// Creates an empty index.
    pub fn new() -> CacheIndex {
        CacheIndex::default()
    }

    /// Applies an engine's cache events. Events of an older incarnation and events applied before
    /// are ignored.
    pub fn apply(&mut self, events: &CacheEvents) {
        let Some(engine) = self.engine(&events.endpoint, events.incarnation) else {
            return;
        };
        // The feed starts at the engine's first event; receiving it only from a later one is a gap
        // too.
        let expected = engine.next_event.unwrap_or(0);
        if events.from > expected {
            engine.blocks.mark_all_uncertain();
        }
        let already_applied =
            usize::try_from(expected.saturating_sub(events.from)).unwrap_or(usize::MAX);
        for (block, stored) in events.events.iter().skip(already_applied) {
            if *stored {
                engine.blocks.insert(*block);
            } else {
                engine.blocks.remove(*block);
            }
        }
        engine.next_event = Some(expected.max(events.from + events.events.len() as u64));
    }

    /// Records that a prompt was sent to an engine, which will have cached it by the time another
    /// prompt with the same prefix arrives there.
    pub fn record_sent(&mut self, endpoint: &EndpointId, incarnation: Incarnation, prefix: &[u64]) {
        if let Some(engine) = self.engine(endpoint, incarnation) {
            prefix
                .iter()
                .take(MAX_BLOCKS_PER_ENGINE)
                .for_each(|block| engine.blocks.insert(*block));
        }
    }

    /// Records how much of a prompt an engine reported as cached. Less than half of the expected
    /// amount shows that events were lost, so the rest of the engine's index becomes uncertain as
    /// well.
    pub fn record_cached(&mut self, endpoint: &EndpointId, expected: Tokens, cached: Tokens) {
        if cached.0 * 2 < expected.0
            && let Some(engine) = self.engines.get_mut(endpoint)
        {
            engine.blocks.mark_all_uncertain();
        }
    }

    /// Prompt tokens with these block hashes that the engine likely has cached.
    pub fn expected_cached(&self, endpoint: &EndpointId, prefix: &[u64]) -> Tokens {
        let Some(engine) = self.engines.get(endpoint) else {
            return Tokens::ZERO;
        };
        let cached_blocks: f64 = prefix
            .iter()
            .map_while(|block| engine.blocks.is_certain(*block))
            .map(|certain| if certain { 1.0 } else { UNCERTAIN_WEIGHT })
            .sum();
        Tokens((cached_blocks * RequestSpec::PREFIX_BLOCK_TOKENS.0 as f64) as u64)
    }

    /// Drops the index of a removed engine.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.engines.swap_remove(endpoint);
    }

    /// Number of blocks in the index.
    pub fn len(&self) -> usize {
        self.engines.values().map(|engine| engine.blocks.len()).sum()
    }

    /// Whether the index has no blocks.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The engine's index at `incarnation`: emptied if that is newer than the known one, none if it
    /// is older.
    fn engine(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> Option<&mut EngineCache> {
        if !self.engines.contains_key(endpoint) {
            let share = (MAX_BLOCKS / (self.engines.len() + 1)).min(MAX_BLOCKS_PER_ENGINE);
            self.engines.values_mut().for_each(|engine| engine.blocks.lower_limit(share));
            let engine =
                EngineCache { incarnation, next_event: None, blocks: LruBlockSet::new(share) };
            self.engines.insert(endpoint.clone(), engine);
        }
        let engine = self.engines.get_mut(endpoint)?;
        if incarnation > engine.incarnation {
            engine.incarnation = incarnation;
            engine.next_event = None;
            engine.blocks.clear();
        }
        (incarnation == engine.incarnation).then_some(engine)
    }
}
