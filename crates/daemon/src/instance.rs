//! One running instance: its threads, its listeners and its end.

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
    server::{self, Audience, Service},
    settings::Settings,
    shared::Shared,
};

/// Why an instance can't start.
#[derive(Debug)]
pub enum StartError {
    /// An address can't be bound.
    Bind(SocketAddr, io::Error),
    /// A thread can't be started.
    Thread(io::Error),
    /// The metrics can't be set up.
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

/// Where an instance listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
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
    /// Dropping it ends the threads.
    stop: Sender<()>,
    // The last to go: dropping it drops all tasks, and with them every socket.
    _executor: Arc<Executor<'static>>,
}

impl Instance {
    /// Starts an instance on threads of its own. Without a configuration it answers that it isn't
    /// ready, until [`Instance::set_config`] gives it one.
    ///
    /// # Errors
    ///
    /// See [`StartError`].
    pub fn start(settings: Settings, initial: Option<Config>) -> Result<Instance, StartError> {
        let executor = Arc::new(Executor::new());
        let metrics = Metrics::new().map_err(|_| StartError::Metrics)?;
        let incarnation = clock::incarnation();
        let owner = Owner { instance: settings.instance.clone(), incarnation };
        let shared = Arc::new(Shared::new(settings, owner, metrics, &executor));
        shared.spawn(server::registry::watch(Arc::downgrade(&shared)));
        let mesh = link(&shared, &executor)?;
        let addresses = Addresses { peers: mesh.address(), ..listen(&shared)? };
        if let Some(config) = initial {
            shared.set_config(config, Version(1));
        }
        shared.follow_log();
        shared.spawn(readiness::watch(Arc::downgrade(&shared)));
        let (stop, stopped) = bounded(1);
        let threads = start_threads(&shared, &executor, &stopped)?;
        log::info!(
            instance = shared.owner.instance.as_str(),
            incarnation = shared.owner.incarnation.0,
            listen:% = addresses.callers,
            admin:% = addresses.admin,
            peer_listen:% = addresses.peers;
            "started"
        );
        Ok(Instance { shared, addresses, mesh, threads, stop, _executor: executor })
    }

    /// Where it listens. Ports that the settings leave to the system are filled in.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Puts a configuration in force; one that isn't newer than that in force is ignored.
    pub fn set_config(&self, config: Config, version: Version) {
        self.shared.set_config(config, version);
    }

    /// The instance as it is now.
    pub fn status(&self) -> Status {
        admin::status(&self.shared)
    }

    /// Begins a graceful stop without waiting for its end.
    pub fn drain(&self) {
        drain::begin(&self.shared);
    }

    /// Stops gracefully: the balancer is waited out, every request is finished, nothing is cut.
    pub fn close(self) {
        drain::begin(&self.shared);
        block_on(drain::finished(&self.shared));
        block_on(drain::ledgers_written(&self.shared));
        block_on(self.mesh.send_goodbye());
        log::info!("closed");
        self.abort();
    }

    /// Ends at once and cuts whatever is under way, as a crash would.
    pub fn abort(self) {
        drop(self.stop);
        for thread in self.threads {
            // A thread that panicked has ended as well.
            thread.join().ok();
        }
    }
}

fn link(
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
    let failed = |e| StartError::Bind(settings.peer_listen, e);
    let (mesh, events) = PeerMesh::start(cfg).map_err(failed)?;
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
    let failed = |e| StartError::Bind(address, e);
    let listener = server::bind(address).map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    let chain = filter::chain(shared);
    let service = Arc::new(Service { shared: shared.clone(), chain, audience });
    shared.spawn(server::serve(listener, service));
    Ok(bound)
}

fn start_threads(
    shared: &Arc<Shared>,
    executor: &Arc<Executor<'static>>,
    stopped: &Receiver<()>,
) -> Result<Vec<JoinHandle<()>>, StartError> {
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let count = shared.settings.threads.unwrap_or(cores).max(1);
    let start = |index| {
        let (executor, stopped) = (executor.clone(), stopped.clone());
        let builder = thread::Builder::new().name(format!("trefoilhall-{index}"));
        builder.spawn(move || work(&executor, &stopped)).map_err(StartError::Thread)
    };
    (0..count).map(start).collect()
}

/// Runs tasks until the instance ends. A task that panics ends alone: its requests' callers are
/// cut, and the thread goes on with the others.
pub(crate) fn work(executor: &Executor<'static>, stopped: &Receiver<()>) {
    loop {
        let run = AssertUnwindSafe(|| block_on(executor.run(stopped.recv())));
        match catch_unwind(run) {
            Ok(_) => return,
            Err(_) => log::error!("task_panicked"),
        }
    }
}
