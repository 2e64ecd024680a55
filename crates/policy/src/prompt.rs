//! Size estimate, fingerprint and block hashes of a prompt, computed while its text is received.
//!
//! Instances and stand-in engines share these functions, so that block hashes in cache events mean
//! the same on both sides. The text isn't kept: a body of a million tokens is hashed in one pass.

use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::{Fingerprint, RequestSpec, Tokens};

/// Bytes of text counted as one token. Four is the usual estimate for English text and common
/// vocabularies; the counts that engines report replace the estimate.
pub const BYTES_PER_TOKEN: usize = 4;

const BLOCK_BYTES: usize = RequestSpec::PREFIX_BLOCK_TOKENS.0 as usize * BYTES_PER_TOKEN;

/// Estimated number of tokens of a text of `bytes` bytes, at least one.
pub fn estimate_tokens(bytes: usize) -> Tokens {
    Tokens(bytes.div_ceil(BYTES_PER_TOKEN).max(1) as u64)
}

/// Incremental hasher of a prompt's text. The result doesn't depend on how the text is split into
/// pieces.
pub struct PromptHasher {
    text_hash: Xxh3,
    byte_count: usize,
    /// Start of the block that isn't full yet.
    partial_block: Vec<u8>,
    block_hashes: Vec<u64>,
}

/// Result of [`PromptHasher`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HashedPrompt {
    /// Estimated size of the prompt.
    pub tokens: Tokens,
    /// Hash of the whole text.
    pub fingerprint: Fingerprint,
    /// One hash per full block, which also covers all earlier blocks, as in
    /// [`RequestSpec::prefix`].
    pub block_hashes: Vec<u64>,
}

impl PromptHasher {
    /// A hasher of the empty text.
    pub fn new() -> PromptHasher {
        PromptHasher {
            text_hash: Xxh3::new(),
            byte_count: 0,
            partial_block: Vec::new(),
            block_hashes: Vec::new(),
        }
    }

    /// Adds the next piece of the text.
    pub fn update(&mut self, mut piece: &[u8]) {
        self.text_hash.update(piece);
        self.byte_count += piece.len();
        if !self.partial_block.is_empty() {
            let taken = piece.len().min(BLOCK_BYTES - self.partial_block.len());
            self.partial_block.extend_from_slice(&piece[..taken]);
            piece = &piece[taken..];
            if self.partial_block.len() < BLOCK_BYTES {
                return;
            }
            let block = std::mem::take(&mut self.partial_block);
            self.push_block(&block);
        }
        let mut blocks = piece.chunks_exact(BLOCK_BYTES);
        for block in &mut blocks {
            self.push_block(block);
        }
        self.partial_block.extend_from_slice(blocks.remainder());
    }

    /// Ends the text. A partial block at its end has no hash, because engines cache full blocks
    /// only.
    pub fn finish(self) -> HashedPrompt {
        HashedPrompt {
            tokens: estimate_tokens(self.byte_count),
            fingerprint: Fingerprint::of_request(self.text_hash.digest128()),
            block_hashes: self.block_hashes,
        }
    }

    fn push_block(&mut self, block: &[u8]) {
        let previous_hash = self.block_hashes.last().copied().unwrap_or(0);
        self.block_hashes.push(xxh3_64_with_seed(block, previous_hash));
    }
}

impl Default for PromptHasher {
    fn default() -> Self {
        PromptHasher::new()
    }
}
