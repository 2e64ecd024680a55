//! Parts as they travel: whole numbers, which a codec with variable lengths writes in one to
//! three bytes each.
//!
//! **Load pattern.** Each placement is told to each instance at once, so with hundreds of instances these
//! words are most of what travels between data centres.
//!
//! **Without it.** A part takes forty bytes, of which most say that a float has a fraction nobody needs.

use serde::{Deserialize, Serialize};

use super::{decoding, reading::PartKey, updates::PartUpdate};

/// Steps of a millisecond of reading: predictions err by far more.
const READING_STEPS: f32 = 10.0;

const WEIGHT_STEPS: f32 = decoding::WEIGHT_STEPS as f32;

#[derive(Serialize, Deserialize)]
pub(super) struct WirePart {
    key: PartKey,
    reading: u32,
    tokens: u32,
    arrives: i32,
    due_ms: i32,
    goal_ms: u32,
    ready_ms: i32,
    weight: u32,
    overtakes: bool,
    is_head: bool,
}

impl From<PartUpdate> for WirePart {
    fn from(part: PartUpdate) -> WirePart {
        WirePart {
            key: part.key,
            reading: (part.ms * READING_STEPS).round() as u32,
            tokens: part.tokens.round() as u32,
            arrives: (part.arrives_ms * READING_STEPS).round() as i32,
            due_ms: part.due_ms.round() as i32,
            goal_ms: part.goal_ms.round() as u32,
            ready_ms: part.ready_ms.round() as i32,
            weight: (part.weight * WEIGHT_STEPS).round() as u32,
            overtakes: part.overtakes,
            is_head: part.is_head,
        }
    }
}

impl From<WirePart> for PartUpdate {
    fn from(wire: WirePart) -> PartUpdate {
        PartUpdate {
            key: wire.key,
            ms: wire.reading as f32 / READING_STEPS,
            tokens: wire.tokens as f32,
            arrives_ms: wire.arrives as f32 / READING_STEPS,
            due_ms: wire.due_ms as f32,
            goal_ms: wire.goal_ms as f32,
            ready_ms: wire.ready_ms as f32,
            weight: wire.weight as f32 / WEIGHT_STEPS,
            overtakes: wire.overtakes,
            is_head: wire.is_head,
        }
    }
}
