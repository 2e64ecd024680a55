//! State shared by the tasks of a mesh.

use std::{
    future::Future,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak, atomic::AtomicBool},
    time::Instant,
};

use policy::Time;
use smol::{
    Executor,
    channel::{Receiver, Sender, bounded},
};

use crate::peer::{
    PROTOCOL_VERSION, PeerConfig, PeerEvent, count::Counters, message::Hello, state::State,
};

pub(super) struct Shared {
    pub(super) local: Hello,
    pub(super) load_bytes_per_second: u32,
    pub(super) traffic: Arc<Counters>,
    /// Whether the fleet is so small that every instance links to every other one.
    pub(super) full_mesh: AtomicBool,
    events: Sender<PeerEvent>,
    state: Mutex<State>,
    origin: Instant,
    executor: Weak<Executor<'static>>,
    stop_tx: Sender<()>,
    stop_rx: Receiver<()>,
}

impl Shared {
    pub(super) fn new(cfg: PeerConfig, address: SocketAddr, events: Sender<PeerEvent>) -> Shared {
        let (stop_tx, stop_rx) = bounded(1);
        let local = Hello {
            protocol: PROTOCOL_VERSION,
            instance: cfg.instance,
            incarnation: cfg.incarnation,
            data_centre: cfg.data_centre,
            address,
        };
        let mut state = State::new(Time::ZERO + cfg.origin.elapsed());
        for seed in cfg.seeds {
            state.add_seed(seed);
        }
        Shared {
            local,
            load_bytes_per_second: cfg.load_bytes_per_second,
            traffic: Arc::default(),
            full_mesh: AtomicBool::new(true),
            events,
            state: Mutex::new(state),
            origin: cfg.origin,
            executor: Arc::downgrade(&cfg.executor),
            stop_tx,
            stop_rx,
        }
    }

    pub(super) fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a task until it ends, the mesh stops, or the executor is dropped.
    pub(super) fn spawn(self: &Arc<Self>, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop_rx.clone();
        if let Some(executor) = self.executor.upgrade() {
            let stopped = async move {
                // Nothing is ever sent on this channel; this ends when it is closed.
                stop.recv().await.ok();
            };
            executor.spawn(futures_lite::future::or(task, stopped)).detach();
        }
    }

    /// Ends all tasks of the mesh.
    pub(super) fn stop(&self) {
        self.stop_tx.close();
    }

    /// Sends events to the instance, and waits while their channel is full. Load events are skipped
    /// instead, because each of them contains the complete digest and a newer one follows.
    pub(super) async fn emit(&self, events: Vec<PeerEvent>) {
        for event in events {
            // An error means that the instance has dropped its receiver and needs no events.
            if matches!(event, PeerEvent::Load { .. }) {
                self.events.try_send(event).ok();
            } else {
                self.events.send(event).await.ok();
            }
        }
    }
}
