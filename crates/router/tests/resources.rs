//! Bounds on what callers can make an instance hold.

#![allow(clippy::unwrap_used)]

use std::{sync::Arc, thread, time::Duration};

use router::resources::{Exhausted, Permit, Registration, ResourceLimits, Resources};
use smol::block_on;

/// Half of it is for buffers, three quarters of these for large requests.
const MEMORY: usize = 8 << 20;
const LARGE_SHARE: usize = 3 << 20;

const MANY_CONNECTIONS: usize = 100;

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

fn limits() -> ResourceLimits {
    ResourceLimits { memory: MEMORY, open_files: 10_000, max_connections: MANY_CONNECTIONS }
}

fn resources() -> Arc<Resources> {
    Resources::new(limits())
}

fn open(resources: &Arc<Resources>) -> Registration {
    block_on(resources.admit(MANY_CONNECTIONS)).unwrap()
}

/// A connection whose request is being served.
fn served(resources: &Arc<Resources>) -> Registration {
    let registration = open(resources);
    assert!(registration.holder().begin_service());
    registration
}

fn grow(registration: &Registration, bytes: usize) -> Result<Permit, Exhausted> {
    let mut permit = registration.holder().permit();
    block_on(permit.grow(bytes)).map(|()| permit)
}

/// Lets time pass, so that moments differ.
fn later() {
    thread::sleep(Duration::from_millis(5));
}

/// Drops a connection's permit as soon as the connection has to be closed.
fn closes_when_evicted(registration: Registration, permit: Permit) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        block_on(registration.holder().evicted());
        drop((permit, registration));
    })
}

cases! {
    /// Guards against bounds that don't follow from the machine.
    connections_follow_from_the_machine => || {
        let limits = ResourceLimits { memory: 160 << 20, open_files: 6_300, max_connections: 20_000 };
        assert_eq!(limits.connections(16 << 10), 1_280);
        // The rest of a longer head needs room in the buffers.
        assert_eq!(limits.connections(64 << 10), 512);
        assert_eq!(limits.connections(usize::MAX), 512);
        let limits = ResourceLimits { memory: 1 << 30, ..limits };
        assert_eq!(limits.connections(16 << 10), 3_022);
        assert_eq!(limits.buffered_bytes(), 512 << 20);
        assert_eq!(ResourceLimits { max_connections: 7, ..limits }.connections(16 << 10), 7);
        assert_eq!(ResourceLimits { open_files: 0, ..limits }.connections(usize::MAX), 1);
    };

    /// Guards against a new caller who is refused because idle connections take up all room.
    the_longest_idle_connection_is_closed => || {
        let resources = resources();
        let (first, second) = (open(&resources), { later(); open(&resources) });
        first.holder().await_caller();
        let admitted = thread::spawn({
            let resources = resources.clone();
            move || block_on(resources.admit(2)).is_some()
        });
        block_on(second.holder().evicted());
        assert!(!first.holder().is_evicted());
        drop(second);
        assert!(admitted.join().unwrap());
        assert_eq!(resources.usage().totals.evicted_for_connections, 1);
    };

    /// Guards against a request that is cut off for a new connection while it is being served.
    served_connections_stay_open => || {
        let resources = resources();
        let open = [served(&resources), served(&resources)];
        assert!(block_on(resources.admit(2)).is_none());
        assert!(open.iter().all(|open| !open.holder().is_evicted()));
        assert_eq!(resources.usage().totals.refused_connections, 1);
    };

    /// Guards against a request that is served although its connection is being closed.
    a_request_of_an_evicted_connection_is_not_served => || {
        let resources = resources();
        let open = open(&resources);
        assert!(block_on(resources.admit(1)).is_none(), "the connection isn't closed in time");
        assert!(open.holder().is_evicted());
        assert!(!open.holder().begin_service());
        assert!(open.holder().awaits_caller());
    };

    /// Guards against permits that are counted twice or not returned.
    permits_are_returned => || {
        let resources = resources();
        let connection = open(&resources);
        let mut permit = grow(&connection, 1_000).unwrap();
        block_on(permit.grow(500)).unwrap();
        assert_eq!(resources.usage().buffered_bytes, 1_500);
        permit.shrink_to(200);
        assert_eq!(resources.usage().buffered_bytes, 200);
        drop(permit);
        assert_eq!(resources.usage().buffered_bytes, 0);
        drop(connection);
        assert_eq!(resources.usage().connections, 0);
    };

    /// Guards against large requests in service that leave no room for small ones.
    room_is_kept_for_small_requests => || {
        let resources = resources();
        let (large, small) = (served(&resources), served(&resources));
        let permit = grow(&large, LARGE_SHARE).unwrap();
        assert_eq!(grow(&large, 1).unwrap_err(), Exhausted);
        assert!(grow(&small, 16 << 10).is_ok());
        drop(permit);
        assert!(grow(&large, LARGE_SHARE).is_ok());
    };

    /// Guards against bodies that stop short of their end and keep others out.
    the_body_without_progress_is_given_up => || {
        let resources = resources();
        let (stalled, moving, new) = (open(&resources), open(&resources), open(&resources));
        let half = LARGE_SHARE / 2;
        let permits = [grow(&stalled, half).unwrap(), grow(&moving, half).unwrap()];
        later();
        moving.holder().record_received(64 << 10);
        let [stalled_permit, _moving_permit] = permits;
        let closing = closes_when_evicted(stalled, stalled_permit);
        assert!(grow(&new, half).is_ok());
        closing.join().unwrap();
        assert!(!moving.holder().is_evicted());
        assert_eq!(resources.usage().totals.evicted_for_memory, 1);
    };

    /// Guards against a client that keeps its body alive with a few bytes from time to time.
    a_few_bytes_are_no_progress => || {
        let resources = resources();
        let (trickling, fresh) = (open(&resources), { later(); open(&resources) });
        let permits = [&trickling, &fresh].map(|open| grow(open, LARGE_SHARE / 2).unwrap());
        later();
        trickling.holder().record_received(100);
        let [trickling_permit, _fresh_permit] = permits;
        let closing = closes_when_evicted(trickling, trickling_permit);
        assert!(grow(&open(&resources), 100_000).is_ok());
        closing.join().unwrap();
        assert!(!fresh.holder().is_evicted());
    };

    /// Guards against answers that nobody reads and that keep others out.
    an_answer_that_is_not_read_is_given_up => || {
        let resources = resources();
        let (unread, new) = (served(&resources), served(&resources));
        let permit = grow(&unread, LARGE_SHARE).unwrap();
        assert!(grow(&new, 100_000).is_err(), "the answer is being sent");
        unread.holder().record_sent(None);
        let closing = closes_when_evicted(unread, permit);
        assert!(grow(&new, 100_000).is_ok());
        closing.join().unwrap();
    };

    /// Guards against a connection that is closed for memory although it holds none.
    connections_that_hold_nothing_stay_open => || {
        let resources = resources();
        let (idle, large) = (open(&resources), served(&resources));
        let _permit = grow(&large, LARGE_SHARE).unwrap();
        assert_eq!(grow(&large, 1).unwrap_err(), Exhausted);
        assert!(!idle.holder().is_evicted());
    };
}
