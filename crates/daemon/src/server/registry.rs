//! The registry of open connections, with a periodic check that closes overdue ones.
//!
//! Guards against a caller that doesn't read, which would keep its connection and the response's
//! memory for ever, and against a shutdown that waits for idle connections. One check of all
//! connections every [`CHECK_INTERVAL`] costs less than a timer for each: every timer wakes the
//! thread that polls the sockets.

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

/// Interval between two checks of all connections. It may be coarse, because the deadlines of
/// responses are enforced elsewhere; this only closes the connections of callers that don't read.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long an idle connection stays open once the instance refuses requests. The caller may just
/// be sending a request, and then gets the response that the instance is shutting down.
const IDLE_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// The open connections of callers and operators.
#[derive(Debug, Default)]
pub struct Registry {
    next_key: AtomicU64,
    connections_by_key: Mutex<IndexMap<u64, Arc<Connection>>>,
}

/// Keeps a connection in the registry until it is dropped.
pub(super) struct Registration {
    shared: Arc<Shared>,
    key: u64,
    _admitted: router::resources::Registration,
}

impl Registry {
    /// The number of open connections.
    pub fn len(&self) -> usize {
        lock(&self.connections_by_key).len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn cut_overdue(&self, shared: &Shared) {
        let now = shared.clock.now();
        let idle_since = match shared.stage() {
            Stage::Refusing => {
                Some(policy::Time(now.0.saturating_sub(IDLE_GRACE_PERIOD.as_micros() as u64)))
            }
            Stage::Serving | Stage::Leaving => None,
        };
        for conn in lock(&self.connections_by_key).values() {
            conn.cut_if_overdue(now, idle_since);
        }
    }
}

/// Adds a connection to the registry until the returned value is dropped.
pub(super) fn register(
    shared: &Arc<Shared>,
    conn: Arc<Connection>,
    admitted: router::resources::Registration,
) -> Registration {
    let registry = &shared.connections;
    let key = registry.next_key.fetch_add(1, Ordering::Relaxed);
    lock(&registry.connections_by_key).insert(key, conn);
    shared.metrics.connections.add(1, &[]);
    Registration { shared: shared.clone(), key, _admitted: admitted }
}

impl Drop for Registration {
    fn drop(&mut self) {
        lock(&self.shared.connections.connections_by_key).swap_remove(&self.key);
        self.shared.metrics.connections.add(-1, &[]);
    }
}

/// Periodically closes overdue connections, until the instance is dropped.
pub async fn watch(shared: Weak<Shared>) {
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        shared.connections.cut_overdue(&shared);
    }
}
