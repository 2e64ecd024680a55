//! The names that other parts of a configuration refer to, taken from the merged files before
//! they are read. A deployment that has a finding of its own thus still counts as known, and one
//! mistake doesn't cause a row of follow-up findings.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
};

use super::{
    finding::Findings,
    tree::{Node, Value},
};

/// What stands where, by name.
#[derive(Default)]
pub(super) struct Names<'a> {
    data_centres: HashSet<&'a str>,
    groups: HashMap<&'a str, usize>,
    served_groups: HashSet<&'a str>,
    models: HashMap<&'a str, usize>,
    addresses: HashMap<SocketAddr, usize>,
    keys: HashMap<&'a str, usize>,
}

impl<'a> Names<'a> {
    /// Collects the names of all sections.
    pub(super) fn collect(root: &'a Node) -> Self {
        let data_centres = section(root, "data_centres").map(|(name, _)| name).collect();
        let mut names = Names { data_centres, ..Names::default() };
        for (_, deployment) in section(root, "deployments") {
            if let Some(group) = deployment.member("group").and_then(Node::text) {
                *names.groups.entry(group).or_default() += 1;
            }
            for model in texts(deployment.member("models")) {
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
            for key in texts(workspace.member("key_sha256")) {
                *names.keys.entry(key).or_default() += 1;
            }
        }
        names
    }

    /// Reports `name` where no such data centre is defined.
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

    /// Whether a deployment has this endpoint group.
    pub(super) fn has_group(&self, name: &str) -> bool {
        self.groups.contains_key(name)
    }

    /// How many deployments have this endpoint group.
    pub(super) fn group_uses(&self, name: &str) -> usize {
        self.groups.get(name).copied().unwrap_or(0)
    }

    /// Whether an endpoint serves in this group.
    pub(super) fn is_served(&self, group: &str) -> bool {
        self.served_groups.contains(group)
    }

    /// How often a model is listed in all deployments.
    pub(super) fn model_uses(&self, model: &str) -> usize {
        self.models.get(model).copied().unwrap_or(0)
    }

    /// How many endpoints have this address.
    pub(super) fn address_uses(&self, address: &SocketAddr) -> usize {
        self.addresses.get(address).copied().unwrap_or(0)
    }

    /// How often a key's hash is listed in all workspaces.
    pub(super) fn key_uses(&self, key: &str) -> usize {
        self.keys.get(key).copied().unwrap_or(0)
    }
}

fn section<'a>(root: &'a Node, name: &str) -> impl Iterator<Item = (&'a str, &'a Node)> {
    root.member(name).into_iter().flat_map(Node::members)
}

fn texts(node: Option<&Node>) -> impl Iterator<Item = &str> {
    let items = match node.map(|node| &node.value) {
        Some(Value::Array(items)) => items.as_slice(),
        _ => &[],
    };
    items.iter().filter_map(Node::text)
}
