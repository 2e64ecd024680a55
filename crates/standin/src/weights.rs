//! The weight store: models and versions by size, behind a rate limit.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use http_types::{Request, Response, StatusCode};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::http::{Handler, Host, Refused, Reply, json, lock};

/// What the store says about a model's version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightSize {
    /// Size in bytes.
    pub bytes: u64,
}

/// How a store is made.
#[derive(Debug, Clone, Default)]
pub struct WeightConfig {
    /// Sizes by `model/version`.
    pub sizes: IndexMap<String, u64>,
    /// The most answers in one window; no limit where zero.
    pub per_window: usize,
    /// The window of the limit.
    pub window: Duration,
}

/// A running stand-in weight store.
pub struct WeightStore {
    host: Host,
    shared: Arc<Shared>,
}

struct Shared {
    cfg: WeightConfig,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    answered: VecDeque<Instant>,
    served: u64,
    refused: u64,
    down: bool,
}

impl WeightStore {
    /// Starts a store on a free loopback port.
    pub fn start(cfg: WeightConfig) -> io::Result<WeightStore> {
        let shared = Arc::new(Shared { cfg, state: Mutex::new(State::default()) });
        let host = Host::start("weights")?;
        host.serve(shared.clone())?;
        Ok(WeightStore { host, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Refuses everything with 503, or stops doing so.
    pub fn set_down(&self, down: bool) {
        lock(&self.shared.state).down = down;
    }

    /// How many calls it answered with a size.
    pub fn served(&self) -> u64 {
        lock(&self.shared.state).served
    }

    /// How many calls went over its rate.
    pub fn refused(&self) -> u64 {
        lock(&self.shared.state).refused
    }

    /// Ends it.
    pub fn close(self) {
        self.host.close();
    }
}

impl Handler for Shared {
    async fn handle(&self, req: Request) -> Reply {
        let name = req.url().path().trim_start_matches("/weights/").to_owned();
        let mut state = lock(&self.state);
        if state.down {
            return Refused::new(StatusCode::ServiceUnavailable, "the store is down").into();
        }
        let now = Instant::now();
        while state.answered.front().is_some_and(|at| now - *at >= self.cfg.window) {
            state.answered.pop_front();
        }
        if self.cfg.per_window > 0 && state.answered.len() >= self.cfg.per_window {
            state.refused += 1;
            let refused = Refused::new(StatusCode::TooManyRequests, "over the store's rate");
            let mut resp = Response::from(refused);
            // Whole seconds are all that the header can say.
            let wait = self.cfg.window.as_secs().max(1);
            resp.insert_header("retry-after", wait.to_string());
            return resp.into();
        }
        state.answered.push_back(now);
        match self.cfg.sizes.get(&name) {
            Some(bytes) => {
                state.served += 1;
                json(&WeightSize { bytes: *bytes }).into()
            }
            None => Refused::new(StatusCode::NotFound, "no such model and version").into(),
        }
    }
}
