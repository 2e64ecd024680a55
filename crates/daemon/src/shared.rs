//! What all parts of an instance share.

use std::{
    fmt,
    future::Future,
    sync::{
        Arc, Mutex, OnceLock, PoisonError, RwLock, Weak,
        atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering},
    },
};

use policy::{
    AnyScheduler, EndpointId, Event, RequestId,
    config::{Config, DeploymentRules, Version},
    ledger::Writer,
};
use protocols::{engine::wire::Owner, log::http::HttpLog};
use smol::Executor;

use crate::{
    active::{ActiveConfig, ActiveConfigBuilder, AnyDeployment},
    admin::fleet::StatusQueries,
    budget::BodyBudget,
    clock::Clock,
    controller::{
        self,
        configuration::{self, Publications},
    },
    endpoint::{Endpoint, LifecycleState, lock},
    ledger::Ledgers,
    metrics::Metrics,
    peer::{EndpointStateUpdate, Message, PeerMesh},
    record::CallRecord,
    server::registry::Registry,
    settings::Settings,
};

/// Endpoints named in the reason why an instance isn't ready.
const NAMED: usize = 16;

/// How far the instance is on its way to a stop. It only moves on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Stage {
    /// In service.
    Serving = 0,
    /// Not ready any more, so that the balancer looks elsewhere; still serving.
    Leaving = 1,
    /// New requests are refused; those under way are finished.
    Refusing = 2,
}

/// Why an instance isn't ready.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnreadyReason {
    /// It is stopping.
    Stopping,
    /// No configuration is in force.
    Configuration,
    /// Endpoints were never asked for their load.
    Endpoints {
        /// How many.
        count: usize,
        /// Names of the first of them.
        first: Vec<EndpointId>,
    },
}

impl fmt::Display for UnreadyReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UnreadyReason::Stopping => write!(f, "the instance is stopping"),
            UnreadyReason::Configuration => write!(f, "no configuration is in force"),
            UnreadyReason::Endpoints { count, first } => {
                let names: Vec<&str> = first.iter().map(EndpointId::as_str).collect();
                write!(f, "endpoints not asked for their load ({count}): {}", names.join(" "))
            }
        }
    }
}

/// What all parts of an instance share.
pub struct Shared {
    /// The instance's settings.
    pub settings: Settings,
    /// Its name and life.
    pub owner: Owner,
    /// Its clock.
    pub clock: Clock,
    /// Its metrics.
    pub metrics: Arc<Metrics>,
    /// Weak, because tasks hold this state, and the executor holds the tasks.
    executor: Weak<Executor<'static>>,
    /// Weak, because the mesh keeps the executor.
    mesh: OnceLock<Weak<PeerMesh>>,
    active: RwLock<Arc<ActiveConfig>>,
    publications: OnceLock<Arc<Publications<HttpLog>>>,
    ledgers: OnceLock<Ledgers<HttpLog>>,
    /// Held while a new configuration is built, so that two can't overtake one another.
    building: Mutex<()>,
    stage: AtomicU8,
    /// Every endpoint of some configuration has once been asked for its load.
    warm: AtomicBool,
    next_request: AtomicU64,
    /// Shared by the records of all requests under way, which are counted by it.
    open_requests: Arc<()>,
    /// Questions to other instances that are under way.
    pub status_queries: StatusQueries,
    /// Bodies of requests under way.
    pub body_budget: BodyBudget,
    /// Open connections of callers and operators.
    pub connections: Registry,
}

impl Shared {
    /// The state of an instance that starts now.
    pub fn new(
        settings: Settings,
        owner: Owner,
        metrics: Metrics,
        executor: &Arc<Executor<'static>>,
    ) -> Self {
        Shared {
            settings,
            owner,
            clock: Clock::start(),
            metrics: Arc::new(metrics),
            executor: Arc::downgrade(executor),
            mesh: OnceLock::new(),
            active: RwLock::default(),
            publications: OnceLock::new(),
            ledgers: OnceLock::new(),
            building: Mutex::default(),
            stage: AtomicU8::new(Stage::Serving as u8),
            warm: AtomicBool::new(false),
            next_request: AtomicU64::new(1),
            open_requests: Arc::default(),
            status_queries: StatusQueries::default(),
            body_budget: BodyBudget::default(),
            connections: Registry::default(),
        }
    }

