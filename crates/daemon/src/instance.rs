//! Starts and stops an instance: its threads, listeners and connections to peers.

use std::{
    fmt, io,
    net::SocketAddr,
    panic::{AssertUnwindSafe, catch_unwind},
    sync::Arc,
    thread::{self, JoinHandle},
};

use policy::config::{Config, Version};
use protocols::engine::wire::Owner;
use smol::{
    Executor, block_on,
    channel::{Receiver, Sender, bounded},
};

use crate::{
    admin::{self, Status},
    clock, controller, drain, filter,
    metrics::Metrics,
    peer::{LOAD_BYTES_PER_SECOND, PeerConfig, PeerMesh},
    readiness,
    server::{self, Audience, ListenerContext},
    settings::Settings,
    shared::Shared,
};

/// Why an instance can't start.
#[derive(Debug)]
pub enum StartError {
    /// A listener can't be bound to the address.
    Bind(SocketAddr, io::Error),
    /// A thread can't be started.
    Thread(io::Error),
    /// The metrics exporter can't be set up.
    Metrics,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Bind(address, e) => write!(f, "can't listen at {address}: {e}"),
            StartError::Thread(e) => write!(f, "can't start a thread: {e}"),
            StartError::Metrics => write!(f, "can't set up the metrics"),
        }
    }
}

impl std::error::Error for StartError {}

/// The addresses an instance listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For requests of callers.
    pub callers: SocketAddr,
    /// For operators' tools, probes and metrics.
    pub admin: SocketAddr,
    /// For other instances.
    pub peers: SocketAddr,
}

/// A running instance.
pub struct Instance {
    shared: Arc<Shared>,
    addresses: Addresses,
    mesh: Arc<PeerMesh>,
    threads: Vec<JoinHandle<()>>,
    /// Dropping it closes the channel, which ends the threads.
    stop_tx: Sender<()>,
    // Must be the last field: dropping it drops all tasks and with them every socket.
    _executor: Arc<Executor<'static>>,
}

impl Instance {
    /// Starts an instance on its own threads. Without an initial configuration it isn't ready until
    /// [`Instance::set_config`] is called or one arrives from the log or a peer.
    ///
    /// # Errors
    ///
    /// [`StartError`] if an address can't be bound, a thread can't be started or the metrics can't
    /// be set up.
    pub fn start(settings: Settings, initial: Option<Config>) -> Result<Instance, StartError> {
        let executor = Arc::new(Executor::new());
        let metrics = Metrics::new().map_err(|_| StartError::Metrics)?;
        let incarnation = clock::incarnation();
        let owner = Owner { instance: settings.instance.clone(), incarnation };
        let shared = Arc::new(Shared::new(settings, owner, metrics, &executor));
        shared.spawn(server::registry::watch(Arc::downgrade(&shared)));
        let mesh = start_mesh(&shared, &executor)?;
        let addresses = Addresses { peers: mesh.address(), ..listen(&shared)? };
        if let Some(config) = initial {
            shared.set_config(config, Version(1));
        }
        shared.follow_log();
        shared.spawn(readiness::watch(Arc::downgrade(&shared)));
        let (stop_tx, stop_rx) = bounded(1);
        let threads = start_threads(&shared, &executor, &stop_rx)?;
        log::info!(
            instance = shared.owner.instance.as_str(),
            incarnation = shared.owner.incarnation.0,
            listen:% = addresses.callers,
            admin:% = addresses.admin,
            peer_listen:% = addresses.peers;
            "started"
        );
        Ok(Instance { shared, addresses, mesh, threads, stop_tx, _executor: executor })
    }

    /// The addresses it listens on. A port 0 in the settings is replaced by the assigned port.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Activates a configuration, unless the active one has the same or a higher version.
    pub fn set_config(&self, config: Config, version: Version) {
        self.shared.set_config(config, version);
    }

    /// The current status, as `GET /admin/status` returns it.
    pub fn status(&self) -> Status {
        admin::status(&self.shared)
    }

