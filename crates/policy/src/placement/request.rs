//! What the scheduler is asked to place, and its decision.

use std::{fmt, sync::Arc, time::Duration};

use crate::{
    EndpointId, Fingerprint, Incarnation, Time,
    quarantine::DeathId,
    routes::{EngineRules, Homes},
};

use super::{
    prefill::{Part, PartKey, Pass},
    server::millis,
};

/// A request to be placed.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementRequest {
    /// Zero for a call to a plain service.
    pub prompt_tokens: u64,
    /// The longest answer that the request allows.
    pub max_output_tokens: u64,
    /// Milliseconds left until the first byte is late.
    pub goal_ms: f64,
    /// Goal for the pauses within the answer, in milliseconds.
    pub max_pause_ms: f64,
    /// Milliseconds left until the caller's deadline.
    pub remaining_ms: f64,
    /// Rank; zero is the most urgent.
    pub priority: u8,
    /// Identifies the same request when it is sent again.
    pub fingerprint: Fingerprint,
    /// Parts of its prompt that other prompts may share.
    pub parts: Arc<[Fingerprint]>,
    /// An earlier attempt is still in flight.
    pub is_hedge: bool,
    /// It is late already, and is placed only where that delays no other request.
    pub is_late: bool,
    /// Incarnations of endpoints that have already had it.
    pub tried: Vec<(EndpointId, Incarnation)>,
    /// Regions whose endpoints may run it.
    pub homes: Homes,
}

impl PlacementRequest {
    /// Whether it is placed only if its first event is due as soon as on idle engines.
    pub(super) fn only_if_idle(&self) -> bool {
        self.is_hedge || self.is_late
    }
}

/// Identifies a placed request until it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The decision for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Identifies the request in later calls.
    pub job: JobId,
    /// Where it runs.
    pub endpoint: EndpointId,
    /// The chosen endpoint's incarnation.
    pub incarnation: Incarnation,
    /// Further engines that prefill a part of its prompt.
    pub helpers: Vec<Helper>,
    /// Its rank on the engine; zero is the most urgent.
    pub priority: u8,
    /// When its first byte is expected, in milliseconds from now.
    pub predicted_ms: f64,
    /// How long to hold it before it is sent, because its engines still prefill earlier parts.
    pub hold: Duration,
}

/// An engine that prefills a part of another engine's prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helper {
    /// Its name.
    pub endpoint: EndpointId,
    /// Tokens of its memory to reserve for the prompt before the request is sent.
    pub reserve_tokens: Option<u64>,
}

/// Why a request isn't placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementRefusal {
    /// No endpoint may run it.
    NoEndpoint,
    /// All endpoints that might run it are in drained data centres.
    Drained,
    /// All endpoints that might run it are warming up, and this instance may send nothing there for
    /// this long.
    WarmingUp(Duration),
    /// All endpoints that might run it take only a limited number of requests, and this instance may
    /// send nothing there for this long.
    Limited(Duration),
    /// All endpoints that might run it have asked this instance for rest, the first of them for this
    /// long.
    Resting(Duration),
    /// Endpoints crashed while they ran it; it isn't run for this long.
    Quarantined(Duration),
    /// Its first event would be late; there may be room after this time.
    TooLate(Duration),
    /// Serving it would cost the requests that decode on the engines more than it is worth; there
    /// may be room after this time.
    Crowded(Duration),
}

/// A request that was placed and hasn't ended.
#[derive(Debug, Clone)]
pub struct Job {
    /// Identifies its parts in updates.
    pub key: PartKey,
    /// Where it runs.
    pub endpoint: EndpointId,
    /// Engines that prefill a part of its prompt.
    pub helpers: Vec<Helper>,
    /// Incarnations of the engine that runs it and of its helpers, in their order.
    pub incarnations: Vec<Incarnation>,
    /// Prefill time in milliseconds on each of them.
    pub part_prefill_ms: f64,
    /// Tokens to prefill on each of them.
    pub part_tokens: f64,
    /// Tokens of memory on the engine that runs it.
    pub memory_tokens: u64,
    /// Cost of its being late, relative to other requests.
    pub weight: f64,
    /// Goal for the pauses within the answer, in milliseconds.
    pub max_pause_ms: f64,
    /// Identifies the same request when it is sent again.
    pub fingerprint: Fingerprint,
    /// Parts of its prompt that other prompts may share.
    pub parts: Arc<[Fingerprint]>,
    /// When it was placed.
    pub placed_at: Time,
    /// Goal of the first byte, in milliseconds from placement.
    pub goal_ms: f64,
    /// When its first byte was expected, in milliseconds from placement.
    pub predicted_ms: f64,
    /// When its parts were expected to be prefilled, in milliseconds from placement.
    pub prefilled_in_ms: f64,
    /// How long it is held before it is sent.
    pub hold: Duration,
    /// It was handed to the endpoint.
    pub is_sent: bool,
    /// When its first byte came.
    pub first_event_at: Option<Time>,
}

/// What a request takes of its engines, in milliseconds of one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobCost {
    /// Prefill of all its parts; nothing was prefilled if it wasn't sent.
    pub prefill_ms: f64,
    /// Its part of the time that the answers on its engine took so far.
    pub slot_ms: f64,
    /// When it was placed.
    pub placed_at: Time,
    /// It was handed to the endpoint.
    pub is_sent: bool,
}

impl Job {
    /// What it takes of its engines until now.
    pub(super) fn cost(&self, rules: &EngineRules, now: Time) -> JobCost {
        let decoded = self.first_event_at.map_or(Duration::ZERO, |began| now.since(began));
        JobCost {
            prefill_ms: self.part_prefill_ms * self.incarnations.len() as f64,
            slot_ms: decoded.as_secs_f64() * 1000.0 / f64::from(rules.slots.max(1)),
            placed_at: self.placed_at,
            is_sent: self.is_sent,
        }
    }

    /// The engine that runs it, and its helpers.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        std::iter::once(&self.endpoint).chain(self.helpers.iter().map(|h| &h.endpoint))
    }

    /// The end of the incarnation that runs it.
    pub(super) fn death_id(&self) -> DeathId {
        DeathId::new(&self.endpoint, self.incarnations.first().copied().unwrap_or_default())
    }

    /// The ends of all incarnations that run a part of it.
    pub(super) fn death_ids(&self) -> impl Iterator<Item = DeathId> {
        let parts = self.endpoints().zip(&self.incarnations);
        parts.map(|(endpoint, incarnation)| DeathId::new(endpoint, *incarnation))
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
