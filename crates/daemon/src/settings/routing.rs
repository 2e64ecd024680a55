//! Settings of an instance that forwards requests by the sites' own routes.

use std::{net::SocketAddr, time::Duration};

use indexmap::IndexMap;
use policy::{
    DataCentre, Region,
    config::{Findings, SETTINGS_MEMBER, fields::Fields, tree::Node},
    contention::MemoryShare,
    placement::PlacementRules,
};
use router::{
    resources::ResourceLimits,
    settings::{Bounds, ColdTolerance},
    state::Scheduling,
};
use serde::{Deserialize, Serialize};

use super::{Settings, read::ADDRESS_FORMAT};

/// Maximum value of each duration: one hour.
const MAX_DURATION_MS: u64 = 3_600_000;

/// Settings of an instance that forwards requests by the sites' own routes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutingSettings {
    /// The address of the platform's log service.
    pub log_service: SocketAddr,
    /// The address for the balancer's readiness probes.
    pub ready_listen: SocketAddr,
    /// Addresses of some instances, by which one that starts finds the others. Their ports are
    /// ignored: all instances use the same one for messages between them.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Time after which a revoked key is refused by all instances, in milliseconds.
    pub revoke_ms: u64,
    /// Time after which a leaving endpoint gets no new requests, in milliseconds.
    pub leave_ms: u64,
    /// Time from the stop signal to the forced end, in milliseconds.
    pub stop_ms: u64,
    /// Maximum number of retries of all instances together, as a share of first attempts.
    pub retry_share: f64,
    /// The window over which retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Retries in a window that are allowed in addition to the share, over all instances.
    pub retry_slack: f64,
    /// Region of each data centre.
    #[serde(default)]
    pub regions: IndexMap<DataCentre, Region>,
    /// Requests that a cold endpoint bears in a second, as a multiple of its configured rate; none
    /// where endpoints need no warm-up.
    #[serde(default)]
    pub cold_factor: Option<f64>,
    /// Requests in addition to that.
    #[serde(default)]
    pub cold_slack: Option<f64>,
    /// How endpoints are selected.
    #[serde(default)]
    pub placement: PlacementRules,
    /// Scheduling of groups whose requests compete for memory; none where no group needs it.
    #[serde(default)]
    pub contention: Option<ContentionSettings>,
}

/// Settings of the scheduling of groups whose requests compete for memory.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ContentionSettings {
    /// Share of an engine's memory that requests of usual length in all slots fill in such a group.
    pub memory_share: MemoryShare,
}

impl RoutingSettings {
    /// Reads these settings from `node`, the member `routing`. Errors are added to `findings`.
    pub(super) fn read(node: &Node, findings: &mut Findings) -> Option<RoutingSettings> {
        let path = format!("{SETTINGS_MEMBER}.routing");
        let mut fields = Fields::open(node, &path, findings)?;
        let log_service = fields.required("log_service", ADDRESS_FORMAT, findings);
        let ready_listen = fields.required("ready_listen", ADDRESS_FORMAT, findings);
        let seeds = fields.optional("seeds", "a list of addresses", findings);
        let mut millis = |name, default| fields.whole(name, 1..=MAX_DURATION_MS, default, findings);
        let revoke_ms = millis("revoke_ms", DEFAULT_REVOKE_MS);
        let leave_ms = millis("leave_ms", DEFAULT_LEAVE_MS);
        let stop_ms = millis("stop_ms", DEFAULT_STOP_MS);
        let retry_window_ms = millis("retry_window_ms", DEFAULT_RETRY_WINDOW_MS);
        let retry_share = fields.optional("retry_share", "a number", findings);
        let retry_slack = fields.optional("retry_slack", "a number", findings);
        let regions = fields.optional("regions", "regions by data centre", findings);
        let cold_factor = fields.optional("cold_factor", "a number", findings);
        let cold_slack = fields.optional("cold_slack", "a number", findings);
        let placement = read_placement_rules(&mut fields, findings);
        let contention =
            fields.optional("contention", "`memory_share`, a number from 0 to 1", findings);
        fields.close(findings);
        Some(RoutingSettings {
            log_service: log_service?,
            ready_listen: ready_listen?,
            seeds: seeds.unwrap_or_default(),
            revoke_ms,
            leave_ms,
            stop_ms,
            retry_share: retry_share.unwrap_or(DEFAULT_RETRY_SHARE),
            retry_window_ms,
            retry_slack: retry_slack.unwrap_or(DEFAULT_RETRY_SLACK),
            regions: regions.unwrap_or_default(),
            cold_factor,
            cold_slack,
            placement,
            contention,
        })
    }

    /// The time limits and the retry budget, as the router takes them.
    pub fn bounds(&self) -> Bounds {
        Bounds {
            revoke_within: Duration::from_millis(self.revoke_ms),
            leave_within: Duration::from_millis(self.leave_ms),
            stop_within: Duration::from_millis(self.stop_ms),
            retry_share: self.retry_share,
            retry_window: Duration::from_millis(self.retry_window_ms),
            retry_slack: self.retry_slack,
            cold_tolerance: self
                .cold_factor
                .map(|factor| ColdTolerance { factor, slack: self.cold_slack.unwrap_or(0.0) }),
        }
    }
}

fn read_placement_rules(fields: &mut Fields<'_>, findings: &mut Findings) -> PlacementRules {
    let rules: Option<PlacementRules> =
        fields.optional("placement", "rules of placement", findings);
    let rules = rules.unwrap_or_default();
    if let Some(name) = rules.invalid_field() {
        let path = fields.path(&format!("placement.{name}"));
        findings.push(fields.location_of("placement"), &path, "expected a larger number");
    }
    rules
}

impl Settings {
    /// Converts these settings and `routing` to the router's settings.
    pub fn router_settings(
        &self,
        routing: &RoutingSettings,
        resources: ResourceLimits,
    ) -> router::Settings {
        let link_port = self.peer_listen.port();
        let seeds = routing.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), link_port));
        router::Settings {
            instance: self.instance.clone(),
            data_centre: self.data_centre.clone(),
            regions: routing.regions.clone(),
            listen: self.listen,
            ready_listen: routing.ready_listen,
            seeds: seeds.collect(),
            link_listen: self.peer_listen,
            metrics_listen: self.admin_listen,
            threads: self.threads.unwrap_or(1),
            bounds: routing.bounds(),
            resources,
            scheduling: Scheduling {
                placement: routing.placement,
                contended_from: routing.contention.map(|contention| contention.memory_share),
            },
        }
    }
}

// Defaults, taken from the limits of the two present sites.
const DEFAULT_REVOKE_MS: u64 = 5_000;
const DEFAULT_LEAVE_MS: u64 = 2_000;
const DEFAULT_STOP_MS: u64 = 8_000;
const DEFAULT_RETRY_WINDOW_MS: u64 = 10_000;
const DEFAULT_RETRY_SHARE: f64 = 0.2;
const DEFAULT_RETRY_SLACK: f64 = 100.0;
