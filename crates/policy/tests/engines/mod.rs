//! The engines of the present sites, by their published figures.

#![allow(missing_docs, unreachable_pub)]

use policy::routes::EngineRules;

pub fn engine() -> EngineRules {
    EngineRules {
        slots: 16,
        memory_tokens: 450_000,
        stride: 46,
        chunk_tokens: 2_048,
        step_ms: 0.925,
        step_ms_per_request: 0.00483,
        step_ms_per_1k_context: 0.00254,
        read_tokens_per_ms: 256.0,
        read_ms_per_1m_pairs: 0.0917,
        max_helpers: 16,
        usual_context: 6_500,
    }
}
