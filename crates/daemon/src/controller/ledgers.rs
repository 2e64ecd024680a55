//! Announces to the other instances how far this one has read the ledgers.
//!
//! Guards against a wrong "not run" from an instance that alone has lost the log, while others keep
//! claiming calls that it doesn't know of. Once it learns that another instance has read further,
//! it answers "unknown" for unknown keys.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use policy::Offset;
use smol::Timer;

use crate::{peer::Message, shared::Shared};

/// Time between checks of the offsets. An instance without the log gives wrong answers for at most
/// about this long, and refuses calls only after twice as long.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Checks after which unchanged offsets are sent again, for links that are new.
const RESEND_AFTER_CHECKS: u32 = 10;

/// Announces the offsets until the instance is dropped.
pub(super) async fn run(shared: Weak<Shared>) {
    let mut last_sent = Vec::new();
    let mut checks = 0;
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let Some(ledgers) = shared.ledgers() else { continue };
        let ends: Vec<u64> = ledgers.iter().map(|ledger| ledger.next_offset().0).collect();
        checks += 1;
        if ends == last_sent && checks < RESEND_AFTER_CHECKS {
            continue;
        }
        checks = 0;
        last_sent.clone_from(&ends);
        shared.broadcast(Message::LedgerRead(ends));
    }
}

/// Applies the offsets that another instance announced.
pub(super) fn apply_stream_ends(shared: &Arc<Shared>, ends: &[u64]) {
    let Some(ledgers) = shared.ledgers() else { return };
    for (ledger, end) in ledgers.iter().zip(ends) {
        ledger.record_stream_end(Offset(*end));
    }
}
