//! Index of the names that other parts of a configuration refer to. It is built from the merged
//! files before they are checked, so that a deployment with an error still counts as defined and
//! one mistake doesn't cause a series of follow-up findings.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
};

use super::{
    finding::Findings,
    tree::{Node, Value},
};

/// Defined names, and how often values that must be unique are used.
#[derive(Default)]
pub(super) struct NameIndex<'a> {
    data_centres: HashSet<&'a str>,
    groups: HashMap<&'a str, usize>,
    served_groups: HashSet<&'a str>,
    models: HashMap<&'a str, usize>,
    addresses: HashMap<SocketAddr, usize>,
    keys: HashMap<&'a str, usize>,
}

impl<'a> NameIndex<'a> {
    /// Collects the names from all sections.
    pub(super) fn collect(root: &'a Node) -> Self {
        let data_centres = section(root, "data_centres").map(|(name, _)| name).collect();
        let mut names = NameIndex { data_centres, ..NameIndex::default() };
        for (_, deployment) in section(root, "deployments") {
            if let Some(group) = deployment.member("group").and_then(Node::text) {
                *names.groups.entry(group).or_default() += 1;
            }
            for model in string_items(deployment.member("models")) {
                *names.models.entry(model).or_default() += 1;
            }
        }
        for (_, endpoint) in section(root, "endpoints") {
            if let Some(group) = endpoint.member("group").and_then(Node::text) {
                names.served_groups.insert(group);
            }
            let address = endpoint.member("address").and_then(Node::text);
            if let Some(address) = address.and_then(|text| text.parse().ok()) {
                *names.addresses.entry(address).or_default() += 1;
            }
        }
        for (_, workspace) in section(root, "workspaces") {
            for key in string_items(workspace.member("key_sha256")) {
                *names.keys.entry(key).or_default() += 1;
            }
        }
        names
    }

    /// Reports `name` unless a data centre of this name is defined.
    pub(super) fn require_data_centre(
        &self,
        name: &str,
        node: &Node,
        path: &str,
        findings: &mut Findings,
    ) {
        if !self.data_centres.contains(name) {
            let message = format!("data_centres has no {name}");
            findings.push(Some(&node.location), path, message);
        }
    }

    /// Whether a deployment uses this endpoint group.
    pub(super) fn is_group_used(&self, name: &str) -> bool {
        self.groups.contains_key(name)
    }

    /// Number of deployments that use this endpoint group.
    pub(super) fn count_group_uses(&self, name: &str) -> usize {
        self.groups.get(name).copied().unwrap_or(0)
    }

    /// Whether an endpoint belongs to this group.
    pub(super) fn has_endpoints_in(&self, group: &str) -> bool {
        self.served_groups.contains(group)
    }

    /// Number of times that a model is listed, over all deployments.
    pub(super) fn count_model_uses(&self, model: &str) -> usize {
        self.models.get(model).copied().unwrap_or(0)
    }

    /// Number of endpoints with this address.
    pub(super) fn count_address_uses(&self, address: &SocketAddr) -> usize {
        self.addresses.get(address).copied().unwrap_or(0)
    }

    /// Number of times that a key's hash is listed, over all workspaces.
    pub(super) fn count_key_uses(&self, key: &str) -> usize {
        self.keys.get(key).copied().unwrap_or(0)
    }
}

fn section<'a>(root: &'a Node, name: &str) -> impl Iterator<Item = (&'a str, &'a Node)> {
    root.member(name).into_iter().flat_map(Node::members)
}

fn string_items(node: Option<&Node>) -> impl Iterator<Item = &str> {
    let items = match node.map(|node| &node.value) {
        Some(Value::Array(items)) => items.as_slice(),
        _ => &[],
    };
    items.iter().filter_map(Node::text)
}
