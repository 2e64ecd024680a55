//! Size and identity of a prompt, estimated from its text as it is read.
//!
//! Instances and stand-in engines share these functions, so that block hashes in cache events mean
//! the same on both sides. Nothing here keeps the text: a million-token body is hashed in one pass.

use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::{Fingerprint, RequestSpec, Tokens};

/// Bytes of text that count as one token. Four is the customary figure for English with usual
/// vocabularies; engines report their own counts, which replace the estimate.
pub const BYTES_PER_TOKEN: usize = 4;

const BLOCK_BYTES: usize = RequestSpec::PREFIX_BLOCK_TOKENS.0 as usize * BYTES_PER_TOKEN;

/// The prompt size that a text of this many bytes stands for; at least one token.
pub fn estimate_tokens(bytes: usize) -> Tokens {
    Tokens(bytes.div_ceil(BYTES_PER_TOKEN).max(1) as u64)
}

/// Reads the text of a prompt in pieces and yields its size, fingerprint and block hashes. How the
/// text is cut into pieces makes no difference.
pub struct PromptHasher {
    whole: Xxh3,
    bytes: usize,
    rest: Vec<u8>,
    blocks: Vec<u64>,
}

/// What [`PromptHasher`] found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HashedPrompt {
    /// The estimated size.
    pub tokens: Tokens,
    /// Hash of the whole text.
    pub fingerprint: Fingerprint,
    /// As in [`RequestSpec::prefix`]: one hash for each full block, covering all before it.
    pub blocks: Vec<u64>,
}

impl PromptHasher {
    /// Nothing read yet.
    pub fn new() -> PromptHasher {
        PromptHasher { whole: Xxh3::new(), bytes: 0, rest: Vec::new(), blocks: Vec::new() }
    }

    /// Reads the next piece of the text.
    pub fn update(&mut self, mut piece: &[u8]) {
        self.whole.update(piece);
        self.bytes += piece.len();
        if !self.rest.is_empty() {
            let taken = piece.len().min(BLOCK_BYTES - self.rest.len());
            self.rest.extend_from_slice(&piece[..taken]);
            piece = &piece[taken..];
            if self.rest.len() < BLOCK_BYTES {
                return;
            }
            let block = std::mem::take(&mut self.rest);
            self.push(&block);
        }
        let mut blocks = piece.chunks_exact(BLOCK_BYTES);
        for block in &mut blocks {
            self.push(block);
        }
        self.rest.extend_from_slice(blocks.remainder());
    }

    /// Ends the text. What is left of an unfilled block isn't hashed, because engines cache full
    /// blocks only.
    pub fn finish(self) -> HashedPrompt {
        HashedPrompt {
            tokens: estimate_tokens(self.bytes),
            fingerprint: Fingerprint(self.whole.digest128()),
            blocks: self.blocks,
        }
    }

    fn push(&mut self, block: &[u8]) {
        let before = self.blocks.last().copied().unwrap_or(0);
        self.blocks.push(xxh3_64_with_seed(block, before));
    }
}

impl Default for PromptHasher {
    fn default() -> Self {
        PromptHasher::new()
    }
}
