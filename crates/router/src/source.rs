//! Where configuration, endpoints and other instances come from.

use std::{fmt, future::Future, net::SocketAddr};

use bytes::Bytes;
use indexmap::IndexMap;
use policy::{
    DataCentre, EndpointGroup, EndpointId, Incarnation, InstanceId, freshness::Position,
    routes::RouteTable,
};
use serde::{Deserialize, Serialize};

use crate::{clock::BootTime, freshness::EndpointChange};

/// Why a source can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SourceError {
    /// It doesn't answer.
    Unreachable(String),
    /// It turns the instance away for now.
    Busy(u16),
    /// What it has can't be read.
    Malformed(String),
}

impl fmt::Display for SourceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SourceError::Unreachable(cause) => write!(f, "no answer: {cause}"),
            SourceError::Busy(status) => write!(f, "turned away with status {status}"),
            SourceError::Malformed(what) => write!(f, "unreadable: {what}"),
        }
    }
}

impl std::error::Error for SourceError {}

/// What a source had, and since when nothing newer can be missing.
#[derive(Debug, Clone, PartialEq)]
pub struct SourceRead<T> {
    /// What is new; none where nothing changed.
    pub update: Option<T>,
    /// Whatever was acknowledged before this moment is in it.
    pub as_of: BootTime,
    /// Up to where the source has been read with it.
    pub position: Position,
}

/// A configuration as its source published it.
#[derive(Debug, Clone, PartialEq)]
pub struct PublishedConfig {
    /// What it says.
    pub table: RouteTable,
    /// Its bytes, for peers.
    pub bytes: Bytes,
}

/// Where configuration comes from.
pub trait ConfigSource: Send {
    /// Waits for a short while for something new.
    fn read(
        &mut self,
    ) -> impl Future<Output = Result<SourceRead<PublishedConfig>, SourceError>> + Send;

    /// Takes over the bytes that a peer has read up to `position`, and goes on there.
    ///
    /// # Errors
    ///
    /// [`SourceError::Malformed`] where they can't be read; nothing has changed then.
    fn adopt(&mut self, bytes: &[u8], position: Position) -> Result<RouteTable, SourceError>;

    /// Up to where it has been read; none before the first reading, and where that is of no use to
    /// anybody any more.
    fn position(&self) -> Option<Position>;
}

/// One endpoint as it registered itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Its name.
    pub id: EndpointId,
    /// The group it serves in.
    pub group: EndpointGroup,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It finishes what it has and wants nothing new.
    pub leaving: bool,
    /// Its present life.
    pub incarnation: Incarnation,
}

/// Where endpoints come from.
pub trait EndpointSource: Send {
    /// All endpoints that are registered now; no news where none changed.
    fn read(
        &mut self,
    ) -> impl Future<Output = Result<SourceRead<Vec<EndpointEntry>>, SourceError>> + Send;

    /// Up to where it has been read; none before the first reading.
    fn position(&self) -> Option<Position>;

    /// Takes over what a peer has read up to `position`, all of it, and goes on there.
    fn adopt(&mut self, entries: &IndexMap<EndpointId, EndpointEntry>, position: Position);

    /// Takes over what a peer has read since this source's own position, and goes on at `position`.
    fn advance(&mut self, changes: &[EndpointChange], position: Position);
}

/// Another instance's address, as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerEntry {
    /// Its name.
    pub instance: InstanceId,
    /// Where it listens for other instances.
    pub address: SocketAddr,
}

/// Where instances find each other.
pub trait PeerDirectory: Send {
    /// Registers this instance.
    fn register(
        &mut self,
        entry: &PeerEntry,
    ) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// All that are registered.
    fn list(&mut self) -> impl Future<Output = Result<Vec<PeerEntry>, SourceError>> + Send;
}
