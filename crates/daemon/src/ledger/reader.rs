//! Reads the ledger stream continuously and applies its pages.

use std::time::Duration;

use protocols::log::Log;
use smol::Timer;

use super::{Core, wake_all};
use crate::endpoint::lock;

/// Limit on the records of one read, which keeps a page of large answers below the client's limit
/// of 16 MB.
const MAX_PAGE_RECORDS: usize = 200;
/// How long a read waits for a record. A connection that went silent is detected one second later,
/// which must be well within a caller's deadline.
const LONG_POLL_WAIT: Duration = Duration::from_millis(500);
/// Delay between reads while the log is unavailable.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(100);

pub(super) async fn run<L: Log>(core: &Core<L>) {
    loop {
        let (from, at_end) = {
            let state = lock(&core.state);
            (state.next_offset(), state.reached_end())
        };
        // The first reads must find the end of the stream without waiting.
        let wait = if at_end { LONG_POLL_WAIT } else { Duration::ZERO };
        match core.log.read(&core.cfg.stream, from, MAX_PAGE_RECORDS, wait).await {
            Ok(page) => {
                let waiters = lock(&core.state).apply_page(&page);
                wake_all(&waiters);
            }
            Err(e) => {
                let waiters = lock(&core.state).read_failed(core.clock.now());
                wake_all(&waiters);
                log::debug!(stream = core.cfg.stream.as_str(), error:% = e; "ledger_read_failed");
                Timer::after(READ_RETRY_INTERVAL).await;
            }
        }
    }
}
