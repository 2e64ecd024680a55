//! One endpoint as this instance knows it, and what this instance holds there.

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

/// What is known of an endpoint's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LifecycleState {
    /// Its incarnation; zero where nothing was heard yet.
    pub incarnation: Incarnation,
    /// It said itself that it wants no new work.
    pub leaving: bool,
}

/// Where an endpoint stands and what the configuration says of it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointConfig {
    /// Its name.
    pub id: EndpointId,
    /// The group it serves in.
    pub group: EndpointGroup,
    /// Engine or plain service.
    pub kind: EndpointKind,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// One-way delay from here.
    pub distance: Duration,
    /// Operators take it out of service.
    pub leaving: bool,
}

/// One endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Where it stands.
    pub config: EndpointConfig,
    state: Arc<State>,
}

/// What outlives a change of the endpoint's place in the configuration: a stream that began under
/// the old configuration still holds its memory under the new one.
#[derive(Debug)]
struct State {
    /// Its load was asked for, whatever came of it.
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
    /// An endpoint of which nothing was heard yet.
    pub fn new(config: EndpointConfig) -> Endpoint {
        let (abandoned_tx, abandoned_rx) = bounded(1);
        let state = State {
            load_queried: AtomicBool::new(false),
            lifecycle: Mutex::new(LifecycleState { incarnation: Incarnation(0), leaving: false }),
            holdings: Mutex::default(),
            abandoned_tx,
            abandoned_rx,
            listing: smol::lock::Mutex::default(),
        };
        Endpoint { config, state: Arc::new(state) }
    }

    /// The same endpoint under a changed configuration.
    pub fn with_config(&self, config: EndpointConfig) -> Endpoint {
        Endpoint { config, state: self.state.clone() }
    }

    /// Its management interface, where it is an engine.
    pub fn engine(&self) -> HttpEngine {
        HttpEngine::new(self.config.address)
    }

    /// What is known of its life.
    pub fn lifecycle(&self) -> LifecycleState {
        *lock(&self.state.lifecycle)
    }

    /// Notes what an answer said of its life, and tells whether that was new. An answer of an
    /// older life arrives late and says nothing. Within one life, leaving is never taken back:
    /// reports lag, and an older one must not bring a leaving endpoint back into service.
    pub fn record_lifecycle(&self, mut lifecycle: LifecycleState) -> bool {
        let mut known = lock(&self.state.lifecycle);
        lifecycle.leaving |= known.leaving && lifecycle.incarnation == known.incarnation;
        if lifecycle.incarnation < known.incarnation || lifecycle == *known {
            return false;
        }
        *known = lifecycle;
        true
    }

    /// Whether its load was asked for, whatever came of it.
    pub fn was_load_queried(&self) -> bool {
        self.state.load_queried.load(Ordering::Relaxed)
    }

    /// Notes that its load was asked for.
    pub fn set_load_queried(&self) {
        self.state.load_queried.store(true, Ordering::Relaxed);
    }

    /// The endpoint as the scheduler wants to hear of it.
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

    /// Notes that this instance is about to hold memory there under `id`, until the result is
    /// dropped.
    pub fn hold(self: &Arc<Self>, id: String, kind: HeldKind) -> Holding {
        lock(&self.state.holdings).insert(id.clone(), kind);
        Holding { endpoint: self.clone(), id, may_remain_held: true }
    }

    /// What this instance holds there.
    pub fn holdings(&self) -> MutexGuard<'_, Holdings> {
        lock(&self.state.holdings)
    }

    /// Waits until something that was held there is no longer wanted.
    pub async fn wait_for_abandoned(&self) {
        // The sender lives in `self`, so the channel can't be closed.
        self.state.abandoned_rx.recv().await.ok();
    }

    /// The engine's listing of held memory, at most `max_age` old. Many silent streams ask at
    /// once, and one call answers them all.
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

/// Memory that this instance holds on an engine, or is about to. Dropping it says that the memory
/// is no longer wanted; the engine's memory controller then releases it, and again until the
/// engine has confirmed that it is gone.
#[derive(Debug)]
pub struct Holding {
    endpoint: Arc<Endpoint>,
    id: String,
    may_remain_held: bool,
}

impl Holding {
    /// Ends a holding that the engine has ended as well, so that nothing has to be released.
    pub fn close(mut self) {
        self.may_remain_held = false;
    }

    /// Its id on the engine.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// The endpoint.
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
        // A full channel already says it.
        self.endpoint.state.abandoned_tx.try_send(()).ok();
    }
}
