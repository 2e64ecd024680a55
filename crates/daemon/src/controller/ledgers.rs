//! Tells the other instances how far the ledgers have been read here.
//!
//! Guards against a false "not run" from an instance that alone has lost the log: others go on
//! claiming calls that it knows nothing of. Once it hears that somebody has read further, it says
//! "unknown" of keys that it doesn't know.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use policy::Offset;
use smol::Timer;

use crate::{peer::Message, shared::Shared};

/// Time between two looks. An instance without the log is wrong for at most about this long, and
/// refuses calls only after twice as long.
const PERIOD: Duration = Duration::from_millis(200);
/// After how many looks an unchanged end is told all the same, for links that are new.
const REPEAT: u32 = 10;

/// Tells the ends for as long as the instance lives.
pub(super) async fn run(shared: Weak<Shared>) {
    let mut told = Vec::new();
    let mut looks = 0;
    loop {
        Timer::after(PERIOD).await;
        let Some(shared) = shared.upgrade() else { return };
        let Some(ledgers) = shared.ledgers() else { continue };
        let ends: Vec<u64> = ledgers.iter().map(|ledger| ledger.next_offset().0).collect();
        looks += 1;
        if ends == told && looks < REPEAT {
            continue;
        }
        looks = 0;
        told.clone_from(&ends);
        shared.broadcast(Message::LedgerRead(ends));
    }
}

/// Takes note of what another instance told.
pub(super) fn heard(shared: &Arc<Shared>, ends: &[u64]) {
    let Some(ledgers) = shared.ledgers() else { return };
    for (ledger, end) in ledgers.iter().zip(ends) {
        ledger.record_stream_end(Offset(*end));
    }
}
