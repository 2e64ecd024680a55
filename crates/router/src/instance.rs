//! One running instance: its tasks, its listeners and its end.

use std::{
    fmt, io,
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::AtomicUsize},
    time::Duration,
};

use smol::{Executor, Timer, channel::bounded};

use crate::{
    Settings,
    clock::{self, Clock},
    dialect::Dialect,
    entry::{CallerService, ReadinessService},
    filter::{Dispatch, DispatchContext, Identify, Receive, ReservationIds, StartupGate},
    follow,
    freshness::FreshnessTracker,
    links::{self, LinkParts, Links},
    metrics::{Metrics, MetricsError, MetricsPage},
    net, serve,
    signal::Signal,
    snapshot::{self, SnapshotClient},
    source::{ConfigSource, EndpointSource, PeerDirectory, PeerEntry},
    state::{Configuration, Groups, Lifecycle, Stage},
};

/// How long a stopping instance serves on as before: the balancer asks every second and believes
/// the second miss.
const BALANCER_WAIT: Duration = Duration::from_millis(2_600);

/// What is left of the time for a stop when it ends whatever is still under way: enough to end in
/// order, and less than the last sixth in which cuts are expected.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Time between two looks at what is under way.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// How long idle connections are given to close once nothing is under way.
const IDLE_CLOSE: Duration = Duration::from_millis(150);

