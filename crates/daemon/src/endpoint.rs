//! One endpoint's configuration and reported state, and the memory that this instance holds there.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use policy::{
    DataCentre, EndpointChange, EndpointGroup, EndpointId, Incarnation, config::EndpointKind,
    scheduler::EndpointState,
};
use protocols::engine::{
    EngineError,
    http::HttpEngine,
    listing,
    wire::{HeldKind, HeldPage},
};
pub(crate) use router::lock;
use smol::channel::{Receiver, Sender, bounded};

use crate::holdings::Holdings;

/// The lifecycle state that an endpoint last reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LifecycleState {
    /// Its incarnation; zero if it hasn't reported one yet.
    pub incarnation: Incarnation,
    /// Whether the endpoint itself announced that it takes no new work.
    pub leaving: bool,
}

/// An endpoint's configuration, and its distance from this instance.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointConfig {
    /// Its name in the configuration.
    pub id: EndpointId,
    /// The group of interchangeable endpoints that it belongs to.
    pub group: EndpointGroup,
    /// Whether it is an engine or a plain service.
    pub kind: EndpointKind,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// One-way network delay from this instance.
    pub distance: Duration,
    /// Whether operators are taking it out of service.
    pub leaving: bool,
}

/// One endpoint with the state that this instance keeps about it.
#[derive(Debug)]
pub struct Endpoint {
    /// Its entry in the configuration.
    pub config: EndpointConfig,
    state: Arc<RuntimeState>,
}

/// State that is kept when the endpoint's configuration changes: a stream that started under the
/// old configuration still holds its memory under the new one.
#[derive(Debug)]
struct RuntimeState {
    /// Whether its load has been queried, even without success.
    load_queried: AtomicBool,
    lifecycle: Mutex<LifecycleState>,
    holdings: Mutex<Holdings>,
    abandoned_tx: Sender<()>,
    abandoned_rx: Receiver<()>,
    listing: smol::lock::Mutex<Option<CachedListing>>,
}

#[derive(Debug, Clone)]
struct CachedListing {
    queried_at: Instant,
    page: Result<Arc<HeldPage>, EngineError>,
}

impl Endpoint {
    /// An endpoint that hasn't reported anything yet.
    pub fn new(config: EndpointConfig) -> Endpoint {
        let (abandoned_tx, abandoned_rx) = bounded(1);
        let state = RuntimeState {
            load_queried: AtomicBool::new(false),
            lifecycle: Mutex::new(LifecycleState { incarnation: Incarnation(0), leaving: false }),
            holdings: Mutex::default(),
            abandoned_tx,
            abandoned_rx,
            listing: smol::lock::Mutex::default(),
        };
        Endpoint { config, state: Arc::new(state) }
    }

    /// The same endpoint under a changed configuration, sharing its state.
    pub fn with_config(&self, config: EndpointConfig) -> Endpoint {
        Endpoint { config, state: self.state.clone() }
    }

    /// A client of its management interface, for engines.
    pub fn engine(&self) -> HttpEngine {
        HttpEngine::new(self.config.address)
    }

    /// The lifecycle state that it last reported.
    pub fn lifecycle(&self) -> LifecycleState {
        *lock(&self.state.lifecycle)
    }

    /// Records the lifecycle state reported by an answer and returns whether it changed. Late
    /// answers of an older incarnation are ignored. Within one incarnation, `leaving` is never
    /// reset: reports may arrive out of order, and an older one must not return a leaving endpoint
    /// to service.
    pub fn record_lifecycle(&self, mut lifecycle: LifecycleState) -> bool {
        let mut known = lock(&self.state.lifecycle);
        lifecycle.leaving |= known.leaving && lifecycle.incarnation == known.incarnation;
        if lifecycle.incarnation < known.incarnation || lifecycle == *known {
            return false;
        }
        *known = lifecycle;
        true
    }

    /// Whether its load has been queried, even without success.
    pub fn was_load_queried(&self) -> bool {
        self.state.load_queried.load(Ordering::Relaxed)
    }

    /// Records that its load has been queried.
    pub fn record_load_query(&self) {
        self.state.load_queried.store(true, Ordering::Relaxed);
    }

    /// The endpoint's state in the form that schedulers take.
    pub fn change(&self) -> EndpointChange {
        let lifecycle = self.lifecycle();
        let leaving = self.config.leaving || lifecycle.leaving;
        EndpointChange {
            endpoint: self.config.id.clone(),
            address: self.config.address,
            data_centre: self.config.data_centre.clone(),
            distance: self.config.distance,
            incarnation: lifecycle.incarnation,
            state: if leaving { EndpointState::Leaving } else { EndpointState::Live },
        }
    }

    /// Registers memory that this instance is about to hold on the endpoint under `id`, until the
    /// result is dropped.
    pub fn hold(self: &Arc<Self>, id: String, kind: HeldKind) -> Holding {
        lock(&self.state.holdings).insert(id.clone(), kind);
        Holding { endpoint: self.clone(), id, may_remain_held: true }
    }

    /// The memory that this instance holds on the endpoint, locked.
    pub fn holdings(&self) -> MutexGuard<'_, Holdings> {
        lock(&self.state.holdings)
    }

    /// Waits until a holding is abandoned.
    pub async fn wait_for_abandoned(&self) {
        // The sender lives in `self`, so the channel can't be closed.
        self.state.abandoned_rx.recv().await.ok();
    }

    /// The engine's listing of held memory, at most `max_age` old. The result is cached, because
    /// many silent streams ask for it at once.
    ///
    /// # Errors
    ///
    /// See [`EngineError`].
    pub async fn listing(&self, max_age: Duration) -> Result<Arc<HeldPage>, EngineError> {
        let mut listing = self.state.listing.lock().await;
        if let Some(known) = &*listing
            && known.queried_at.elapsed() <= max_age
        {
            return known.page.clone();
        }
        let queried_at = Instant::now();
        let page = listing::held(&self.engine()).await.map(Arc::new);
        *listing = Some(CachedListing { queried_at, page: page.clone() });
        page
    }
}

/// Memory that this instance holds on an engine, or is about to. Dropping it abandons the memory:
/// the memory controller then releases it, and repeats this until the engine has confirmed it.
#[derive(Debug)]
pub struct Holding {
    endpoint: Arc<Endpoint>,
    id: String,
    may_remain_held: bool,
}

impl Holding {
    /// Ends a holding that the engine has ended itself, so that nothing has to be released.
    pub fn close(mut self) {
        self.may_remain_held = false;
    }

    /// The id under which the engine lists it.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// The engine that holds the memory.
    pub fn endpoint(&self) -> &Arc<Endpoint> {
        &self.endpoint
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        if !self.may_remain_held {
            return self.endpoint.holdings().record_ended(&self.id);
        }
        self.endpoint.holdings().abandon(&self.id, Instant::now());
        // If the channel is full, a wake-up is already pending.
        self.endpoint.state.abandoned_tx.try_send(()).ok();
    }
}
