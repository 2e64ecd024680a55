//! Traits of the sources of configuration, endpoints and peers.

use std::{fmt, future::Future, net::SocketAddr};

use bytes::Bytes;
use indexmap::IndexMap;
use policy::{
    DataCentre, EndpointGroup, EndpointId, Incarnation, InstanceId, drain::DrainedDataCentres,
    freshness::Position, routes::RouteTable, warm_up::ColdStart,
};
use serde::{Deserialize, Serialize};

use crate::{clock::BootTime, freshness::EndpointChange};

/// Why reading a source or registering there failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SourceError {
    /// No usable response, with the cause.
    Unreachable(String),
    /// The source refuses requests for now, with this HTTP status.
    Busy(u16),
    /// Its content can't be decoded.
    Malformed(String),
}

impl fmt::Display for SourceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SourceError::Unreachable(cause) => write!(f, "no response: {cause}"),
            SourceError::Busy(status) => write!(f, "refused with status {status}"),
            SourceError::Malformed(what) => write!(f, "malformed: {what}"),
        }
    }
}

impl std::error::Error for SourceError {}

/// Result of reading a source.
#[derive(Debug, Clone, PartialEq)]
pub struct SourceRead<T> {
    /// The new content; `None` if nothing has changed.
    pub update: Option<T>,
    /// Every change acknowledged before this time is included.
    pub as_of: BootTime,
    /// Position up to which the source has been read.
    pub position: Position,
}

/// What operators have published, decoded and as bytes.
#[derive(Debug, Clone, PartialEq)]
pub struct PublishedConfig {
    /// The newest configuration.
    pub table: RouteTable,
    /// Data centres whose endpoints get no new requests.
    pub drained: DrainedDataCentres,
    /// Encoding of both, which is sent to peers.
    pub bytes: Bytes,
}

/// A source of the configuration.
pub trait ConfigSource: Send {
    /// Reads what is new; may wait a short time for something new (long poll).
    fn read(
        &mut self,
    ) -> impl Future<Output = Result<SourceRead<PublishedConfig>, SourceError>> + Send;

    /// Continues from what a peer has read: decodes its bytes and sets the position to `position`.
    ///
    /// # Errors
    ///
    /// [`SourceError::Malformed`] if the bytes can't be decoded; the position then stays unchanged.
    fn adopt(&mut self, bytes: &[u8], position: Position) -> Result<PublishedConfig, SourceError>;

    /// Position up to which the source has been read. `None` before the first read, and when that
    /// position is no longer useful to anyone.
    fn position(&self) -> Option<Position>;
}

/// One registered endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// The endpoint's group.
    pub group: EndpointGroup,
    /// Address for requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is draining: it finishes its requests and accepts no new ones.
    pub leaving: bool,
    /// Distinguishes successive processes under the same name.
    pub incarnation: Incarnation,
    /// Its latest cold start; none where it isn't warming up.
    pub cold_start: Option<ColdStart>,
}

/// A source of the endpoints.
pub trait EndpointSource: Send {
    /// Reads all registered endpoints; no update if none has changed.
    fn read(
        &mut self,
    ) -> impl Future<Output = Result<SourceRead<Vec<EndpointEntry>>, SourceError>> + Send;

    /// Position up to which the source has been read; `None` before the first read.
    fn position(&self) -> Option<Position>;

    /// Replaces all endpoints by those that a peer has read up to `position`, and continues there.
    fn adopt(&mut self, entries: &IndexMap<EndpointId, EndpointEntry>, position: Position);

    /// Applies the changes that a peer has read since this source's position, and continues at
    /// `position`.
    fn advance(&mut self, changes: &[EndpointChange], position: Position);
}

/// A registered instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerEntry {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Address for messages between instances.
    pub address: SocketAddr,
}

/// The directory in which instances find each other.
pub trait PeerDirectory: Send {
    /// Registers an instance.
    fn register(
        &mut self,
        entry: &PeerEntry,
    ) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Lists all registered instances.
    fn list(&mut self) -> impl Future<Output = Result<Vec<PeerEntry>, SourceError>> + Send;
}
