//! Records how far this instance has read the log, answers peers' queries about it, and queries
//! peers.
//!
//! [`policy::freshness`] defines what a peer's reply means; this module stores and transmits it.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_lite::FutureExt;
use indexmap::IndexMap;
use policy::{
    EndpointId,
    freshness::{Freshness, MAX_QUERIED_INSTANCES, Position},
};
use serde::{Deserialize, Serialize};
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
};

use crate::{clock::BootTime, lock, signal::Signal, snapshot, source::EndpointEntry};

/// How long to wait for replies: many times a datagram's round trip within a region, and short
/// compared to a read of the log.
const REPLY_TIMEOUT: Duration = Duration::from_millis(80);

/// Maximum number of the latest endpoint changes that are kept for peers that have read less.
const MAX_KEPT_CHANGES: usize = 64;

/// Maximum number of changes in one reply, so that it fits into one datagram.
const MAX_CHANGES_PER_REPLY: usize = 16;

/// Capacity of the channels for queries that wait to be sent and for the replies to one query.
const CHANNEL_CAPACITY: usize = 16;

/// A change of one endpoint's registration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointChange {
    /// The endpoint.
    pub id: EndpointId,
    /// The new registration; none where it was removed.
    pub entry: Option<EndpointEntry>,
}

/// One instance's reply to a peer's query.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct FreshnessReply {
    /// How fresh its configuration is; none before it has one, and while it can't read the source
    /// itself.
    pub configuration: Option<Freshness>,
    /// How fresh its endpoints are; none before it has any, and while it can't read the source
    /// itself.
    pub endpoints: Option<Freshness>,
    /// Changes of endpoints since the queried position; none where they are no longer kept, or too
    /// many for one reply.
    pub changes: Option<Vec<EndpointChange>>,
}

impl FreshnessReply {
    /// How fresh the sender's knowledge of a source is.
    pub fn freshness(&self, source: Source) -> Option<Freshness> {
        match source {
            Source::Configuration => self.configuration,
            Source::Endpoints => self.endpoints,
        }
    }
}

/// A reply with its sender and the time of its query.
#[derive(Debug, Clone)]
pub struct ReceivedReply {
    /// Address of the peer that replied.
    pub from: SocketAddr,
    /// When the query was sent.
    pub query_sent: BootTime,
    /// The peer's reply.
    pub reply: FreshnessReply,
}

/// Peers that a query is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryTarget {
    /// The peer of this rank among those that read before this instance.
    Reader(usize),
    /// The peer that last announced an update.
    LastAnnouncer,
    /// The last announcer and some other live peers, chosen at random.
    AnyLive,
    /// Some live peers of this instance's data centre, chosen at random.
    Neighbours,
}

/// A query that the links are to send.
#[derive(Debug)]
pub struct FreshnessQuery {
    /// Its recipients.
    pub target: QueryTarget,
    /// Position up to which this instance has the endpoints.
    pub endpoints_position: Position,
    /// Receives the replies; dropped at once where there is no recipient.
    pub replies: Sender<ReceivedReply>,
}

/// Result of a query.
enum QueryOutcome<T> {
    /// There is no peer to query.
    NoPeer,
    /// No reply was accepted before the timeout.
    NoUsableReply,
    /// Made from an accepted reply.
    Accepted(T),
}

/// A source that instances follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Source {
    /// The operators' configuration.
    Configuration,
    /// The endpoints' registrations.
    Endpoints,
}

impl Source {
    /// Name used in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Source::Configuration => "configuration",
            Source::Endpoints => "endpoints",
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct ConfirmedPosition {
    position: Position,
    as_of: BootTime,
}

/// What this instance has read of one source.
#[derive(Debug, Default)]
struct SourceState {
    confirmed: Option<ConfirmedPosition>,
    /// This instance can't read the source itself.
    is_unreachable: bool,
    update_announced: Signal,
    /// The furthest position that peers have announced.
    peer_position: Position,
}

impl SourceState {
    /// Records a new position and time. Neither goes back: a late reply doesn't undo a newer one.
    fn advance(&mut self, position: Position, as_of: BootTime) {
        let before = self.confirmed.unwrap_or(ConfirmedPosition { position, as_of });
        let position = before.position.max(position);
        self.confirmed = Some(ConfirmedPosition { position, as_of: before.as_of.max(as_of) });
    }

    fn position(&self) -> Position {
        self.confirmed.map_or(Position::default(), |confirmed| confirmed.position)
    }

    /// How fresh this source is, for replies to peers.
    ///
    /// Guards against a cycle: where the first reader can't reach the log and relies on its peers'
    /// replies, while they rely on its replies, no instance reads the log, and changes are in force
    /// too late. An instance that can't read the source confirms nothing, so that the next one
    /// reads it.
    fn freshness(&self) -> Option<Freshness> {
        let confirmed = self.confirmed.filter(|_| !self.is_unreachable)?;
        Some(Freshness { position: confirmed.position, age: confirmed.as_of.age() })
    }

