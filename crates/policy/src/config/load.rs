//! Reads a folder's files into a checked configuration, in one pass that reports all errors.
//! `docs/CONFIG.md` states the same rules for operators.
//!
//! The same function checks a folder before it is published and a published change before it takes
//! effect, so that all instances accept or reject the same configurations.

use indexmap::IndexMap;

use super::{
    Config, DataCentreRules, EndpointRules, LedgerRules, WorkspaceRules,
    deployments::read_deployments,
    fields::{Fields, read_name},
    finding::Findings,
    names::NameIndex,
    tree::{Node, SourceFile, merge},
};
use crate::DataCentre;

/// Maximum one-way delay between data centres, in milliseconds. Optical fibre half way round the
/// earth takes about 100 ms; more than ten times that is a typing error.
const MAX_DISTANCE_MS: f64 = 1_000.0;
/// Maximum weight of a workspace. The scheduler can't keep shares finer than a thousandth.
const MAX_WEIGHT: u64 = 1_000;
/// Maximum number of ledger streams. Each stream has its own appends, and the log handles a few
/// hundred appends per second.
const MAX_LEDGER_STREAMS: u64 = 64;
/// Maximum retention of idempotency keys, in minutes: 30 days.
const MAX_WINDOW_MINUTES: u64 = 30 * 24 * 60;
/// Name of the root member that holds the settings of one process. The daemon reads it; it is never
/// published.
pub const SETTINGS_MEMBER: &str = "settings";

/// The content of a configuration folder.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadedConfig {
    /// The checked configuration, as it is published.
    pub config: Config,
    /// The settings of one process, if the folder has them. The daemon checks them.
    pub settings: Option<Node>,
}

/// Merges and checks a folder's files; the error lists all findings.
pub fn load(files: &[SourceFile]) -> Result<LoadedConfig, Findings> {
    let mut findings = Findings::default();
    let Some(root) = merge(files, &mut findings) else {
        if findings.is_empty() {
            findings.push(None, "", "expected at least one file with a configuration");
        }
        return Err(findings);
    };
    let loaded = read_root(&root, &mut findings);
    match loaded {
        Some(loaded) => findings.into_result(loaded),
        None => Err(findings),
    }
}

fn read_root(root: &Node, findings: &mut Findings) -> Option<LoadedConfig> {
    let names = NameIndex::collect(root);
    let mut fields = Fields::open(root, "", findings)?;
    let settings = fields.node(SETTINGS_MEMBER).cloned();
    let data_centres = fields.node("data_centres");
    let workspaces = fields.node("workspaces");
    let endpoints = fields.node("endpoints");
    let deployments = fields.node("deployments");
    let ledger = fields.node("ledger");
    fields.close(findings);
    let config = Config {
        data_centres: read_section(
            data_centres,
            "data_centres",
            findings,
            |node, path, findings| read_data_centre(node, path, &names, findings),
        ),
        workspaces: read_section(workspaces, "workspaces", findings, |node, path, findings| {
            read_workspace(node, path, &names, findings)
        }),
        endpoints: read_section(endpoints, "endpoints", findings, |node, path, findings| {
            read_endpoint(node, path, &names, findings)
        }),
        deployments: read_deployments(deployments, &names, findings),
        ledger: ledger.and_then(|node| read_ledger(node, findings)).unwrap_or_default(),
    };
    Some(LoadedConfig { config, settings })
}

/// Reads an object that maps identifiers to values of one kind.
pub(super) fn read_section<K, T>(
    node: Option<&Node>,
    path: &str,
    findings: &mut Findings,
    mut read: impl FnMut(&Node, &str, &mut Findings) -> Option<T>,
) -> IndexMap<K, T>
where
    K: std::str::FromStr<Err = crate::ids::IdError> + std::hash::Hash + Eq,
{
    let mut map = IndexMap::new();
    let Some(node) = node else { return map };
    if Fields::open(node, path, findings).is_none() {
        return map;
    }
    for (name, member) in node.members() {
        let path = super::tree::join(path, name);
        let id = read_name(name, member, &path, findings);
        let rules = read(member, &path, findings);
        if let (Some(id), Some(rules)) = (id, rules) {
            map.insert(id, rules);
        }
    }
    map
}

