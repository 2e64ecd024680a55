//! The configuration that a scenario's operators publish.

use indexmap::IndexMap;
use serde_json::{Map, Value, json};
use sha2::{Digest, Sha256};

use super::site::Member;

/// All data centres of the site.
const DATA_CENTRES: [&str; 3] = ["brasov-a", "brasov-b", "sacele-c"];
/// The workspaces that callers may name.
const WORKSPACES: [&str; 3] = ["counter", "portal", "archive"];
/// Deadline of calls that state none, in milliseconds.
const DEADLINE_MS: u64 = 20_000;
const ENGINES: &str = "model";
const SERVICES: &str = "registru";

/// The bearer key of a workspace of the site.
pub(super) fn bearer(workspace: &str) -> String {
    format!("key-of-{workspace}")
}

/// The site's configuration. `variant` changes a limit, so that each version differs.
pub(super) fn configuration(members: &IndexMap<String, Member>, variant: u64) -> Value {
    let data_centres = DATA_CENTRES.map(|name| (name, json!({ "region": "ro-centru" })));
    let workspaces = WORKSPACES.map(|name| {
        let key = hex(&Sha256::digest(bearer(name)));
        (name, json!({ "key_sha256": [key] }))
    });
    json!({
        "data_centres": object(data_centres),
        "workspaces": object(workspaces),
        "endpoints": endpoints(members),
        "deployments": deployments(members, variant),
    })
}

fn endpoints(members: &IndexMap<String, Member>) -> Value {
    object(members.iter().filter_map(|(name, member)| {
        let (group, front) = match member {
            Member::Engine(_, front) => (ENGINES, front),
            Member::Service(_, front) => (SERVICES, front),
            Member::Instance(_) => return None,
        };
        let address = front.proxy.address();
        let rules = json!({ "group": group, "address": address, "data_centre": front.data_centre });
        Some((name.as_str(), rules))
    }))
}

/// A deployment without endpoints would fail the checks, so only those that have some are named.
fn deployments(members: &IndexMap<String, Member>, variant: u64) -> Value {
    let mut all = Vec::new();
    if members.values().any(|member| matches!(member, Member::Engine(..))) {
        let limits = json!({ "default_deadline_ms": DEADLINE_MS + variant });
        let rules =
            json!({ "group": ENGINES, "kind": "engine", "models": ["m"], "limits": limits });
        all.push(("model-redactare", rules));
    }
    if members.values().any(|member| matches!(member, Member::Service(..))) {
        let routes = json!([
            { "path": "/registrations", "repeatable": false, "deduplicates": false },
            { "path": "/status" },
        ]);
        let rules = json!({ "group": SERVICES, "kind": "service", "routes": routes });
        all.push(("registru-aplicatie", rules));
    }
    object(all)
}

fn object<'a>(members: impl IntoIterator<Item = (&'a str, Value)>) -> Value {
    Value::Object(members.into_iter().map(|(k, v)| (k.to_owned(), v)).collect::<Map<_, _>>())
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
