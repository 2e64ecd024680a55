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
const PATIENCE: Duration = Duration::from_millis(80);

/// The latest changes of endpoints that are kept for peers that have read less.
const CHANGES: usize = 64;

/// The most changes in one answer, so that it fits into one datagram.
const CHANGES_TOLD: usize = 16;

/// Questions that wait to be sent.
const QUESTIONS: usize = 16;

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
    pub asked: BootTime,
    /// The answer.
    pub answer: FreshnessReply,
}

/// Whom a question goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryTarget {
    /// The one at this place among those that read before this instance does.
    Reader(usize),
    /// The one that last told of news.
    Informant,
    /// That one, and some of all live ones.
    Anybody,
}

/// A question on its way to the links.
#[derive(Debug)]
pub struct FreshnessQuery {
    /// Whom it goes to.
    pub whom: QueryTarget,
    /// Up to where this instance knows the endpoints.
    pub endpoints_at: Position,
    /// Takes answers; dropped where there is nobody to ask.
    pub answers: Sender<ReceivedReply>,
}

/// What asking came to.
enum QueryOutcome<T> {
    /// There is nobody to ask.
    Nobody,
    /// No answer was good enough in time.
    Silence,
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
struct Known {
    position: Position,
    as_of: BootTime,
}

/// What this instance has of one source.
#[derive(Debug, Default)]
struct Followed {
    known: Option<Known>,
    /// It can't read the source itself.
    is_lost: bool,
    news: Signal,
    /// How far peers have read, by their own word.
    announced: Position,
}

impl Followed {
    /// Knowledge only grows: a late answer takes nothing back.
    fn grow(&mut self, position: Position, as_of: BootTime) {
        let before = self.known.unwrap_or(Known { position, as_of });
        let position = before.position.max(position);
        self.known = Some(Known { position, as_of: before.as_of.max(as_of) });
    }

    fn position(&self) -> Position {
        self.known.map_or(Position::default(), |known| known.position)
    }

    /// What a peer hears of it.
    ///
    /// Guards against a circle: where the instance that reads for others is cut off and lives on what
    /// they say, and they on what it says, nobody reads, and a change is in force too late. Who is cut
    /// off vouches for nothing, so that the next one reads.
    fn freshness(&self) -> Option<Freshness> {
        let known = self.known.filter(|_| !self.is_lost)?;
        Some(Freshness { position: known.position, age: known.as_of.age() })
    }

    /// A peer has read up to there: whoever has read less, or can't read, asks at once.
    fn hear(&mut self, position: Position) {
        self.announced = self.announced.max(position);
        if self.is_lost || position > self.position() {
            self.news.raise();
        }
    }
}

#[derive(Debug, Default)]
struct Readings {
    configuration: Followed,
    /// The newest configuration, as it was published.
    published: Option<Bytes>,
    endpoints: Followed,
    /// All endpoints.
    entries: Arc<IndexMap<EndpointId, EndpointEntry>>,
    /// Changes of endpoints with the position up to which each was read.
    changes: VecDeque<(Position, EndpointChange)>,
    /// All changes from this position on are kept.
    changes_from: Position,
}

impl Readings {
    fn of(&mut self, source: Source) -> &mut Followed {
        match source {
            Source::Configuration => &mut self.configuration,
            Source::Endpoints => &mut self.endpoints,
        }
    }
}

/// Shared by the followers of the log and the links.
#[derive(Debug)]
pub struct FreshnessTracker {
    readings: Mutex<Readings>,
    questions: Sender<FreshnessQuery>,
    /// There are news to tell to peers.
    telling: Signal,
    /// Instances that retry a lost source together.
    sharers: AtomicUsize,
}

impl FreshnessTracker {
    /// Knows nothing yet. The receiver is for the links: questions to send.
    pub fn new() -> (FreshnessTracker, Receiver<FreshnessQuery>) {
        let (questions, asked) = bounded(QUESTIONS);
        let tracker = FreshnessTracker {
            readings: Mutex::default(),
            questions,
            telling: Signal::default(),
            sharers: AtomicUsize::new(1),
        };
        (tracker, asked)
    }

    /// The configuration is known up to `position`, and was complete at `as_of`.
    pub fn know_configuration(&self, position: Position, as_of: BootTime, news: Option<Bytes>) {
        let mut readings = lock(&self.readings);
        if news.is_some() && position >= readings.configuration.position() {
            readings.published = news;
        }
        readings.configuration.grow(position, as_of);
    }

    /// The endpoints are known up to `position`: these, after `changes` since `before`.
    pub fn know_endpoints(
        &self,
        before: Option<Position>,
        position: Position,
        as_of: BootTime,
        changes: &[EndpointChange],
        entries: &Arc<IndexMap<EndpointId, EndpointEntry>>,
    ) {
        let mut readings = lock(&self.readings);
        readings.endpoints.grow(position, as_of);
        readings.entries = entries.clone();
        if before.is_none() {
            readings.changes.clear();
            readings.changes_from = position;
            return;
        }
        for change in changes {
            readings.changes.push_back((position, change.clone()));
        }
        while readings.changes.len() > CHANGES {
            if let Some((position, _)) = readings.changes.pop_front() {
                readings.changes_from = position;
            }
        }
    }

