//! Which datagrams of a peer are outdated because a later one has arrived.

use std::{collections::HashMap, net::SocketAddr};

use super::message::{Body, Datagram, IncarnationTag};

#[cfg(test)]
mod tests;

/// The latest datagram of each peer.
#[derive(Debug, Default)]
pub(super) struct Order(HashMap<SocketAddr, (IncarnationTag, u64)>);

impl Order {
    /// Records a peer's datagram; true if it still matters. One that states a level is replaced by
    /// each later one. What is merged isn't: datagrams that are sent one right after the other often
    /// arrive the other way round.
    pub(super) fn accepts(&mut self, from: SocketAddr, datagram: &Datagram) -> bool {
        let Datagram { incarnation, sequence, body } = datagram;
        let latest = self.0.entry(from).or_insert((*incarnation, 0));
        let is_outdated = latest.0 == *incarnation && *sequence <= latest.1;
        if !is_outdated {
            *latest = (*incarnation, *sequence);
        }
        !is_outdated || is_merged(body)
    }

    /// Forgets all peers for which `is_live` doesn't hold.
    pub(super) fn retain(&mut self, is_live: impl Fn(SocketAddr) -> bool) {
        self.0.retain(|address, _| is_live(*address));
    }
}

/// Whether the receiver merges the content with what it knows, so that order doesn't matter.
fn is_merged(body: &Body) -> bool {
    match body {
        Body::Quarantine { .. }
        | Body::Limits { .. }
        | Body::Returns { .. }
        | Body::NewsRequest { .. }
        | Body::NewsSent { .. }
        | Body::Leaving { .. } => true,
        Body::Gossip(_)
        | Body::EndpointUpdates { .. }
        | Body::Suspects
        | Body::Query { .. }
        | Body::Reply { .. }
        | Body::Positions { .. }
        | Body::Usage { .. } => false,
    }
}
