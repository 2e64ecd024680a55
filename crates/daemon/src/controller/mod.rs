//! Controllers: each keeps one piece of state converging, for as long as its endpoint is known.

mod cache;
pub mod configuration;
mod ledgers;
mod load;
mod memory;
mod orders;
mod peers;

use std::sync::Arc;

use policy::{config::EndpointKind, membership::MemberState, rendezvous};
use smol::channel::Receiver;

pub use memory::RESERVATION_LEASE;

use crate::{endpoint::Endpoint, peer::PeerEvent, shared::Shared};

/// Starts the controllers of a new endpoint. They end when the endpoint is gone from the
/// configuration and no request uses it any more.
pub fn start(shared: &Arc<Shared>, endpoint: &Arc<Endpoint>) {
    let weak = Arc::downgrade(endpoint);
    shared.spawn(load::run(Arc::downgrade(shared), weak.clone()));
    if endpoint.config.kind == EndpointKind::Engine {
        shared.spawn(cache::run(Arc::downgrade(shared), weak.clone()));
        shared.spawn(memory::run(Arc::downgrade(shared), weak));
    }
}

/// Starts the exchanges with the other instances, and what is shared out among them.
pub fn start_peers(shared: &Arc<Shared>, events: Receiver<PeerEvent>) {
    peers::start(shared, events);
    shared.spawn(orders::run(Arc::downgrade(shared)));
}

/// Whether this instance looks after what is called `name`. Everything has one such instance;
/// while views of who lives differ it may have two, so whatever they do must do no harm twice.
fn chosen(shared: &Shared, name: &str) -> bool {
    let Some(mesh) = shared.mesh() else { return false };
    let live = mesh.status().into_iter().filter(|peer| peer.state == MemberState::Live);
    let mut members: Vec<_> = live.map(|peer| peer.instance).collect();
    members.push(shared.owner.instance.clone());
    let chosen = rendezvous::owner(rendezvous::key(name), &members);
    chosen.and_then(|index| members.get(index)) == Some(&shared.owner.instance)
}
