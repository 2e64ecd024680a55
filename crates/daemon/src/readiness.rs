//! Tells in the log when an instance becomes ready, and what it waits for until then.
//!
//! Guards against a start that fails without a reason: an instance that isn't ready in time looks
//! the same whether it hears nothing of the log, of its peers or of an endpoint.

use std::{
    sync::Weak,
    time::{Duration, Instant},
};

use smol::Timer;

use crate::shared::{Shared, Unready};

/// Time between two looks.
const LOOK_PERIOD: Duration = Duration::from_millis(100);

/// When it is told first what the instance waits for; then each time after twice as long.
const FIRST_TOLD: Duration = Duration::from_secs(1);

/// Watches a start to its end.
pub(crate) async fn watch(shared: Weak<Shared>) {
    let started = Instant::now();
    let mut told_at = FIRST_TOLD;
    loop {
        let Some(unready) = shared.upgrade().map(|shared| shared.unready()) else { return };
        let since_ms = started.elapsed().as_millis() as u64;
        match unready {
            None => return log::info!(since_ms; "ready"),
            Some(Unready::Stopping) => return,
            Some(why) if started.elapsed() >= told_at => {
                log::warn!(since_ms, cause:% = why; "not_ready");
                told_at *= 2;
            }
            Some(_) => {}
        }
        Timer::after(LOOK_PERIOD).await;
    }
}
