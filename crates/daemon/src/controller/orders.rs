//! Keeps engines loaded with the configured models; [`policy::orders`] decides which engine is
//! next. One instance is responsible for each deployment, chosen by rendezvous hashing; if two are,
//! they give the same orders.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use policy::{
    config::{ServeRules, Version},
    orders::{EngineStatus, RolloutStep, next_step},
};
use protocols::{
    engine::{
        Engine,
        wire::{Order, OrderState},
    },
    weights::{WeightError, WeightStore, http::HttpWeightStore},
};
use smol::Timer;

use crate::{
    active::{ActiveConfig, Route},
    endpoint::Endpoint,
    shared::Shared,
};

/// Time between checks. Loading a model takes minutes, so a delay of seconds matters little.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Reconciles the deployments that this instance is responsible for, until it is dropped.
pub(super) async fn run(shared: Weak<Shared>) {
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let active = shared.active();
        for route in active.deployments.values() {
            let Some(serve) = &route.rules.serve else { continue };
            if super::is_responsible_for(&shared, route.rules.group.as_str()) {
                reconcile_deployment(&shared, &active, route, serve).await;
            }
        }
    }
}

async fn reconcile_deployment(
    shared: &Shared,
    active: &ActiveConfig,
    route: &Route,
    serve: &ServeRules,
) {
    let engines = active.endpoints.values().filter(|e| e.config.group == route.rules.group);
    let desired = desired_order(serve, active.version);
    let mut statuses = Vec::new();
    for engine in engines {
        // An engine that doesn't answer is left out: it neither serves nor loads.
        if let Ok(state) = engine.engine().order_state().await {
            statuses.push(engine_status(engine, &state, &desired));
        }
    }
    match next_step(&statuses, active.version) {
        RolloutStep::Done | RolloutStep::Loading(_) => {}
        RolloutStep::Behind(endpoint) => {
            log::info!(endpoint = endpoint.as_str(); "order_newer_than_configuration");
        }
        RolloutStep::LastReady(endpoint) => {
            log::warn!(endpoint = endpoint.as_str(); "order_withheld_from_last_ready_engine");
        }
        RolloutStep::Order(endpoint) => {
            if let Some(engine) = active.endpoints.get(&endpoint)
                && weights_exist(shared, serve).await
            {
                send_order(engine, &desired).await;
            }
        }
    }
}

fn desired_order(serve: &ServeRules, version: Version) -> Order {
    Order {
        model: serve.model.clone(),
        version: serve.version.clone(),
        adapter: serve.adapter.clone(),
        role: serve.role.clone(),
        fencing: version.0,
    }
}

fn engine_status(engine: &Arc<Endpoint>, state: &OrderState, desired: &Order) -> EngineStatus {
    let current = state.order.as_ref();
    // An unchanged order isn't sent again when other parts of the configuration change.
    let is_current = current
        .is_some_and(|current| Order { fencing: desired.fencing, ..current.clone() } == *desired);
    EngineStatus {
        endpoint: engine.config.id.clone(),
        is_current,
        ready: state.ready,
        fencing: Version(current.map_or(0, |current| current.fencing)),
    }
}

/// Whether the store has the weights and isn't over its rate limit. An engine that gave up its
/// model for one that can't be fetched would serve nothing.
async fn weights_exist(shared: &Shared, serve: &ServeRules) -> bool {
    let Some(address) = shared.settings.weights else { return true };
    match HttpWeightStore::new(address).size(&serve.model, &serve.version).await {
        Ok(_) => true,
        // The next check tries again.
        Err(WeightError::Busy(_)) => false,
        Err(e) => {
            log::warn!(model = serve.model.as_str(), version = serve.version.as_str(), cause:% = e;
                "order_withheld");
            false
        }
    }
}

async fn send_order(engine: &Endpoint, desired: &Order) {
    let result = engine.engine().order(desired).await;
    // Whatever the result, the next check compares again.
    log::info!(
        endpoint = engine.config.id.as_str(),
        model = desired.model.as_str(),
        version = desired.version.as_str(),
        fencing = desired.fencing,
        result:% = result.map_or_else(|e| e.to_string(), |_| "taken".to_owned());
        "engine_ordered"
    );
}
