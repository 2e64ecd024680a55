//! Keeps what an instance believes converging: configuration and endpoints.

mod configuration;
mod endpoints;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

pub use configuration::Follower as ConfigurationFollower;
pub use endpoints::Follower as EndpointsFollower;
use policy::{backoff::Backoff, freshness::Position};
use smol::Timer;

use crate::{
    freshness::{FreshnessTracker, Source},
    snapshot::{MAX_RELAYED, SnapshotClient, Transfer},
    source::SourceError,
};

/// Over this time instances ask for the same news. Little beside the time within which a change has to be
/// in force.
const NEWS_SPREAD: Duration = Duration::from_millis(60);

/// Whether a source is lost, and when it is tried again.
#[derive(Debug)]
struct Contact {
    source: Source,
    tracker: Arc<FreshnessTracker>,
    snapshots: SnapshotClient,
    is_lost: bool,
    backoff: Backoff,
    retry_at: Option<Instant>,
}

impl Contact {
    fn new(source: Source, tracker: Arc<FreshnessTracker>, snapshots: SnapshotClient) -> Contact {
        Contact {
            source,
            tracker,
            snapshots,
            is_lost: false,
            backoff: Backoff::default(),
            retry_at: None,
        }
    }

    fn failed(&mut self, e: &SourceError) {
        if !std::mem::replace(&mut self.is_lost, true) {
            log::warn!(source = self.source.as_str(), cause:% = e; "source_lost");
            self.tracker.set_lost(self.source, true);
        }
        let pause = self.backoff.failed(self.tracker.sharers(), &mut fastrand::Rng::new());
        self.retry_at = Some(Instant::now() + pause);
    }

    /// The source answered this instance, or one that reads before it.
    fn answered(&mut self) {
        self.backoff.reset();
        self.retry_at = None;
        if std::mem::replace(&mut self.is_lost, false) {
            log::info!(source = self.source.as_str(); "source_back");
            self.tracker.set_lost(self.source, false);
        }
    }

    /// Peers have news. The instance that reads before all others tries again at once; the others give it
    /// the time to read, and don't ask it all in the same moment.
    async fn hear_news(&mut self) {
        if !self.is_first() {
            Timer::after(NEWS_SPREAD.mul_f64(fastrand::f64())).await;
        } else if self.is_lost {
            self.retry_at = None;
        }
    }

    /// Logs a reading of the source, of which most are somebody else's to do.
    fn log_read(&self, position: Position, has_news: bool) {
        log::info!(source = self.source.as_str(), position = position.0, has_news,
            is_reader = self.is_first(); "source_read");
    }

    /// Whether no peer reads before this instance does.
    fn is_first(&self) -> bool {
        self.tracker.sharers() == 1
    }

    /// Whether it reads the source for others.
    fn is_reader(&self) -> bool {
        self.is_first() && !self.is_lost
    }

    /// What a peer has read beyond `after`; none where that comes to nothing.
    async fn transfer(&self, peer: SocketAddr, after: Position) -> Option<Transfer> {
        let max_bytes = if self.is_lost { usize::MAX } else { MAX_RELAYED };
        let source = self.source.as_str();
        match self.snapshots.take(peer, self.source, after, max_bytes).await {
            Ok(transfer) => {
                log::info!(source, peer:% = peer, after = after.0, position = transfer.position.0,
                    bytes = transfer.content.len(); "snapshot_taken");
                Some(transfer)
            }
            Err(e) => {
                log::info!(source, peer:% = peer, after = after.0, cause:% = e; "snapshot_not_taken");
                None
            }
        }
    }

    fn until_retry(&self) -> Duration {
        self.retry_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(Instant::now()))
    }
}
