//! Bounds what callers can make an instance hold, over all connections at once.
//!
//! **Load pattern.** Many clients open connections without a request, stop just short of the end of a
//! body, or read their answers slowly. Each keeps to the limits of a single request.
//!
//! **Without it.** The process uses up the memory or the descriptors of its machine, and all callers
//! are cut off.
//!
//! **Rule.** The number of connections and the bytes that are buffered for all of them are bounded by
//! the machine ([`ResourceLimits`]). When room is short, the connection is closed that has made its
//! instance wait the longest without progress: it sends no request, or neither the rest of its body nor
//! reads its answer. An ordinary caller makes progress within milliseconds. Where no connection waits
//! for its caller, new requests are refused; a share of the buffers is kept for small ones.
//!
//! **Grounds.** A fixed minimum rate would cut off slow callers in calm, and a client that sends a byte
//! from time to time looks alive by a silence timeout.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use crate::{
    lock,
    signal::{OneShot, Signal},
};

/// Divisors of the machine's memory: a half is for buffered bytes and a quarter for connections. The
/// rest is the process's own.
const BUFFERS_DIVISOR: usize = 2;
const CONNECTIONS_DIVISOR: usize = 4;

/// Memory of a connection beside its head: its tasks and its buffers for reading and writing.
const CONNECTION_BYTES: usize = 16 << 10;

/// Part of a head that counts as the connection's own. What is longer needs room in the buffers, so
/// that a large limit of heads doesn't leave a machine with few connections.
pub(crate) const CONNECTION_HEAD_BYTES: usize = 64 << 10;

/// Descriptors that aren't for callers: files, listeners, connections to peers and the log service.
const RESERVED_FILES: usize = 256;

/// Descriptors of a request: its own connection and the one to an endpoint.
const FILES_PER_CONNECTION: usize = 2;

/// Memory of a request in service beside its head and its bodies: its tasks, and the buffers of the
/// connection to its endpoint.
pub const REQUEST_BYTES: usize = 64 << 10;

/// A connection that holds at most this much may use the share of the buffers that is kept for small
/// requests.
const SMALL_BYTES: usize = REQUEST_BYTES + (32 << 10);

/// Divisor of the buffers that gives the share kept for small requests.
const SMALL_SHARE_DIVISOR: usize = 4;

/// Bytes by which a connection has to get on to count as making progress.
const PROGRESS_BYTES: usize = 16 << 10;

/// Interval at which a task that waits for room looks again.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a task waits for the room of connections that are being closed.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum interval between two log lines about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What the machine and the settings allow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Memory of the machine, in bytes.
    pub memory: usize,
    /// Descriptors that the process may open.
    pub open_files: usize,
    /// Maximum number of open connections of callers, from the settings.
    pub max_connections: usize,
}

impl ResourceLimits {
    /// Bytes that may be buffered for all connections together.
    pub fn buffered_bytes(&self) -> usize {
        self.memory / BUFFERS_DIVISOR
    }

    /// Connections of callers that may be open at once where heads have at most this size.
    pub fn connections(&self, max_head_bytes: usize) -> usize {
        let connection_bytes = CONNECTION_BYTES + max_head_bytes.min(CONNECTION_HEAD_BYTES);
        let by_memory = self.memory / CONNECTIONS_DIVISOR / connection_bytes;
        let by_files = self.open_files.saturating_sub(RESERVED_FILES) / FILES_PER_CONNECTION;
        self.max_connections.min(by_memory).min(by_files).max(1)
    }
}

/// No room can be had: all that is in use is for requests that are being served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exhausted;

/// The connections of an instance, and what is buffered for them.
#[derive(Debug)]
pub struct Resources {
    limits: ResourceLimits,
    state: Mutex<State>,
    /// Raised when room has become free.
    released: Signal,
}

