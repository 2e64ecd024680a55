//! Engines are loaded with the configured models while requests are served.

#![allow(clippy::unwrap_used)]

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{Daemon, KEY, Site, wait_until};
use protocols::engine::{
    Engine as _,
    http::HttpEngine,
    wire::{Order, OrderState},
};
use standin::{
    Engine, EngineConfig, WeightConfig, WeightStore,
    client::{Prompt, PromptShape},
};

const SERVE: &str = r#","serve":{"model":"llm","version":"7"}"#;

fn state(engine: SocketAddr) -> OrderState {
    smol::block_on(HttpEngine::new(engine).order_state()).unwrap()
}

fn is_current(engine: SocketAddr) -> bool {
    let state = state(engine);
    state.ready && state.order.is_some_and(|order| order.version == "7")
}

fn start_store(models: &[&str]) -> WeightStore {
    let sizes = models.iter().map(|name| ((*name).to_owned(), 100_000_000)).collect();
    let config = WeightConfig { sizes, per_window: 2, window: Duration::from_millis(100) };
    WeightStore::start(config).unwrap()
}

/// Three engines that take a fifth of a second to load.
fn start_engines(store: &WeightStore, checks_fencing: bool) -> [Engine; 3] {
    let config = EngineConfig {
        weights: Some(store.address()),
        weight_rate: 5e8,
        checks_fencing,
        ..EngineConfig::default()
    };
    [0; 3].map(|_| Engine::start(config.clone()).unwrap())
}

fn start_daemon(name: &str, engines: &[Engine; 3], store: &WeightStore) -> Daemon {
    let addresses = engines.each_ref().map(Engine::address);
    let site = Site { more: SERVE, ..Site::of_engines(&addresses) };
    let more = format!(r#""balancer_wait_ms":100,"weights":"{}""#, store.address());
    Daemon::start_with(name, &site, &more)
}

/// Guards against a rollout that takes several engines out of service: a new version is published,
/// the engines load it one after another, at most one loads at any moment, and requests are served
/// throughout.
#[test]
fn a_new_version_is_loaded_one_engine_at_a_time() {
    let store = start_store(&["llm/7"]);
    let engines = start_engines(&store, true);
    let daemon = start_daemon("rollout", &engines, &store);
    let addresses = engines.each_ref().map(Engine::address);
    let mut seed = 0;
    wait_until("every engine has the new version", || {
        let loading = addresses.iter().filter(|engine| !state(**engine).ready).count();
        assert!(loading <= 1, "{loading} engines load at once");
        seed += 1;
        let prompt = Prompt::new(PromptShape::unique(100, seed)).key(KEY);
        let reply = smol::block_on(prompt.send(daemon.address));
        assert!(reply.whole, "{reply:?}");
        addresses.iter().all(|engine| is_current(*engine))
    });
}

/// Guards against an engine that keeps an outdated order: a paused instance resumes and sends its
/// old order to an engine that doesn't check fencing numbers. The difference has to be noticed and
/// the order sent again.
#[test]
fn an_old_order_at_an_engine_that_checks_nothing_is_repaired() {
    let store = start_store(&["llm/6", "llm/7"]);
    let engines = start_engines(&store, false);
    let _daemon = start_daemon("repair", &engines, &store);
    let addresses = engines.each_ref().map(Engine::address);
    wait_until("every engine is loaded", || addresses.iter().all(|engine| is_current(*engine)));
    let old = Order {
        model: "llm".to_owned(),
        version: "6".to_owned(),
        adapter: None,
        role: "mixed".to_owned(),
        fencing: 0,
    };
    smol::block_on(HttpEngine::new(addresses[1]).order(&old)).unwrap();
    assert!(!is_current(addresses[1]));
    wait_until("the engine is repaired", || is_current(addresses[1]));
}

/// Guards against engines that give up what they serve: the configured version isn't in the weight
/// store.
#[test]
fn a_version_that_the_store_lacks_is_never_ordered() {
    let store = start_store(&["llm/6"]);
    let engines = start_engines(&store, true);
    let daemon = start_daemon("missing", &engines, &store);
    let served = || daemon.get("/admin/status").contains(r#""state":"live""#);
    wait_until("the engines are known", served);
    std::thread::sleep(Duration::from_secs(3));
    for engine in &engines {
        assert_eq!(engine.stats().orders, 0);
        assert!(state(engine.address()).ready);
    }
}
