//! How long an engine takes, by the figures that its operators publish.
//!
//! An engine works in passes. A pass reads prompts in pieces and, where answers are being written,
//! makes a fixed number of steps of one token each for all of them. So whatever is read in a pass
//! is a pause for everyone who writes there; this is the arithmetic that placement rests on.

use serde::{Deserialize, Serialize};

/// What an engine does in what time, and what it holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineRules {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Steps of a pass that writes.
    pub stride: u32,
    /// Prompt tokens that a step reads at most.
    pub chunk_tokens: u32,
    /// Milliseconds of a step without anything to do.
    pub step_ms: f64,
    /// Milliseconds that each writing request adds to a step.
    pub step_ms_per_request: f64,
    /// Milliseconds that each thousand tokens of a writing request's context add to a step.
    pub step_ms_per_1k_context: f64,
    /// Prompt tokens read a millisecond, attention aside.
    pub read_tokens_per_ms: f64,
    /// Milliseconds for a million pairs of a token and an earlier one.
    pub read_ms_per_1m_pairs: f64,
    /// The longest prompts use several engines; this many further ones at most.
    pub max_helpers: usize,
    /// Tokens that a writing request usually has in memory.
    pub usual_context: u64,
}

impl EngineRules {
    /// Milliseconds to read a prompt of `tokens` alone on an idle engine.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        let tokens = tokens as f64;
        let pairs = tokens * tokens / 2.0 / 1e6;
        tokens / self.read_tokens_per_ms.max(1e-3) + pairs * self.read_ms_per_1m_pairs
    }

    /// Prompt tokens that a pass with writers reads at most.
    pub fn max_prefill_tokens_per_pass(&self) -> f64 {
        f64::from(self.stride) * f64::from(self.chunk_tokens)
    }

    /// Milliseconds of a pass that reads nothing while `writers` requests write, each with
    /// `context` tokens.
    pub fn pass_ms(&self, writers: u32, context: u64) -> f64 {
        self.pass_ms_with_context(writers, f64::from(writers) * context as f64 / 1000.0)
    }

    /// The same for requests that have `thousands` of tokens together.
    pub fn pass_ms_with_context(&self, writers: u32, thousands: f64) -> f64 {
        let step = self.step_ms
            + f64::from(writers) * self.step_ms_per_request
            + thousands * self.step_ms_per_1k_context;
        step * f64::from(self.stride)
    }
}