    /// Begins a graceful shutdown and returns at once.
    pub fn drain(&self) {
        drain::begin(&self.shared);
    }

    /// Shuts down gracefully: waits until the balancer has noticed, completes every request and
    /// flushes the ledgers.
    pub fn close(self) {
        drain::begin(&self.shared);
        block_on(drain::wait_until_drained(&self.shared));
        block_on(drain::wait_for_ledgers(&self.shared));
        block_on(self.mesh.send_goodbye());
        log::info!("closed");
        self.abort();
    }

    /// Stops at once and drops all requests in flight, as a crash would.
    pub fn abort(self) {
        drop(self.stop_tx);
        for thread in self.threads {
            // An error means that the thread panicked, so it has ended as well.
            thread.join().ok();
        }
    }
}

fn start_mesh(
    shared: &Arc<Shared>,
    executor: &Arc<Executor<'static>>,
) -> Result<Arc<PeerMesh>, StartError> {
    let settings = &shared.settings;
    let cfg = PeerConfig {
        instance: shared.owner.instance.clone(),
        incarnation: shared.owner.incarnation,
        data_centre: settings.data_centre.clone(),
        listen: settings.peer_listen,
        seeds: settings.peers.clone(),
        load_bytes_per_second: LOAD_BYTES_PER_SECOND,
        origin: shared.clock.origin(),
        executor: executor.clone(),
    };
    let bind_error = |e| StartError::Bind(settings.peer_listen, e);
    let (mesh, events) = PeerMesh::start(cfg).map_err(bind_error)?;
    let mesh = Arc::new(mesh);
    shared.set_mesh(&mesh);
    controller::start_peers(shared, events);
    Ok(mesh)
}

fn listen(shared: &Arc<Shared>) -> Result<Addresses, StartError> {
    let settings = &shared.settings;
    let audience = if settings.admin_listen.is_some() { Audience::Callers } else { Audience::Both };
    let callers = listen_at(shared, settings.listen, audience)?;
    let admin = match settings.admin_listen {
        Some(address) => listen_at(shared, address, Audience::Operators)?,
        None => callers,
    };
    Ok(Addresses { callers, admin, peers: settings.peer_listen })
}

fn listen_at(
    shared: &Arc<Shared>,
    address: SocketAddr,
    audience: Audience,
) -> Result<SocketAddr, StartError> {
    let bind_error = |e| StartError::Bind(address, e);
    let listener = server::bind(address).map_err(bind_error)?;
    let bound = listener.local_addr().map_err(bind_error)?;
    let chain = filter::chain(shared);
    let context = Arc::new(ListenerContext { shared: shared.clone(), chain, audience });
    shared.spawn(server::serve(listener, context));
    Ok(bound)
}

fn start_threads(
    shared: &Arc<Shared>,
    executor: &Arc<Executor<'static>>,
    stop_rx: &Receiver<()>,
) -> Result<Vec<JoinHandle<()>>, StartError> {
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let count = shared.settings.threads.unwrap_or(cores).max(1);
    let spawn_thread = |index| {
        let (executor, stop_rx) = (executor.clone(), stop_rx.clone());
        let builder = thread::Builder::new().name(format!("trefoilhall-{index}"));
        builder.spawn(move || run_tasks(&executor, &stop_rx)).map_err(StartError::Thread)
    };
    (0..count).map(spawn_thread).collect()
}

/// Runs tasks until `stop_rx` is closed. A panic ends only the task that panicked, which closes the
/// connections of its callers; the thread continues with the other tasks.
pub(crate) fn run_tasks(executor: &Executor<'static>, stop_rx: &Receiver<()>) {
    loop {
        let run = AssertUnwindSafe(|| block_on(executor.run(stop_rx.recv())));
        match catch_unwind(run) {
            Ok(_) => return,
            Err(_) => log::error!("task_panicked"),
        }
    }
}
