//! The configuration as the daemon uses it: deployments, data centres, workspaces, endpoints.
//!
//! Operators write a folder of small JSON files, merged in name order; `docs/CONFIG.md` is the
//! reference. Whatever is read here has passed every check.

mod deployments;
pub mod fields;
pub mod finding;
mod load;
mod names;
pub mod tree;

pub use finding::{Finding, Findings, SourceLocation};
pub use load::{LoadedConfig, SETTINGS_MEMBER, load};
pub use tree::SourceFile;

use std::{fmt, net::SocketAddr, str::FromStr, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{DataCentre, Deployment, EndpointGroup, EndpointId, Model, Tokens, Workspace};

/// A number that each accepted configuration raises by one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Version {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Version)
    }
}

/// Everything operators publish.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// The site's data centres.
    pub data_centres: IndexMap<DataCentre, DataCentreRules>,
    /// The workspaces and their keys, weights and limits.
    pub workspaces: WorkspaceTable,
    /// Every server that may get work.
    pub endpoints: IndexMap<EndpointId, EndpointRules>,
    /// What is served, and how.
    pub deployments: IndexMap<Deployment, DeploymentRules>,
    /// How calls that may not be repeated are kept.
    #[serde(default)]
    pub ledger: LedgerRules,
}

/// How calls that may not be repeated are kept on the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LedgerRules {
    /// Streams that keys are spread over. It can't be changed once published, because a key's
    /// claim would then be looked for in another stream.
    pub streams: u32,
    /// How long a key is remembered, in minutes.
    pub window_minutes: u64,
    /// How long the log service keeps records, in minutes; checkpoints are written well before.
    pub log_keeps_minutes: u64,
}

impl Default for LedgerRules {
    /// One stream: four instances fold every claim of today's sites without effort. A day's
    /// window: callers and clerks re-send within minutes, a portal's retry queue within the night.
    /// A log that keeps an hour is the least that is worth running on.
    fn default() -> Self {
        LedgerRules { streams: 1, window_minutes: 24 * 60, log_keeps_minutes: 60 }
    }
}

/// All workspaces by name.
pub type WorkspaceTable = IndexMap<Workspace, WorkspaceRules>;

/// One data centre.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreRules {
    /// The region it belongs to, as `ro-centru`.
    pub region: String,
    /// One-way delay to other data centres, in milliseconds. Where a pair is missing, the other
    /// direction counts, and failing that [`DataCentreRules::DEFAULT_DISTANCE_MS`].
    #[serde(default)]
    pub distance_ms: IndexMap<DataCentre, f64>,
}

impl DataCentreRules {
    /// Delay assumed between data centres of which none states a distance: between regions.
    pub const DEFAULT_DISTANCE_MS: f64 = 40.0;
}

/// One workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceRules {
    /// SHA-256 of each bearer key, in hexadecimal. Keys are never published in the clear, because
    /// every instance and the audit trail hold the configuration.
    pub key_sha256: Vec<String>,
    /// Its share relative to the others when all are hungry.
    #[serde(default = "one")]
    pub weight: u32,
    /// The most weighted tokens a second over all instances; no limit where absent.
    #[serde(default)]
    pub tokens_per_second: Option<u64>,
    /// The most requests under way at once on one instance; no limit where absent.
    #[serde(default)]
    pub concurrent: Option<u32>,
}

fn one() -> u32 {
    1
}

/// One endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointRules {
    /// The group it serves in.
    pub group: EndpointGroup,
    /// Where it listens, as `10.0.0.7:8000`.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Set by operators to take it out of service: it finishes what it has.
    #[serde(default)]
    pub leaving: bool,
    /// Whether it refuses orders and calls with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// What kind of endpoints a deployment has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// Model engines.
    Engine,
    /// Servers of a plain service.
    Service,
}

