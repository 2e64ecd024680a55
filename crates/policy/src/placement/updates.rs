//! The updates that instances send each other about their work on each endpoint.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    EndpointId, EndpointTag, FailCause, InstanceId, Time, health::Health, routes::EngineRules,
};

use super::{
    decoding::DecodingLoad,
    prefill::{Part, PartKey, Pass},
    server::{Server, millis},
    wire::WirePart,
};

/// Interval of the periodic load updates between few instances. Prefill that may delay others is
/// reported at once.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// Number of peers for which the interval grows by one [`UPDATE_INTERVAL`], so that each instance's
/// cost of sending stays the same.
const PEERS_PER_INTERVAL: usize = 8;

/// Milliseconds of newly placed prefill on one endpoint from which on an update is sent at once: a
/// few such parts in one pass make it too long for the requests that decode there.
const IMMEDIATE_PREFILL_MS: f64 = 2.0;

/// Interval of the periodic load updates with this many peers.
pub fn update_interval(peers: usize) -> Duration {
    UPDATE_INTERVAL * u32::try_from(peers / PEERS_PER_INTERVAL + 1).unwrap_or(u32::MAX)
}

/// One instance's work on one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Requests that run or wait there.
    pub running: u16,
    /// Tokens of memory reserved for them.
    pub memory_tokens: u64,
    /// Their weights, by pause goal.
    pub decoding: DecodingLoad,
}

/// A part of a prompt that an instance placed. Times are milliseconds relative to the update, so
/// that no clocks are compared.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(from = "WirePart", into = "WirePart")]
pub struct PartUpdate {
    /// Identifies its request.
    pub key: PartKey,
    /// Prefill time in milliseconds.
    pub prefill_ms: f32,
    /// Tokens to prefill.
    pub tokens: f32,
    /// When it reaches the engine.
    pub arrives_ms: f32,
    /// The deadline of its request's first event.
    pub due_ms: f32,
    /// Goal of the first event, in milliseconds from placement.
    pub goal_ms: f32,
    /// When all parts of its request are expected to be prefilled.
    pub ready_ms: f32,
    /// Cost of its request's being late.
    pub weight: f32,
    /// It is one of several parts, which engines prefill before everything that waits.
    pub is_split: bool,
    /// The request runs on this endpoint.
    pub is_head: bool,
}

impl PartUpdate {
    pub(super) fn new(part: &Part, now: Time) -> PartUpdate {
        let from_now = |at: f64| (at - millis(now)) as f32;
        PartUpdate {
            key: part.key,
            prefill_ms: part.prefill_ms as f32,
            tokens: part.tokens as f32,
            arrives_ms: from_now(part.arrives_at),
            due_ms: from_now(part.due_at),
            goal_ms: part.goal_ms as f32,
            ready_ms: from_now(part.ready_at),
            weight: part.weight as f32,
            is_split: part.is_split,
            is_head: part.is_head,
        }
    }

    fn part(&self, now: Time) -> Part {
        let at = |ms: f32| millis(now) + f64::from(ms);
        Part {
            key: self.key,
            arrives_at: at(self.arrives_ms),
            prefill_ms: f64::from(self.prefill_ms),
            tokens: f64::from(self.tokens),
            is_split: self.is_split,
            is_head: self.is_head,
            due_at: at(self.due_ms),
            goal_ms: f64::from(self.goal_ms),
            ready_at: at(self.ready_ms),
            weight: f64::from(self.weight),
            longest_pass: Pass::default(),
        }
    }
}

/// What changed on one endpoint since the last update.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// Which endpoint it is about.
    pub endpoint: EndpointTag,
    /// Parts placed since the last update.
    pub placed: Vec<PartUpdate>,
    /// Parts reported earlier that no longer wait.
    pub removed: Vec<PartKey>,
    /// The sender's present load there.
    pub load: EndpointLoad,
    /// A request of the sender failed there since the last update.
    pub failed: bool,
    /// A request of the sender was answered since the last update.
    pub answered: bool,
    /// A request was refused because this endpoint didn't prefill its part of it.
    pub refused_to_help: bool,
}

/// Takes the updates of all endpoints that have any. Unless load updates are due, it takes none as
/// long as no endpoint has enough new prefill, or a refusal, to report at once.
pub(super) fn take_updates(
    servers: &mut IndexMap<EndpointId, Server>,
    is_due: bool,
) -> Vec<EndpointUpdate> {
    let mut updates = Vec::new();
    let placed_ms = |server: &Server| {
        server.unsent_parts.iter().map(|part| f64::from(part.prefill_ms)).sum::<f64>()
    };
    let is_urgent =
        |server: &Server| server.unsent_refusal || placed_ms(server) >= IMMEDIATE_PREFILL_MS;
    let is_due = is_due || servers.values().any(is_urgent);
    if !is_due {
        return updates;
    }
    for (endpoint, server) in servers {
        let has_parts = !server.unsent_parts.is_empty() || !server.unsent_removals.is_empty();
        let has_failed = server.unsent_failure || server.unsent_refusal;
        if !has_parts && server.own_load == server.sent_load && !has_failed {
            continue;
        }
        server.sent_load = server.own_load;
        updates.push(EndpointUpdate {
            endpoint: endpoint.into(),
            placed: std::mem::take(&mut server.unsent_parts),
            removed: std::mem::take(&mut server.unsent_removals),
            load: server.own_load,
            failed: std::mem::take(&mut server.unsent_failure),
            answered: std::mem::take(&mut server.unsent_answer),
            refused_to_help: std::mem::take(&mut server.unsent_refusal),
        });
    }
    updates
}

/// Milliseconds of long prefill that another instance placed.
pub(super) fn long_prefill_ms(updates: &[EndpointUpdate], short_prefill_ms: f64) -> f64 {
    let placed = |update: &EndpointUpdate| {
        update.placed.iter().map(|part| f64::from(part.prefill_ms)).sum::<f64>()
    };
    updates.iter().map(placed).filter(|ms| *ms > short_prefill_ms).sum()
}

/// Applies another instance's updates.
pub(super) fn apply_updates(
    servers: &mut IndexMap<EndpointId, Server>,
    tags: &IndexMap<EndpointTag, usize>,
    health: &mut Health,
    rules: Option<&EngineRules>,
    peer: &InstanceId,
    updates: &[EndpointUpdate],
    now: Time,
) {
    // The update of the engine that runs a prompt reports the first event and the removed parts
    // together.
    let answered = updates.iter().filter(|update| update.answered);
    let prefilled: Vec<PartKey> = answered.flat_map(|update| &update.removed).copied().collect();
    for update in updates {
        let index = tags.get(&update.endpoint).copied();
        let Some((endpoint, server)) = index.and_then(|i| servers.get_index_mut(i)) else {
            continue;
        };
        if let Some(rules) = rules {
            for part in &update.placed {
                server.add_part(rules, part.part(now), Some(peer), now);
            }
        }
        for key in &update.removed {
            server.remove_part(*key, prefilled.contains(key), now);
        }
        if update.answered {
            server.clear_peer_failures();
            health.record_peer_answer(endpoint);
        }
        if update.failed && server.record_peer_failure(peer) {
            health.record_failure(endpoint, FailCause::Broken);
        }
        if update.refused_to_help {
            server.refused_to_help(now);
        }
        server.set_peer_load(peer, update.load);
    }
}
