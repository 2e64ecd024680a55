//! Starts and stops an instance: its listeners, its tasks and their shutdown.

use std::{
    fmt, io,
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::AtomicUsize},
    time::Duration,
};

use smol::{Executor, Timer, channel::bounded, net::TcpListener};

use crate::{
    Settings,
    clock::{self, Clock},
    dialect::Dialect,
    entry::{CallerService, ReadinessService},
    filter::{
        Dispatch, DispatchContext, Identify, PeerService, Receive, ReservationIds, StartupGate,
    },
    follow,
    freshness::FreshnessTracker,
    links::{self, LinkParts, Links},
    metrics::{Metrics, MetricsError, MetricsPage},
    net, peer_listener,
    resources::Resources,
    serve::{self, Service},
    signal::Signal,
    snapshot::{SnapshotClient, SnapshotServer},
    source::{ConfigSource, EndpointSource, PeerDirectory, PeerEntry},
    state::{Configuration, Groups, Lifecycle, Stage},
    supervise::supervise,
};

/// How long a stopping instance continues to serve as before: the balancer checks readiness every
/// second and reacts to the second failed check.
const BALANCER_GRACE_PERIOD: Duration = Duration::from_millis(2_600);

/// Requests that are still in flight this long before the end of the time for a stop are ended:
/// enough for an orderly end, and less than the last sixth of that time, in which cuts are
/// expected.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Interval at which a stopping instance checks for requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time without requests and open connections after which a stopping instance ends.
const IDLE_CLOSE_GRACE_PERIOD: Duration = Duration::from_millis(150);

