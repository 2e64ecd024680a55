//! The platform's list of instances, which lags.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use http_types::{Request, StatusCode};
use protocols::instances::{ListPage, ListedInstance};

use crate::http::{Handler, Host, Refused, Reply, json, lock};

/// A running stand-in list.
pub struct ListService {
    host: Host,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared(Mutex<State>);

#[derive(Default)]
struct State {
    /// Every version of the list that may still be shown, oldest first.
    versions: VecDeque<Published>,
    lag: Duration,
    down: bool,
    /// The list as it was when it stopped following.
    frozen: Option<Vec<ListedInstance>>,
}

struct Published {
    at: Instant,
    instances: Vec<ListedInstance>,
}

impl ListService {
    /// Starts an empty list on a free loopback port; it shows changes `lag` late.
    pub fn start(lag: Duration) -> io::Result<ListService> {
        let shared = Arc::new(Shared(Mutex::new(State { lag, ..State::default() })));
        let host = Host::start("instances")?;
        host.serve(shared.clone())?;
        Ok(ListService { host, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Adds an instance or replaces the one of the same name.
    pub fn put(&self, listed: ListedInstance) {
        self.change(|list| {
            list.retain(|known| known.name != listed.name);
            list.push(listed);
        });
    }

    /// Takes an instance off the list.
    pub fn remove(&self, name: &str) {
        self.change(|list| list.retain(|known| known.name != name));
    }

    /// Refuses everything with 503, or stops doing so.
    pub fn set_down(&self, down: bool) {
        lock(&self.shared.0).down = down;
    }

    /// Stops following changes, or follows them again.
    pub fn set_frozen(&self, frozen: bool) {
        let mut state = lock(&self.shared.0);
        state.frozen = frozen.then(|| state.shown(Instant::now()));
    }

    /// Ends it.
    pub fn close(self) {
        self.host.close();
    }

    fn change(&self, change: impl FnOnce(&mut Vec<ListedInstance>)) {
        let mut state = lock(&self.shared.0);
        let mut instances = state.versions.back().map_or_else(Vec::new, |v| v.instances.clone());
        change(&mut instances);
        state.versions.push_back(Published { at: Instant::now(), instances });
    }
}

impl Handler for Shared {
    async fn handle(&self, req: Request) -> Reply {
        let mut state = lock(&self.0);
        if state.down {
            return Refused::new(StatusCode::ServiceUnavailable, "the list is down").into();
        }
        if req.url().path() != "/instances" {
            return Refused::new(StatusCode::NotFound, "no such call").into();
        }
        let shown = state.shown(Instant::now());
        let instances = state.frozen.clone().unwrap_or(shown);
        json(&ListPage { instances }).into()
    }
}

impl State {
    /// The newest version that is old enough to be shown.
    fn shown(&mut self, now: Instant) -> Vec<ListedInstance> {
        while self.versions.get(1).is_some_and(|next| next.at + self.lag <= now) {
            self.versions.pop_front();
        }
        let first = self.versions.front().filter(|version| version.at + self.lag <= now);
        first.map_or_else(Vec::new, |version| version.instances.clone())
    }
}
