//! What instances tell each other of their work on one endpoint.

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

/// How often levels are told to a few peers. Reading that stands before others is told at once.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// Peers up to which levels are told every [`EVERY`]; with more, less often, so that the cost for each
/// instance stays as it is.
const PEERS_PER_INTERVAL: usize = 8;

/// Reading from which on a placement is told at once, in milliseconds: a few such parts in one
/// pass make it too long for those who write there.
const IMMEDIATE_PREFILL_MS: f64 = 2.0;

/// How often levels are told to this many peers.
pub fn update_interval(peers: usize) -> Duration {
    UPDATE_INTERVAL * u32::try_from(peers / PEERS_PER_INTERVAL + 1).unwrap_or(u32::MAX)
}

/// One instance's work on one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Requests that run or wait.
    pub running: u16,
    /// Tokens of memory that they take.
    pub memory_tokens: u64,
    /// Their weights, by the pause that they bear.
    pub decoding: DecodingLoad,
}

/// A part of a prompt that an instance placed. Times are milliseconds from the word on, so that no
/// clocks are compared.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(from = "WirePart", into = "WirePart")]
pub struct PartUpdate {
    /// Names its request.
    pub key: PartKey,
    /// Milliseconds of reading.
    pub prefill_ms: f32,
    /// Tokens to read.
    pub tokens: f32,
    /// When it reaches the engine.
    pub arrives_ms: f32,
    /// When its request's first event is late.
    pub due_ms: f32,
    /// How long after its placement that is.
    pub goal_ms: f32,
    /// When all parts of its request are expected to have been read.
    pub ready_ms: f32,
    /// What its request's being late costs.
    pub weight: f32,
    /// It is one of several, and read before whatever waits.
    pub is_split: bool,
    /// The request runs there.
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

/// News of one endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// The endpoint.
    pub endpoint: EndpointTag,
    /// Parts placed since the last word of it.
    pub placed: Vec<PartUpdate>,
    /// Parts told before that wait no more.
    pub removed: Vec<PartKey>,
    /// What the teller has there now.
    pub load: EndpointLoad,
    /// A request of the teller's failed there since the last word.
    pub failed: bool,
    /// One was answered.
    pub answered: bool,
    /// One was refused because this endpoint didn't read a part of it.
    pub refused_to_help: bool,
}

/// News of all endpoints about which there is any; where levels aren't due, only if others would run into
/// reading on some of them.
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

/// How much long reading another instance placed, in milliseconds.
pub(super) fn long_prefill_ms(updates: &[EndpointUpdate], short_prefill_ms: f64) -> f64 {
    let placed = |update: &EndpointUpdate| {
        update.placed.iter().map(|part| f64::from(part.prefill_ms)).sum::<f64>()
    };
    updates.iter().map(placed).filter(|ms| *ms > short_prefill_ms).sum()
}

/// Takes in another instance's news.
pub(super) fn apply_updates(
    servers: &mut IndexMap<EndpointId, Server>,
    tags: &IndexMap<EndpointTag, usize>,
    health: &mut Health,
    rules: Option<&EngineRules>,
    peer: &InstanceId,
    updates: &[EndpointUpdate],
    now: Time,
) {
    // Where a prompt runs, word of its first event comes with that of its parts.
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