    /// Tells all peers up to where this instance has read. Only who has read the source itself does, so
    /// that news cost a datagram for each reader and peer and not for each two peers.
    pub fn announce(&self) {
        self.telling.raise();
    }

    /// Whether a peer has announced more of a source than this instance has.
    pub fn is_behind(&self, source: Source) -> bool {
        let mut readings = lock(&self.readings);
        let followed = readings.of(source);
        followed.announced > followed.position()
    }

    /// What this instance has of a source, written for a peer; none where it can't vouch for it, or has no
    /// more than the peer, which has read up to `after`.
    pub fn content(&self, source: Source, after: Position) -> Option<(Freshness, Bytes)> {
        let mut readings = lock(&self.readings);
        let freshness =
            readings.of(source).freshness().filter(|freshness| freshness.position > after)?;
        let content = match source {
            Source::Configuration => readings.published.clone()?,
            Source::Endpoints => {
                let entries = readings.entries.clone();
                drop(readings);
                snapshot::encode(&*entries)
            }
        };
        Some((freshness, content))
    }

    /// Whether this instance reaches a source. Peers are told of a return, as they may wait for it.
    pub fn set_lost(&self, source: Source, is_lost: bool) {
        lock(&self.readings).of(source).is_lost = is_lost;
        if !is_lost {
            self.announce();
        }
    }

    /// Instances that retry a lost source together, this one included.
    pub fn sharers(&self) -> usize {
        self.sharers.load(Ordering::Relaxed)
    }

    /// The links know how many these are.
    pub fn set_sharers(&self, sharers: usize) {
        self.sharers.store(sharers, Ordering::Relaxed);
    }

    /// What a peer hears that knows the endpoints up to `endpoints_at`.
    pub fn answer(&self, endpoints_at: Position) -> FreshnessReply {
        let readings = lock(&self.readings);
        let since = readings.changes.iter().filter(|(position, _)| *position > endpoints_at);
        let changes: Vec<_> = since.map(|(_, change)| change.clone()).collect();
        let is_complete = endpoints_at >= readings.changes_from && changes.len() <= CHANGES_TOLD;
        FreshnessReply {
            configuration: readings.configuration.freshness(),
            endpoints: readings.endpoints.freshness(),
            changes: is_complete.then_some(changes),
        }
    }

    /// Up to where configuration and endpoints are known.
    pub fn positions(&self) -> (Position, Position) {
        let readings = lock(&self.readings);
        (readings.configuration.position(), readings.endpoints.position())
    }

    /// Takes in how far a peer has read.
    pub fn hear_news(&self, configuration: Position, endpoints: Position) {
        let mut readings = lock(&self.readings);
        readings.configuration.hear(configuration);
        readings.endpoints.hear(endpoints);
    }

    /// Waits for news of a source, for `patience` at most; whether there are any.
    pub async fn news(&self, source: Source, patience: Duration) -> bool {
        let news = lock(&self.readings).of(source).news.clone();
        news.raised_within(patience).await
    }

    /// Waits until there are news to tell to peers.
    pub async fn telling(&self) {
        self.telling.raised().await;
    }

    /// Asks the peers that read before this instance does, one after the other, and gives what `accept`
    /// makes of the first good answer; none where it is this instance's turn to read.
    pub async fn ask_readers<T>(&self, accept: impl Fn(ReceivedReply) -> Option<T>) -> Option<T> {
        for place in 0..MAX_QUERIED_INSTANCES {
            match self.ask(QueryTarget::Reader(place), &accept).await {
                QueryOutcome::Nobody => return None,
                QueryOutcome::Silence => {}
                QueryOutcome::Accepted(accepted) => return Some(accepted),
            }
        }
        None
    }

    /// The same with other peers, all at once.
    pub async fn ask_any<T>(
        &self,
        whom: QueryTarget,
        accept: impl Fn(ReceivedReply) -> Option<T>,
    ) -> Option<T> {
        match self.ask(whom, &accept).await {
            QueryOutcome::Accepted(accepted) => Some(accepted),
            QueryOutcome::Nobody | QueryOutcome::Silence => None,
        }
    }

    async fn ask<T>(
        &self,
        whom: QueryTarget,
        accept: &impl Fn(ReceivedReply) -> Option<T>,
    ) -> QueryOutcome<T> {
        let (answers, heard) = bounded(QUESTIONS);
        let (_, endpoints_at) = self.positions();
        if self.questions.send(FreshnessQuery { whom, endpoints_at, answers }).await.is_err() {
            return QueryOutcome::Nobody;
        }
        let mut anybody = false;
        let first_good = async {
            while let Ok(heard) = heard.recv().await {
                anybody = true;
                if let Some(accepted) = accept(heard) {
                    return Some(QueryOutcome::Accepted(accepted));
                }
            }
            None
        };
        let late = async {
            Timer::after(PATIENCE).await;
            Some(QueryOutcome::Silence)
        };
        match first_good.or(late).await {
            Some(asked) => asked,
            // The links let go of the question: at once where there is nobody to ask.
            None if anybody => QueryOutcome::Silence,
            None => QueryOutcome::Nobody,
        }
    }
}
