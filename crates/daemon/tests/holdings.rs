//! The tracking of abandoned memory until its release is confirmed.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use daemon::{
    controller::RESERVATION_LEASE,
    holdings::{Holdings, MAX_ABANDONED_IDS},
};
use policy::{Incarnation, Tokens};
use protocols::engine::wire::{Held, HeldKind, HeldPage};

fn listing(ids: &[&str]) -> HeldPage {
    let held = |id: &&str| Held {
        id: (*id).to_owned(),
        kind: HeldKind::Stream,
        owner: "entry-1/7".parse().unwrap(),
        tokens: Tokens(1),
        expires_ms: None,
        offset: None,
    };
    HeldPage { incarnation: Incarnation(1), held: ids.iter().map(held).collect(), next: None }
}

/// Holds `kept` and `left`, and abandons the second.
fn one_abandoned(now: Instant) -> Holdings {
    let mut holdings = Holdings::default();
    holdings.insert("kept".to_owned(), HeldKind::Reservation);
    holdings.insert("left".to_owned(), HeldKind::Reservation);
    holdings.abandon("left", now);
    holdings
}

/// Checks which ids are still tracked as abandoned after the events of each case.
macro_rules! tracks_abandoned {
    ($($(#[$line:meta])* $case:ident($holdings:ident, $now:ident) $body:block => $abandoned:expr;)*) => {$(
        $(#[$line])*
        #[test]
        fn $case() {
            let $now = Instant::now();
            let mut $holdings = one_abandoned($now);
            $body
            assert_eq!($holdings.abandoned(), $abandoned as [&str; _]);
        }
    )*};
}

tracks_abandoned! {
    /// Guards against memory that is leaked because the first release failed.
    until_the_engine_shows_that_it_is_gone(holdings, now) {
        holdings.record_listing(&listing(&["kept", "left"]), now + Duration::from_secs(1));
        holdings.expire(now + 100 * RESERVATION_LEASE);
    } => ["left"];
    /// Guards against ids that accumulate after their release is confirmed.
    no_longer_than_that(holdings, now) {
        holdings.record_listing(&listing(&["kept"]), now + Duration::from_secs(1));
    } => [];
    /// Guards against a listing that was requested before the memory was abandoned.
    beyond_an_older_listing(holdings, now) {
        holdings.record_listing(&listing(&[]), now);
    } => ["left"];
    /// Guards against a release that reaches the engine before the run that allocates the memory.
    beyond_its_release(holdings, now) {
        holdings.record_release(&["left".to_owned()]);
        holdings.expire(now + RESERVATION_LEASE);
    } => ["left"];
    /// Guards against ids that accumulate while no listing can be read.
    released_only_as_long_as_its_lease(holdings, now) {
        holdings.record_release(&["left".to_owned()]);
        holdings.expire(now + 2 * RESERVATION_LEASE);
    } => [];
}

/// Guards against renewals that keep abandoned memory and abandoned streams alive.
#[test]
fn only_wanted_reservations_are_renewed() {
    let mut holdings = one_abandoned(Instant::now());
    holdings.insert("stream".to_owned(), HeldKind::Stream);
    assert_eq!(holdings.ids_to_renew(), ["kept"]);
}

/// Guards against unbounded memory use of the instance while an engine can't be reached.
#[test]
fn what_is_remembered_is_bounded() {
    let (mut holdings, now) = (Holdings::default(), Instant::now());
    for number in 0..MAX_ABANDONED_IDS + 10 {
        holdings.insert(number.to_string(), HeldKind::Stream);
        holdings.abandon(&number.to_string(), now);
    }
    assert_eq!(holdings.abandoned().len(), MAX_ABANDONED_IDS);
    assert_eq!(holdings.abandoned()[0], "10");
}
