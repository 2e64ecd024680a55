//! Messages of the protocol.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::InstanceId;

use super::Entry;

/// A message between two instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Opens an exchange. The receiver replies with [`Message::Same`] or [`Message::Entries`].
    Exchange {
        /// The sender's own entry.
        own: Entry,
        /// Digest of the sender's members.
        digest: Vec<u32>,
    },
    /// The receiver's digest equals the sender's.
    Same,
    /// Entries that the receiver may not have.
    Entries {
        /// The sender's own entry.
        own: Entry,
        /// Digest of the sender's members; the receiver sends entries that differ.
        digest: Option<Vec<u32>>,
        /// Entries of the sender's view.
        entries: Vec<Entry>,
    },
    /// Asks the receiver to probe the instance at an address.
    ProbeFor {
        /// Address to probe.
        target: SocketAddr,
    },
    /// An instance that the receiver asked to be probed has answered.
    Alive {
        /// The instance.
        instance: InstanceId,
    },
}
