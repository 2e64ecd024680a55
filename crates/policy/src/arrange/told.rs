//! What instances tell each other of their work on one endpoint.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{EndpointId, FailCause, InstanceId, Time, health::Health, routes::EngineRules};

use super::{
    choose::SHORT_MS,
    server::{PAUSES_MS, Server},
};

/// How often levels are told. Reading that stands before others is told at once.
pub const EVERY: Duration = Duration::from_millis(50);

/// Reading from which on a placement is told at once, in milliseconds: a few such parts in one
/// pass make it too long for those who write there.
const AT_ONCE_MS: f64 = 2.0;

/// One instance's work on one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Level {
    /// Requests that run or wait.
    pub running: u16,
    /// Tokens of memory that they take.
    pub memory: u64,
    /// Their weights, by the pause that they bear.
    pub writers: [f32; PAUSES_MS.len()],
}

/// News of one endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Milliseconds of reading placed since the last word of it, less what isn't wanted any more.
    pub placed_ms: f32,
    /// What the teller has there now.
    pub level: Level,
    /// A request of the teller's failed there since the last word.
    pub failed: bool,
    /// One was answered.
    pub answered: bool,
}

/// News of all endpoints about which there is any; where levels aren't due, only of those with
/// reading that others would run into.
pub(super) fn tell(servers: &mut IndexMap<EndpointId, Server>, is_due: bool) -> Vec<Told> {
    let mut news = Vec::new();
    for (endpoint, server) in servers {
        let changed = server.untold_ms != 0.0 || server.own != server.told || server.untold_failure;
        if !changed || !is_due && server.untold_ms.abs() < AT_ONCE_MS {
            continue;
        }
        server.told = server.own;
        let placed_ms = std::mem::take(&mut server.untold_ms) as f32;
        news.push(Told {
            endpoint: endpoint.clone(),
            placed_ms,
            level: server.own,
            failed: std::mem::take(&mut server.untold_failure),
            answered: std::mem::take(&mut server.untold_answer),
        });
    }
    news
}

/// Takes in another instance's news, and tells how much long reading it placed.
pub(super) fn hear(
    servers: &mut IndexMap<EndpointId, Server>,
    health: &mut Health,
    rules: Option<&EngineRules>,
    peer: &InstanceId,
    words: &[Told],
    now: Time,
) -> f64 {
    let mut long_ms = 0.0;
    for word in words {
        let Some(server) = servers.get_mut(&word.endpoint) else { continue };
        let placed_ms = f64::from(word.placed_ms);
        match rules {
            Some(rules) if placed_ms > 0.0 => server.read(rules, placed_ms, now),
            _ if placed_ms < 0.0 => {
                // What was placed and taken back within one word was never counted here.
                server.unread(-placed_ms, now);
            }
            _ => {}
        }
        if placed_ms > SHORT_MS {
            long_ms += placed_ms;
        }
        if word.answered {
            server.answered();
            health.vouched(&word.endpoint);
        }
        if word.failed && server.fails_for(peer) {
            health.failed(&word.endpoint, FailCause::Broken);
        }
        if word.level == Level::default() {
            server.peers.swap_remove(peer);
        } else {
            server.peers.insert(peer.clone(), word.level);
        }
    }
    long_ms
}
