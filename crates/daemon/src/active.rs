//! The configuration in force, indexed for lookups by requests.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use policy::{
    DataCentre, Deployment, EndpointGroup, EndpointId, Model, Workspace,
    any::AnyScheduler,
    config::{Config, DataCentreRules, DeploymentRules, EndpointKind, EndpointRules, Version},
};
use sha2::{Digest, Sha256};

use crate::{
    clock::Clock,
    deployment::DeploymentState,
    endpoint::{Endpoint, EndpointConfig},
};

/// SHA-256 hash of a workspace's key.
pub type KeyHash = [u8; 32];

/// A deployment whose scheduler is selected by its configuration.
pub type AnyDeployment = DeploymentState<AnyScheduler>;

/// The configuration in force. A request routes by the one in force when it was identified.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    /// Its version; zero if none is in force yet.
    pub version: Version,
    /// The configuration as published.
    pub config: Config,
    /// All endpoints whose group is used by a deployment.
    pub endpoints: IndexMap<EndpointId, Arc<Endpoint>>,
    /// All deployments, in the order of the configuration.
    pub deployments: IndexMap<Deployment, Route>,
    keys: IndexMap<KeyHash, Workspace>,
    models: IndexMap<Model, Deployment>,
    services: IndexMap<EndpointGroup, Deployment>,
}

/// The deployment that serves a request.
#[derive(Debug, Clone)]
pub struct Route {
    /// The deployment with its scheduler.
    pub deployment: Arc<AnyDeployment>,
    /// The deployment's configuration.
    pub rules: Arc<DeploymentRules>,
}

impl ActiveConfig {
    /// The workspace that `key` belongs to.
    pub fn workspace(&self, key: &[u8]) -> Option<&Workspace> {
        self.keys.get(&KeyHash::from(Sha256::digest(key)))
    }

    /// The deployment that serves `model`.
    pub fn model_route(&self, model: &Model) -> Option<&Route> {
        self.deployments.get(self.models.get(model)?)
    }

    /// The deployment of the plain service `group`.
    pub fn service_route(&self, group: &EndpointGroup) -> Option<&Route> {
        self.deployments.get(self.services.get(group)?)
    }

    /// The models served, in the order of the configuration.
    pub fn models(&self) -> impl Iterator<Item = &Model> {
        self.models.keys()
    }

    /// The deployments that use `endpoint`'s group.
    pub fn served_by<'a>(
        &'a self,
        endpoint: &'a Endpoint,
    ) -> impl Iterator<Item = &'a Arc<AnyDeployment>> {
        let group = &endpoint.config.group;
        let routes = self.deployments.values().filter(move |route| route.rules.group == *group);
        routes.map(|route| &route.deployment)
    }
}

/// Builds an [`ActiveConfig`] from a published configuration.
pub struct ActiveConfigBuilder<'a, F> {
    /// The instance's data centre, from which distances are measured.
    pub data_centre: &'a DataCentre,
    /// The clock that new deployments use.
    pub clock: Clock,
    /// Creates the scheduler of a new deployment.
    pub scheduler: F,
}

impl<F: Fn(&DeploymentRules) -> AnyScheduler> ActiveConfigBuilder<'_, F> {
    /// Builds the state for `config`. Endpoints and schedulers of `old` that remain in use are
    /// kept, with their requests in flight and the estimates they have learned.
    pub fn build(&self, config: Config, version: Version, old: &ActiveConfig) -> ActiveConfig {
        let mut active = ActiveConfig { version, config, ..ActiveConfig::default() };
        self.add_endpoints(&mut active, old);
        self.add_deployments(&mut active, old);
        for (workspace, rules) in &active.config.workspaces {
            for key in rules.key_sha256.iter().filter_map(|key| parse_hash(key)) {
                active.keys.insert(key, workspace.clone());
            }
        }
        active
    }

    fn add_endpoints(&self, active: &mut ActiveConfig, old: &ActiveConfig) {
        let data_centres = active.config.data_centres.clone();
        for (id, rules) in &active.config.endpoints {
            let Some(kind) = endpoint_kind(&active.config, &rules.group) else { continue };
            let distance = distance(&data_centres, self.data_centre, &rules.data_centre);
            let config = endpoint_config(id, rules, kind, distance);
            let endpoint = match old.endpoints.get(id) {
                Some(known) if known.config == config => known.clone(),
                Some(known) if known.config.address == config.address => {
                    Arc::new(known.with_config(config))
                }
                _ => Arc::new(Endpoint::new(config)),
            };
            active.endpoints.insert(id.clone(), endpoint);
        }
    }

    fn add_deployments(&self, active: &mut ActiveConfig, old: &ActiveConfig) {
        for (name, rules) in &active.config.deployments {
            let kept = old.deployments.get(name).filter(|route| {
                route.rules.policy == rules.policy && route.rules.kind == rules.kind
            });
            let state = kept.map(|route| route.deployment.clone()).unwrap_or_else(|| {
                DeploymentState::new(name.clone(), (self.scheduler)(rules), self.clock)
            });
            let group = active.endpoints.values().filter(|e| e.config.group == rules.group);
            let changes: Vec<_> = group.map(|endpoint| endpoint.change()).collect();
            state.configure(rules, &active.config.workspaces, &changes);
            let route = Route { deployment: state, rules: Arc::new(rules.clone()) };
            active.deployments.insert(name.clone(), route);
            match rules.kind {
                EndpointKind::Engine => {
                    for model in &rules.models {
                        active.models.entry(model.clone()).or_insert_with(|| name.clone());
                    }
                }
                EndpointKind::Service => {
                    active.services.entry(rules.group.clone()).or_insert_with(|| name.clone());
                }
            }
        }
    }
}

fn endpoint_config(
    id: &EndpointId,
    rules: &EndpointRules,
    kind: EndpointKind,
    distance: Duration,
) -> EndpointConfig {
    EndpointConfig {
        id: id.clone(),
        group: rules.group.clone(),
        kind,
        address: rules.address,
        data_centre: rules.data_centre.clone(),
        distance,
        leaving: rules.leaving,
    }
}

fn endpoint_kind(config: &Config, group: &EndpointGroup) -> Option<EndpointKind> {
    config.deployments.values().find(|rules| rules.group == *group).map(|rules| rules.kind)
}

fn distance(
    table: &IndexMap<DataCentre, DataCentreRules>,
    from: &DataCentre,
    to: &DataCentre,
) -> Duration {
    if from == to {
        return Duration::ZERO;
    }
    let configured_ms = |a, b| table.get(a).and_then(|rules| rules.distance_ms.get(b)).copied();
    let millis = configured_ms(from, to)
        .or_else(|| configured_ms(to, from))
        .unwrap_or(DataCentreRules::DEFAULT_DISTANCE_MS);
    Duration::try_from_secs_f64(millis / 1000.0).unwrap_or_default()
}

fn parse_hash(text: &str) -> Option<KeyHash> {
    let mut hash = KeyHash::default();
    if text.len() != 2 * hash.len() || !text.is_ascii() {
        return None;
    }
    for (index, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(text.get(2 * index..2 * index + 2)?, 16).ok()?;
    }
    Some(hash)
}
