//! A model engine: continuous batching in steps, priorities, limited KV memory with leases, a prefix
//! cache, resume and cancel, KV export and import, orders. `docs/PROTOCOLS.md` has its calls.
//!
//! It computes nothing; its time is scaled down so that a million-token prompt takes seconds.
//! Memory that a prompt has on other engines (`x-kv-shards`) doesn't speed its prefill up.

mod answer;
mod api;
mod cache;
mod run;
mod state;
mod step;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread::JoinHandle,
    time::Duration,
};

use policy::{Fingerprint, TokenRate, Tokens};

pub use answer::{Estimate, estimate, expected_answer, text, token};

use crate::{
    engine::{api::Api, state::State},
    http::{Host, lock},
};

/// How an engine is made.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Names its threads.
    pub name: String,
    /// Memory for KV cache.
    pub kv_total: Tokens,
    /// Prefill speed beside the fixed cost of a step.
    pub prefill_rate: TokenRate,
    /// The most prompt tokens that one step prefills.
    pub chunk: Tokens,
    /// What a step costs whatever it does.
    pub step_cost: Duration,
    /// What each running stream adds to a step.
    pub decode_cost: Duration,
    /// The most requests that wait for memory; more are refused with 503.
    pub max_waiting: usize,
    /// How long a request waits for memory before it is refused with 503.
    pub max_wait: Duration,
    /// Load reports are renewed this often, so they are up to this old.
    pub load_lag: Duration,
    /// Cache events are published this long after the change.
    pub cache_lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// The weight store that orders fetch from; without one they take effect at once.
    pub weights: Option<SocketAddr>,
    /// Bytes of weights loaded a second.
    pub weight_rate: f64,
    /// How soon the engine is back after a crash; it stays dead where absent.
    pub revive_after: Option<Duration>,
}

impl Default for EngineConfig {
    fn default() -> Self {
        EngineConfig {
            name: "engine".to_owned(),
            kv_total: Tokens(400_000),
            prefill_rate: TokenRate(400_000.0),
            chunk: Tokens(2_048),
            step_cost: Duration::from_micros(500),
            decode_cost: Duration::from_micros(10),
            max_waiting: 256,
            max_wait: Duration::from_secs(5),
            load_lag: Duration::from_millis(50),
            cache_lag: Duration::from_millis(100),
            checks_fencing: true,
            weights: None,
            weight_rate: 1e9,
            revive_after: None,
        }
    }
}

/// What an engine did over all its lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EngineStats {
    /// Connections accepted.
    pub connections: u64,
    /// Requests that got memory and began to run.
    pub started: u64,
    /// Requests that ran to their end mark.
    pub finished: u64,
    /// Requests refused before running.
    pub refused: u64,
    /// Requests that came while the engine asked for no new work.
    pub started_leaving: u64,
    /// Prompt tokens prefilled.
    pub prefilled: Tokens,
    /// Prompt tokens prefilled for requests that didn't finish here.
    pub wasted: Tokens,
    /// Prompt tokens found in the prefix cache.
    pub cached: Tokens,
    /// Tokens generated.
    pub generated: Tokens,
    /// Memory held now.
    pub held: Tokens,
    /// Requests running or waiting now.
    pub running: u32,
    /// Times it crashed or was killed.
    pub deaths: u64,
    /// Orders that took effect.
    pub orders: u64,
    /// Orders that overwrote one with a higher fencing number.
    pub stale_orders: u64,
}

/// A running stand-in engine.
pub struct Engine {
    shared: Arc<Shared>,
    steps: JoinHandle<()>,
}

/// What the calls, the step loop and the test share.
struct Shared {
    cfg: EngineConfig,
    host: Host,
    state: Mutex<State>,
    /// Wakes the step loop.
    work: Condvar,
}

impl Engine {
    /// Starts an engine on a free loopback port.
    pub fn start(cfg: EngineConfig) -> io::Result<Engine> {
        let host = Host::start(&cfg.name)?;
        let state = Mutex::new(State::new(&cfg));
        let shared = Arc::new(Shared { cfg, host, state, work: Condvar::new() });
        shared.host.serve(Arc::new(Api(shared.clone())))?;
        let stepping = shared.clone();
        let name = format!("{}-steps", shared.cfg.name);
        let steps = std::thread::Builder::new().name(name).spawn(move || step::run(&stepping))?;
        Ok(Engine { shared, steps })
    }

    /// Where it listens, over all its lives.
    pub fn address(&self) -> SocketAddr {
        self.shared.host.address()
    }

    /// Closes the listener and all connections and forgets everything, as a process that dies.
    pub fn kill(&self) {
        self.shared.kill();
    }

    /// Begins a new life on the same address; does nothing while it lives.
    pub fn revive(&self) -> io::Result<()> {
        self.shared.revive()
    }

    /// Pauses or continues the process: nothing is answered while connections stay open.
    pub fn freeze(&self, frozen: bool) {
        self.with(|state| state.frozen = frozen);
    }

    /// Asks for no new work, on every answer and in load reports.
    pub fn leave(&self, leaving: bool) {
        self.with(|state| state.leaving = leaving);
    }

    /// Multiplies the speed of every step; 0.1 makes a slow engine.
    pub fn set_speed(&self, factor: f64) {
        self.with(|state| state.speed = factor);
    }

    /// Changes how old load reports get.
    pub fn set_load_lag(&self, lag: Duration) {
        self.with(|state| state.load_lag = lag);
    }

    /// Leaves out the next `count` cache events, so that readers see a gap.
    pub fn drop_cache_events(&self, count: u64) {
        self.with(|state| state.cache.drop_events += count);
    }

    /// Changes whether orders with an old fencing number are refused.
    pub fn check_fencing(&self, check: bool) {
        self.with(|state| state.checks_fencing = check);
    }

    /// Dies as soon as it begins to run a prompt that holds `marker`.
    pub fn crash_on(&self, marker: &str) {
        self.with(|state| state.crash_on.push(marker.to_owned()));
    }

    /// How often a prompt of this fingerprint began to run here, over all lives.
    pub fn runs_of(&self, fingerprint: Fingerprint) -> u32 {
        lock(&self.shared.state).runs.get(&fingerprint).copied().unwrap_or(0)
    }

    /// What it did so far.
    pub fn stats(&self) -> EngineStats {
        let connections = self.shared.host.accepted();
        EngineStats { connections, ..lock(&self.shared.state).stats() }
    }

    /// Ends it and its threads.
    pub fn close(self) {
        self.shared.kill();
        self.with(|state| state.closed = true);
        let _ = self.steps.join();
        self.shared.host.close();
    }

    fn with(&self, change: impl FnOnce(&mut State)) {
        change(&mut lock(&self.shared.state));
        self.shared.work.notify_all();
    }
}

impl Shared {
    fn kill(&self) {
        // The connections go first: a stream that loses its state while its connection stands
        // would still get a proper end of body, which no dying process sends.
        self.host.cut();
        lock(&self.state).die();
        self.work.notify_all();
    }

    fn revive(self: &Arc<Self>) -> io::Result<()> {
        {
            let mut state = lock(&self.state);
            if !state.dead {
                return Ok(());
            }
            state.revive();
        }
        self.host.serve(Arc::new(Api(self.clone())))
    }
}
