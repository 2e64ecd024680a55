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

/// Guards against overload of the directory by instances that all start at once: until they know
/// each other, none of them can tell how many share the retries.
#[test]
fn a_busy_directory_is_tried_twice_a_second() {
    for accepts_registration in [false, true] {
        let calls = Arc::new(AtomicUsize::new(0));
        let directory = BusyDirectory { calls: calls.clone(), accepts_registration };
        let own_entry =
            PeerEntry { instance: "entry-1".parse().unwrap(), address: ([127, 0, 0, 1], 1).into() };
        let (entries_tx, _entries_rx) = unbounded();
        let stop = async {
            Timer::after(Duration::from_millis(2_200)).await;
        };
        smol::block_on(follow_directory(directory, own_entry, entries_tx).or(stop));
        let calls = calls.load(Ordering::Relaxed);
        assert!((2..=5).contains(&calls), "{calls} calls in 2.2 s");
    }
}
