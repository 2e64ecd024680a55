//! Exchanges with the other instances: what each has under way, which configuration is in force,
//! which endpoints are leaving, and who is gone.

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

/// Time between two tellings of this instance's load. Half a heartbeat, so that a decision
/// elsewhere knows of work sent here about as early as the endpoint's own report does.
const SHARE_PERIOD: Duration = Duration::from_millis(500);

/// Time between two readings of the platform's list, which lags by more than that.
const LIST_PERIOD: Duration = Duration::from_secs(2);

/// Starts the exchanges.
pub(super) fn start(shared: &Arc<Shared>, events: Receiver<PeerEvent>) {
    shared.spawn(listen(Arc::downgrade(shared), events));
    shared.spawn(share_load(Arc::downgrade(shared)));
    shared.spawn(read_list(Arc::downgrade(shared)));
    shared.spawn(ledgers::run(Arc::downgrade(shared)));
}

async fn share_load(shared: Weak<Shared>) {
    loop {
        Timer::after(SHARE_PERIOD).await;
        let Some(shared) = shared.upgrade() else { return };
        let Some(mesh) = shared.mesh() else { continue };
        for (name, route) in &shared.active().deployments {
            mesh.share_load(name, route.deployment.digest());
        }
    }
}

async fn read_list(shared: Weak<Shared>) {
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
        Timer::after(LIST_PERIOD.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
    }
}

async fn listen(shared: Weak<Shared>, events: Receiver<PeerEvent>) {
    while let Ok(event) = events.recv().await {
        let Some(shared) = shared.upgrade() else { return };
        take(&shared, event);
    }
}

fn take(shared: &Arc<Shared>, event: PeerEvent) {
    match event {
        PeerEvent::Linked(hello) => {
            log::info!(peer = hello.instance.as_str(), incarnation = hello.incarnation.0; "peer_linked");
            greet(shared, &hello.instance);
        }
        PeerEvent::Load { deployment, digest } => {
            if let Some(route) = shared.active().deployments.get(&deployment) {
                route.deployment.observe(Event::Peer(digest));
            }
        }
        PeerEvent::Message { from, message } => answer(shared, &from, message),
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

/// Tells a peer what it may have missed. A version that it lacks it then asks for, which is how an
/// instance that starts while the log is down gets its configuration.
fn greet(shared: &Shared, peer: &InstanceId) {
    let active = shared.active();
    if active.version > Version(0) {
        tell(shared, peer, Message::ConfigVersion(active.version));
    }
    for endpoint in active.endpoints.values().filter(|endpoint| endpoint.lifecycle().leaving) {
        let endpoint = EndpointStateUpdate {
            endpoint: endpoint.config.id.clone(),
            incarnation: endpoint.lifecycle().incarnation,
            state: EndpointState::Leaving,
        };
        tell(shared, peer, Message::Endpoint(endpoint));
    }
}

fn tell(shared: &Shared, peer: &InstanceId, message: Message) {
    // Without a link there is nobody to tell; the next link begins with the whole state.
    if let Some(mesh) = shared.mesh() {
        mesh.send_to(peer, message).ok();
    }
}

fn answer(shared: &Arc<Shared>, from: &InstanceId, message: Message) {
    match message {
        Message::Endpoint(news) => endpoint_news(shared, &news),
        Message::ConfigVersion(version) if version > shared.active().version => {
            tell(shared, from, Message::ConfigWanted(version));
        }
        Message::ConfigWanted(version) => give_config(shared, from, version),
        Message::Config { version, content } => take_config(shared, from, version, &content),
        Message::StatusWanted { query } => {
            let status = crate::admin::status(shared);
            // Plain strings and numbers can always be written.
            let content = Bytes::from(serde_json::to_vec(&status).unwrap_or_default());
            tell(shared, from, Message::Status { query, content });
        }
        Message::LedgerRead(ends) => ledgers::heard(shared, &ends),
        Message::Status { query, content } => shared.status_queries.record_reply(query, content),
        Message::ConfigVersion(_) => {}
    }
}

/// Another instance saw an endpoint leave. Only that is taken over: whether an endpoint is dead
/// depends on the link to it, and each instance has its own.
fn endpoint_news(shared: &Shared, news: &EndpointStateUpdate) {
    let active = shared.active();
    let Some(endpoint) = active.endpoints.get(&news.endpoint) else { return };
    if news.state == EndpointState::Leaving {
        shared.record_lifecycle(
            endpoint,
            LifecycleState { incarnation: news.incarnation, leaving: true },
        );
    }
}

fn give_config(shared: &Shared, peer: &InstanceId, wanted: Version) {
    let active = shared.active();
    if active.version < wanted {
        return;
    }
    match serde_json::to_vec(&active.config) {
        Ok(content) => {
            let message = Message::Config { version: active.version, content: content.into() };
            tell(shared, peer, message);
        }
        Err(e) => log::error!(cause:% = e; "config_not_written"),
    }
}

/// Takes over a peer's configuration after the same checks that every instance makes, so that one
/// faulty instance can't spread what the others would refuse.
fn take_config(shared: &Arc<Shared>, from: &InstanceId, version: Version, content: &[u8]) {
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
