//! The platform's list of live and leaving instances. It lags, so it is one witness among several.

pub mod http;

use std::{fmt, future::Future, net::SocketAddr};

use policy::{DataCentre, Incarnation};
use serde::{Deserialize, Serialize};

/// What an instance on the list is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// One of this system's own daemons.
    Entry,
    /// A model engine or a server of a plain service.
    Endpoint,
}

/// Its state according to the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// In service.
    Live,
    /// About to stop.
    Leaving,
}

/// One line of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Its name: an instance or endpoint id.
    pub name: String,
    /// What it is.
    pub role: Role,
    /// Its life, where the platform knows it; zero otherwise.
    pub incarnation: Incarnation,
    /// Where it listens: for entries, the address for other instances.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Live or leaving; instances that are gone aren't listed.
    pub state: ListedState,
}

/// `GET /instances`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListPage {
    /// All lines.
    pub instances: Vec<Listed>,
}

/// The list can't be had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListError;

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the platform's list of instances can't be had")
    }
}

impl std::error::Error for ListError {}

/// The list.
pub trait InstanceList: Send + Sync {
    /// The list as of some moments ago.
    fn list(&self) -> impl Future<Output = Result<ListPage, ListError>> + Send;
}
