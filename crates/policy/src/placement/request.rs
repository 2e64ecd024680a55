//! What is asked of the scheduler, and what it answers.

use std::{fmt, time::Duration};

use crate::{EndpointId, Fingerprint, Incarnation, Time};

use super::{
    prefill::{Part, PartKey, Pass},
    server::millis,
};

/// A request that looks for a place.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementRequest {
    /// Tokens of its prompt; zero for a call to a plain service.
    pub prompt_tokens: u64,
    /// Tokens that its answer may have.
    pub max_output_tokens: u64,
    /// Milliseconds left until a first byte is late.
    pub goal_ms: f64,
    /// Milliseconds that a pause within the answer may take.
    pub max_pause_ms: f64,
    /// Milliseconds after which nobody waits for it any more.
    pub remaining_ms: f64,
    /// Rank; zero is the most urgent.
    pub priority: u8,
    /// Names the same request when it is sent again.
    pub fingerprint: Fingerprint,
    /// An earlier attempt is still under way.
    pub is_hedge: bool,
    /// Lives of endpoints that have had it already.
    pub tried: Vec<(EndpointId, Incarnation)>,
}

/// Names a placed request until it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A request's place.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Names it in later calls.
    pub job: JobId,
    /// Where it runs.
    pub endpoint: EndpointId,
    /// The life of the endpoint that was chosen.
    pub incarnation: Incarnation,
    /// Further engines that read a part of its prompt.
    pub helpers: Vec<Helper>,
    /// Its rank on the engine; zero goes first.
    pub priority: u8,
    /// When its first byte is expected, in milliseconds from now.
    pub predicted_ms: f64,
    /// How long to wait before it is sent, because its engines still read what came before.
    pub hold: Duration,
}

/// An engine that reads a part of another one's prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helper {
    /// The engine.
    pub endpoint: EndpointId,
    /// Tokens of its memory that the prompt needs, to be reserved before it is sent.
    pub reserve_tokens: Option<u64>,
}

/// Why a request finds no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementRefusal {
    /// No endpoint may run it.
    NoEndpoint,
    /// Endpoints died of it; it isn't run for this long.
    Quarantined(Duration),
    /// Its first event would come too late now; this much later there may be room.
    TooLate(Duration),
    /// Those who write on the engines would lose more by it than it is worth; this much later there
    /// may be room.
    Crowded(Duration),
}

/// A request that was placed and hasn't ended.
#[derive(Debug, Clone)]
pub struct Job {
    /// Names its parts to other instances.
    pub key: PartKey,
    /// Where it runs.
    pub endpoint: EndpointId,
    /// Engines that read a part of its prompt.
    pub helpers: Vec<Helper>,
    /// The lives of the engine that runs it and of its helpers, in their order.
    pub incarnations: Vec<Incarnation>,
    /// Milliseconds of reading on each of them.
    pub part_prefill_ms: f64,
    /// Tokens read on each of them.
    pub part_tokens: f64,
    /// Tokens of memory that it takes where it runs.
    pub memory_tokens: u64,
    /// What its being late costs, relative to others.
    pub weight: f64,
    /// The pause that it bears, in milliseconds.
    pub max_pause_ms: f64,
    /// Names the same request when it is sent again.
    pub fingerprint: Fingerprint,
    /// When it was placed.
    pub placed_at: Time,
    /// Milliseconds from then until its first byte is late.
    pub goal_ms: f64,
    /// When its first byte was expected, in milliseconds from then.
    pub predicted_ms: f64,
    /// When its parts were expected to have been read, in milliseconds from then.
    pub prefilled_in_ms: f64,
    /// How long it is held before it is sent.
    pub hold: Duration,
    /// It was handed to the endpoint.
    pub is_sent: bool,
    /// When its first byte came.
    pub first_event_at: Option<Time>,
}

impl Job {
    /// All endpoints that work on it.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        std::iter::once(&self.endpoint).chain(self.helpers.iter().map(|h| &h.endpoint))
    }

    /// Its part on one engine.
    pub(super) fn part(&self, one_way_ms: f64, is_head: bool) -> Part {
        let placed_ms = millis(self.placed_at);
        let hold_ms = self.hold.as_secs_f64() * 1000.0;
        Part {
            key: self.key,
            arrives_at: placed_ms + hold_ms + one_way_ms,
            prefill_ms: self.part_prefill_ms,
            tokens: self.part_tokens,
            is_split: !self.helpers.is_empty(),
            is_head,
            due_at: placed_ms + self.goal_ms,
            goal_ms: self.goal_ms,
            ready_at: placed_ms + self.prefilled_in_ms,
            weight: self.weight,
            longest_pass: Pass::default(),
        }
    }

    /// Tokens of memory that it reserves on a helper.
    pub(super) fn reserved_tokens(&self, endpoint: &EndpointId) -> Option<u64> {
        self.helpers.iter().find(|helper| helper.endpoint == *endpoint)?.reserve_tokens
    }
}
