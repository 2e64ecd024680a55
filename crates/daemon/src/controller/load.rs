//! Polls one endpoint for its load, about once a second. The query is also a health probe: it uses
//! a new connection, so it distinguishes a dead endpoint from one whose existing connections went
//! silent.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use policy::{Event, LoadReport, config::EndpointKind};
use protocols::{
    engine::{Engine, wire::Load},
    service::{Service, http::HttpService},
};
use smol::Timer;

use crate::{
    endpoint::{Endpoint, LifecycleState},
    shared::Shared,
};

/// Time between polls. Load reports are about as late themselves, so faster polling would add
/// little; but a leaving endpoint has to be noticed within two seconds.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polls until the endpoint or the instance is dropped.
pub(super) async fn run(shared: Weak<Shared>, endpoint: Weak<Endpoint>) {
    let mut is_failing = false;
    loop {
        let Some(known) = endpoint.upgrade() else { return };
        let load = query_load(&known).await;
        let Some(shared) = shared.upgrade() else { return };
        match load {
            Some(load) => {
                report_load(&shared, &known, &load);
                if is_failing {
                    record_probe(&shared, &known, true);
                }
                is_failing = false;
            }
            None => {
                record_probe(&shared, &known, false);
                is_failing = true;
            }
        }
        known.record_load_query();
        drop((shared, known));
        // Jitter keeps instances that started together from polling in step.
        Timer::after(POLL_INTERVAL.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
    }
}

async fn query_load(endpoint: &Endpoint) -> Option<Load> {
    match endpoint.config.kind {
        EndpointKind::Engine => endpoint.engine().load().await.ok(),
        EndpointKind::Service => HttpService::new(endpoint.config.address).load().await.ok(),
    }
}

fn report_load(shared: &Arc<Shared>, endpoint: &Endpoint, load: &Load) {
    let lifecycle = LifecycleState { incarnation: load.incarnation, leaving: load.leaving };
    shared.record_lifecycle(endpoint, lifecycle);
    let age = Duration::from_millis(load.age_ms);
    let now = shared.clock.now();
    let taken = policy::Time(now.0.saturating_sub(age.as_micros() as u64));
    let report = LoadReport {
        endpoint: endpoint.config.id.clone(),
        incarnation: load.incarnation,
        taken,
        kv_total: load.kv_total,
        kv_used: load.kv_used,
        waiting_prefill: load.waiting_prefill,
        running: load.running,
        leaving: load.leaving,
    };
    shared.notify_schedulers(endpoint, &Event::Load(report));
}

fn record_probe(shared: &Arc<Shared>, endpoint: &Endpoint, healthy: bool) {
    let event = Event::Probe { endpoint: endpoint.config.id.clone(), healthy };
    shared.notify_schedulers(endpoint, &event);
}
