//! Keeps engines loaded with what the configuration wants; [`policy::orders`] decides which one is
//! next. One instance looks after each deployment, chosen by rendezvous hash; two at once give the
//! same orders.

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

/// Time between two looks. Loading takes minutes, so that some seconds more matter little.
const PERIOD: Duration = Duration::from_secs(1);

/// Looks after the deployments that fall to this instance, until it is gone.
pub(super) async fn run(shared: Weak<Shared>) {
    loop {
        Timer::after(PERIOD).await;
        let Some(shared) = shared.upgrade() else { return };
        let active = shared.active();
        for route in active.deployments.values() {
            let Some(serve) = &route.rules.serve else { continue };
            if super::chosen(&shared, route.rules.group.as_str()) {
                look_after(&shared, &active, route, serve).await;
            }
        }
    }
}

async fn look_after(shared: &Shared, active: &ActiveConfig, route: &Route, serve: &ServeRules) {
    let engines = active.endpoints.values().filter(|e| e.config.group == route.rules.group);
    let wanted = order(serve, active.version);
    let mut replicas = Vec::new();
    for engine in engines {
        // One that doesn't answer is left out: it neither serves nor loads.
        if let Ok(state) = engine.engine().order_state().await {
            replicas.push(replica(engine, &state, &wanted));
        }
    }
    match next_step(&replicas, active.version) {
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
                give(engine, &wanted).await;
            }
        }
    }
}

fn order(serve: &ServeRules, version: Version) -> Order {
    Order {
        model: serve.model.clone(),
        version: serve.version.clone(),
        adapter: serve.adapter.clone(),
        role: serve.role.clone(),
        fencing: version.0,
    }
}

fn replica(engine: &Arc<Endpoint>, state: &OrderState, wanted: &Order) -> EngineStatus {
    let known = state.order.as_ref();
    // An unchanged wish isn't ordered again with each change of other things.
    let is_current =
        known.is_some_and(|known| Order { fencing: wanted.fencing, ..known.clone() } == *wanted);
    EngineStatus {
        endpoint: engine.config.id.clone(),
        is_current,
        ready: state.ready,
        fencing: Version(known.map_or(0, |known| known.fencing)),
    }
}

/// Whether the store has the weights and isn't over its rate. An engine that gave up its model for
/// one that can't be had would be lost.
async fn weights_exist(shared: &Shared, serve: &ServeRules) -> bool {
    let Some(address) = shared.settings.weights else { return true };
    match HttpWeightStore::new(address).size(&serve.model, &serve.version).await {
        Ok(_) => true,
        // The next look asks again.
        Err(WeightError::Busy(_)) => false,
        Err(e) => {
            log::warn!(model = serve.model.as_str(), version = serve.version.as_str(), cause:% = e;
                "order_withheld");
            false
        }
    }
}

async fn give(engine: &Endpoint, wanted: &Order) {
    let result = engine.engine().order(wanted).await;
    // Whatever came of it, the next look compares again.
    log::info!(
        endpoint = engine.config.id.as_str(),
        model = wanted.model.as_str(),
        version = wanted.version.as_str(),
        fencing = wanted.fencing,
        result:% = result.map_or_else(|e| e.to_string(), |_| "taken".to_owned());
        "engine_ordered"
    );
}
