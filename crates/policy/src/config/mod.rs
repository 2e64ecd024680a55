//! The configuration as the daemon uses it: deployments, data centres, workspaces, endpoints.
//!
//! Operators write a folder of small JSON files, which are merged in the order of their names;
//! `docs/CONFIG.md` is the reference. A [`Config`] returned by [`load()`] has passed every check.

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

/// Version of the configuration. Each accepted configuration increments it by one.
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

/// The configuration that operators publish, identical on all instances.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// The site's data centres, by name.
    pub data_centres: IndexMap<DataCentre, DataCentreRules>,
    /// The workspaces, with their keys, weights and limits.
    pub workspaces: WorkspaceTable,
    /// All endpoints that may receive requests.
    pub endpoints: IndexMap<EndpointId, EndpointRules>,
    /// The deployments, with their models, limits and routes.
    pub deployments: IndexMap<Deployment, DeploymentRules>,
    /// Settings of the ledger of calls that must run at most once.
    #[serde(default)]
    pub ledger: LedgerRules,
}

/// Settings of the ledger, which records on the log the calls that must run at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LedgerRules {
    /// Number of streams that keys are distributed over. It can't be changed once published,
    /// because a key's claim would then be looked up in a different stream.
    pub streams: u32,
    /// How long a key is retained, in minutes.
    pub window_minutes: u64,
    /// Retention of the log service's records, in minutes; checkpoints are written well before
    /// records expire.
    pub log_keeps_minutes: u64,
}

impl Default for LedgerRules {
    /// - One stream: four instances easily process every claim of the present sites.
    /// - A window of one day: callers and clerks re-send within minutes, a portal's retry queue
    ///   within the night.
    /// - A log retention of one hour, the shortest that is worth running with.
    fn default() -> Self {
        LedgerRules { streams: 1, window_minutes: 24 * 60, log_keeps_minutes: 60 }
    }
}

/// Workspaces by name.
pub type WorkspaceTable = IndexMap<Workspace, WorkspaceRules>;

/// Rules of one data centre.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreRules {
    /// The region it belongs to, such as `ro-centru`.
    pub region: String,
    /// One-way delay to other data centres, in milliseconds. A missing entry is taken from the
    /// opposite direction, and failing that from [`DataCentreRules::DEFAULT_DISTANCE_MS`].
    #[serde(default)]
    pub distance_ms: IndexMap<DataCentre, f64>,
}

impl DataCentreRules {
    /// One-way delay between two data centres that state no distance, in milliseconds: typical
    /// between regions.
    pub const DEFAULT_DISTANCE_MS: f64 = 40.0;
}

/// Rules of one workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceRules {
    /// SHA-256 hash of each bearer key, in hexadecimal. Keys are never published in plain text,
    /// because every instance and the audit trail hold the configuration.
    pub key_sha256: Vec<String>,
    /// Weight in fair sharing: its share relative to the other workspaces when all have waiting
    /// requests.
    #[serde(default = "one")]
    pub weight: u32,
    /// Rate limit in weighted tokens per second over all instances; unlimited if absent.
    #[serde(default)]
    pub tokens_per_second: Option<u64>,
    /// Maximum number of requests in flight on one instance; unlimited if absent.
    #[serde(default)]
    pub concurrent: Option<u32>,
}

fn one() -> u32 {
    1
}

/// Rules of one endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointRules {
    /// The endpoint group it belongs to.
    pub group: EndpointGroup,
    /// The address it listens on, such as `10.0.0.7:8000`.
    pub address: SocketAddr,
    /// The data centre it runs in.
    pub data_centre: DataCentre,
    /// Set by operators to drain it: it finishes its requests and receives no new ones.
    #[serde(default)]
    pub leaving: bool,
    /// Whether it rejects orders and calls that carry an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// The kind of a deployment's endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// LLM engines.
    Engine,
    /// Servers of a plain service.
    Service,
}

/// The scheduler of a deployment. All but the first are baselines for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyName {
    /// The adaptive scheduler, [`crate::adaptive`].
    #[default]
    Trefoilhall,
    /// Round robin without a queue or limits, with retries that have no budget.
    RoundRobin,
    /// The endpoint with the fewest requests of this instance; otherwise like round robin.
    LeastOutstanding,
    /// A single queue in order of arrival for all endpoints, without limits.
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

/// Rules of one deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentRules {
    /// The endpoint group that serves it.
    pub group: EndpointGroup,
    /// The kind of the group's endpoints.
    pub kind: EndpointKind,
    /// The models it serves; empty for a plain service.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Relative weights of the placement costs.
    #[serde(default)]
    pub weights: Weights,
    /// Limits on deadlines, queue length, output and retries.
    #[serde(default)]
    pub limits: Limits,
    /// Rules by path prefix; the longest matching prefix applies.
    #[serde(default)]
    pub routes: Vec<RouteRules>,
    /// The scheduler that places its requests.
    #[serde(default)]
    pub policy: PolicyName,
    /// The model that its engines have to load; if absent, the engines are left unchanged.
    #[serde(default)]
    pub serve: Option<ServeRules>,
}

/// The model that a deployment's engines have to load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServeRules {
    /// Name of the model in the weight store.
    pub model: String,
    /// Version of the model in the weight store.
    pub version: String,
    /// Adapter to load on top of the model, if any.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Role of the engines: `mixed`, `prefill` or `decode`.
    #[serde(default = "mixed")]
    pub role: String,
}

fn mixed() -> String {
    "mixed".to_owned()
}

/// Relative weights of the two terms of the placement cost. Only their ratio matters.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Weight of the delay of long prompts' first token.
    pub long_first_token: f64,
    /// Weight of the slowdown that long prompts cause for concurrent short ones.
    pub short_slowdown: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Weights { long_first_token: 1.0, short_slowdown: 1.0 }
    }
}

/// Limits of one deployment. The queue length counts on each instance separately.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Deadline of requests that don't state one, in milliseconds.
    pub default_deadline_ms: u64,
    /// Maximum deadline that a caller may ask for, in milliseconds.
    pub max_deadline_ms: u64,
    /// Maximum number of requests that wait in the queue of one instance.
    pub waiting: usize,
    /// Maximum number of output tokens of requests that don't state one.
    pub default_output: Tokens,
    /// Retry budget as a share of the successful requests.
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
    /// The deadline of a request: the one that its caller `requested`, or else the default, but at
    /// most the maximum.
    pub fn deadline(&self, requested: Option<Duration>) -> Duration {
        let deadline = requested.unwrap_or(Duration::from_millis(self.default_deadline_ms));
        deadline.min(Duration::from_millis(self.max_deadline_ms))
    }
}

/// Rules for calls whose path has a given prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRules {
    /// The path prefix within the deployment, such as `/registrations`.
    pub path: String,
    /// Whether calls are idempotent. Calls that aren't need an `Idempotency-Key` header and run at
    /// most once.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Deadline of calls that don't state one, in milliseconds.
    #[serde(default)]
    pub timeout_ms: Option<u64>,
    /// Whether the endpoint itself answers a repeated idempotency key with the first response, so
    /// that a call of unknown outcome may be sent again.
    #[serde(default)]
    pub deduplicates: bool,
}

fn yes() -> bool {
    true
}

impl DeploymentRules {
    /// The rules for `path`: those of the longest matching prefix. A prefix matches whole path
    /// segments, so that `/hold` doesn't match `/holders`.
    pub fn route(&self, path: &str) -> Option<&RouteRules> {
        self.routes
            .iter()
            .filter(|rules| is_path_prefix(&rules.path, path))
            .max_by_key(|rules| rules.path.len())
    }
}

fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
