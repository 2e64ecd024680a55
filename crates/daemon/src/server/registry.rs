//! All open connections, watched together.
//!
//! The failures: a caller that reads nothing keeps its connection and the answer's memory for
//! ever, and a stopping instance waits for a caller that keeps an idle connection. One look at all
//! connections every [`LOOK_PERIOD`] costs less than a timer for each, of which every one wakes
//! the thread that waits for sockets.

use std::{
    sync::{
        Arc, Mutex, Weak,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use indexmap::IndexMap;
use smol::Timer;

use crate::{
    endpoint::lock,
    server::connection::Connection,
    shared::{Shared, Stage},
};

/// How often connections are looked at. Deadlines of answers are kept exactly elsewhere; this
/// only cuts callers that don't read.
const LOOK_PERIOD: Duration = Duration::from_millis(100);

/// How long a stopping instance leaves a connection open on which no request is under way. The
/// other side may be sending one at this moment; it then hears that the instance is stopping.
const IDLE_GRACE: Duration = Duration::from_millis(500);

/// All open connections.
#[derive(Debug, Default)]
pub struct Registry {
    next: AtomicU64,
    open: Mutex<IndexMap<u64, Arc<Connection>>>,
}

/// An entry of the registry; dropping it ends it.
pub(super) struct Registered {
    shared: Arc<Shared>,
    key: u64,
}

impl Registry {
    /// How many connections are open.
    pub fn len(&self) -> usize {
        lock(&self.open).len()
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn cut_late(&self, shared: &Shared) {
        let now = shared.clock.now();
        let idle_since = match shared.stage() {
            Stage::Refusing => {
                Some(policy::Time(now.0.saturating_sub(IDLE_GRACE.as_micros() as u64)))
            }
            Stage::Serving | Stage::Leaving => None,
        };
        for conn in lock(&self.open).values() {
            conn.cut_if_late(now, idle_since);
        }
    }
}

/// Enters a connection.
pub(super) fn register(shared: &Arc<Shared>, conn: Arc<Connection>) -> Registered {
    let registry = &shared.connections;
    let key = registry.next.fetch_add(1, Ordering::Relaxed);
    lock(&registry.open).insert(key, conn);
    shared.metrics.connections.add(1, &[]);
    Registered { shared: shared.clone(), key }
}

impl Drop for Registered {
    fn drop(&mut self) {
        lock(&self.shared.connections.open).swap_remove(&self.key);
        self.shared.metrics.connections.add(-1, &[]);
    }
}

/// Looks at all connections until the instance is gone.
pub async fn watch(shared: Weak<Shared>) {
    loop {
        Timer::after(LOOK_PERIOD).await;
        let Some(shared) = shared.upgrade() else { return };
        shared.connections.cut_late(&shared);
    }
}
