//! Cost model of an engine, from the figures that its operators publish.
//!
//! An engine works in passes. A pass prefills prompts in chunks and, if requests are decoding, runs
//! a fixed number of decoding steps of one token each for all of them. Prefill in a pass therefore
//! delays the next tokens of every request that decodes on the engine; placement predicts these
//! delays with the functions of this module.

use serde::{Deserialize, Serialize};

/// Published speed and capacity of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineRules {
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub memory_tokens: u64,
    /// Decoding steps per pass; each step generates one token per decoding request.
    pub stride: u32,
    /// Maximum number of prompt tokens that one step prefills.
    pub chunk_tokens: u32,
    /// Base duration of a decoding step, in milliseconds.
    pub step_ms: f64,
    /// Milliseconds that each decoding request adds to a step.
    pub step_ms_per_request: f64,
    /// Milliseconds that each thousand tokens of a decoding request's context add to a step.
    pub step_ms_per_1k_context: f64,
    /// Prompt tokens prefilled per millisecond, without the cost of attention.
    pub read_tokens_per_ms: f64,
    /// Cost of attention during prefill: milliseconds per million pairs of a token and an earlier
    /// one.
    pub read_ms_per_1m_pairs: f64,
    /// Maximum number of helpers, that is, further engines that prefill parts of a long prompt.
    pub max_helpers: usize,
    /// Typical context length of a decoding request, in tokens.
    pub usual_context: u64,
}

impl EngineRules {
    /// Milliseconds that an idle engine takes to prefill a prompt of `tokens` tokens.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        let tokens = tokens as f64;
        let pairs = tokens * tokens / 2.0 / 1e6;
        tokens / self.read_tokens_per_ms.max(1e-3) + pairs * self.read_ms_per_1m_pairs
    }

    /// Maximum number of prompt tokens prefilled in a pass during which requests are decoding.
    pub fn max_prefill_tokens_per_pass(&self) -> f64 {
        f64::from(self.stride) * f64::from(self.chunk_tokens)
    }

    /// Duration in milliseconds of a pass without prefill in which `decoding` requests decode, each
    /// with a context of `context` tokens.
    pub fn pass_ms(&self, decoding: u32, context: u64) -> f64 {
        self.pass_ms_with_context(decoding, f64::from(decoding) * context as f64 / 1000.0)
    }

    /// Like [`EngineRules::pass_ms`], for requests whose contexts have `total_context_k` thousand
    /// tokens in total.
    pub fn pass_ms_with_context(&self, decoding: u32, total_context_k: f64) -> f64 {
        let step_ms = self.step_ms
            + f64::from(decoding) * self.step_ms_per_request
            + total_context_k * self.step_ms_per_1k_context;
        step_ms * f64::from(self.stride)
    }
}
