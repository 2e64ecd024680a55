//! Controllers: each keeps one piece of state converging, for as long as its endpoint is known.

mod cache;
pub mod configuration;
mod load;
mod memory;
mod peers;

use std::sync::Arc;

use policy::config::EndpointKind;
use smol::channel::Receiver;

pub use memory::LEASE;

use crate::{endpoint::Endpoint, peer::PeerEvent, shared::Shared};

/// Starts the controllers of a new endpoint. They end when the endpoint is gone from the
/// configuration and no request uses it any more.
pub fn start(shared: &Arc<Shared>, endpoint: &Arc<Endpoint>) {
    let weak = Arc::downgrade(endpoint);
    shared.spawn(load::run(Arc::downgrade(shared), weak.clone()));
    if endpoint.place.kind == EndpointKind::Engine {
        shared.spawn(cache::run(Arc::downgrade(shared), weak.clone()));
        shared.spawn(memory::run(Arc::downgrade(shared), weak));
    }
}

/// Starts the exchanges with the other instances.
pub fn start_peers(shared: &Arc<Shared>, events: Receiver<PeerEvent>) {
    peers::start(shared, events);
}
