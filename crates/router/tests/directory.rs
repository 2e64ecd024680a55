//! Instances that start together and don't know any peer yet.

#![allow(clippy::unwrap_used)]

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use router::{
    freshness::FreshnessTracker,
    links::follow_directory,
    source::{PeerDirectory, PeerEntry, SourceError},
};
use smol::{Timer, channel::unbounded, future::FutureExt};

/// A directory that refuses all listings, and all registrations unless it accepts them.
struct BusyDirectory {
    calls: Arc<AtomicUsize>,
    accepts_registration: bool,
}

impl BusyDirectory {
    fn refuse(&self) -> SourceError {
        self.calls.fetch_add(1, Ordering::Relaxed);
        SourceError::Busy(429)
    }
}

impl PeerDirectory for BusyDirectory {
    async fn register(&mut self, _: &PeerEntry) -> Result<(), SourceError> {
        if self.accepts_registration { Ok(()) } else { Err(self.refuse()) }
    }

    async fn list(&mut self) -> Result<Vec<PeerEntry>, SourceError> {
        Err(self.refuse())
    }
}

/// Calls within 2.2 s of an instance that knows `live_peers`.
fn calls(accepts_registration: bool, has_seeds: bool, live_peers: usize) -> usize {
    let calls = Arc::new(AtomicUsize::new(0));
    let directory = BusyDirectory { calls: calls.clone(), accepts_registration };
    let own_entry =
        PeerEntry { instance: "entry-1".parse().unwrap(), address: ([127, 0, 0, 1], 1).into() };
    let (entries_tx, _entries_rx) = unbounded();
    let (tracker, _queries) = FreshnessTracker::new(has_seeds);
    if live_peers > 0 {
        tracker.record_membership(live_peers, 1 + live_peers);
    }
    let following = follow_directory(directory, own_entry, Arc::new(tracker), entries_tx);
    let stop = async {
        Timer::after(Duration::from_millis(2_200)).await;
    };
    smol::block_on(following.or(stop));
    calls.load(Ordering::Relaxed)
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

cases! {
    /// Guards against overload of the directory by instances that all start at once: until they
    /// know each other, none of them can tell how many share the retries.
    a_busy_directory_is_tried_twice_a_second => || {
        for accepts_registration in [false, true] {
            let calls = calls(accepts_registration, false, 0);
            assert!((2..=5).contains(&calls), "{calls} calls in 2.2 s");
        }
    };

    /// Guards against a call of every instance at its start where seeds have brought its peers.
    who_has_peers_leaves_the_directory_alone => || assert_eq!(calls(true, true, 900), 0);

    /// Guards against an instance that finds nobody because all its seeds are gone.
    who_has_none_uses_the_directory => || assert!(calls(true, true, 0) > 0);
}
