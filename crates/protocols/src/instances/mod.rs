//! The platform's list of live and leaving instances. It lags behind, so it is only one of several
//! sources of membership.

pub mod http;

use std::{fmt, future::Future, net::SocketAddr};

use policy::{DataCentre, Incarnation};
use serde::{Deserialize, Serialize};

/// The kind of a listed instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// One of this system's own daemons.
    Entry,
    /// A model engine or a server of a plain service.
    Endpoint,
}

/// The state of an instance according to the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// In service.
    Live,
    /// About to stop; takes no new work.
    Leaving,
}

/// An entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Its name: an instance or endpoint id.
    pub name: String,
    /// Its kind.
    pub role: Role,
    /// Its incarnation; zero if the platform doesn't know it.
    pub incarnation: Incarnation,
    /// The address it listens on; for entries the one for other instances.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// Live or leaving; stopped instances aren't listed.
    pub state: ListedState,
}

/// The response to `GET /instances`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListPage {
    /// All entries.
    pub instances: Vec<ListedInstance>,
}

/// The list can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListError;

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the platform's list of instances can't be had")
    }
}

impl std::error::Error for ListError {}

/// The platform's list of instances.
pub trait InstanceList: Send + Sync {
    /// Reads the list, which may lag behind by some seconds.
    fn list(&self) -> impl Future<Output = Result<ListPage, ListError>> + Send;
}
