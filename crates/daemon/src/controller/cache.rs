//! Follows the changes of one engine's prefix cache, which come late and with gaps.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use policy::{CacheEvents, Event, Incarnation};
use protocols::engine::{
    Engine,
    wire::{CacheEvent, CachePage},
};
use smol::Timer;

use crate::{endpoint::Endpoint, shared::Shared};

/// Time between two polls. Events are late anyway, and a prefix is worth something for minutes.
const PERIOD: Duration = Duration::from_secs(1);

/// Where the next poll goes on.
#[derive(Debug, Default)]
struct Cursor {
    incarnation: Incarnation,
    next: u64,
}

/// Polls until the endpoint or the instance is gone.
pub(super) async fn run(shared: Weak<Shared>, endpoint: Weak<Endpoint>) {
    let mut cursor = Cursor::default();
    loop {
        let Some(known) = endpoint.upgrade() else { return };
        let page = known.engine().cache_events(cursor.next).await;
        let Some(shared) = shared.upgrade() else { return };
        // A poll that fails loses nothing: the next one asks from the same place.
        if let Ok(page) = page {
            take(&shared, &known, &mut cursor, page);
        }
        drop((shared, known));
        Timer::after(PERIOD.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
    }
}

fn take(shared: &Arc<Shared>, endpoint: &Endpoint, cursor: &mut Cursor, page: CachePage) {
    if page.incarnation != cursor.incarnation {
        // Numbers begin anew with each life, and the cursor belonged to another.
        *cursor = Cursor { incarnation: page.incarnation, next: 0 };
        if page.next != 0 && page.events.first().is_none_or(|event| event.sequence > 0) {
            return;
        }
    }
    for run in runs(&page.events) {
        let events = CacheEvents {
            endpoint: endpoint.config.id.clone(),
            incarnation: page.incarnation,
            from: run[0].sequence,
            events: run.iter().map(|event| (event.block, event.stored)).collect(),
        };
        shared.notify_schedulers(endpoint, &Event::Cache(events));
    }
    cursor.next = page.next;
}

/// Splits events where their sequence has a gap, so that each part is without one and the
/// scheduler sees the gap between two parts.
fn runs(events: &[CacheEvent]) -> impl Iterator<Item = &[CacheEvent]> {
    events.chunk_by(|a, b| a.sequence.checked_add(1) == Some(b.sequence))
}
