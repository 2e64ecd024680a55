//! Polls the changes of one engine's prefix cache; the events arrive late and with gaps.

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

/// Time between polls. The events are late anyway, and a cached prefix stays useful for minutes.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Position at which the next poll continues.
#[derive(Debug, Default)]
struct Cursor {
    incarnation: Incarnation,
    next: u64,
}

/// Polls until the endpoint or the instance is dropped.
pub(super) async fn run(shared: Weak<Shared>, endpoint: Weak<Endpoint>) {
    let mut cursor = Cursor::default();
    loop {
        let Some(known) = endpoint.upgrade() else { return };
        let page = known.engine().cache_events(cursor.next).await;
        let Some(shared) = shared.upgrade() else { return };
        // A failed poll loses nothing: the next one continues from the same position.
        if let Ok(page) = page {
            apply_page(&shared, &known, &mut cursor, page);
        }
        drop((shared, known));
        Timer::after(POLL_INTERVAL.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
    }
}

fn apply_page(shared: &Arc<Shared>, endpoint: &Endpoint, cursor: &mut Cursor, page: CachePage) {
    if page.incarnation != cursor.incarnation {
        // Sequence numbers restart with each incarnation, and the cursor belonged to another one.
        *cursor = Cursor { incarnation: page.incarnation, next: 0 };
        if page.next != 0 && page.events.first().is_none_or(|event| event.sequence > 0) {
            return;
        }
    }
    for run in split_at_gaps(&page.events) {
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

/// Splits events where their sequence has a gap: each part is contiguous, and the scheduler sees
/// the gap between two parts.
fn split_at_gaps(events: &[CacheEvent]) -> impl Iterator<Item = &[CacheEvent]> {
    events.chunk_by(|a, b| a.sequence.checked_add(1) == Some(b.sequence))
}