    /// The configuration in force.
    pub fn active(&self) -> Arc<ActiveConfig> {
        self.active.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a configuration in force. An older one than that in force is ignored: versions only
    /// rise, and late deliveries by a peer or the log must not revert an accepted change.
    pub fn set_config(self: &Arc<Self>, config: Config, version: Version) {
        let _building = lock(&self.building);
        let old = self.active();
        if version <= old.version {
            return;
        }
        let seed = self.owner.incarnation.0;
        let scheduler = |rules: &DeploymentRules| {
            let owner = self.owner.clone();
            AnyScheduler::new(rules.policy, owner.instance, owner.incarnation, seed)
        };
        let data_centre = &self.settings.data_centre;
        let builder = ActiveConfigBuilder { data_centre, clock: self.clock, scheduler };
        let active = Arc::new(builder.build(config, version, &old));
        *self.active.write().unwrap_or_else(PoisonError::into_inner) = active.clone();
        self.start_new(&active, &old);
        self.start_ledgers(&active);
        log::info!(version = version.0; "config_in_force");
        self.broadcast(Message::ConfigVersion(version));
    }

    /// Follows the stream on which operators publish, where the settings name a log service.
    pub fn follow_log(self: &Arc<Self>) {
        let Some(address) = self.settings.log else { return };
        let publications = Publications::new(HttpLog::new(address), self.clock);
        let publications = self.publications.get_or_init(|| Arc::new(publications));
        self.spawn(configuration::run(publications.clone(), Arc::downgrade(self)));
        self.spawn(configuration::run_checkpoints(publications.clone(), Arc::downgrade(self)));
    }

    /// The configuration stream, where the settings name a log service.
    pub fn publications(&self) -> Option<&Arc<Publications<HttpLog>>> {
        self.publications.get()
    }

    /// The ledgers of calls that may not be repeated, once a configuration is in force.
    pub fn ledgers(&self) -> Option<&Ledgers<HttpLog>> {
        self.ledgers.get()
    }

    /// The first configuration in force says how the ledgers are kept, and no later one changes
    /// what matters to them.
    fn start_ledgers(&self, active: &ActiveConfig) {
        let Some(address) = self.settings.log else { return };
        if self.ledgers.get().is_some() {
            return;
        }
        let instance = self.owner.instance.clone();
        let writer = Writer { instance, incarnation: self.owner.incarnation };
        let log = HttpLog::new(address);
        let ledgers = Ledgers::new(&log, active.config.ledger, &writer, self.clock);
        for ledger in self.ledgers.get_or_init(|| ledgers).iter() {
            self.spawn(ledger.clone().run());
        }
    }

    fn start_new(self: &Arc<Self>, active: &ActiveConfig, old: &ActiveConfig) {
        for (name, route) in &active.deployments {
            let kept = old
                .deployments
                .get(name)
                .is_some_and(|known| Arc::ptr_eq(&known.deployment, &route.deployment));
            if !kept {
                self.spawn(AnyDeployment::run(Arc::downgrade(&route.deployment)));
            }
        }
        for (id, endpoint) in &active.endpoints {
            let kept = old.endpoints.get(id).is_some_and(|known| Arc::ptr_eq(known, endpoint));
            if !kept {
                controller::start(self, endpoint);
            }
        }
    }

    /// Runs a future beside all others until it ends or the instance is closed.
    pub fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(future).detach();
        }
    }

    /// How far the instance is on its way to a stop.
    pub fn stage(&self) -> Stage {
        match self.stage.load(Ordering::Acquire) {
            0 => Stage::Serving,
            1 => Stage::Leaving,
            _ => Stage::Refusing,
        }
    }

    /// Moves on towards the stop.
    pub fn advance_to(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
    }

    /// Whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.unready_reason().is_none()
    }

    /// Why the balancer may not send callers here: there is no configuration, or some endpoint was
    /// never asked for its load. Before that the scheduler knows no engine's memory, and would
    /// send prompts where they don't fit. Endpoints that come later change nothing.
    pub fn unready_reason(&self) -> Option<UnreadyReason> {
        if self.stage() != Stage::Serving {
            return Some(UnreadyReason::Stopping);
        }
        let active = self.active();
        if active.version == Version(0) {
            return Some(UnreadyReason::Configuration);
        }
        if self.warm.load(Ordering::Relaxed) {
            return None;
        }
        let mut unknown = active.endpoints.values().filter(|endpoint| !endpoint.was_load_queried());
        let first: Vec<EndpointId> =
            unknown.by_ref().take(NAMED).map(|endpoint| endpoint.config.id.clone()).collect();
        let count = first.len() + unknown.count();
        self.warm.fetch_or(count == 0, Ordering::Relaxed);
        (count > 0).then_some(UnreadyReason::Endpoints { count, first })
    }

    /// Begins the record of a request.
    pub fn begin_request(&self, request_id: Option<String>) -> Arc<CallRecord> {
        let id = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        let request_id = request_id.unwrap_or_else(|| format!("{}/{id}", self.owner));
        let open = self.open_requests.clone();
        Arc::new(CallRecord::new(id, request_id, self.clock, self.metrics.clone(), open))
    }

    /// Requests that were begun and haven't ended to the last byte of their answer.
    pub fn requests_in_flight(&self) -> usize {
        Arc::strong_count(&self.open_requests) - 1
    }

    /// Notes what an endpoint's answer said of its life, and tells the schedulers if that is new.
    pub fn record_lifecycle(&self, endpoint: &Endpoint, lifecycle: LifecycleState) {
        if !endpoint.record_lifecycle(lifecycle) {
            return;
        }
        log::info!(
            endpoint = endpoint.config.id.as_str(),
            incarnation = lifecycle.incarnation.0,
            leaving = lifecycle.leaving;
            "endpoint_changed"
        );
        let change = endpoint.change();
        if lifecycle.leaving {
            self.broadcast(Message::Endpoint(EndpointStateUpdate {
                endpoint: change.endpoint.clone(),
                incarnation: change.incarnation,
                state: change.state,
            }));
        }
        self.notify_schedulers(endpoint, &Event::Endpoint(change));
    }

    /// The links to other instances, while they stand.
    pub fn mesh(&self) -> Option<Arc<PeerMesh>> {
        self.mesh.get()?.upgrade()
    }

    /// Notes the links to other instances; a second call changes nothing.
    pub fn set_mesh(&self, mesh: &Arc<PeerMesh>) {
        self.mesh.get_or_init(|| Arc::downgrade(mesh));
    }

    /// Tells those with a link.
    pub fn broadcast(&self, message: Message) {
        if let Some(mesh) = self.mesh()
            && let Err(e) = mesh.broadcast(message)
        {
            log::error!(cause:% = e; "broadcast_failed");
        }
    }

    /// Tells the schedulers of all deployments that `endpoint` serves.
    pub fn notify_schedulers(&self, endpoint: &Endpoint, event: &Event) {
        for deployment in self.active().served_by(endpoint) {
            deployment.observe(event.clone());
        }
    }
}
