//! Messages between instances and their encoding. Packets are encoded with bincode, by position, so
//! fields and variants keep their order and types.

use std::{fmt, net::SocketAddr};

use bytes::Bytes;
use policy::{
    DataCentre, EndpointId, Incarnation, InstanceId, config::Version, scheduler::EndpointState,
};
use serde::{Deserialize, Serialize};

use crate::peer::compact::CompactLoad;

/// Longest packet. The largest content is a complete configuration: 3,600 endpoints and 2,300
/// workspaces are about 1 MB of JSON. A longer length prefix means that the peer is faulty or not a
/// peer at all, and nothing is allocated for it.
pub const MAX_PACKET_BYTES: usize = 4 << 20;

/// Version of the packet format; raised with each change that older instances can't decode.
pub const PROTOCOL_VERSION: u32 = 1;

/// First packet in each direction of a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Protocol version of the sender, see [`PROTOCOL_VERSION`].
    pub protocol: u32,
    /// Name of the sender.
    pub instance: InstanceId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Data centre of the sender.
    pub data_centre: DataCentre,
    /// Address that the sender listens on for other instances.
    pub address: SocketAddr,
}

/// Message from one instance to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// State of an endpoint as seen by the sender. Sent to the whole fleet.
    Endpoint(EndpointStateUpdate),
    /// Version of the configuration in force at the sender. Sent to linked instances when it
    /// changes; each of them sends it on to its own links once it has fetched the configuration and
    /// put it in force. The version thus reaches all instances, and each has a neighbour to fetch
    /// the configuration from.
    ConfigVersion(Version),
    /// Requests the configuration. A peer whose version is at least this one replies with
    /// [`Message::Config`].
    ConfigWanted(Version),
    /// A configuration. The content is opaque to the mesh; the receiver validates it.
    Config {
        /// Version of the configuration.
        version: Version,
        /// The configuration as JSON.
        content: Bytes,
    },
    /// Requests the receiver's status, which it sends as [`Message::Status`].
    StatusWanted {
        /// Id of the request, to match the reply.
        query: u64,
    },
    /// Reply to [`Message::StatusWanted`].
    Status {
        /// Id of the request.
        query: u64,
        /// The status as JSON, as served on the admin port.
        content: Bytes,
    },
    /// Offset up to which the sender has read each ledger stream. Sent to linked instances.
    LedgerRead(Vec<u64>),
}

impl Message {
    /// Whether gateways forward the message to data centres that the sender has no link to.
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

/// State of an endpoint as one instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStateUpdate {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Incarnation of the endpoint that the state belongs to.
    pub incarnation: Incarnation,
    /// The observed state.
    pub state: EndpointState,
}

/// Identifies a forwarded message, so that each instance applies it once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Origin {
    pub(super) instance: InstanceId,
    pub(super) incarnation: Incarnation,
    /// Sequence number of the origin's messages, starting at 1.
    pub(super) number: u64,
}

/// A packet on a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum Packet {
    Hello(Hello),
    /// Sent when nothing else has been sent for a while, and when `leaving` changes.
    Heartbeat {
        leaving: bool,
    },
    /// A part of the sender's load digest, see [`policy::digest`].
    Load(CompactLoad),
    /// A message that is not forwarded.
    Direct(Message),
    /// A message that gateways forward to the whole fleet.
    Flood {
        origin: Origin,
        message: Message,
    },
    /// The sender has stopped; its incarnation has ended.
    Goodbye,
}

/// Why a packet can't be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PacketError {
    /// The packet has this many bytes, more than [`MAX_PACKET_BYTES`].
    TooLong(usize),
    /// The bytes don't decode to a packet.
    Malformed,
    /// The stream ended within a packet.
    Truncated,
}

impl fmt::Display for PacketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PacketError::TooLong(len) => {
                write!(f, "the packet has {len} bytes, more than the limit of {MAX_PACKET_BYTES}")
            }
            PacketError::Malformed => write!(f, "the bytes are not a valid packet"),
            PacketError::Truncated => write!(f, "the stream ended within a packet"),
        }
    }
}

impl std::error::Error for PacketError {}

/// Encodes a packet with its length prefix.
///
/// # Errors
///
/// [`PacketError::TooLong`]. The packet types themselves can always be encoded.
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

/// Decodes a packet without its length prefix. The limit keeps a length inside the packet from
/// causing an allocation larger than the packet could fill.
pub(super) fn decode(bytes: &[u8]) -> Result<Packet, PacketError> {
    let config = bincode::config::standard().with_limit::<MAX_PACKET_BYTES>();
    match bincode::serde::decode_from_slice(bytes, config) {
        Ok((packet, len)) if len == bytes.len() => Ok(packet),
        _ => Err(PacketError::Malformed),
    }
}

/// Size of the length prefix of each packet.
pub(super) const LENGTH_PREFIX_BYTES: usize = 4;
