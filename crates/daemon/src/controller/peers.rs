//! Exchange with the other instances: load digests, the configuration in force, endpoints that are
//! leaving, and instances that were removed.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use bytes::Bytes;
use policy::{
    Event, InstanceId,
    config::{SourceFile, Version, load},
    scheduler::EndpointState,
};
use protocols::instances::{InstanceList, http::HttpInstanceList};
use smol::{Timer, channel::Receiver};

use crate::{
    controller::ledgers,
    endpoint::LifecycleState,
    peer::{EndpointStateUpdate, Message, PeerEvent},
    shared::Shared,
};

/// Time between sending this instance's load. Half a heartbeat interval, so that other instances
/// learn of work sent from here about as early as from the endpoint's own load report.
const LOAD_SHARE_INTERVAL: Duration = Duration::from_millis(500);

/// Time between reads of the platform's list, which lags by more than that itself.
const LIST_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Starts the tasks of the exchange.
pub(super) fn start(shared: &Arc<Shared>, events: Receiver<PeerEvent>) {
    shared.spawn(apply_events(Arc::downgrade(shared), events));
    shared.spawn(share_loads(Arc::downgrade(shared)));
    shared.spawn(poll_instance_list(Arc::downgrade(shared)));
    shared.spawn(ledgers::run(Arc::downgrade(shared)));
}

async fn share_loads(shared: Weak<Shared>) {
    loop {
        Timer::after(LOAD_SHARE_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let Some(mesh) = shared.mesh() else { continue };
        for (name, route) in &shared.active().deployments {
            mesh.share_load(name, route.deployment.digest());
        }
    }
}

async fn poll_instance_list(shared: Weak<Shared>) {
    loop {
        let Some(state) = shared.upgrade() else { return };
        let Some(address) = state.settings.instances else { return };
        drop(state);
        let page = HttpInstanceList::new(address).list().await;
        let Some(state) = shared.upgrade() else { return };
        if let (Ok(page), Some(mesh)) = (page, state.mesh()) {
            mesh.apply_list(&page);
        }
        drop(state);
        Timer::after(LIST_READ_INTERVAL.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
    }
}

async fn apply_events(shared: Weak<Shared>, events: Receiver<PeerEvent>) {
    while let Ok(event) = events.recv().await {
        let Some(shared) = shared.upgrade() else { return };
        apply_event(&shared, event);
    }
}

fn apply_event(shared: &Arc<Shared>, event: PeerEvent) {
    match event {
        PeerEvent::Linked(hello) => {
            log::info!(peer = hello.instance.as_str(), incarnation = hello.incarnation.0; "peer_linked");
            send_current_state(shared, &hello.instance);
        }
        PeerEvent::Load { deployment, digest } => {
            if let Some(route) = shared.active().deployments.get(&deployment) {
                route.deployment.observe(Event::Peer(digest));
            }
        }
        PeerEvent::Message { from, message } => apply_message(shared, &from, message),
        PeerEvent::Leaving { instance, incarnation } => {
            log::info!(peer = instance.as_str(), incarnation = incarnation.0; "peer_leaving");
        }
        PeerEvent::Removed { instance, incarnation } => {
            log::info!(peer = instance.as_str(), incarnation = incarnation.0; "peer_gone");
            for route in shared.active().deployments.values() {
                let instance = instance.clone();
                route.deployment.observe(Event::PeerRemoved { instance, incarnation });
            }
        }
    }
}

/// Sends a peer the state that it may have missed. It then requests a version that it lacks, which
/// is how an instance that starts while the log is down gets its configuration.
fn send_current_state(shared: &Shared, peer: &InstanceId) {
    let active = shared.active();
    if active.version > Version(0) {
        send(shared, peer, Message::ConfigVersion(active.version));
    }
    for endpoint in active.endpoints.values().filter(|endpoint| endpoint.lifecycle().leaving) {
        let endpoint = EndpointStateUpdate {
            endpoint: endpoint.config.id.clone(),
            incarnation: endpoint.lifecycle().incarnation,
            state: EndpointState::Leaving,
        };
        send(shared, peer, Message::Endpoint(endpoint));
    }
}

fn send(shared: &Shared, peer: &InstanceId, message: Message) {
    // An error means that there is no link; the next one starts with the complete state.
    if let Some(mesh) = shared.mesh() {
        mesh.send_to(peer, message).ok();
    }
}

fn apply_message(shared: &Arc<Shared>, from: &InstanceId, message: Message) {
    match message {
        Message::Endpoint(update) => apply_endpoint_update(shared, &update),
        Message::ConfigVersion(version) if version > shared.active().version => {
            send(shared, from, Message::ConfigWanted(version));
        }
        Message::ConfigWanted(version) => send_config(shared, from, version),
        Message::Config { version, content } => apply_config(shared, from, version, &content),
        Message::StatusWanted { query } => {
            let status = crate::admin::status(shared);
            // Plain strings and numbers can always be serialised.
            let content = Bytes::from(serde_json::to_vec(&status).unwrap_or_default());
            send(shared, from, Message::Status { query, content });
        }
        Message::LedgerRead(ends) => ledgers::apply_stream_ends(shared, &ends),
        Message::Status { query, content } => shared.status_queries.record_reply(query, content),
        Message::ConfigVersion(_) => {}
    }
}

/// Applies another instance's observation of an endpoint, if it is that the endpoint is leaving.
/// Whether an endpoint is dead depends on the connection to it, which each instance judges for
/// itself.
fn apply_endpoint_update(shared: &Shared, update: &EndpointStateUpdate) {
    let active = shared.active();
    let Some(endpoint) = active.endpoints.get(&update.endpoint) else { return };
    if update.state == EndpointState::Leaving {
        shared.record_lifecycle(
            endpoint,
            LifecycleState { incarnation: update.incarnation, leaving: true },
        );
    }
}

fn send_config(shared: &Shared, peer: &InstanceId, wanted: Version) {
    let active = shared.active();
    if active.version < wanted {
        return;
    }
    match serde_json::to_vec(&active.config) {
        Ok(content) => {
            let message = Message::Config { version: active.version, content: content.into() };
            send(shared, peer, message);
        }
        Err(e) => log::error!(cause:% = e; "config_not_written"),
    }
}

/// Applies a peer's configuration after the same checks that every instance makes, so that a faulty
/// instance can't spread a configuration that the others would refuse.
fn apply_config(shared: &Arc<Shared>, from: &InstanceId, version: Version, content: &[u8]) {
    let text = String::from_utf8_lossy(content).into_owned();
    let name = format!("version {version} from {from}");
    match load(&[SourceFile { name, text }]) {
        Ok(loaded) => shared.set_config(loaded.config, version),
        Err(findings) => {
            let findings: Vec<_> = findings.iter().map(ToString::to_string).collect();
            log::error!(peer = from.as_str(), version = version.0, findings = findings.join("; ");
                "config_refused");
        }
    }
}
