//! Several daemon instances before stand-in engines, all in this process and on loopback, for demo
//! and bench.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    time::{Duration, Instant},
};

use daemon::{Instance, settings::Settings};
use error_stack::{Report, ResultExt};
use indexmap::IndexMap;
use policy::{
    DataCentre, Deployment, EndpointGroup, EndpointId, Incarnation, InstanceId, Model, Workspace,
    config::{
        Config, DataCentreRules, DeploymentRules, EndpointKind, EndpointRules, Limits, PolicyName,
        RouteRules, Weights, WorkspaceRules,
    },
};
use protocols::{
    http::HttpCall,
    instances::{ListedInstance, ListedState, Role},
};
use sha2::{Digest, Sha256};
use standin::{Engine, EngineConfig, Service};

use crate::error::{CliError, CliResult};

/// The model that all engines serve.
pub const MODEL: &str = "model-1";
/// The group of the plain service.
pub const DESK: &str = "desk";
/// The service's path for calls that may not be repeated.
pub const REGISTRATIONS: &str = "/registrations";

const DATA_CENTRE: &str = "here";
const ENGINES: &str = "engines";
/// How long an instance may take until it is ready.
const READY: Duration = Duration::from_secs(10);
/// How long a stopping instance stays reachable. No balancer stands before these.
const BALANCER_WAIT_MS: u64 = 0;
/// No caller here has more connections than this.
const CONNECTIONS: usize = 20_000;
/// A million tokens are 4 MB.
const BODY: usize = 16 << 20;

/// What to start.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// One for each engine.
    pub engines: Vec<EngineConfig>,
    /// Daemon instances.
    pub instances: usize,
    /// Threads of each instance.
    pub threads: usize,
    /// Workspaces, named `w0`, `w1` and so on.
    pub workspaces: usize,
    /// Who decides.
    pub policy: PolicyName,
    /// What the site weighs how much.
    pub weights: Weights,
}

/// Where the platform's services are, for instances that use them.
#[derive(Debug, Clone, Copy)]
pub struct Platform {
    /// The log.
    pub log: SocketAddr,
    /// The list of instances.
    pub instances: SocketAddr,
}

/// Engines and instances that run.
pub struct Fleet {
    /// The engines.
    pub engines: Vec<Engine>,
    /// The instances.
    pub instances: Vec<Instance>,
    peers: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts engines and instances with a fixed configuration, and waits until all are ready.
    pub fn start(plan: &FleetPlan) -> CliResult<Fleet> {
        let engines = start_engines(plan)?;
        let config = config(plan, &engines, None)?;
        Fleet::join(plan, engines, Some(config), None)
    }

    /// Starts instances before running engines. Without a configuration they aren't ready until
    /// one is published.
    pub fn join(
        plan: &FleetPlan,
        engines: Vec<Engine>,
        config: Option<Config>,
        platform: Option<Platform>,
    ) -> CliResult<Fleet> {
        let peers = free_addresses(plan.instances)?;
        let mut fleet = Fleet { engines, instances: Vec::new(), peers };
        for index in 0..plan.instances {
            let settings = settings(index, &fleet.peers, plan.threads, platform)?;
            let instance = Instance::start(settings, config.clone()).change_context(failed())?;
            fleet.instances.push(instance);
        }
        if config.is_some() {
            fleet.wait_until_ready()?;
        }
        Ok(fleet)
    }

