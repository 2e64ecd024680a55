//! The wire format of parts: integers, which a variable-length codec writes in one to three bytes
//! each.
//!
//! **Load pattern.** Each placement is sent to each instance at once, so with hundreds of instances
//! these updates are most of the traffic between data centres.
//!
//! **Without it.** A part takes forty bytes, most of which are fractions of floats that nobody
//! needs.

use serde::{Deserialize, Serialize};

use super::{decoding, prefill::PartKey, updates::PartUpdate};

/// Steps per millisecond of prefill: predictions err by far more.
const PREFILL_STEPS_PER_MS: f32 = 10.0;

const WEIGHT_STEPS: f32 = decoding::WEIGHT_STEPS as f32;

#[derive(Serialize, Deserialize)]
pub(super) struct WirePart {
    key: PartKey,
    prefill_steps: u32,
    tokens: u32,
    arrives_steps: i32,
    due_ms: i32,
    goal_ms: u32,
    ready_ms: i32,
    weight_steps: u32,
    is_split: bool,
    is_head: bool,
}

impl From<PartUpdate> for WirePart {
    fn from(part: PartUpdate) -> WirePart {
        WirePart {
            key: part.key,
            prefill_steps: (part.prefill_ms * PREFILL_STEPS_PER_MS).round() as u32,
            tokens: part.tokens.round() as u32,
            arrives_steps: (part.arrives_ms * PREFILL_STEPS_PER_MS).round() as i32,
            due_ms: part.due_ms.round() as i32,
            goal_ms: part.goal_ms.round() as u32,
            ready_ms: part.ready_ms.round() as i32,
            weight_steps: (part.weight * WEIGHT_STEPS).round() as u32,
            is_split: part.is_split,
            is_head: part.is_head,
        }
    }
}

impl From<WirePart> for PartUpdate {
    fn from(wire: WirePart) -> PartUpdate {
        PartUpdate {
            key: wire.key,
            prefill_ms: wire.prefill_steps as f32 / PREFILL_STEPS_PER_MS,
            tokens: wire.tokens as f32,
            arrives_ms: wire.arrives_steps as f32 / PREFILL_STEPS_PER_MS,
            due_ms: wire.due_ms as f32,
            goal_ms: wire.goal_ms as f32,
            ready_ms: wire.ready_ms as f32,
            weight: wire.weight_steps as f32 / WEIGHT_STEPS,
            is_split: wire.is_split,
            is_head: wire.is_head,
        }
    }
}
