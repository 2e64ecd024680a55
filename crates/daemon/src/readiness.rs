//! Logs when an instance becomes ready, and what it waits for until then.
//!
//! Guards against starts that fail without a visible reason: an instance that isn't ready in time
//! looks the same whether the log, its peers or an endpoint doesn't answer.

use std::{
    sync::Weak,
    time::{Duration, Instant},
};

use smol::Timer;

use crate::shared::{Shared, UnreadyReason};

/// Interval between two readiness checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time after the start of the first `not_ready` warning; it doubles with each further one.
const FIRST_WARNING_AFTER: Duration = Duration::from_secs(1);

/// Runs until the instance is ready or stops.
pub(crate) async fn watch(shared: Weak<Shared>) {
    let started = Instant::now();
    let mut next_warning_after = FIRST_WARNING_AFTER;
    loop {
        let Some(unready_reason) = shared.upgrade().map(|shared| shared.unready_reason()) else {
            return;
        };
        let since_ms = started.elapsed().as_millis() as u64;
        match unready_reason {
            None => return log::info!(since_ms; "ready"),
            Some(UnreadyReason::Stopping) => return,
            Some(reason) if started.elapsed() >= next_warning_after => {
                log::warn!(since_ms, cause:% = reason; "not_ready");
                next_warning_after *= 2;
            }
            Some(_) => {}
        }
        Timer::after(CHECK_INTERVAL).await;
    }
}
