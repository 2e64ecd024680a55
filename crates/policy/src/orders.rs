//! Which engine is ordered to load next, when a deployment's engines have to change.
//!
//! **Load pattern.** A new version is published to twenty engines that share a rate-limited weight
//! store, under full load; or a version that doesn't load.
//!
//! **Without it.** All engines unload at once and queue at the store, and callers hear for minutes
//! that there is no endpoint. A version that doesn't load takes the whole deployment down.
//!
//! **Rule.** One engine of a deployment loads at a time, and the next one only after it is ready.
//! Engines that aren't ready anyway go first. One that is ready is ordered only while another one
//! is ready, so the last ready replica stays. An order is a level: what an engine reports is
//! compared with what is wanted, for as long as they differ.
//!
//! **Grounds.** One at a time keeps the store's rate, costs a twentieth of the capacity, and stops
//! at the first engine that can't load a version: the others still serve the old one. The fencing
//! number is the version of the configuration, which the log's order decides; where an engine
//! reports a higher one, this instance is behind and keeps still. Engines that ignore the number
//! are repaired by the comparison.

use crate::{EndpointId, config::Version};

/// One engine as it reports itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineStatus {
    /// The engine.
    pub endpoint: EndpointId,
    /// Whether what it was last ordered to is what is wanted.
    pub is_current: bool,
    /// Whether it serves what it was last ordered to.
    pub ready: bool,
    /// The fencing number of its last order; zero where it had none.
    pub fencing: Version,
}

/// What to do now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutStep {
    /// All engines that answer are as wanted.
    Done,
    /// Order this engine.
    Order(EndpointId),
    /// This engine is loading; wait for it.
    Loading(EndpointId),
    /// This is the last engine that is ready; it stays as it is.
    LastReady(EndpointId),
    /// This engine has orders from a newer configuration than is known here.
    Behind(EndpointId),
}

/// Decides on the engines that answer, in any order, under the configuration `version`.
pub fn next_step(replicas: &[EngineStatus], version: Version) -> RolloutStep {
    if let Some(newer) = replicas.iter().find(|replica| replica.fencing > version) {
        return RolloutStep::Behind(newer.endpoint.clone());
    }
    if let Some(loading) = replicas.iter().find(|replica| replica.is_current && !replica.ready) {
        return RolloutStep::Loading(loading.endpoint.clone());
    }
    // By name, so that two instances that both decide for a while choose the same engine.
    let outdated = replicas.iter().filter(|replica| !replica.is_current);
    let first = outdated.min_by_key(|replica| (replica.ready, &replica.endpoint));
    let Some(first) = first else { return RolloutStep::Done };
    let others_ready = replicas.iter().any(|r| r.ready && r.endpoint != first.endpoint);
    match !first.ready || others_ready {
        true => RolloutStep::Order(first.endpoint.clone()),
        false => RolloutStep::LastReady(first.endpoint.clone()),
    }
}
