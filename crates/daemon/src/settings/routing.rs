//! Settings of an instance that passes requests on by the sites' own routes.

use std::{net::SocketAddr, time::Duration};

use policy::{
    config::{Findings, SETTINGS_MEMBER, fields::Fields, tree::Node},
    placement::PlacementRules,
};
use router::settings::Bounds;
use serde::{Deserialize, Serialize};

use super::{Settings, read::ADDRESS};

/// The longest time that may be set, in milliseconds: an hour.
const MAX_MS: u64 = 3_600_000;

/// Settings of an instance that passes requests on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutingSettings {
    /// The platform's log service.
    pub log_service: SocketAddr,
    /// Where the balancer asks whether the instance is ready.
    pub ready_listen: SocketAddr,
    /// A key that was taken away is refused everywhere after this, in milliseconds.
    pub revoke_ms: u64,
    /// An endpoint that leaves gets nothing new after this, in milliseconds.
    pub leave_ms: u64,
    /// From the order to stop to the end by force, in milliseconds.
    pub stop_ms: u64,
    /// Repeats that all instances together may add, as a share of first attempts.
    pub retry_share: f64,
    /// The window over which repeats are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Repeats in a window that are free, over all instances.
    pub retry_slack: f64,
    /// How places are chosen.
    #[serde(default)]
    pub placement: PlacementRules,
}

impl RoutingSettings {
    /// Reads them from the member `routing` of the settings.
    pub(super) fn read(node: &Node, findings: &mut Findings) -> Option<RoutingSettings> {
        let path = format!("{SETTINGS_MEMBER}.routing");
        let mut fields = Fields::open(node, &path, findings)?;
        let log_service = fields.required("log_service", ADDRESS, findings);
        let ready_listen = fields.required("ready_listen", ADDRESS, findings);
        let mut millis = |name, default| fields.whole(name, 1..=MAX_MS, default, findings);
        let revoke_ms = millis("revoke_ms", REVOKE_MS);
        let leave_ms = millis("leave_ms", LEAVE_MS);
        let stop_ms = millis("stop_ms", STOP_MS);
        let retry_window_ms = millis("retry_window_ms", RETRY_WINDOW_MS);
        let retry_share = fields.optional("retry_share", "a number", findings);
        let retry_slack = fields.optional("retry_slack", "a number", findings);
        let placement = read_placement(&mut fields, findings);
        fields.close(findings);
        Some(RoutingSettings {
            log_service: log_service?,
            ready_listen: ready_listen?,
            revoke_ms,
            leave_ms,
            stop_ms,
            retry_share: retry_share.unwrap_or(RETRY_SHARE),
            retry_window_ms,
            retry_slack: retry_slack.unwrap_or(RETRY_SLACK),
            placement,
        })
    }

    /// The bounds as times.
    pub fn bounds(&self) -> Bounds {
        Bounds {
            revoke_within: Duration::from_millis(self.revoke_ms),
            leave_within: Duration::from_millis(self.leave_ms),
            stop_within: Duration::from_millis(self.stop_ms),
            retry_share: self.retry_share,
            retry_window: Duration::from_millis(self.retry_window_ms),
            retry_slack: self.retry_slack,
        }
    }
}

fn read_placement(fields: &mut Fields<'_>, findings: &mut Findings) -> PlacementRules {
    let read: Option<PlacementRules> = fields.optional("placement", "rules of placement", findings);
    let rules = read.unwrap_or_default();
    if let Some(name) = rules.invalid_field() {
        let path = fields.path(&format!("placement.{name}"));
        findings.push(fields.location_of("placement"), &path, "expected a larger number");
    }
    rules
}

impl Settings {
    /// The same for the router, where these settings are for one.
    pub fn router(&self, routing: &RoutingSettings) -> router::Settings {
        router::Settings {
            instance: self.instance.clone(),
            data_centre: self.data_centre.clone(),
            listen: self.listen,
            ready_listen: routing.ready_listen,
            link_listen: self.peer_listen,
            metrics_listen: self.admin_listen,
            threads: self.threads.unwrap_or(1),
            bounds: routing.bounds(),
            placement: routing.placement,
        }
    }
}

/// In force where the settings don't say: the bounds of today's two sites.
const REVOKE_MS: u64 = 5_000;
const LEAVE_MS: u64 = 2_000;
const STOP_MS: u64 = 8_000;
const RETRY_WINDOW_MS: u64 = 10_000;
const RETRY_SHARE: f64 = 0.2;
const RETRY_SLACK: f64 = 100.0;
