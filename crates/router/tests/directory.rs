//! Instances that start together and know nobody yet.

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

/// A directory that turns everybody away.
struct Busy {
    calls: Arc<AtomicUsize>,
    registers: bool,
}

impl Busy {
    fn call(&self) -> SourceError {
        self.calls.fetch_add(1, Ordering::Relaxed);
        SourceError::Busy(429)
    }
}

impl PeerDirectory for Busy {
    async fn register(&mut self, _: &PeerEntry) -> Result<(), SourceError> {
        if self.registers { Ok(()) } else { Err(self.call()) }
    }

    async fn list(&mut self) -> Result<Vec<PeerEntry>, SourceError> {
        Err(self.call())
    }
}

/// Guards against instances that all start at once and keep the directory too busy to serve any of them:
/// before they have heard of one another, none can know with how many it shares the retries.
#[test]
fn a_busy_directory_is_tried_twice_a_second() {
    for registers in [false, true] {
        let calls = Arc::new(AtomicUsize::new(0));
        let directory = Busy { calls: calls.clone(), registers };
        let me =
            PeerEntry { instance: "entry-1".parse().unwrap(), address: ([127, 0, 0, 1], 1).into() };
        let (tx, _rx) = unbounded();
        let stop = async {
            Timer::after(Duration::from_millis(2_200)).await;
        };
        smol::block_on(follow_directory(directory, me, tx).or(stop));
        let calls = calls.load(Ordering::Relaxed);
        assert!((2..=5).contains(&calls), "{calls} calls in 2.2 s");
    }
}