#[derive(Debug, Default)]
struct State {
    next_key: u64,
    holders: IndexMap<u64, Arc<Holder>>,
    buffered_bytes: usize,
    totals: Totals,
    logged: Totals,
    logged_at: Option<Instant>,
}

/// How often room was short since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Totals {
    /// Connections closed to make room for others.
    pub evicted_for_connections: u64,
    /// Connections closed to make room for buffered bytes.
    pub evicted_for_memory: u64,
    /// Connections refused, because all open ones are being served.
    pub refused_connections: u64,
}

/// Present use of an instance's resources.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Open connections.
    pub connections: usize,
    /// Bytes buffered for them.
    pub buffered_bytes: usize,
    /// How often room was short.
    pub totals: Totals,
}

impl Resources {
    /// Creates the bounds of an instance.
    pub fn new(limits: ResourceLimits) -> Arc<Resources> {
        Arc::new(Resources { limits, state: Mutex::default(), released: Signal::default() })
    }

    /// The limits that it was created with.
    pub fn limits(&self) -> &ResourceLimits {
        &self.limits
    }

    /// The present use.
    pub fn usage(&self) -> Usage {
        let state = lock(&self.state);
        Usage {
            connections: state.holders.len(),
            buffered_bytes: state.buffered_bytes,
            totals: state.totals,
        }
    }

    /// Admits a new connection where at most `max` may be open, and closes another one for it if need
    /// be. Returns `None` where all open ones are being served.
    pub async fn admit(self: &Arc<Self>, max: usize) -> Option<Registration> {
        let give_up = Instant::now() + EVICTION_TIMEOUT;
        loop {
            {
                let mut state = lock(&self.state);
                if state.holders.len() < max {
                    return Some(self.register(&mut state));
                }
                let excess = state.holders.len() + 1 - max;
                let is_full =
                    !state.evict(Wanted::Connections(excess)) || Instant::now() >= give_up;
                if is_full {
                    state.totals.refused_connections += 1;
                }
                state.log_totals();
                if is_full {
                    return None;
                }
            }
            self.released.raised_within(ROOM_POLL_INTERVAL).await;
        }
    }

    fn register(self: &Arc<Self>, state: &mut State) -> Registration {
        let holder = Arc::new(Holder {
            resources: self.clone(),
            use_: Mutex::new(HolderUse::new(Instant::now())),
            evicted: OneShot::default(),
            is_evicted: AtomicBool::new(false),
        });
        let key = state.next_key;
        state.next_key += 1;
        state.holders.insert(key, holder.clone());
        Registration { key, holder }
    }

    fn try_acquire(&self, holder: &Holder, bytes: usize) -> bool {
        let mut state = lock(&self.state);
        let mut use_ = lock(&holder.use_);
        let max = self.limits.buffered_bytes();
        let max =
            if use_.bytes + bytes <= SMALL_BYTES { max } else { max - max / SMALL_SHARE_DIVISOR };
        let is_free = state.buffered_bytes + bytes <= max;
        if is_free {
            state.buffered_bytes += bytes;
            use_.bytes += bytes;
        }
        is_free
    }

    fn release(&self, holder: &Holder, bytes: usize) {
        lock(&self.state).buffered_bytes -= bytes;
        lock(&holder.use_).bytes -= bytes;
        self.released.raise();
    }

    fn evict_for_memory(&self, bytes: usize) -> bool {
        let mut state = lock(&self.state);
        let is_evicting = state.evict(Wanted::Bytes(bytes));
        state.log_totals();
        is_evicting
    }
}

/// What connections are closed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wanted {
    Connections(usize),
    Bytes(usize),
}

