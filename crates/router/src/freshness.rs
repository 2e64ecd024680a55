//! What this instance has read of the log, for peers that ask, and its questions to them.
//!
//! [`policy::freshness`] says what a peer's answer means; here it is kept and passed on.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
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

/// How long an answer is waited for: many times a datagram's way within a region, and little beside a
/// reading of one's own.
const REPLY_TIMEOUT: Duration = Duration::from_millis(80);

/// The latest changes of endpoints that are kept for peers that have read less.
const MAX_KEPT_CHANGES: usize = 64;

/// The most changes in one answer, so that it fits into one datagram.
const MAX_CHANGES_PER_REPLY: usize = 16;

/// Questions that wait to be sent.
const CHANNEL_CAPACITY: usize = 16;

/// A change of one endpoint's registration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointChange {
    /// The endpoint.
    pub id: EndpointId,
    /// What it registered; none where it is gone.
    pub entry: Option<EndpointEntry>,
}

/// What one instance tells another that asked.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct FreshnessReply {
    /// Of the configuration; none where it can't be read.
    pub configuration: Option<Freshness>,
    /// Of the endpoints; none where they can't be read.
    pub endpoints: Option<Freshness>,
    /// What changed of the endpoints since the position that was asked about; none where that is no
    /// longer known.
    pub changes: Option<Vec<EndpointChange>>,
}

/// An answer that came.
#[derive(Debug, Clone)]
pub struct ReceivedReply {
    /// Who answered.
    pub from: SocketAddr,
    /// When the question was sent.
    pub query_sent: BootTime,
    /// The answer.
    pub reply: FreshnessReply,
}

/// Whom a question goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryTarget {
    /// The one at this place among those that read before this instance does.
    Reader(usize),
    /// The one that last told of news.
    LastAnnouncer,
    /// That one, and some of all live ones.
    AnyLive,
}

/// A question on its way to the links.
#[derive(Debug)]
pub struct FreshnessQuery {
    /// Whom it goes to.
    pub target: QueryTarget,
    /// Up to where this instance knows the endpoints.
    pub endpoints_position: Position,
    /// Takes answers; dropped where there is nobody to ask.
    pub replies: Sender<ReceivedReply>,
}

/// What asking came to.
enum QueryOutcome<T> {
    /// There is nobody to ask.
    NoPeer,
    /// No answer was good enough in time.
    NoUsableReply,
    /// This was made of one that was.
    Accepted(T),
}

/// What is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Source {
    /// The operators' configuration.
    Configuration,
    /// The endpoints' registrations.
    Endpoints,
}

impl Source {
    /// As it stands in log lines.
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

/// What this instance has of one source.
#[derive(Debug, Default)]
struct SourceState {
    confirmed: Option<ConfirmedPosition>,
    /// It can't read the source itself.
    is_unreachable: bool,
    update_announced: Signal,
    /// How far peers have read, by their own word.
    peer_position: Position,
}

impl SourceState {
    /// Knowledge only grows: a late answer takes nothing back.
    fn advance(&mut self, position: Position, as_of: BootTime) {
        let before = self.confirmed.unwrap_or(ConfirmedPosition { position, as_of });
        let position = before.position.max(position);
        self.confirmed = Some(ConfirmedPosition { position, as_of: before.as_of.max(as_of) });
    }

    fn position(&self) -> Position {
        self.confirmed.map_or(Position::default(), |confirmed| confirmed.position)
    }

    /// What a peer hears of it.
    ///
    /// Guards against a circle: where the instance that reads for others is cut off and lives on what
    /// they say, and they on what it says, nobody reads, and a change is in force too late. Who is cut
    /// off vouches for nothing, so that the next one reads.
    fn freshness(&self) -> Option<Freshness> {
        let confirmed = self.confirmed.filter(|_| !self.is_unreachable)?;
        Some(Freshness { position: confirmed.position, age: confirmed.as_of.age() })
    }