/// Why an instance can't start.
#[derive(Debug)]
pub enum StartError {
    /// An address can't be listened on.
    Bind(SocketAddr, io::Error),
    /// The metrics can't be set up.
    Metrics(MetricsError),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Bind(address, e) => write!(f, "can't listen at {address}: {e}"),
            StartError::Metrics(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for StartError {}

/// What an instance gets from outside.
pub struct Sources<C, E, P> {
    /// Its configuration.
    pub configuration: C,
    /// Its endpoints.
    pub endpoints: E,
    /// Other instances.
    pub peers: P,
}

/// A running instance.
pub struct Instance {
    lifecycle: Arc<Lifecycle>,
    stop_within: Duration,
}

impl Instance {
    /// Starts an instance whose tasks run on `executor`.
    ///
    /// # Errors
    ///
    /// See [`StartError`].
    pub async fn start<D, C, E, P>(
        settings: Settings,
        dialect: D,
        sources: Sources<C, E, P>,
        executor: Arc<Executor<'static>>,
    ) -> Result<Instance, StartError>
    where
        D: Dialect,
        C: ConfigSource + 'static,
        E: EndpointSource + 'static,
        P: PeerDirectory + 'static,
    {
        let clock = Clock::start();
        let incarnation = clock::incarnation();
        let dialect = Arc::new(dialect);
        let configuration = Arc::new(Configuration::default());
        let groups = Arc::new(Groups::new(settings.placement));
        let lifecycle = Arc::new(Lifecycle::default());
        let live_instances = Arc::new(AtomicUsize::new(1));
        let bind = |address| move |e| StartError::Bind(address, e);
        let metrics = Metrics::new(&configuration, &groups, &lifecycle);
        let metrics = Arc::new(metrics.map_err(StartError::Metrics)?);
        let callers = net::listen(settings.listen).map_err(bind(settings.listen))?;
        let ready = net::listen(settings.ready_listen).map_err(bind(settings.ready_listen))?;
        let socket =
            net::bind_udp(settings.link_listen).await.map_err(bind(settings.link_listen))?;
        let peers = net::listen(settings.link_listen).map_err(bind(settings.link_listen))?;

        let own_entry =
            PeerEntry { instance: settings.instance.clone(), address: settings.link_listen };
        let (listed_tx, listed) = bounded(1);
        let urgent = Signal::default();
        let (tracker, queries) = FreshnessTracker::new();
        let tracker = Arc::new(tracker);
        let links = Links::new(LinkParts {
            own_entry: own_entry.clone(),
            incarnation,
            socket,
            groups: groups.clone(),
            clock,
            live_instances: live_instances.clone(),
            listed,
            data_centre: settings.data_centre.clone(),
            tracker: tracker.clone(),
            queries,
            urgent: urgent.clone(),
        });
        let bounds = settings.bounds;
        let dispatch = Dispatch::new(DispatchContext {
            dialect: dialect.clone(),
            clock,
            groups: groups.clone(),
            executor: executor.clone(),
            lifecycle: lifecycle.clone(),
            retry_rules: bounds.retry_rules(),
            instances: live_instances,
            urgent,
            metrics: metrics.clone(),
            reservation_ids: ReservationIds::new(format!("{}.{incarnation}", settings.instance)),
            answer_times: Mutex::default(),
        });
        let identify = Identify::new(
            dialect.clone(),
            configuration.clone(),
            bounds.revoke_within,
            Receive::new(clock, dispatch),
        );
        let chain = StartupGate::new(configuration.clone(), groups.clone(), identify);
        let entry = CallerService {
            chain,
            dialect: dialect.clone(),
            configuration: configuration.clone(),
            lifecycle: lifecycle.clone(),
            metrics: metrics.clone(),
        };
        let readiness = ReadinessService {
            path: dialect.ready_path(),
            configuration: configuration.clone(),
            groups: groups.clone(),
            lifecycle: lifecycle.clone(),
        };
        let spawn = executor.clone();
        if let Some(address) = settings.metrics_listen {
            let listener = net::listen(address).map_err(bind(address))?;
            let page = Arc::new(MetricsPage { metrics, lifecycle: lifecycle.clone() });
            spawn.spawn(serve::serve(listener, page, executor.clone())).detach();
        }
        spawn.spawn(serve::serve(callers, Arc::new(entry), executor.clone())).detach();
        spawn.spawn(serve::serve(ready, Arc::new(readiness), executor.clone())).detach();
        spawn.spawn(links.run()).detach();
        spawn.spawn(snapshot::serve(peers, tracker.clone(), executor.clone())).detach();
        let snapshots = SnapshotClient::new(executor);
        spawn.spawn(links::follow_directory(sources.peers, own_entry, listed_tx)).detach();
        let followed = follow::ConfigurationFollower::new(
            sources.configuration,
            configuration,
            groups.clone(),
            tracker.clone(),
            snapshots.clone(),
        );
        spawn.spawn(followed.run()).detach();
        let followed = follow::EndpointsFollower::new(
            sources.endpoints,
            groups,
            clock,
            bounds.leave_within,
            tracker,
            snapshots,
        );
        spawn.spawn(followed.run()).detach();
        log::info!(
            instance = settings.instance.as_str(),
            incarnation = incarnation.0,
            listen:% = settings.listen,
            ready:% = settings.ready_listen,
            links:% = settings.link_listen;
            "started"
        );
        Ok(Instance { lifecycle, stop_within: bounds.stop_within })
    }

    /// Stops gracefully: the balancer is waited out, every request is finished, idle connections
    /// are closed, and only what lasts beyond the time for a stop is cut.
    pub async fn close(self) {
        let end = std::time::Instant::now() + self.stop_within.saturating_sub(STOP_MARGIN);
        self.lifecycle.begin_stop(end);
        log::info!(open = self.lifecycle.in_flight(); "leaving");
        Timer::after(BALANCER_WAIT).await;
        self.lifecycle.enter(Stage::Closing);
        log::info!(open = self.lifecycle.in_flight(); "closing");
        Timer::after(IDLE_CLOSE).await;
        while self.lifecycle.in_flight() > 0 && std::time::Instant::now() < end {
            Timer::after(LOOK_PERIOD).await;
        }
        // The last bytes are still on their way to their callers.
        Timer::after(IDLE_CLOSE).await;
        log::info!(open = self.lifecycle.in_flight(); "stopped");
    }
}
