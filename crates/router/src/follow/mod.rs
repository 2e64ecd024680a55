//! Keeps an instance's configuration and endpoint registrations up to date.

mod configuration;
mod endpoints;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

pub use configuration::Follower as ConfigurationFollower;
pub use endpoints::Follower as EndpointsFollower;
use policy::{backoff::Backoff, first_read::StartView, freshness::Position};
use smol::Timer;

use crate::{
    freshness::{FreshnessTracker, QueryTarget, ReceivedReply, Source},
    snapshot::{MAX_RELAYED_BYTES, SnapshotClient, Transfer, TransferError},
    source::SourceError,
};

/// Upper bound of the random delay with which instances react to an announced update, so that they
/// don't all query the reader at once. Short compared to the time within which a change has to be
/// in force.
const MAX_UPDATE_DELAY: Duration = Duration::from_millis(60);

/// Attempts to fetch a snapshot from peers that are busy, until it is read from the log instead.
const MAX_TRANSFER_ATTEMPTS: u32 = 12;

/// Average pause after a refusal by a busy peer: about the time of a few transfers.
const BUSY_PEER_PAUSE: Duration = Duration::from_millis(50);

/// Interval of queries to peers while an instance that starts waits for them.
const START_QUERY_INTERVAL: Duration = Duration::from_millis(40);

/// Access to one source: whether it can be reached, when it is retried, and snapshots of it from
/// peers.
#[derive(Debug, Clone)]
struct SourceAccess {
    source: Source,
    tracker: Arc<FreshnessTracker>,
    snapshots: SnapshotClient,
    is_unreachable: bool,
    backoff: Backoff,
    retry_at: Option<Instant>,
    started_at: Instant,
}

impl SourceAccess {
    fn new(
        source: Source,
        tracker: Arc<FreshnessTracker>,
        snapshots: SnapshotClient,
    ) -> SourceAccess {
        SourceAccess {
            source,
            tracker,
            snapshots,
            is_unreachable: false,
            backoff: Backoff::default(),
            retry_at: None,
            started_at: Instant::now(),
        }
    }

    /// Forgets an outage that a follower recorded before it ended by a panic.
    fn begin(&self) {
        self.tracker.set_unreachable(self.source, false);
    }

    fn record_failure(&mut self, e: &SourceError) {
        if !std::mem::replace(&mut self.is_unreachable, true) {
            log::warn!(source = self.source.as_str(), cause:% = e; "source_lost");
            self.tracker.set_unreachable(self.source, true);
        }
        let pause =
            self.backoff.record_failure(self.tracker.retry_group_size(), &mut fastrand::Rng::new());
        self.retry_at = Some(Instant::now() + pause);
    }

    /// Resets the back-off after this instance, or a peer that reads before it, has read the
    /// source.
    fn record_success(&mut self) {
        self.backoff.reset();
        self.retry_at = None;
        if std::mem::replace(&mut self.is_unreachable, false) {
            log::info!(source = self.source.as_str(); "source_back");
            self.tracker.set_unreachable(self.source, false);
        }
    }

    /// Reacts to an update that a peer announced. The first reader retries an unreachable source at
    /// once; the others wait a random time, so that the first reader can read the update and their
    /// queries are spread.
    async fn react_to_announcement(&mut self) {
        if !self.is_first_reader() {
            Timer::after(MAX_UPDATE_DELAY.mul_f64(fastrand::f64())).await;
        } else if self.is_unreachable {
            self.retry_at = None;
        }
    }

    /// Logs one read of the source. Instances other than the first reader rarely read it
    /// themselves.
    fn log_read(&self, position: Position, has_changes: bool) {
        log::info!(source = self.source.as_str(), position = position.0, has_news = has_changes,
            is_reader = self.is_first_reader(); "source_read");
    }

    /// Whether no peer reads before this instance.
    fn is_first_reader(&self) -> bool {
        self.tracker.is_first_reader()
    }

    /// Whether this instance reads the source for its peers.
    fn is_active_reader(&self) -> bool {
        self.is_first_reader() && !self.is_unreachable
    }

    /// Fetches a snapshot of what `peer` has read beyond `after`; none where the transfer fails.
    ///
    /// **Load pattern.** A new version reaches hundreds of instances at once, all of which know it
    /// from the same reader.
    ///
    /// **Rule.** A peer that sends to others already refuses. Then the instance takes the snapshot
    /// from a neighbour that has it by now, so that every instance that has it passes it on, and
    /// the time grows with the logarithm of their number.
    async fn fetch_snapshot(&self, peer: SocketAddr, after: Position) -> Option<Transfer> {
        let max_bytes = if self.is_unreachable { usize::MAX } else { MAX_RELAYED_BYTES };
        let source = self.source.as_str();
        let mut peer = peer;
        for attempt in 1..=MAX_TRANSFER_ATTEMPTS {
            match self.snapshots.fetch(peer, self.source, after, max_bytes).await {
                Ok(transfer) => {
                    log::info!(source, peer:% = peer, after = after.0, attempt,
                        position = transfer.position.0, bytes = transfer.content.len();
                        "snapshot_taken");
                    return Some(transfer);
                }
                Err(TransferError::Busy) => {
                    Timer::after(BUSY_PEER_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
                    let ahead = |received: ReceivedReply| {
                        let freshness = received.reply.freshness(self.source)?;
                        (freshness.position > after).then_some(received.from)
                    };
                    let neighbour = self.tracker.query_peers(QueryTarget::Neighbours, ahead).await;
                    peer = neighbour.unwrap_or(peer);
                }
                Err(e) => {
                    log::info!(source, peer:% = peer, after = after.0, attempt, cause:% = e;
                        "snapshot_not_taken");
                    return None;
                }
            }
        }
        log::info!(source, peer:% = peer, after = after.0, attempt = MAX_TRANSFER_ATTEMPTS;
            "snapshot_not_taken");
        None
    }

    fn time_until_retry(&self) -> Duration {
        self.retry_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(Instant::now()))
    }

    /// How long to wait until this instance, which has nothing of the source yet, reads it itself;
    /// zero if now.
    fn time_until_first_read(&self) -> Duration {
        let view = StartView {
            since_start: self.started_at.elapsed(),
            has_seeds: self.tracker.has_seeds(),
            since_peers_changed: self.tracker.time_since_membership_change(),
            is_first_reader: self.is_first_reader(),
        };
        view.time_until_read().min(START_QUERY_INTERVAL)
    }
}