    /// Records that a peer has read up to `position`. Wakes the follower where this instance has
    /// read less, or can't read the source itself.
    fn record_announcement(&mut self, position: Position) {
        self.peer_position = self.peer_position.max(position);
        if self.is_unreachable || position > self.position() {
            self.update_announced.raise();
        }
    }
}

#[derive(Debug, Default)]
struct TrackerState {
    configuration: SourceState,
    /// The newest configuration, as it was published.
    published_configuration: Option<Bytes>,
    endpoints: SourceState,
    /// All registered endpoints.
    entries: Arc<IndexMap<EndpointId, EndpointEntry>>,
    /// Recent changes of endpoints, each with the position of the read that brought it.
    changes: VecDeque<(Position, EndpointChange)>,
    /// All changes after this position are kept.
    changes_from: Position,
}

impl TrackerState {
    fn source_mut(&mut self, source: Source) -> &mut SourceState {
        match source {
            Source::Configuration => &mut self.configuration,
            Source::Endpoints => &mut self.endpoints,
        }
    }
}

/// How fresh this instance's configuration and endpoints are. Shared by the followers and the
/// links.
#[derive(Debug)]
pub struct FreshnessTracker {
    state: Mutex<TrackerState>,
    queries: Sender<FreshnessQuery>,
    /// Raised when positions have to be announced to peers.
    announcement_requested: Signal,
    /// Number of instances that retry an unreachable source together.
    retry_group_size: AtomicUsize,
    membership: Mutex<MembershipState>,
    has_seeds: bool,
}

/// What the followers have to know of the links' membership.
#[derive(Debug, Default)]
struct MembershipState {
    /// When the number of live peers last changed; none while nobody is known.
    changed_at: Option<Instant>,
    live_peers: usize,
}

impl FreshnessTracker {
    /// Creates a tracker at position zero, and the receiver of queries that the links send.
    /// `has_seeds` states whether the instance has addresses at which peers may be found.
    pub fn new(has_seeds: bool) -> (FreshnessTracker, Receiver<FreshnessQuery>) {
        let (queries, query_rx) = bounded(CHANNEL_CAPACITY);
        let tracker = FreshnessTracker {
            state: Mutex::default(),
            queries,
            announcement_requested: Signal::default(),
            retry_group_size: AtomicUsize::new(1),
            membership: Mutex::default(),
            has_seeds,
        };
        (tracker, query_rx)
    }

    /// Records that the configuration is complete up to `position` as of `as_of`.
    pub fn update_configuration(
        &self,
        position: Position,
        as_of: BootTime,
        published: Option<Bytes>,
    ) {
        let mut state = lock(&self.state);
        if published.is_some() && position >= state.configuration.position() {
            state.published_configuration = published;
        }
        state.configuration.advance(position, as_of);
    }

    /// Records that `entries` are complete up to `position` as of `as_of`, and the `changes` since
    /// `before`.
    pub fn update_endpoints(
        &self,
        before: Option<Position>,
        position: Position,
        as_of: BootTime,
        changes: &[EndpointChange],
        entries: &Arc<IndexMap<EndpointId, EndpointEntry>>,
    ) {
        let mut state = lock(&self.state);
        state.endpoints.advance(position, as_of);
        state.entries = entries.clone();
        if before.is_none() {
            state.changes.clear();
            state.changes_from = position;
            return;
        }
        for change in changes {
            state.changes.push_back((position, change.clone()));
        }
        while state.changes.len() > MAX_KEPT_CHANGES {
            if let Some((position, _)) = state.changes.pop_front() {
                state.changes_from = position;
            }
        }
    }

    /// Announces this instance's positions to all peers. Only an instance that has read the source
    /// itself announces them, so that an update costs one datagram per reader and peer and not one
    /// per pair of instances.
    pub fn announce(&self) {
        self.announcement_requested.raise();
    }

    /// Whether a peer has announced more of a source than this instance has.
    pub fn is_behind(&self, source: Source) -> bool {
        let mut state = lock(&self.state);
        let followed = state.source_mut(source);
        followed.peer_position > followed.position()
    }

    /// The source's content, encoded for a peer that has read up to `after`; none where this
    /// instance can't confirm its freshness or has nothing newer.
    pub fn content(&self, source: Source, after: Position) -> Option<(Freshness, Bytes)> {
        let mut state = lock(&self.state);
        let freshness =
            state.source_mut(source).freshness().filter(|freshness| freshness.position > after)?;
        let content = match source {
            Source::Configuration => state.published_configuration.clone()?,
            Source::Endpoints => {
                let entries = state.entries.clone();
                drop(state);
                snapshot::encode(&*entries)
            }
        };
        Some((freshness, content))
    }

    /// Records whether this instance can read a source. When it can again, it announces its
    /// positions, since peers may be waiting for them.
    pub fn set_unreachable(&self, source: Source, is_unreachable: bool) {
        lock(&self.state).source_mut(source).is_unreachable = is_unreachable;
        if !is_unreachable {
            self.announce();
        }
    }

