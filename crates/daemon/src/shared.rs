//! State shared by all tasks of an instance.

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
use router::resources::Resources;
use smol::Executor;

use crate::{
    active::{ActiveConfig, ActiveConfigBuilder, AnyDeployment},
    admin::fleet::StatusQueries,
    clock::Clock,
    controller::{
        self,
        configuration::{self, Publications},
    },
    endpoint::{Endpoint, LifecycleState, lock},
    ledger::Ledgers,
    limits,
    metrics::Metrics,
    peer::{EndpointStateUpdate, Message, PeerMesh},
    record::CallRecord,
    server::registry::Registry,
    settings::Settings,
};

/// Maximum number of endpoints listed by name in [`UnreadyReason::Endpoints`].
const MAX_NAMED_ENDPOINTS: usize = 16;

/// Stage of the instance's shutdown. It only advances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Stage {
    /// Normal operation; no shutdown was requested.
    Serving = 0,
    /// Readiness probes fail, so that the balancer sends new callers to other instances. Requests
    /// are still accepted.
    Leaving = 1,
    /// New requests are refused; those in flight are completed.
    Refusing = 2,
}

/// Why an instance isn't ready to take requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnreadyReason {
    /// The instance is shutting down.
    Stopping,
    /// No configuration is active.
    Configuration,
    /// The load of some endpoints was never queried.
    Endpoints {
        /// The number of such endpoints.
        count: usize,
        /// The names of the first [`MAX_NAMED_ENDPOINTS`] of them.
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

/// State shared by all tasks of an instance.
pub struct Shared {
    /// The settings the process was started with.
    pub settings: Settings,
    /// The instance's name and incarnation, as engines see the owner of a request.
    pub owner: Owner,
    /// The clock that all deadlines of this instance refer to.
    pub clock: Clock,
    /// The instruments served at `/metrics`.
    pub metrics: Arc<Metrics>,
    /// Weak to avoid a reference cycle: tasks hold this state, and the executor holds the tasks.
    executor: Weak<Executor<'static>>,
    /// Weak to avoid a reference cycle: the mesh holds the executor.
    mesh: OnceLock<Weak<PeerMesh>>,
    active: RwLock<Arc<ActiveConfig>>,
    publications: OnceLock<Arc<Publications<HttpLog>>>,
    ledgers: OnceLock<Ledgers<HttpLog>>,
    /// Held while a new configuration is built and activated, so that an older one can't replace a
    /// newer one.
    config_update_lock: Mutex<()>,
    stage: AtomicU8,
    /// Set once the load of every endpoint of the active configuration has been queried. It stays
    /// set when endpoints are added later.
    all_endpoints_queried: AtomicBool,
    next_request: AtomicU64,
    /// Cloned into the record of each request in flight; the reference count is their number.
    open_requests: Arc<()>,
    /// Pending status queries to other instances.
    pub status_queries: StatusQueries,
    /// Bounds what callers make the instance hold.
    pub resources: Arc<Resources>,
    /// Cloned for each refusal that is being sent on a connection which isn't read any more.
    pub refusals: Arc<()>,
    /// Open connections of callers and operators.
    pub connections: Registry,
}

impl Shared {
    /// Creates the state of an instance whose clock starts now, without a configuration.
    pub fn new(
        settings: Settings,
        owner: Owner,
        metrics: Metrics,
        executor: &Arc<Executor<'static>>,
    ) -> Self {
        let resources = Resources::new(limits::of_machine(&settings));
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
            config_update_lock: Mutex::default(),
            stage: AtomicU8::new(Stage::Serving as u8),
            all_endpoints_queried: AtomicBool::new(false),
            next_request: AtomicU64::new(1),
            open_requests: Arc::default(),
            status_queries: StatusQueries::default(),
            resources,
            refusals: Arc::default(),
            connections: Registry::default(),
        }
    }

    /// The active configuration; its version is 0 until one was set.
    pub fn active(&self) -> Arc<ActiveConfig> {
        self.active.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Activates a configuration, unless the active one has the same or a higher version: a late
    /// delivery by a peer or the log must not revert an accepted change.
    pub fn set_config(self: &Arc<Self>, config: Config, version: Version) {
        let _guard = lock(&self.config_update_lock);
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
        self.start_tasks(&active, &old);
        self.start_ledgers(&active);
        log::info!(version = version.0; "config_in_force");
        self.broadcast(Message::ConfigVersion(version));
    }

    /// Starts to follow the configuration stream if the settings name a log service.
    pub fn follow_log(self: &Arc<Self>) {
        let Some(address) = self.settings.log else { return };
        let publications = Publications::new(HttpLog::new(address), self.clock);
        let publications = self.publications.get_or_init(|| Arc::new(publications));
        self.spawn(configuration::run(publications.clone(), Arc::downgrade(self)));
        self.spawn(configuration::run_checkpoints(publications.clone(), Arc::downgrade(self)));
    }

    /// The configuration stream, if the settings name a log service.
    pub fn publications(&self) -> Option<&Arc<Publications<HttpLog>>> {
        self.publications.get()
    }

    /// The ledgers of calls that may not be repeated; `None` without a log service or before the
    /// first configuration is active.
    pub fn ledgers(&self) -> Option<&Ledgers<HttpLog>> {
        self.ledgers.get()
    }

    /// Starts the ledgers with the rules of the first active configuration. Later configurations
    /// don't change rules that the ledgers depend on.
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

    fn start_tasks(self: &Arc<Self>, active: &ActiveConfig, old: &ActiveConfig) {
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

    /// Runs a future as a task until it completes or the instance is closed.
    pub fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(future).detach();
        }
    }

    /// The current stage of the shutdown.
    pub fn stage(&self) -> Stage {
        match self.stage.load(Ordering::Acquire) {
            0 => Stage::Serving,
            1 => Stage::Leaving,
            _ => Stage::Refusing,
        }
    }

    /// Advances to `stage`; does nothing if that stage has been reached or passed.
    pub fn advance_to(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
    }

    /// Whether the balancer may send callers to this instance.
    pub fn is_ready(&self) -> bool {
        self.unready_reason().is_none()
    }

    /// Why the balancer may not send callers to this instance, or `None` if it is ready.
    ///
    /// An instance isn't ready until the load of every endpoint has been queried once: without it
    /// the scheduler doesn't know how much memory the engines have and would send them prompts that
    /// don't fit. Endpoints that are added later don't revoke readiness.
    pub fn unready_reason(&self) -> Option<UnreadyReason> {
        if self.stage() != Stage::Serving {
            return Some(UnreadyReason::Stopping);
        }
        let active = self.active();
        if active.version == Version(0) {
            return Some(UnreadyReason::Configuration);
        }
        if self.all_endpoints_queried.load(Ordering::Relaxed) {
            return None;
        }
        let mut unqueried =
            active.endpoints.values().filter(|endpoint| !endpoint.was_load_queried());
        let first: Vec<EndpointId> = unqueried
            .by_ref()
            .take(MAX_NAMED_ENDPOINTS)
            .map(|endpoint| endpoint.config.id.clone())
            .collect();
        let count = first.len() + unqueried.count();
        self.all_endpoints_queried.fetch_or(count == 0, Ordering::Relaxed);
        (count > 0).then_some(UnreadyReason::Endpoints { count, first })
    }

    /// Creates the record of a new request, with a generated id if the caller sent none.
    pub fn begin_request(&self, request_id: Option<String>) -> Arc<CallRecord> {
        let id = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        let request_id = request_id.unwrap_or_else(|| format!("{}/{id}", self.owner));
        let open_requests = self.open_requests.clone();
        Arc::new(CallRecord::new(id, request_id, self.clock, self.metrics.clone(), open_requests))
    }

    /// The number of requests whose response hasn't been sent to its last byte.
    pub fn requests_in_flight(&self) -> usize {
        Arc::strong_count(&self.open_requests) - 1
    }

    /// Records the lifecycle state that an endpoint reported. If it has changed, the schedulers are
    /// notified, and the peers too where the endpoint is leaving.
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
        let state_change = endpoint.change();
        if lifecycle.leaving {
            self.broadcast(Message::Endpoint(EndpointStateUpdate {
                endpoint: state_change.endpoint.clone(),
                incarnation: state_change.incarnation,
                state: state_change.state,
            }));
        }
        self.notify_schedulers(endpoint, &Event::Endpoint(state_change));
    }

    /// The connections to other instances; `None` before start and after close.
    pub fn mesh(&self) -> Option<Arc<PeerMesh>> {
        self.mesh.get()?.upgrade()
    }

    /// Sets the connections to other instances; only the first call has an effect.
    pub fn set_mesh(&self, mesh: &Arc<PeerMesh>) {
        self.mesh.get_or_init(|| Arc::downgrade(mesh));
    }

    /// Sends a message to all connected instances.
    pub fn broadcast(&self, message: Message) {
        if let Some(mesh) = self.mesh()
            && let Err(e) = mesh.broadcast(message)
        {
            log::error!(cause:% = e; "broadcast_failed");
        }
    }

    /// Passes an event to the schedulers of all deployments that `endpoint` serves.
    pub fn notify_schedulers(&self, endpoint: &Endpoint, event: &Event) {
        for deployment in self.active().served_by(endpoint) {
            deployment.observe(event.clone());
        }
    }
}
