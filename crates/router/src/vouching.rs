//! What this instance has read of the log, for peers that ask, and its questions to them.
//!
//! [`policy::vouch`] says what a peer's answer means; here it is kept and passed on.

use std::{collections::VecDeque, sync::Mutex, time::Duration};

use futures_lite::FutureExt;
use policy::{
    EndpointId,
    vouch::{Position, Vouch},
};
use serde::{Deserialize, Serialize};
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
};

use crate::{clock::BootTime, lock, source::EndpointEntry};

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
pub struct Answer {
    /// Of the configuration; none where it can't be read.
    pub configuration: Option<Vouch>,
    /// Of the endpoints; none where they can't be read.
    pub endpoints: Option<Vouch>,
    /// What changed of the endpoints since the position that was asked about; none where that is no
    /// longer known.
    pub changes: Option<Vec<EndpointChange>>,
}

/// An answer that came.
#[derive(Debug, Clone)]
pub struct Heard {
    /// When the question was sent.
    pub asked: BootTime,
    /// The answer.
    pub answer: Answer,
}

/// Whom a question goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Whom {
    /// The one at this place among those that read before this instance does.
    Reader(usize),
    /// Some of all live ones.
    Anybody,
}

/// A question on its way to the links.
#[derive(Debug)]
pub struct Question {
    /// Whom it goes to.
    pub whom: Whom,
    /// Up to where this instance knows the endpoints.
    pub endpoints_at: Position,
    /// Takes answers; dropped where there is nobody to ask.
    pub answers: Sender<Heard>,
}

/// What asking came to.
#[derive(Debug)]
pub enum Asked {
    /// Nobody stands at this place.
    Nobody,
    /// No answer was good enough in time.
    Silence,
    /// This one was.
    Heard(Heard),
}

/// What is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The operators' configuration.
    Configuration,
    /// The endpoints' registrations.
    Endpoints,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    position: Position,
    as_of: BootTime,
}

impl Known {
    fn vouch(self) -> Vouch {
        Vouch { position: self.position, age: self.as_of.age() }
    }

    /// Knowledge only grows: a late answer takes nothing back.
    fn grow(known: &mut Option<Known>, position: Position, as_of: BootTime) {
        let before = known.unwrap_or(Known { position, as_of });
        let position = before.position.max(position);
        *known = Some(Known { position, as_of: before.as_of.max(as_of) });
    }
}

#[derive(Debug, Default)]
struct Readings {
    configuration: Option<Known>,
    endpoints: Option<Known>,
    is_configuration_lost: bool,
    are_endpoints_lost: bool,
    /// Changes of endpoints with the position up to which each was read.
    changes: VecDeque<(Position, EndpointChange)>,
    /// All changes from this position on are kept.
    changes_from: Position,
}

/// Shared by the followers of the log and the links.
#[derive(Debug)]
pub struct Vouching {
    readings: Mutex<Readings>,
    questions: Sender<Question>,
    configuration_news: (Sender<()>, Receiver<()>),
    endpoint_news: (Sender<()>, Receiver<()>),
    /// Wakes the links to tell of news.
    told: Sender<()>,
}

impl Vouching {
    /// Knows nothing yet. The receivers are for the links: questions to send, and news to tell.
    pub fn new() -> (Vouching, Receiver<Question>, Receiver<()>) {
        let (questions, asked) = bounded(QUESTIONS);
        let (told, telling) = bounded(1);
        let vouching = Vouching {
            readings: Mutex::default(),
            questions,
            configuration_news: bounded(1),
            endpoint_news: bounded(1),
            told,
        };
        (vouching, asked, telling)
    }

    /// The configuration is known up to `position`, and was complete at `as_of`.
    pub fn know_configuration(&self, position: Position, as_of: BootTime, is_news: bool) {
        Known::grow(&mut lock(&self.readings).configuration, position, as_of);
        if is_news {
            // A full channel already says so.
            self.told.try_send(()).ok();
        }
    }

