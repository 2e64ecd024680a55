//! What is known of one instance.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DataCentre, Incarnation, InstanceId};

/// Whether an instance is alive, from the least certain to the most certain death.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// It has said so itself.
    Alive,
    /// It hasn't answered; it still counts as alive.
    Suspected,
    /// It hasn't refuted the suspicion.
    Removed,
}

impl Status {
    /// Whether the instance counts as alive.
    pub fn is_live(self) -> bool {
        self != Status::Removed
    }
}

/// What is known of one instance. A newer entry replaces an older one; see
/// [`is_newer_than`](Self::is_newer_than).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Address for messages between instances.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Raised by the instance itself whenever it refutes a suspicion.
    pub revision: u32,
    /// Whether it is alive.
    pub status: Status,
}

impl Entry {
    /// Entry of an instance that starts.
    pub fn new(
        instance: InstanceId,
        address: SocketAddr,
        data_centre: DataCentre,
        incarnation: Incarnation,
    ) -> Entry {
        Entry { instance, address, data_centre, incarnation, revision: 0, status: Status::Alive }
    }

    /// Whether this entry replaces `other` of the same instance.
    pub fn is_newer_than(&self, other: &Entry) -> bool {
        self.order() > other.order()
    }

    fn order(&self) -> (Incarnation, u32, Status) {
        (self.incarnation, self.revision, self.status)
    }
}