/// Which scheduler decides. All but the first are baselines to measure against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyName {
    /// The product's own.
    #[default]
    Trefoilhall,
    /// Endpoints in turn; no queue, no limits, retries without a budget.
    RoundRobin,
    /// The endpoint with the fewest own requests; otherwise as round robin.
    LeastOutstanding,
    /// One queue in order of arrival before all endpoints, with no limits.
    FirstComeFirstServed,
}

impl fmt::Display for PolicyName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PolicyName::Trefoilhall => "trefoilhall",
            PolicyName::RoundRobin => "round_robin",
            PolicyName::LeastOutstanding => "least_outstanding",
            PolicyName::FirstComeFirstServed => "first_come_first_served",
        })
    }
}

/// One deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentRules {
    /// The endpoints that serve it.
    pub group: EndpointGroup,
    /// What they are.
    pub kind: EndpointKind,
    /// The models it serves; empty for a plain service.
    #[serde(default)]
    pub models: Vec<Model>,
    /// What the site weighs how much.
    #[serde(default)]
    pub weights: Weights,
    /// Bounds on waiting and running.
    #[serde(default)]
    pub limits: Limits,
    /// Rules by path, the longest matching prefix first in force.
    #[serde(default)]
    pub routes: Vec<RouteRules>,
    /// Which scheduler decides.
    #[serde(default)]
    pub policy: PolicyName,
    /// What the engines have to load; where absent, they are left as they are.
    #[serde(default)]
    pub serve: Option<ServeRules>,
}

/// What a deployment's engines have to load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServeRules {
    /// The model by the weight store's name.
    pub model: String,
    /// Its version there.
    pub version: String,
    /// An adapter on top, if any.
    #[serde(default)]
    pub adapter: Option<String>,
    /// `mixed`, `prefill` or `decode`.
    #[serde(default = "mixed")]
    pub role: String,
}

fn mixed() -> String {
    "mixed".to_owned()
}

/// What the site weighs how much, relative to one another. Both enter one cost.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Weight of the first token of long prompts.
    pub long_first_token: f64,
    /// Weight of the slowdown of short prompts beside long ones.
    pub short_slowdown: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Weights { long_first_token: 1.0, short_slowdown: 1.0 }
    }
}

/// Bounds on waiting and running in one deployment, per instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Deadline of requests that state none, in milliseconds.
    pub default_deadline_ms: u64,
    /// The latest deadline a caller may ask for, in milliseconds.
    pub max_deadline_ms: u64,
    /// The most requests that wait at once.
    pub waiting: usize,
    /// The most output tokens where the caller states no bound.
    pub default_output: Tokens,
    /// Retries as a share of successes.
    pub retry_share: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            default_deadline_ms: 60_000,
            max_deadline_ms: 600_000,
            waiting: 10_000,
            default_output: Tokens(512),
            retry_share: 0.1,
        }
    }
}

impl Limits {
    /// The deadline for a caller that asked for `asked`.
    pub fn deadline(&self, asked: Option<Duration>) -> Duration {
        let wanted = asked.unwrap_or(Duration::from_millis(self.default_deadline_ms));
        wanted.min(Duration::from_millis(self.max_deadline_ms))
    }
}

/// Rules for calls below one path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRules {
    /// The path prefix within the deployment, as `/registrations`.
    pub path: String,
    /// Whether calls are idempotent. Calls that aren't need an `Idempotency-Key` and run at most
    /// once.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Deadline of calls on this route, in milliseconds, where the caller states none.
    #[serde(default)]
    pub timeout_ms: Option<u64>,
    /// Whether the endpoint itself answers a repeated key with the first answer, so that a call
    /// of unknown outcome may be asked again.
    #[serde(default)]
    pub deduplicates: bool,
}

fn yes() -> bool {
    true
}

impl DeploymentRules {
    /// The rules for `path`: those of the longest matching prefix. A prefix matches whole path
    /// segments, so that `/hold` doesn't cover `/holders`.
    pub fn route(&self, path: &str) -> Option<&RouteRules> {
        self.routes
            .iter()
            .filter(|rules| covers(&rules.path, path))
            .max_by_key(|rules| rules.path.len())
    }
}

fn covers(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
