//! What instances tell each other of their work on one endpoint.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    EndpointId, EndpointTag, FailCause, InstanceId, Time, health::Health, routes::EngineRules,
};

use super::{
    decoding::DecodingLoad,
    reading::{Part, PartKey, Pass},
    server::{Server, millis},
    wire::WirePart,
};

/// How often levels are told to a few peers. Reading that stands before others is told at once.
const EVERY: Duration = Duration::from_millis(50);

/// Peers up to which levels are told every [`EVERY`]; with more, less often, so that the cost for each
/// instance stays as it is.
const FEW: usize = 8;

/// Reading from which on a placement is told at once, in milliseconds: a few such parts in one
/// pass make it too long for those who write there.
const AT_ONCE_MS: f64 = 2.0;

/// How often levels are told to this many peers.
pub fn update_interval(peers: usize) -> Duration {
    EVERY * u32::try_from(peers / FEW + 1).unwrap_or(u32::MAX)
}

/// One instance's work on one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Requests that run or wait.
    pub running: u16,
    /// Tokens of memory that they take.
    pub memory: u64,
    /// Their weights, by the pause that they bear.
    pub writers: DecodingLoad,
}

/// A part of a prompt that an instance placed. Times are milliseconds from the word on, so that no
/// clocks are compared.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(from = "WirePart", into = "WirePart")]
pub struct PartUpdate {
    /// Names its request.
    pub key: PartKey,
    /// Milliseconds of reading.
    pub ms: f32,
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
    pub overtakes: bool,
    /// The request runs there.
    pub is_head: bool,
}

impl PartUpdate {
    pub(super) fn of(part: &Part, now: Time) -> PartUpdate {
        let from_now = |at: f64| (at - millis(now)) as f32;
        PartUpdate {
            key: part.key,
            ms: part.ms as f32,
            tokens: part.tokens as f32,
            arrives_ms: from_now(part.arrives),
            due_ms: from_now(part.due),
            goal_ms: part.goal as f32,
            ready_ms: from_now(part.ready),
            weight: part.weight as f32,
            overtakes: part.overtakes,
            is_head: part.is_head,
        }
    }

    fn part(&self, now: Time) -> Part {
        let at = |ms: f32| millis(now) + f64::from(ms);
        Part {
            key: self.key,
            arrives: at(self.arrives_ms),
            ms: f64::from(self.ms),
            tokens: f64::from(self.tokens),
            overtakes: self.overtakes,
            is_head: self.is_head,
            due: at(self.due_ms),
            goal: f64::from(self.goal_ms),
            ready: at(self.ready_ms),
            weight: f64::from(self.weight),
            longest: Pass::default(),
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
    pub gone: Vec<PartKey>,
    /// What the teller has there now.
    pub level: EndpointLoad,
    /// A request of the teller's failed there since the last word.
    pub failed: bool,
    /// One was answered.
    pub answered: bool,
    /// One was refused because this endpoint didn't read a part of it.
    pub at_fault: bool,
}

/// News of all endpoints about which there is any; where levels aren't due, only if others would run into
/// reading on some of them.
pub(super) fn take_updates(
    servers: &mut IndexMap<EndpointId, Server>,
    is_due: bool,
) -> Vec<EndpointUpdate> {
    let mut news = Vec::new();
    let placed_ms =
        |server: &Server| server.untold.iter().map(|part| f64::from(part.ms)).sum::<f64>();
    let is_urgent = |server: &Server| server.untold_fault || placed_ms(server) >= AT_ONCE_MS;
    let is_due = is_due || servers.values().any(is_urgent);
    if !is_due {
        return news;
    }
    for (endpoint, server) in servers {
        let has_parts = !server.untold.is_empty() || !server.untold_gone.is_empty();
        let has_failed = server.untold_failure || server.untold_fault;
        if !has_parts && server.own == server.told && !has_failed {
            continue;
        }
        server.told = server.own;
        news.push(EndpointUpdate {
            endpoint: endpoint.into(),
            placed: std::mem::take(&mut server.untold),
            gone: std::mem::take(&mut server.untold_gone),
            level: server.own,
            failed: std::mem::take(&mut server.untold_failure),
            answered: std::mem::take(&mut server.untold_answer),
            at_fault: std::mem::take(&mut server.untold_fault),
        });
    }
    news
}

/// How much long reading another instance placed, in milliseconds.
pub(super) fn long_ms(words: &[EndpointUpdate], short_ms: f64) -> f64 {
    let placed =
        |word: &EndpointUpdate| word.placed.iter().map(|part| f64::from(part.ms)).sum::<f64>();
    words.iter().map(placed).filter(|ms| *ms > short_ms).sum()
}

/// Takes in another instance's news.
pub(super) fn apply_updates(
    servers: &mut IndexMap<EndpointId, Server>,
    tags: &IndexMap<EndpointTag, usize>,
    health: &mut Health,
    rules: Option<&EngineRules>,
    peer: &InstanceId,
    words: &[EndpointUpdate],
    now: Time,
) {
    // Where a prompt runs, word of its first event comes with that of its parts.
    let answered = words.iter().filter(|word| word.answered);
    let read: Vec<PartKey> = answered.flat_map(|word| &word.gone).copied().collect();
    for word in words {
        let index = tags.get(&word.endpoint).copied();
        let Some((endpoint, server)) = index.and_then(|i| servers.get_index_mut(i)) else {
            continue;
        };
        if let Some(rules) = rules {
            for part in &word.placed {
                server.read(rules, part.part(now), Some(peer), now);
            }
        }
        for key in &word.gone {
            server.unread(*key, read.contains(key), now);
        }
        if word.answered {
            server.answered();
            health.record_peer_answer(endpoint);
        }
        if word.failed && server.fails_for(peer) {
            health.record_failure(endpoint, FailCause::Broken);
        }
        if word.at_fault {
            server.refused_to_help(now);
        }
        server.set_peer(peer, word.level);
    }
}