    /// Where callers connect.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|instance| instance.addresses().callers).collect()
    }

    /// Where operators connect.
    pub fn admin(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|instance| instance.addresses().admin).collect()
    }

    /// Where instances hear each other.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.iter().copied()
    }

    /// Waits until every instance says that it is ready.
    pub fn wait_until_ready(&self) -> CliResult<()> {
        let limit = Instant::now() + READY;
        for address in self.admin() {
            while !is_ready(address) {
                if Instant::now() > limit {
                    let message = format!("the instance at {address} didn't get ready in time");
                    return Err(Report::new(CliError::Other(message)));
                }
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        Ok(())
    }

    /// Stops all instances gracefully and ends the engines.
    pub fn close(self) {
        self.instances.into_iter().for_each(Instance::close);
        self.engines.into_iter().for_each(Engine::close);
    }
}

/// Starts the engines of a plan.
pub fn start_engines(plan: &FleetPlan) -> CliResult<Vec<Engine>> {
    let start = |cfg: &EngineConfig| Engine::start(cfg.clone()).change_context(failed());
    plan.engines.iter().map(start).collect()
}

/// The bearer key of a workspace.
pub fn workspace_key(index: usize) -> String {
    format!("key-of-w{index}")
}

/// A line of the platform's list.
pub fn listed(name: &str, role: Role, address: SocketAddr) -> CliResult<ListedInstance> {
    Ok(ListedInstance {
        name: name.to_owned(),
        role,
        incarnation: Incarnation(0),
        address,
        data_centre: id(DATA_CENTRE)?,
        state: ListedState::Live,
    })
}

/// The configuration for running engines and, where there is one, the plain service.
pub fn config(plan: &FleetPlan, engines: &[Engine], desk: Option<&Service>) -> CliResult<Config> {
    let mut config = Config::default();
    let here: DataCentre = id(DATA_CENTRE)?;
    let rules = DataCentreRules { region: "local".to_owned(), distance_ms: IndexMap::new() };
    config.data_centres.insert(here, rules);
    for index in 0..plan.workspaces {
        let workspace: Workspace = id(&format!("w{index}"))?;
        config.workspaces.insert(workspace, workspace_rules(index));
    }
    for (index, engine) in engines.iter().enumerate() {
        let name: EndpointId = id(&format!("engine-{index}"))?;
        config.endpoints.insert(name, endpoint(ENGINES, engine.address())?);
    }
    config.deployments.insert(id::<Deployment>("assistant")?, assistant(plan)?);
    if let Some(desk) = desk {
        let name: EndpointId = id("desk-0")?;
        config.endpoints.insert(name, endpoint(DESK, desk.address())?);
        config.deployments.insert(id::<Deployment>("register")?, register()?);
    }
    Ok(config)
}

fn workspace_rules(index: usize) -> WorkspaceRules {
    let digest = Sha256::digest(workspace_key(index));
    let key_sha256 = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    WorkspaceRules {
        key_sha256: vec![key_sha256],
        weight: 1,
        tokens_per_second: None,
        concurrent: None,
    }
}

fn endpoint(group: &str, address: SocketAddr) -> CliResult<EndpointRules> {
    let (group, data_centre) = (id(group)?, id(DATA_CENTRE)?);
    Ok(EndpointRules { group, address, data_centre, leaving: false, checks_fencing: true })
}

fn assistant(plan: &FleetPlan) -> CliResult<DeploymentRules> {
    Ok(DeploymentRules {
        group: id::<EndpointGroup>(ENGINES)?,
        kind: EndpointKind::Engine,
        models: vec![id::<Model>(MODEL)?],
        weights: plan.weights,
        limits: Limits::default(),
        routes: Vec::new(),
        policy: plan.policy,
        serve: None,
    })
}

fn register() -> CliResult<DeploymentRules> {
    let route = RouteRules {
        path: REGISTRATIONS.to_owned(),
        repeatable: false,
        timeout_ms: None,
        deduplicates: false,
    };
    Ok(DeploymentRules {
        group: id::<EndpointGroup>(DESK)?,
        kind: EndpointKind::Service,
        models: Vec::new(),
        weights: Weights::default(),
        limits: Limits::default(),
        routes: vec![route],
        policy: PolicyName::Trefoilhall,
        serve: None,
    })
}

fn settings(
    index: usize,
    peers: &[SocketAddr],
    threads: usize,
    platform: Option<Platform>,
) -> CliResult<Settings> {
    let others = peers.iter().enumerate().filter(|(peer, _)| *peer != index);
    Ok(Settings {
        instance: id::<InstanceId>(&format!("entry-{index}"))?,
        data_centre: id(DATA_CENTRE)?,
        listen: any_port(),
        peer_listen: peers[index],
        admin_listen: Some(any_port()),
        log: platform.map(|platform| platform.log),
        instances: platform.map(|platform| platform.instances),
        weights: None,
        peers: others.map(|(_, address)| *address).collect(),
        threads: Some(threads),
        balancer_wait_ms: BALANCER_WAIT_MS,
        max_connections: CONNECTIONS,
        memory_mb: None,
        open_files: None,
        max_body: BODY,
        routing: None,
    })
}

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Addresses that were free a moment ago. Instances have to know each other's before they start.
fn free_addresses(count: usize) -> CliResult<Vec<SocketAddr>> {
    let bind = |_| TcpListener::bind(any_port()).change_context(failed());
    let listeners: Vec<TcpListener> = (0..count).map(bind).collect::<CliResult<_>>()?;
    listeners.iter().map(|listener| listener.local_addr().change_context(failed())).collect()
}

fn is_ready(admin: SocketAddr) -> bool {
    let answer = smol::block_on(HttpCall::get(admin, "/readyz", READY).send());
    answer.is_ok_and(|answer| answer.is_success())
}

fn id<T: std::str::FromStr<Err = policy::ids::IdError>>(text: &str) -> CliResult<T> {
    text.parse().change_context(failed())
}

fn failed() -> CliError {
    CliError::Other("the stand-ins or instances can't be started".to_owned())
}
