//! Which engine likely has which prefix cached.
//!
//! **Load pattern.** Many prompts of a workspace begin alike (the same instructions, the same
//! dossier asked about again). Engines cache prefixes in limited memory and tell of it late and
//! with gaps.
//!
//! **Without it.** Each engine prefills the shared part anew; a hundred-thousand-token dossier
//! asked about ten times is prefilled ten times. With a blind preference instead, all of it queues
//! at one engine, and an index that trusts a gappy feed sends prompts to caches long evicted.
//!
//! **Rule.** A block is expected where a cache event or an own send put it and nothing took it
//! away. A gap in the events, or an answer that shows far less cached than expected, makes all
//! blocks known before it doubtful: they count [`DOUBT`] of their size until seen again. Doubt
//! only weakens the preference, since the blocks are probably still there. A new incarnation
//! empties the engine's index. The preference bends to load because placement weighs only the
//! prefill saved, not the holding as such; see [`crate::selection`].
//!
//! **Grounds.** [`BLOCKS_PER_ENGINE`] blocks are 2 million tokens, more than an engine's memory as
//! the brief gives it (the longest prompts, a million tokens, need more than twice one engine's);
//! [`MAX_BLOCKS`] bounds the whole at about 40 MB of the daemon's 256 MB.

mod blocks;

use indexmap::IndexMap;

use crate::{CacheEvents, EndpointId, Incarnation, RequestSpec, Tokens};

use blocks::LruBlockSet;

/// What a doubtful block counts, as a share of its size. One half: the engine either evicted it in
/// the gap or didn't, and nothing tells which.
pub const UNCERTAIN_WEIGHT: f64 = 0.5;

/// The most blocks remembered for one engine.
pub const MAX_BLOCKS_PER_ENGINE: usize = 8_192;

/// The most blocks remembered in all, at some 40 bytes each in the hash tables.
pub const MAX_BLOCKS: usize = 1 << 20;

/// The likely content of each engine's prefix cache.
#[derive(Debug, Default)]
pub struct CacheIndex {
    engines: IndexMap<EndpointId, EngineCache>,
}

#[derive(Debug)]
struct EngineCache {
    incarnation: Incarnation,
    /// The sequence number of the next event; none before the first event of this life.
    next: Option<u64>,
    blocks: LruBlockSet,
}

impl CacheIndex {
    /// An index that knows nothing.
    pub fn new() -> CacheIndex {
        CacheIndex::default()
    }

    /// Takes note of what an engine says. Events of an older life are ignored, and so are events
    /// that were taken note of before.
    pub fn apply(&mut self, events: &CacheEvents) {
        let Some(engine) = self.engine(&events.endpoint, events.incarnation) else {
            return;
        };
        // The feed starts at the engine's first event; hearing it from the middle is a gap too.
        let expected = engine.next.unwrap_or(0);
        if events.from > expected {
            engine.blocks.mark_all_uncertain();
        }
        let known = usize::try_from(expected.saturating_sub(events.from)).unwrap_or(usize::MAX);
        for (block, stored) in events.events.iter().skip(known) {
            if *stored {
                engine.blocks.insert(*block);
            } else {
                engine.blocks.remove(*block);
            }
        }
        engine.next = Some(expected.max(events.from + events.events.len() as u64));
    }

    /// Takes note that a prompt was sent to an engine, which will have cached it by the time that
    /// another prompt of the same prefix gets there.
    pub fn record_sent(&mut self, endpoint: &EndpointId, incarnation: Incarnation, prefix: &[u64]) {
        if let Some(engine) = self.engine(endpoint, incarnation) {
            prefix
                .iter()
                .take(MAX_BLOCKS_PER_ENGINE)
                .for_each(|block| engine.blocks.insert(*block));
        }
    }

    /// Takes note of how much of a prompt an engine found cached. Less than half of what was
    /// expected shows that events were lost, so the rest of the index is doubtful as well.
    pub fn record_cached(&mut self, endpoint: &EndpointId, expected: Tokens, cached: Tokens) {
        if cached.0 * 2 < expected.0
            && let Some(engine) = self.engines.get_mut(endpoint)
        {
            engine.blocks.mark_all_uncertain();
        }
    }

    /// How much of a prompt with these block hashes the engine likely has cached.
    pub fn expected_cached(&self, endpoint: &EndpointId, prefix: &[u64]) -> Tokens {
        let Some(engine) = self.engines.get(endpoint) else {
            return Tokens::ZERO;
        };
        let held: f64 = prefix
            .iter()
            .map_while(|block| engine.blocks.is_certain(*block))
            .map(|certain| if certain { 1.0 } else { UNCERTAIN_WEIGHT })
            .sum();
        Tokens((held * RequestSpec::PREFIX_BLOCK.0 as f64) as u64)
    }

    /// Forgets an engine that is gone.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.engines.swap_remove(endpoint);
    }

    /// How many blocks are remembered.
    pub fn len(&self) -> usize {
        self.engines.values().map(|engine| engine.blocks.len()).sum()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The engine's index at `incarnation`: emptied where that is newer than the known one, none
    /// where it is older.
    fn engine(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> Option<&mut EngineCache> {
        if !self.engines.contains_key(endpoint) {
            let share = (MAX_BLOCKS / (self.engines.len() + 1)).min(MAX_BLOCKS_PER_ENGINE);
            self.engines.values_mut().for_each(|engine| engine.blocks.limit(share));
            let engine = EngineCache { incarnation, next: None, blocks: LruBlockSet::new(share) };
            self.engines.insert(endpoint.clone(), engine);
        }
        let engine = self.engines.get_mut(endpoint)?;
        if incarnation > engine.incarnation {
            engine.incarnation = incarnation;
            engine.next = None;
            engine.blocks.clear();
        }
        (incarnation == engine.incarnation).then_some(engine)
    }
}