    /// A peer has read up to there: whoever has read less, or can't read, asks at once.
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
    /// All endpoints.
    entries: Arc<IndexMap<EndpointId, EndpointEntry>>,
    /// Changes of endpoints with the position up to which each was read.
    changes: VecDeque<(Position, EndpointChange)>,
    /// All changes from this position on are kept.
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

/// Shared by the followers of the log and the links.
#[derive(Debug)]
pub struct FreshnessTracker {
    state: Mutex<TrackerState>,
    queries: Sender<FreshnessQuery>,
    /// There are news to tell to peers.
    announcement_requested: Signal,
    /// Instances that retry a lost source together.
    retry_group_size: AtomicUsize,
}

impl FreshnessTracker {
    /// Knows nothing yet. The receiver is for the links: questions to send.
    pub fn new() -> (FreshnessTracker, Receiver<FreshnessQuery>) {
        let (queries, query_rx) = bounded(CHANNEL_CAPACITY);
        let tracker = FreshnessTracker {
            state: Mutex::default(),
            queries,
            announcement_requested: Signal::default(),
            retry_group_size: AtomicUsize::new(1),
        };
        (tracker, query_rx)
    }

    /// The configuration is known up to `position`, and was complete at `as_of`.
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

    /// The endpoints are known up to `position`: these, after `changes` since `before`.
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

    /// Tells all peers up to where this instance has read. Only who has read the source itself does, so
    /// that news cost a datagram for each reader and peer and not for each two peers.
    pub fn announce(&self) {
        self.announcement_requested.raise();
    }

    /// Whether a peer has announced more of a source than this instance has.
    pub fn is_behind(&self, source: Source) -> bool {
        let mut state = lock(&self.state);
        let followed = state.source_mut(source);
        followed.peer_position > followed.position()
    }

    /// What this instance has of a source, written for a peer; none where it can't vouch for it, or has no
    /// more than the peer, which has read up to `after`.
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

    /// Whether this instance reaches a source. Peers are told of a return, as they may wait for it.
    pub fn set_unreachable(&self, source: Source, is_unreachable: bool) {
        lock(&self.state).source_mut(source).is_unreachable = is_unreachable;
        if !is_unreachable {
            self.announce();
        }
    }

    /// Instances that retry a lost source together, this one included.
    pub fn retry_group_size(&self) -> usize {
        self.retry_group_size.load(Ordering::Relaxed)
    }

    /// The links know how many these are.
    pub fn set_retry_group_size(&self, retry_group_size: usize) {
        self.retry_group_size.store(retry_group_size, Ordering::Relaxed);
    }

    /// What a peer hears that knows the endpoints up to `endpoints_at`.
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

    /// Up to where configuration and endpoints are known.
    pub fn positions(&self) -> (Position, Position) {
        let state = lock(&self.state);
        (state.configuration.position(), state.endpoints.position())
    }

    /// Takes in how far a peer has read.
    pub fn record_announcement(&self, configuration: Position, endpoints: Position) {
        let mut state = lock(&self.state);
        state.configuration.record_announcement(configuration);
        state.endpoints.record_announcement(endpoints);
    }

    /// Waits for news of a source, for `patience` at most; whether there are any.
    pub async fn wait_for_announcement(&self, source: Source, timeout: Duration) -> bool {
        let announced = lock(&self.state).source_mut(source).update_announced.clone();
        announced.raised_within(timeout).await
    }

    /// Waits until there are news to tell to peers.
    pub async fn wait_for_announcement_request(&self) {
        self.announcement_requested.raised().await;
    }

    /// Asks the peers that read before this instance does, one after the other, and gives what `accept`
    /// makes of the first good answer; none where it is this instance's turn to read.
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

    /// The same with other peers, all at once.
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
            // The links let go of the question: at once where there is nobody to ask.
            None if any_reply => QueryOutcome::NoUsableReply,
            None => QueryOutcome::NoPeer,
        }
    }
}
