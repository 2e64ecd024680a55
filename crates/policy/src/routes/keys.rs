//! Whose key is whose.

use indexmap::IndexMap;

use crate::Workspace;

/// What a key stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// The workspace that holds it.
    pub workspace: Workspace,
    /// The workspace's rank, which goes before the route's.
    pub priority: Option<u8>,
}

/// All keys of one version of the configuration.
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

    /// Whether requests need a key.
    pub fn is_required(&self) -> bool {
        self.required
    }

    /// Adds a key.
    pub fn insert(&mut self, key: String, owner: KeyOwner) {
        self.owners.insert(key, owner);
    }

    /// Whose key this is.
    pub fn owner(&self, key: &str) -> Option<&KeyOwner> {
        self.owners.get(key)
    }
}
