//! API keys and the workspaces they belong to.

use indexmap::IndexMap;

use crate::Workspace;

use super::Homes;

/// The workspace and priority that an API key grants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// The workspace that the key belongs to.
    pub workspace: Workspace,
    /// Priority of the workspace, which takes precedence over the route's; zero is the most urgent.
    pub priority: Option<u8>,
    /// Regions whose endpoints may run the workspace's requests.
    pub homes: Homes,
}

/// The API keys of one version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct KeyTable {
    owners: IndexMap<String, KeyOwner>,
    required: bool,
}

impl KeyTable {
    /// A table in which every request needs a key, unless its route is public.
    pub fn required() -> KeyTable {
        KeyTable { owners: IndexMap::new(), required: true }
    }

    /// Whether requests to routes that aren't public need a key.
    pub fn is_required(&self) -> bool {
        self.required
    }

    /// Adds a key, or replaces its owner.
    pub fn insert(&mut self, key: String, owner: KeyOwner) {
        self.owners.insert(key, owner);
    }

    /// The owner of `key`, or `None` if the key is unknown.
    pub fn owner(&self, key: &str) -> Option<&KeyOwner> {
        self.owners.get(key)
    }
}
