//! What instances say to each other, and how it stands on the wire.

use std::{fmt, net::SocketAddr};

use bytes::Bytes;
use policy::{
    DataCentre, EndpointId, Incarnation, InstanceId, config::Version, scheduler::EndpointState,
};
use serde::{Deserialize, Serialize};

use crate::peer::compact::CompactLoad;

/// The longest packet, in bytes. The largest content is a whole configuration: 3,600 endpoints and
/// 2,300 workspaces are about 1 MB of JSON. A peer that claims more is broken or no peer at all,
/// and nothing is allocated for it.
pub const MAX_PACKET_BYTES: usize = 4 << 20;

/// Raised with each change of the packets that older instances can't read.
pub const PROTOCOL_VERSION: u32 = 1;

/// The first packet in each direction of a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's [`PROTOCOL_VERSION`].
    pub protocol: u32,
    /// Who is at this end.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where other instances connect to it.
    pub address: SocketAddr,
}

/// What one instance tells or asks another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// An endpoint's state as seen by the sender. Told to all.
    Endpoint(EndpointStateUpdate),
    /// The version of the configuration in force at the sender. Told to those with a link when it
    /// changes; each tells its own links once it has fetched it and put it in force, so that it
    /// reaches all instances and everyone has a neighbour to fetch it from.
    ConfigVersion(Version),
    /// Asks for the configuration; answered by [`Message::Config`] if the version there is at
    /// least this one.
    ConfigWanted(Version),
    /// A configuration. The content is opaque here and checked by its receiver.
    Config {
        /// Its version.
        version: Version,
        /// Its content.
        content: Bytes,
    },
    /// Asks for the sender's status; answered by [`Message::Status`].
    StatusWanted {
        /// Names the question.
        query: u64,
    },
    /// The answer to [`Message::StatusWanted`].
    Status {
        /// The question.
        query: u64,
        /// The status as JSON, as it stands on the admin port.
        content: Bytes,
    },
    /// The offset up to which the sender has read each ledger stream. Told to those with a link.
    LedgerRead(Vec<u64>),
}

impl Message {
    /// Whether gateways pass the message on to data centres that the sender has no link to.
    pub fn is_fleet_wide(&self) -> bool {
        match self {
            Message::Endpoint(_) => true,
            Message::ConfigVersion(_)
            | Message::ConfigWanted(_)
            | Message::Config { .. }
            | Message::StatusWanted { .. }
            | Message::Status { .. }
            | Message::LedgerRead(_) => false,
        }
    }
}

/// An endpoint's state as one instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStateUpdate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The life that the news is about.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: EndpointState,
}

/// Names a message on its way through gateways, so that each instance takes it in once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Origin {
    pub(super) instance: InstanceId,
    pub(super) incarnation: Incarnation,
    /// Counts the origin's messages from 1.
    pub(super) number: u64,
}

/// What goes over a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum Packet {
    Hello(Hello),
    /// A sign of life; sent when nothing else was for a while, and when `leaving` changes.
    Heartbeat {
        leaving: bool,
    },
    /// A part of the sender's load, see [`policy::digest`].
    Load(CompactLoad),
    /// A message for the receiver alone.
    Direct(Message),
    /// A message for all.
    Flood {
        origin: Origin,
        message: Message,
    },
    /// The sender has stopped; its life is over.
    Goodbye,
}

/// Why a packet can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PacketError {
    /// It is longer than [`MAX_PACKET_BYTES`].
    TooLong(usize),
    /// Its bytes are no packet.
    Malformed,
    /// The stream ended within a packet.
    Truncated,
}

impl fmt::Display for PacketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PacketError::TooLong(len) => {
                write!(f, "the packet has {len} bytes, more than {MAX_PACKET_BYTES}")
            }
            PacketError::Malformed => write!(f, "the bytes are no packet of this protocol"),
            PacketError::Truncated => write!(f, "the stream ended within a packet"),
        }
    }
}

impl std::error::Error for PacketError {}

/// The packet with its length before it, as it goes over the link.
///
/// # Errors
///
/// [`PacketError::TooLong`]; a packet's types can always be written.
pub(super) fn encode(packet: &Packet) -> Result<Bytes, PacketError> {
    let mut buf = vec![0; LENGTH_PREFIX_BYTES];
    bincode::serde::encode_into_std_write(packet, &mut buf, bincode::config::standard())
        .map_err(|_| PacketError::Malformed)?;
    let len = buf.len() - LENGTH_PREFIX_BYTES;
    if len > MAX_PACKET_BYTES {
        return Err(PacketError::TooLong(len));
    }
    let prefix = u32::try_from(len).map_err(|_| PacketError::TooLong(len))?;
    buf[..LENGTH_PREFIX_BYTES].copy_from_slice(&prefix.to_be_bytes());
    Ok(buf.into())
}

/// Reads a packet without its length. The limit keeps a length within the packet from allocating
/// more than the packet could hold.
pub(super) fn decode(bytes: &[u8]) -> Result<Packet, PacketError> {
    let config = bincode::config::standard().with_limit::<MAX_PACKET_BYTES>();
    match bincode::serde::decode_from_slice(bytes, config) {
        Ok((packet, len)) if len == bytes.len() => Ok(packet),
        _ => Err(PacketError::Malformed),
    }
}

/// Bytes of the length before each packet.
pub(super) const LENGTH_PREFIX_BYTES: usize = 4;
