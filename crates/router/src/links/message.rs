//! What instances send each other.

use policy::{
    DataCentre, EndpointGroup, Incarnation, InstanceId, arrange::Told, quarantine, vouch::Position,
};
use serde::{Deserialize, Serialize};

use crate::vouching::Answer;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct Datagram {
    pub(super) instance: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) data_centre: DataCentre,
    /// Counts the sender's datagrams; one that arrives after a later one is dropped.
    pub(super) sequence: u64,
    pub(super) body: Body,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum Body {
    /// A sign of life; whoever doesn't know the sender yet answers with one.
    Heartbeat,
    /// Work on endpoints of one group.
    Work { group: EndpointGroup, words: Vec<Told> },
    /// Requests suspected of crashing endpoints of one group.
    Suspects { group: EndpointGroup, entries: Vec<quarantine::Entry> },
    /// How fresh is what the receiver knows, and what has changed of the endpoints since a position?
    Question { nonce: u64, endpoints_at: Position },
    /// What the receiver asked.
    Answer { nonce: u64, answer: Answer },
    /// The sender has read up to there. Nothing is believed of it; whoever has read less looks.
    News { configuration: Position, endpoints: Position },
}