    /// The endpoints are known up to `position`, after these changes since `before`.
    pub fn know_endpoints(
        &self,
        before: Option<Position>,
        position: Position,
        as_of: BootTime,
        changes: &[EndpointChange],
    ) {
        let mut readings = lock(&self.readings);
        Known::grow(&mut readings.endpoints, position, as_of);
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
        drop(readings);
        if !changes.is_empty() {
            self.told.try_send(()).ok();
        }
    }

    /// Whether this instance reaches a source itself.
    ///
    /// Guards against a circle: where the instance that reads for others is cut off and lives on what
    /// they say, and they on what it says, nobody reads, and a change is in force too late. Who is cut
    /// off vouches for nothing, so that the next one reads.
    pub fn set_lost(&self, source: Source, is_lost: bool) {
        let mut readings = lock(&self.readings);
        match source {
            Source::Configuration => readings.is_configuration_lost = is_lost,
            Source::Endpoints => readings.are_endpoints_lost = is_lost,
        }
    }

    /// What a peer hears that knows the endpoints up to `endpoints_at`.
    pub fn answer(&self, endpoints_at: Position) -> Answer {
        let readings = lock(&self.readings);
        let since = readings.changes.iter().filter(|(position, _)| *position > endpoints_at);
        let changes: Vec<_> = since.map(|(_, change)| change.clone()).collect();
        let is_complete = endpoints_at >= readings.changes_from && changes.len() <= CHANGES_TOLD;
        let configuration = readings.configuration.filter(|_| !readings.is_configuration_lost);
        let endpoints = readings.endpoints.filter(|_| !readings.are_endpoints_lost);
        Answer {
            configuration: configuration.map(Known::vouch),
            endpoints: endpoints.map(Known::vouch),
            changes: is_complete.then_some(changes),
        }
    }

    /// Up to where configuration and endpoints are known.
    pub fn positions(&self) -> (Position, Position) {
        let readings = lock(&self.readings);
        let at = |known: Option<Known>| known.map_or(Position::default(), |known| known.position);
        (at(readings.configuration), at(readings.endpoints))
    }

    /// Somebody has read up to there: whoever has read less looks at once.
    pub fn hear_news(&self, configuration: Position, endpoints: Position) {
        let (mine, my_endpoints) = self.positions();
        if configuration > mine {
            self.configuration_news.0.try_send(()).ok();
        }
        if endpoints > my_endpoints {
            self.endpoint_news.0.try_send(()).ok();
        }
    }

    /// Waits for news of the configuration, for `patience` at most.
    pub async fn configuration_news(&self, patience: Duration) {
        wait(&self.configuration_news.1, patience).await;
    }

    /// Waits for news of the endpoints, for `patience` at most.
    pub async fn endpoint_news(&self, patience: Duration) {
        wait(&self.endpoint_news.1, patience).await;
    }

    /// Asks, and takes the first answer that is good enough.
    pub async fn ask(&self, whom: Whom, is_good: impl Fn(&Heard) -> bool) -> Asked {
        let (answers, heard) = bounded(QUESTIONS);
        let (_, endpoints_at) = self.positions();
        if self.questions.send(Question { whom, endpoints_at, answers }).await.is_err() {
            return Asked::Nobody;
        }
        let mut anybody = false;
        let first_good = async {
            while let Ok(heard) = heard.recv().await {
                anybody = true;
                if is_good(&heard) {
                    return Some(Asked::Heard(heard));
                }
            }
            None
        };
        let late = async {
            Timer::after(PATIENCE).await;
            Some(Asked::Silence)
        };
        match first_good.or(late).await {
            Some(asked) => asked,
            // The links let go of the question: at once where there is nobody to ask.
            None if anybody => Asked::Silence,
            None => Asked::Nobody,
        }
    }
}

async fn wait(news: &Receiver<()>, patience: Duration) {
    let heard = async {
        news.recv().await.ok();
    };
    let late = async {
        Timer::after(patience).await;
    };
    heard.or(late).await;
}