    /// Number of instances that retry an unreachable source together, including this one.
    pub fn retry_group_size(&self) -> usize {
        self.retry_group_size.load(Ordering::Relaxed)
    }

    /// Records the number of live peers, and of the instances that retry an unreachable source
    /// together.
    pub fn record_membership(&self, live_peers: usize, retry_group_size: usize) {
        self.retry_group_size.store(retry_group_size, Ordering::Relaxed);
        let mut membership = lock(&self.membership);
        membership.live_peers = live_peers;
        membership.changed_at = Some(Instant::now());
    }

    /// Whether this instance has addresses at which peers may be found.
    pub fn has_seeds(&self) -> bool {
        self.has_seeds
    }

    /// Whether any peer is alive.
    pub fn has_peers(&self) -> bool {
        lock(&self.membership).live_peers > 0
    }

    /// Time since the live peers last changed; none while nobody has been known.
    pub fn time_since_membership_change(&self) -> Option<Duration> {
        lock(&self.membership).changed_at.map(|at| at.elapsed())
    }

    /// Whether no peer reads the log before this instance.
    pub fn is_first_reader(&self) -> bool {
        self.retry_group_size() == 1
    }

    /// Builds the reply to a peer that has the endpoints up to `endpoints_position`.
    pub fn reply(&self, endpoints_position: Position) -> FreshnessReply {
        let state = lock(&self.state);
        let since = state.changes.iter().filter(|(position, _)| *position > endpoints_position);
        let changes: Vec<_> = since.map(|(_, change)| change.clone()).collect();
        let is_complete =
            endpoints_position >= state.changes_from && changes.len() <= MAX_CHANGES_PER_REPLY;
        FreshnessReply {
            configuration: state.configuration.freshness(),
            endpoints: state.endpoints.freshness(),
            changes: is_complete.then_some(changes),
        }
    }

    /// Positions up to which this instance has the configuration and the endpoints.
    pub fn positions(&self) -> (Position, Position) {
        let state = lock(&self.state);
        (state.configuration.position(), state.endpoints.position())
    }

    /// Records the positions that a peer announced.
    pub fn record_announcement(&self, configuration: Position, endpoints: Position) {
        let mut state = lock(&self.state);
        state.configuration.record_announcement(configuration);
        state.endpoints.record_announcement(endpoints);
    }

    /// Waits for an announced update of `source`; returns false after `timeout`.
    pub async fn wait_for_announcement(&self, source: Source, timeout: Duration) -> bool {
        let announced = lock(&self.state).source_mut(source).update_announced.clone();
        announced.raised_within(timeout).await
    }

    /// Waits until this instance's positions have to be announced.
    pub async fn wait_for_announcement_request(&self) {
        self.announcement_requested.raised().await;
    }

    /// Queries the peers that read before this instance, one after the other, and returns the first
    /// reply that `accept` accepts; none where this instance has to read the source itself.
    pub async fn query_readers<T>(&self, accept: impl Fn(ReceivedReply) -> Option<T>) -> Option<T> {
        for rank in 0..MAX_QUERIED_INSTANCES {
            match self.query(QueryTarget::Reader(rank), &accept).await {
                QueryOutcome::NoPeer => return None,
                QueryOutcome::NoUsableReply => {}
                QueryOutcome::Accepted(accepted) => return Some(accepted),
            }
        }
        None
    }

    /// Queries several peers at once, and returns the first reply that `accept` accepts.
    pub async fn query_peers<T>(
        &self,
        target: QueryTarget,
        accept: impl Fn(ReceivedReply) -> Option<T>,
    ) -> Option<T> {
        match self.query(target, &accept).await {
            QueryOutcome::Accepted(accepted) => Some(accepted),
            QueryOutcome::NoPeer | QueryOutcome::NoUsableReply => None,
        }
    }

    async fn query<T>(
        &self,
        target: QueryTarget,
        accept: &impl Fn(ReceivedReply) -> Option<T>,
    ) -> QueryOutcome<T> {
        let (replies, received) = bounded(CHANNEL_CAPACITY);
        let (_, endpoints_position) = self.positions();
        if self.queries.send(FreshnessQuery { target, endpoints_position, replies }).await.is_err()
        {
            return QueryOutcome::NoPeer;
        }
        let mut any_reply = false;
        let first_accepted = async {
            while let Ok(received) = received.recv().await {
                any_reply = true;
                if let Some(accepted) = accept(received) {
                    return Some(QueryOutcome::Accepted(accepted));
                }
            }
            None
        };
        let timed_out = async {
            Timer::after(REPLY_TIMEOUT).await;
            Some(QueryOutcome::NoUsableReply)
        };
        match first_accepted.or(timed_out).await {
            Some(outcome) => outcome,
            // The links drop the sender of replies: at once where there is no peer to query.
            None if any_reply => QueryOutcome::NoUsableReply,
            None => QueryOutcome::NoPeer,
        }
    }
}