/// Why an instance can't start.
#[derive(Debug)]
pub enum StartError {
    /// The address can't be bound.
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

/// Where an instance gets its configuration, its endpoints and the addresses of its peers.
pub struct Sources<C, E, P> {
    /// The operators' configuration.
    pub configuration: C,
    /// The endpoints' registrations.
    pub endpoints: E,
    /// The directory of instances.
    pub peers: P,
}

/// Accepts the connections of a service as long as the executor runs.
fn spawn_listener<S: Service>(
    name: &'static str,
    listener: TcpListener,
    service: Arc<S>,
    resources: &Arc<Resources>,
    executor: &Arc<Executor<'static>>,
) {
    let (resources, spawner) = (resources.clone(), executor.clone());
    let serve = async move || serve::serve(&listener, &service, &resources, &spawner).await;
    executor.spawn(supervise(name, serve)).detach();
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
        C: ConfigSource + Clone + 'static,
        E: EndpointSource + Clone + 'static,
        P: PeerDirectory + Clone + 'static,
    {
        let clock = Clock::start();
        let incarnation = clock::incarnation();
        let dialect = Arc::new(dialect);
        let configuration = Arc::new(Configuration::default());
        let groups = Arc::new(Groups::new(settings.scheduling));
        let resources = Resources::new(settings.resources);
        let lifecycle = Arc::new(Lifecycle::default());
        let live_instances = Arc::new(AtomicUsize::new(1));
        let bind_error = |address| move |e| StartError::Bind(address, e);
        let metrics = Metrics::new(&configuration, &groups, &lifecycle, &resources, clock);
        let metrics = Arc::new(metrics.map_err(StartError::Metrics)?);
        let callers = net::listen(settings.listen).map_err(bind_error(settings.listen))?;
        let ready = net::listen_for_probes(settings.ready_listen)
            .map_err(bind_error(settings.ready_listen))?;
        let socket =
            net::bind_udp(settings.link_listen).await.map_err(bind_error(settings.link_listen))?;
        let peers = net::listen(settings.link_listen).map_err(bind_error(settings.link_listen))?;

        let own_entry =
            PeerEntry { instance: settings.instance.clone(), address: settings.link_listen };
        let has_other_seeds = settings.seeds.iter().any(|seed| *seed != settings.link_listen);
        let (listed_tx, listed) = bounded(1);
        let urgent = Signal::default();
        let (tracker, queries) = FreshnessTracker::new(has_other_seeds);
        let tracker = Arc::new(tracker);
        let mut links = Links::new(LinkParts {
            instance: settings.instance.clone(),
            address: settings.link_listen,
            incarnation,
            seeds: settings.seeds,
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
            groups.clone(),
            bounds.revoke_within,
            Receive::new(clock, lifecycle.clone(), dispatch),
        );
        let chain = StartupGate::new(
            configuration.clone(),
            groups.clone(),
            lifecycle.clone(),
            clock,
            identify,
        );
        let entry = Arc::new(CallerService {
            chain,
            dialect: dialect.clone(),
            configuration: configuration.clone(),
            lifecycle: lifecycle.clone(),
            metrics: metrics.clone(),
        });
        let forwarded = Arc::new(PeerService::new(entry.clone(), groups.clone()));
        let readiness = ReadinessService {
            path: dialect.ready_path(),
            configuration: configuration.clone(),
            groups: groups.clone(),
            lifecycle: lifecycle.clone(),
        };
        if let Some(address) = settings.metrics_listen {
            let listener = net::listen_for_probes(address).map_err(bind_error(address))?;
            let page = Arc::new(MetricsPage { metrics, lifecycle: lifecycle.clone() });
            spawn_listener("metrics", listener, page, &resources, &executor);
        }
        spawn_listener("callers", callers, entry, &resources, &executor);
        spawn_listener("readiness", ready, Arc::new(readiness), &resources, &executor);
        executor.spawn(supervise("links", async move || links.run().await)).detach();
        let snapshots = Arc::new(SnapshotServer::new(tracker.clone(), executor.clone()));
        let spawner = executor.clone();
        let serve_peers = async move || {
            peer_listener::serve(&peers, &snapshots, &forwarded, &resources, &spawner).await;
        };
        executor.spawn(supervise("peers", serve_peers)).detach();
        let known = tracker.clone();
        let follow_directory = move || {
            let (directory, entry) = (sources.peers.clone(), own_entry.clone());
            links::follow_directory(directory, entry, known.clone(), listed_tx.clone())
        };
        executor.spawn(supervise("directory", follow_directory)).detach();
        let follower = follow::ConfigurationFollower::new(
            sources.configuration,
            configuration,
            groups.clone(),
            bounds.cold_tolerance,
            tracker.clone(),
            SnapshotClient::new(executor.clone()),
        );
        let follow = move || follower.clone().run();
        executor.spawn(supervise("configuration", follow)).detach();
        let follower = follow::EndpointsFollower::new(
            sources.endpoints,
            groups,
            settings.regions,
            clock,
            bounds.leave_within,
            tracker,
            SnapshotClient::new(executor.clone()),
        );
        let follow = move || follower.clone().run();
        executor.spawn(supervise("endpoints", follow)).detach();
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

    /// Stops gracefully: waits until the balancer sends nothing new, finishes all requests and
    /// closes idle connections. Requests that exceed the time for a stop are answered as not run or
    /// as having an unknown outcome, or cut if their answer has begun.
    pub async fn close(self) {
        let end = std::time::Instant::now() + self.stop_within.saturating_sub(STOP_MARGIN);
        self.lifecycle.begin_stop(end);
        log::info!(open = self.lifecycle.in_flight(); "leaving");
        Timer::at(end.min(std::time::Instant::now() + BALANCER_GRACE_PERIOD)).await;
        self.lifecycle.enter(Stage::Closing);
        log::info!(open = self.lifecycle.in_flight(); "closing");
        Timer::after(IDLE_CLOSE_GRACE_PERIOD).await;
        while std::time::Instant::now() < end {
            let accepted = self.lifecycle.accepted_requests();
            // The last bytes of answers are still on their way to the callers.
            Timer::after(IDLE_CLOSE_GRACE_PERIOD).await;
            if !self.is_in_use() && self.lifecycle.accepted_requests() == accepted {
                break;
            }
            while self.is_in_use() && std::time::Instant::now() < end {
                Timer::after(DRAIN_POLL_INTERVAL).await;
            }
        }
        let cut_off = self.lifecycle.in_flight();
        if self.is_in_use() {
            self.lifecycle.cut_off();
            Timer::after(IDLE_CLOSE_GRACE_PERIOD).await;
        }
        log::info!(
            cut_off,
            open = self.lifecycle.in_flight(),
            connections = self.lifecycle.open_connections();
            "stopped"
        );
    }

    /// Whether requests are in flight or may still come on open connections.
    fn is_in_use(&self) -> bool {
        self.lifecycle.in_flight() > 0 || self.lifecycle.open_connections() > 0
    }
}
