//! Graceful shutdown: fails readiness probes, waits until the balancer has noticed, refuses new
//! requests and completes those in flight.

use std::{sync::Arc, time::Duration};

use smol::Timer;

use crate::shared::{Shared, Stage};

/// Begins a graceful shutdown; further calls have no effect. New requests are refused only after
/// `balancer_wait_ms`, so that the platform's balancer has time to notice.
pub fn begin(shared: &Arc<Shared>) {
    if shared.stage() != Stage::Serving {
        return;
    }
    shared.advance_to(Stage::Leaving);
    if let Some(mesh) = shared.mesh() {
        mesh.set_leaving();
    }
    log::info!(balancer_wait_ms = shared.settings.balancer_wait_ms; "leaving");
    let (instance, wait_ms) = (shared.clone(), shared.settings.balancer_wait_ms);
    shared.spawn(async move {
        Timer::after(Duration::from_millis(wait_ms)).await;
        instance.advance_to(Stage::Refusing);
        log::info!("refusing");
    });
}

/// Interval at which a shutdown checks whether requests, ledgers and connections are finished.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How often open connections are checked once no request is in flight. Idle connections are closed
/// after half a second, so only operators' own connections reach this limit.
const MAX_CONNECTION_POLLS: u32 = 50;

/// How long a shutdown waits until the ledgers are written to the log. It is longer than the
/// slowest append rate needs; it is bounded because the log may be down.
const LEDGER_FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Waits until the log has the responses of all calls that may not be repeated, or until
/// [`LEDGER_FLUSH_TIMEOUT`].
///
/// Guards against a planned shutdown that loses them: if the caller missed the response and repeats
/// the call, its outcome would stay unknown for ever.
pub async fn wait_for_ledgers(shared: &Shared) {
    let deadline = shared.clock.now() + LEDGER_FLUSH_TIMEOUT;
    let are_flushed =
        || shared.ledgers().is_none_or(|ledgers| ledgers.iter().all(|ledger| ledger.is_flushed()));
    while !are_flushed() && shared.clock.now() < deadline {
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Waits until new requests are refused, every request in flight has ended and idle connections are
/// closed. It ends in bounded time because every request has a deadline.
pub async fn wait_until_drained(shared: &Shared) {
    while shared.stage() != Stage::Refusing || shared.requests_in_flight() > 0 {
        Timer::after(POLL_INTERVAL).await;
    }
    for _ in 0..MAX_CONNECTION_POLLS {
        if shared.connections.is_empty() {
            return;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}
