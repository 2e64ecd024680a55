//! The directory, in which instances find each other where seeds don't help.
//!
//! **Load pattern.** All instances of a fleet start within a third of a second.
//!
//! **Without it.** Every instance writes to the directory and lists it. A call that times out may
//! still be queued; repeated at fixed intervals by everyone, such calls keep the queue full for
//! good.
//!
//! **Rule.** An instance that reaches its peers through its seeds leaves the directory alone, unless
//! it is a reader of the log: so a few instances can be found there by those whose seeds are all
//! gone. Failed calls are repeated after a back-off that doubles, because nobody knows yet how many
//! others call.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use policy::backoff::DirectoryBackoff;
use smol::{Timer, channel::Sender};

use crate::{
    freshness::FreshnessTracker,
    source::{PeerDirectory, PeerEntry, SourceError},
};

/// Time between two listings. Listings only find instances that gossip has lost.
const LIST_INTERVAL: Duration = Duration::from_secs(45);

/// How long after its start an instance waits for its seeds to answer.
const SEED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval at which an instance checks whether it has to use the directory.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Uses the directory where that is needed, until it is dropped.
pub async fn follow_directory(
    mut directory: impl PeerDirectory,
    own_entry: PeerEntry,
    tracker: Arc<FreshnessTracker>,
    listed: Sender<Vec<SocketAddr>>,
) {
    let has_seeds = tracker.has_seeds();
    if has_seeds {
        Timer::after(SEED_TIMEOUT).await;
    }
    let mut backoff = DirectoryBackoff::default();
    let mut is_registered = false;
    loop {
        if has_seeds && tracker.has_peers() && !tracker.is_first_reader() {
            Timer::after(CHECK_INTERVAL).await;
            continue;
        }
        match register_and_list(&mut directory, &own_entry, &mut is_registered).await {
            Ok(addresses) => {
                backoff = DirectoryBackoff::default();
                if listed.send(addresses).await.is_err() {
                    return;
                }
                Timer::after(LIST_INTERVAL).await;
            }
            Err(e) => {
                log::warn!(is_registered, cause:% = e; "directory_failed");
                Timer::after(backoff.record_failure(&mut fastrand::Rng::new())).await;
            }
        }
    }
}

async fn register_and_list(
    directory: &mut impl PeerDirectory,
    own_entry: &PeerEntry,
    is_registered: &mut bool,
) -> Result<Vec<SocketAddr>, SourceError> {
    if !*is_registered {
        directory.register(own_entry).await?;
        *is_registered = true;
    }
    let entries = directory.list().await?;
    let others = entries.into_iter().filter(|entry| entry.instance != own_entry.instance);
    Ok(others.map(|entry| entry.address).collect())
}
