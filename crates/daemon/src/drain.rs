//! The graceful stop: not ready, wait out the balancer, refuse what is new, finish the rest.

use std::{sync::Arc, time::Duration};

use smol::Timer;

use crate::shared::{Shared, Stage};

/// Begins a stop; a second call changes nothing. The instance refuses new requests once the
/// platform's balancer has had time to notice.
pub fn begin(shared: &Arc<Shared>) {
    if shared.stage() != Stage::Serving {
        return;
    }
    shared.advance_to(Stage::Leaving);
    if let Some(mesh) = shared.mesh() {
        mesh.set_leaving();
    }
    log::info!(balancer_wait_ms = shared.settings.balancer_wait_ms; "leaving");
    let (state, wait) = (shared.clone(), shared.settings.balancer_wait_ms);
    shared.spawn(async move {
        Timer::after(Duration::from_millis(wait)).await;
        state.advance_to(Stage::Refusing);
        log::info!("refusing");
    });
}

/// Time between two looks at what is still under way.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// Looks at what is still connected once nothing is under way. Idle connections are closed after
/// half a second, so this is only reached by operators' own.
const CONNECTION_LOOKS: u32 = 50;

/// How long a stop waits for the log to take the last answers of calls that may not be repeated.
/// Longer than the slowest pace of appends, and no longer, because the log may be down.
const LEDGER_PATIENCE: Duration = Duration::from_secs(2);

/// Waits until the log has the answers of all calls that may not be repeated.
///
/// Guards against a planned stop that forgets them: a call whose answer its caller missed would
/// be of unknown outcome for ever when it is sent again.
pub async fn ledgers_written(shared: &Shared) {
    let end = shared.clock.now() + LEDGER_PATIENCE;
    let written =
        || shared.ledgers().is_none_or(|ledgers| ledgers.iter().all(|ledger| ledger.is_flushed()));
    while !written() && shared.clock.now() < end {
        Timer::after(LOOK_PERIOD).await;
    }
}

/// Waits until new requests are refused, every request under way has ended and idle connections
/// are closed. Each request has a deadline, and so has this.
pub async fn finished(shared: &Shared) {
    while shared.stage() != Stage::Refusing || shared.requests_in_flight() > 0 {
        Timer::after(LOOK_PERIOD).await;
    }
    for _ in 0..CONNECTION_LOOKS {
        if shared.connections.is_empty() {
            return;
        }
        Timer::after(LOOK_PERIOD).await;
    }
}
