//! Controllers: background tasks that each keep one piece of state converging towards the
//! configuration.

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

/// Starts the controllers of a new endpoint. They end once the endpoint has been removed from the
/// configuration and no request uses it any more.
pub fn start(shared: &Arc<Shared>, endpoint: &Arc<Endpoint>) {
    let weak = Arc::downgrade(endpoint);
    shared.spawn(load::run(Arc::downgrade(shared), weak.clone()));
    if endpoint.config.kind == EndpointKind::Engine {
        shared.spawn(cache::run(Arc::downgrade(shared), weak.clone()));
        shared.spawn(memory::run(Arc::downgrade(shared), weak));
    }
}

/// Starts the exchange with other instances, and the tasks that are divided among them.
pub fn start_peers(shared: &Arc<Shared>, events: Receiver<PeerEvent>) {
    peers::start(shared, events);
    shared.spawn(orders::run(Arc::downgrade(shared)));
}

/// Whether this instance is responsible for what `name` identifies, by rendezvous hashing. While
/// instances disagree on who is live, two may be responsible for the same name, so their actions
/// must be idempotent.
fn is_responsible_for(shared: &Shared, name: &str) -> bool {
    let Some(mesh) = shared.mesh() else { return false };
    let live = mesh.status().into_iter().filter(|peer| peer.state == MemberState::Live);
    let mut members: Vec<_> = live.map(|peer| peer.instance).collect();
    members.push(shared.owner.instance.clone());
    let owner = rendezvous::owner(rendezvous::key(name), &members);
    owner.and_then(|index| members.get(index)) == Some(&shared.owner.instance)
}
