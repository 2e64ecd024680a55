//! Tells in the log when an instance becomes ready, and what it waits for until then.
//!
//! Guards against a start that fails without a reason: an instance that isn't ready in time looks
//! the same whether it hears nothing of the log, of its peers or of an endpoint.

use std::{
    sync::Weak,
    time::{Duration, Instant},
};

use smol::Timer;

use crate::shared::{Shared, UnreadyReason};

/// Time between two looks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// When it is told first what the instance waits for; then each time after twice as long.
const FIRST_WARNING_AFTER: Duration = Duration::from_secs(1);

/// Watches a start to its end.
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