fn read_data_centre(
    node: &Node,
    path: &str,
    names: &NameIndex<'_>,
    findings: &mut Findings,
) -> Option<DataCentreRules> {
    let mut fields = Fields::open(node, path, findings)?;
    let region = fields.required::<String>("region", "a region's name", findings);
    let distances = fields.node("distance_ms");
    let path = fields.path("distance_ms");
    fields.close(findings);
    let distance_ms = read_section(distances, &path, findings, |node, path, findings| {
        let other = path.rsplit_once("distance_ms.").map_or(path, |(_, name)| name);
        names.require_data_centre(other, node, path, findings);
        let ms: f64 = super::fields::read_value(node, path, "milliseconds", findings)?;
        if !(0.0..=MAX_DISTANCE_MS).contains(&ms) {
            let message = format!("expected milliseconds from 0 to {MAX_DISTANCE_MS}, found {ms}");
            findings.push(Some(&node.location), path, message);
        }
        Some(ms)
    });
    Some(DataCentreRules { region: region?, distance_ms })
}

fn read_workspace(
    node: &Node,
    path: &str,
    names: &NameIndex<'_>,
    findings: &mut Findings,
) -> Option<WorkspaceRules> {
    let mut fields = Fields::open(node, path, findings)?;
    let keys = fields.required::<Vec<String>>("key_sha256", "a list of SHA-256 hashes", findings);
    let location = fields.location_of("key_sha256");
    let keys_path = fields.path("key_sha256");
    let rules = WorkspaceRules {
        key_sha256: keys.clone().unwrap_or_default(),
        weight: u32::try_from(fields.whole("weight", 1..=MAX_WEIGHT, 1, findings)).unwrap_or(1),
        tokens_per_second: fields.optional_whole("tokens_per_second", 1..=u64::MAX, findings),
        concurrent: fields
            .optional_whole("concurrent", 1..=u64::from(u32::MAX), findings)
            .and_then(|number| u32::try_from(number).ok()),
    };
    fields.close(findings);
    let keys = keys?;
    if keys.is_empty() {
        findings.push(location, &keys_path, "expected at least one key, or nobody can call");
    }
    for (i, key) in keys.iter().enumerate() {
        let path = format!("{keys_path}[{i}]");
        if !is_sha256(key) {
            let message = "expected the SHA-256 of a key: 64 digits from 0-9 and a-f";
            findings.push(location, &path, message);
        } else if names.count_key_uses(key) > 1 {
            let message = "this key is given twice, so that its caller couldn't be told";
            findings.push(location, &path, message);
        }
    }
    Some(rules)
}

fn is_sha256(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|c| matches!(c, b'0'..=b'9' | b'a'..=b'f'))
}

fn read_endpoint(
    node: &Node,
    path: &str,
    names: &NameIndex<'_>,
    findings: &mut Findings,
) -> Option<EndpointRules> {
    let mut fields = Fields::open(node, path, findings)?;
    let group = fields.required("group", "the name of an endpoint group", findings);
    let address = fields.required("address", "an address as 10.0.0.7:8000", findings);
    let data_centre = fields.required::<DataCentre>("data_centre", "a data centre", findings);
    let leaving = fields.flag("leaving", false, findings);
    let checks_fencing = fields.flag("checks_fencing", false, findings);
    if let Some(name) = node.member("group").and_then(Node::text)
        && !names.is_group_used(name)
    {
        let message = format!("no deployment has the group {name}");
        findings.push(fields.location_of("group"), &fields.path("group"), message);
    }
    if let Some(location) = node.member("data_centre")
        && let Some(name) = location.text()
    {
        names.require_data_centre(name, location, &fields.path("data_centre"), findings);
    }
    if let Some(address) = &address {
        check_address(address, &fields, names, findings);
    }
    fields.close(findings);
    Some(EndpointRules {
        group: group?,
        address: address?,
        data_centre: data_centre?,
        leaving,
        checks_fencing,
    })
}

fn check_address(
    address: &std::net::SocketAddr,
    fields: &Fields<'_>,
    names: &NameIndex<'_>,
    findings: &mut Findings,
) {
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        let message = format!("nobody can connect to {address}");
        findings.push(fields.location_of("address"), &fields.path("address"), message);
    }
    if names.count_address_uses(address) > 1 {
        let message = format!("another endpoint has the address {address} too");
        findings.push(fields.location_of("address"), &fields.path("address"), message);
    }
}

fn read_ledger(node: &Node, findings: &mut Findings) -> Option<LedgerRules> {
    let defaults = LedgerRules::default();
    let mut fields = Fields::open(node, "ledger", findings)?;
    let streams =
        fields.whole("streams", 1..=MAX_LEDGER_STREAMS, defaults.streams.into(), findings);
    let window = 1..=MAX_WINDOW_MINUTES;
    let rules = LedgerRules {
        streams: u32::try_from(streams).unwrap_or(defaults.streams),
        window_minutes: fields.whole("window_minutes", window, defaults.window_minutes, findings),
        log_keeps_minutes: fields.whole(
            "log_keeps_minutes",
            1..=u64::from(u32::MAX),
            defaults.log_keeps_minutes,
            findings,
        ),
    };
    fields.close(findings);
    Some(rules)
}
