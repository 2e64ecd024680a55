//! Rollout of a model version: selects the engine of a deployment that is ordered to load it next.
//!
//! **Load pattern.** Under full load, a new version is published to twenty engines that share a
//! rate-limited weight store; or a version is published that can't be loaded.
//!
//! **Without it.** All engines unload at once and queue at the store, and requests fail for minutes
//! because no endpoint is available. A version that can't be loaded takes the whole deployment
//! down.
//!
//! **Rule.** One engine of a deployment loads at a time; the next one follows when it is ready.
//! Engines that aren't ready anyway go first. A ready engine receives an order only while another
//! one is ready, so that the last ready engine keeps serving. Orders are level-triggered: an
//! engine's reported state is compared with the desired state until they agree.
//!
//! **Grounds.** Loading on one engine at a time respects the store's rate limit, takes away a
//! twentieth of the capacity, and stops at the first engine that can't load a version, while the
//! others still serve the old one. The fencing number is the version of the configuration, which is
//! determined by the order of the log. If an engine reports a higher number, this instance has an
//! outdated configuration and gives no orders. The comparison of states also corrects engines that
//! ignore the number.

use crate::{EndpointId, config::Version};

/// The state that an engine reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineStatus {
    /// The engine's identifier.
    pub endpoint: EndpointId,
    /// Whether its last order matches the desired state.
    pub is_current: bool,
    /// Whether it has carried out its last order and serves requests.
    pub ready: bool,
    /// The fencing number of its last order; zero if it has received none.
    pub fencing: Version,
}

/// The next step of a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutStep {
    /// All reachable engines are in the desired state.
    Done,
    /// Send the order to this engine.
    Order(EndpointId),
    /// Wait for this engine, which is loading.
    Loading(EndpointId),
    /// Wait, because this outdated engine is the only one that is ready.
    LastReady(EndpointId),
    /// Give no orders, because this engine has one from a newer configuration than this instance's.
    Behind(EndpointId),
}

/// Selects the next step from the states of the reachable engines, in any order. `version` is the
/// version of this instance's configuration.
pub fn next_step(engines: &[EngineStatus], version: Version) -> RolloutStep {
    if let Some(newer) = engines.iter().find(|engine| engine.fencing > version) {
        return RolloutStep::Behind(newer.endpoint.clone());
    }
    if let Some(loading) = engines.iter().find(|engine| engine.is_current && !engine.ready) {
        return RolloutStep::Loading(loading.endpoint.clone());
    }
    // Ties are broken by name, so that two instances that temporarily both control the rollout
    // choose the same engine.
    let outdated = engines.iter().filter(|engine| !engine.is_current);
    let first = outdated.min_by_key(|engine| (engine.ready, &engine.endpoint));
    let Some(first) = first else { return RolloutStep::Done };
    let others_ready =
        engines.iter().any(|engine| engine.ready && engine.endpoint != first.endpoint);
    match !first.ready || others_ready {
        true => RolloutStep::Order(first.endpoint.clone()),
        false => RolloutStep::LastReady(first.endpoint.clone()),
    }
}
