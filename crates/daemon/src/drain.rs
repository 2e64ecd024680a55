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
    shared.enter(Stage::Leaving);
    log::info!(balancer_wait_ms = shared.settings.balancer_wait_ms; "leaving");
    let (state, wait) = (shared.clone(), shared.settings.balancer_wait_ms);
    shared.spawn(async move {
        Timer::after(Duration::from_millis(wait)).await;
        state.enter(Stage::Refusing);
        log::info!("refusing");
    });
}

/// Time between two looks at what is still under way.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// Waits until new requests are refused and every request under way has ended. Each of them has a
/// deadline, and so has this.
pub async fn finished(shared: &Shared) {
    while shared.stage() != Stage::Refusing || shared.requests_under_way() > 0 {
        Timer::after(LOOK_PERIOD).await;
    }
}