impl State {
    /// Closes connections until what is wanted becomes free. Returns false if nothing does.
    fn evict(&mut self, wanted: Wanted) -> bool {
        let mut freed = 0;
        let mut waiting = Vec::new();
        for holder in self.holders.values() {
            let use_ = lock(&holder.use_);
            let worth = match wanted {
                Wanted::Connections(_) => 1,
                Wanted::Bytes(_) => use_.bytes,
            };
            if holder.is_evicted() {
                freed += worth;
            } else if worth > 0
                && let Some(since) = use_.waiting_since()
            {
                waiting.push((since, worth, holder));
            }
        }
        waiting.sort_unstable_by_key(|(since, ..)| *since);
        let (Wanted::Connections(needed) | Wanted::Bytes(needed)) = wanted;
        for (_, worth, holder) in waiting {
            if freed >= needed {
                break;
            }
            if !holder.evict() {
                continue;
            }
            freed += worth;
            match wanted {
                Wanted::Connections(_) => self.totals.evicted_for_connections += 1,
                Wanted::Bytes(_) => self.totals.evicted_for_memory += 1,
            }
        }
        freed > 0
    }

    /// Logs what has been closed and refused since the last line, at most once in an interval.
    fn log_totals(&mut self) {
        let now = Instant::now();
        let is_due = self.logged_at.is_none_or(|at| now.duration_since(at) >= LOG_INTERVAL);
        if !is_due || self.logged == self.totals {
            return;
        }
        let (totals, logged) = (self.totals, self.logged);
        log::warn!(
            for_connections = totals.evicted_for_connections - logged.evicted_for_connections,
            for_memory = totals.evicted_for_memory - logged.evicted_for_memory,
            refused = totals.refused_connections - logged.refused_connections,
            connections = self.holders.len(),
            buffered_bytes = self.buffered_bytes;
            "connections_closed"
        );
        (self.logged, self.logged_at) = (totals, Some(now));
    }
}

/// Counts a connection until it is dropped.
#[derive(Debug)]
pub struct Registration {
    key: u64,
    holder: Arc<Holder>,
}

impl Registration {
    /// The connection's part of the resources.
    pub fn holder(&self) -> &Arc<Holder> {
        &self.holder
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let resources = &self.holder.resources;
        lock(&resources.state).holders.swap_remove(&self.key);
        resources.released.raise();
    }
}

/// What one connection holds, and whether it makes its instance wait.
#[derive(Debug)]
pub struct Holder {
    resources: Arc<Resources>,
    use_: Mutex<HolderUse>,
    evicted: OneShot,
    is_evicted: AtomicBool,
}

#[derive(Debug)]
struct HolderUse {
    bytes: usize,
    /// A request or the rest of its body is due from the caller.
    awaits_caller: bool,
    /// The caller doesn't read what is sent.
    is_write_blocked: bool,
    /// When the connection last made progress, and the bytes that it has moved since.
    progress_at: Instant,
    moved_bytes: usize,
}

impl HolderUse {
    fn new(now: Instant) -> HolderUse {
        HolderUse {
            bytes: 0,
            awaits_caller: true,
            is_write_blocked: false,
            progress_at: now,
            moved_bytes: 0,
        }
    }

    fn waiting_since(&self) -> Option<Instant> {
        (self.awaits_caller || self.is_write_blocked).then_some(self.progress_at)
    }

    fn restart(&mut self) {
        (self.progress_at, self.moved_bytes) = (Instant::now(), 0);
    }
}

impl Holder {
    /// Records that a request or a part of it is due from the caller from now on.
    pub fn await_caller(&self) {
        let mut use_ = lock(&self.use_);
        use_.awaits_caller = true;
        use_.restart();
    }

    /// Records that the caller has done its part, and that the instance serves its request. Returns
    /// false if the connection is being closed; the request must not be served then.
    #[must_use]
    pub fn begin_service(&self) -> bool {
        let mut use_ = lock(&self.use_);
        let is_served = !self.is_evicted();
        use_.awaits_caller &= !is_served;
        is_served
    }

    /// Records bytes that were received from the caller.
    pub fn record_received(&self, bytes: usize) {
        lock(&self.use_).record_moved(bytes);
    }

