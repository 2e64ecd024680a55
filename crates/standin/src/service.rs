//! A plain service: takes any path, and counts how often each `Idempotency-Key` took effect.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use http_types::{Request, Response, StatusCode};
use indexmap::IndexMap;
use policy::{Incarnation, Tokens};
use protocols::engine::wire::{FENCING, LEAVING, Load};
use serde::{Deserialize, Serialize};
use smol::Timer;

use crate::http::{Handler, Host, Refused, Reply, header, json, lock};

/// How often a paused service looks whether it may go on.
const PAUSE: Duration = Duration::from_millis(2);

/// How a service is made.
#[derive(Debug, Clone, Default)]
pub struct ServiceConfig {
    /// How long a call takes before it has its effect.
    pub work: Duration,
    /// Whether a repeated key gets the first answer without a second effect.
    pub deduplicates: bool,
    /// Whether a call is refused whose fencing number is below one already seen for its key.
    pub checks_fencing: bool,
}

/// What becomes of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceFault {
    /// It takes effect, and the connection closes without an answer.
    LoseAnswer,
    /// It takes effect, and the answer comes this much later.
    LateAnswer(Duration),
    /// The connection closes without an effect.
    Cut,
    /// It is refused with 503.
    Refuse,
}

/// What a call that took effect is answered with.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// The call's key.
    pub key: Option<String>,
    /// How often the key has taken effect, this time included.
    pub run: u32,
    /// Bytes of the body.
    pub bytes: usize,
}

/// A running stand-in service.
pub struct Service {
    host: Host,
    shared: Arc<Shared>,
}

struct Shared {
    cfg: ServiceConfig,
    state: Mutex<State>,
}

struct State {
    incarnation: Incarnation,
    /// Lasts over all lives, as a real service's database would.
    keys: IndexMap<String, Key>,
    faults: VecDeque<ServiceFault>,
    calls: u64,
    effects: u64,
    running: u32,
    frozen: bool,
    leaving: bool,
    after_leaving: u64,
}

#[derive(Default)]
struct Key {
    runs: u32,
    fencing: u64,
    answer: Option<Effect>,
}

impl Service {
    /// Starts a service on a free loopback port.
    pub fn start(cfg: ServiceConfig) -> io::Result<Service> {
        let state = State {
            incarnation: new_incarnation(),
            keys: IndexMap::new(),
            faults: VecDeque::new(),
            calls: 0,
            effects: 0,
            running: 0,
            frozen: false,
            leaving: false,
            after_leaving: 0,
        };
        let shared = Arc::new(Shared { cfg, state: Mutex::new(state) });
        let host = Host::start("service")?;
        host.serve(shared.clone())?;
        Ok(Service { host, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Plans a fault for the next call that isn't a load report.
    pub fn plan_fault(&self, fault: ServiceFault) {
        lock(&self.shared.state).faults.push_back(fault);
    }

    /// Closes the listener and all connections.
    pub fn kill(&self) {
        self.host.cut();
    }

    /// Begins a new life on the same address.
    pub fn revive(&self) -> io::Result<()> {
        lock(&self.shared.state).incarnation = new_incarnation();
        self.host.serve(self.shared.clone())
    }

    /// Pauses or continues the process: nothing is answered while connections stay open.
    pub fn freeze(&self, frozen: bool) {
        lock(&self.shared.state).frozen = frozen;
    }

    /// Asks for no new work.
    pub fn leave(&self, leaving: bool) {
        lock(&self.shared.state).leaving = leaving;
    }

    /// How often a key took effect.
    pub fn runs(&self, key: &str) -> u32 {
        lock(&self.shared.state).keys.get(key).map_or(0, |key| key.runs)
    }

    /// How often the key that took effect most often did so.
    pub fn most_runs(&self) -> u32 {
        lock(&self.shared.state).keys.values().map(|key| key.runs).max().unwrap_or(0)
    }

    /// How many calls took effect.
    pub fn effects(&self) -> u64 {
        lock(&self.shared.state).effects
    }

    /// How many calls came in, load reports left out.
    pub fn calls(&self) -> u64 {
        lock(&self.shared.state).calls
    }

    /// How many calls came in while it asked for no new work.
    pub fn calls_after_leaving(&self) -> u64 {
        lock(&self.shared.state).after_leaving
    }

    /// Ends it.
    pub fn close(self) {
        self.host.close();
    }
}

impl Handler for Shared {
    async fn handle(&self, mut req: Request) -> Reply {
        while lock(&self.state).frozen {
            Timer::after(PAUSE).await;
        }
        if req.url().path() == "/service/load" {
            return self.mark(json(&self.load())).into();
        }
        let bytes = req.body_bytes().await.unwrap_or_default().len();
        let fault = self.begin();
        let _running = Running(self);
        match fault {
            Some(ServiceFault::Cut) => return Reply::Cut,
            Some(ServiceFault::Refuse) => {
                return Refused::new(StatusCode::ServiceUnavailable, "not now").into();
            }
            _ => {}
        }
        if !self.cfg.work.is_zero() {
            Timer::after(self.cfg.work).await;
        }
        let effect = self.take_effect(&req, bytes);
        match (effect, fault) {
            (Ok(_), Some(ServiceFault::LoseAnswer)) => Reply::Cut,
            (Ok(effect), Some(ServiceFault::LateAnswer(late))) => {
                Timer::after(late).await;
                self.mark(json(&effect)).into()
            }
            (Ok(effect), _) => self.mark(json(&effect)).into(),
            (Err(refused), _) => self.mark(refused.into()).into(),
        }
    }
}

impl Shared {
    fn begin(&self) -> Option<ServiceFault> {
        let mut state = lock(&self.state);
        state.calls += 1;
        state.running += 1;
        state.after_leaving += u64::from(state.leaving);
        state.faults.pop_front()
    }

    /// The one place where a call takes effect.
    fn take_effect(&self, req: &Request, bytes: usize) -> Result<Effect, Refused> {
        let key = header(req, "idempotency-key").map(ToOwned::to_owned);
        let fencing = header(req, FENCING).and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut state = lock(&self.state);
        let Some(name) = key.clone() else {
            state.effects += 1;
            return Ok(Effect { key, run: 1, bytes });
        };
        let known = state.keys.entry(name).or_default();
        if self.cfg.checks_fencing && fencing < known.fencing {
            return Err(Refused::new(StatusCode::Conflict, "the fencing number is old"));
        }
        known.fencing = known.fencing.max(fencing);
        if self.cfg.deduplicates
            && let Some(answer) = &known.answer
        {
            return Ok(answer.clone());
        }
        known.runs += 1;
        let effect = Effect { key, run: known.runs, bytes };
        known.answer = Some(effect.clone());
        state.effects += 1;
        Ok(effect)
    }

    fn load(&self) -> Load {
        let state = lock(&self.state);
        Load {
            incarnation: state.incarnation,
            age_ms: 0,
            kv_total: Tokens::ZERO,
            kv_used: Tokens::ZERO,
            waiting_prefill: Tokens::ZERO,
            running: state.running,
            leaving: state.leaving,
        }
    }

    fn mark(&self, mut resp: Response) -> Response {
        if lock(&self.state).leaving {
            resp.insert_header(LEAVING, "1");
        }
        resp
    }
}

/// Counts a call as running until it ends, whichever way.
struct Running<'a>(&'a Shared);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.running = state.running.saturating_sub(1);
    }
}

fn new_incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(now.as_micros() as u64)
}
