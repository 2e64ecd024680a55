//! What instances send each other.

use policy::{
    DataCentre, GroupTag, Incarnation, InstanceId, freshness::Position, placement::EndpointUpdate,
    quarantine,
};
use serde::{Deserialize, Serialize};

use crate::freshness::FreshnessReply;

/// One datagram. Its sender is known by its address and life, so that most datagrams hold no name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct Datagram {
    /// The sender's life.
    pub(super) incarnation: IncarnationTag,
    /// Counts the sender's datagrams; one that arrives after a later one is dropped.
    pub(super) sequence: u64,
    pub(super) body: Body,
}

/// The lower half of an incarnation: enough to tell a life from the one before at the same address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct IncarnationTag(u32);

impl From<Incarnation> for IncarnationTag {
    fn from(incarnation: Incarnation) -> IncarnationTag {
        IncarnationTag(incarnation.0 as u32)
    }
}

/// Who a sender is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct Hello {
    pub(super) instance: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) data_centre: DataCentre,
    /// The sender doesn't know the receiver, which is to answer with a hello.
    pub(super) wants_reply: bool,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum Body {
    /// A sign of life; whoever doesn't know the sender yet answers with one.
    Heartbeat(Hello),
    /// Work on endpoints of one group.
    EndpointUpdates { group: GroupTag, updates: Vec<EndpointUpdate> },
    /// Requests suspected of crashing endpoints of one group.
    Suspects { group: GroupTag, entries: Vec<quarantine::Entry> },
    /// How fresh is what the receiver knows, and what has changed of the endpoints since a position?
    Query { nonce: u64, endpoints_position: Position },
    /// What the receiver asked.
    Reply { nonce: u64, reply: FreshnessReply },
    /// The sender has read up to there. Nothing is believed of it; whoever has read less looks.
    Positions { configuration: Position, endpoints: Position },
}