    /// Records bytes that the caller's connection took, or none where it takes no more.
    pub fn record_sent(&self, bytes: Option<usize>) {
        let mut use_ = lock(&self.use_);
        use_.is_write_blocked = bytes.is_none();
        use_.record_moved(bytes.unwrap_or(0));
    }

    /// Whether the connection has to be closed to make room.
    pub fn is_evicted(&self) -> bool {
        self.is_evicted.load(Ordering::Acquire)
    }

    /// Whether the caller is due to send something rather than to read.
    pub fn awaits_caller(&self) -> bool {
        lock(&self.use_).awaits_caller
    }

    /// Waits until the connection has to be closed to make room.
    pub async fn evicted(&self) {
        self.evicted.wait().await;
    }

    /// Has the connection closed, unless its request has come to be served meanwhile.
    fn evict(&self) -> bool {
        let use_ = lock(&self.use_);
        let is_evicted = use_.waiting_since().is_some();
        if is_evicted {
            self.is_evicted.store(true, Ordering::Release);
            self.evicted.set();
        }
        is_evicted
    }

    /// Permission to buffer nothing yet, which can grow.
    pub fn permit(self: &Arc<Self>) -> Permit {
        Permit { holder: self.clone(), bytes: 0 }
    }

    async fn acquire(&self, bytes: usize) -> Result<(), Exhausted> {
        let give_up = Instant::now() + EVICTION_TIMEOUT;
        while !self.resources.try_acquire(self, bytes) {
            let is_freed = self.resources.evict_for_memory(bytes);
            if self.is_evicted() || !is_freed || Instant::now() >= give_up {
                return Err(Exhausted);
            }
            self.resources.released.raised_within(ROOM_POLL_INTERVAL).await;
        }
        Ok(())
    }
}

impl HolderUse {
    fn record_moved(&mut self, bytes: usize) {
        self.moved_bytes += bytes;
        if self.moved_bytes >= PROGRESS_BYTES {
            self.restart();
        }
    }
}

/// Permission to buffer a number of bytes for a connection. Dropping it returns them.
#[derive(Debug)]
pub struct Permit {
    holder: Arc<Holder>,
    bytes: usize,
}

impl Permit {
    /// The bytes that it permits.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds `bytes`, for which other connections are closed if need be.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] where no room can be had.
    pub async fn grow(&mut self, bytes: usize) -> Result<(), Exhausted> {
        self.holder.acquire(bytes).await?;
        self.bytes += bytes;
        Ok(())
    }

    /// Adds `bytes` of what is held already, without waiting for room. Connections are closed for the
    /// next ones if need be.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] where there is no room now.
    pub fn try_grow(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let resources = &self.holder.resources;
        if !resources.try_acquire(&self.holder, bytes) {
            resources.evict_for_memory(bytes);
            return Err(Exhausted);
        }
        self.bytes += bytes;
        Ok(())
    }

    /// Adds what is missing to `bytes`.
    ///
    /// # Errors
    ///
    /// As [`Permit::grow`].
    pub async fn grow_to(&mut self, bytes: usize) -> Result<(), Exhausted> {
        match bytes.saturating_sub(self.bytes) {
            0 => Ok(()),
            missing => self.grow(missing).await,
        }
    }

    /// Adds what is missing to `bytes` as soon as there is room.
    pub async fn wait_to_grow_to(&mut self, bytes: usize) {
        while self.grow_to(bytes).await.is_err() {
            self.holder.resources.released.raised_within(ROOM_POLL_INTERVAL).await;
        }
    }

    /// Takes `bytes` out of this permit, or all where it has less.
    pub fn split(&mut self, bytes: usize) -> Permit {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Permit { holder: self.holder.clone(), bytes }
    }

    /// Returns all but `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        if excess > 0 {
            self.bytes -= excess;
            self.holder.resources.release(&self.holder, excess);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
