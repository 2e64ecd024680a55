//! Follows the configuration.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use policy::{
    freshness::{FreshnessCheck, Position},
    routes::RouteTable,
};

use super::Contact;
use crate::{
    clock::BootTime,
    freshness::{FreshnessTracker, QueryTarget, ReceivedReply, Source},
    lock,
    snapshot::{SnapshotClient, Transfer},
    source::ConfigSource,
    state::{Configuration, Groups},
};

/// Time between two questions to a peer. News are told at once; where such a word is lost, this is how
/// much later a change is in force.
const ASK_EVERY: Duration = Duration::from_millis(500);

/// A peer's knowledge older than this is no reason not to read for oneself: a held reading and its way.
/// With the time to the next question it stays below the two seconds within which a change has to be in
/// force, also where the peer's way to the log falls silent.
const YOUNG: Duration = Duration::from_millis(1_100);

/// The configuration, as a peer or the log knows it.
pub struct Follower<S> {
    source: S,
    configuration: Arc<Configuration>,
    groups: Arc<Groups>,
    tracker: Arc<FreshnessTracker>,
    contact: Contact,
}

impl<S: ConfigSource> Follower<S> {
    /// Follows `source`.
    pub fn new(
        source: S,
        configuration: Arc<Configuration>,
        groups: Arc<Groups>,
        tracker: Arc<FreshnessTracker>,
        snapshots: SnapshotClient,
    ) -> Self {
        let contact = Contact::new(Source::Configuration, tracker.clone(), snapshots);
        Follower { source, configuration, groups, tracker, contact }
    }

    /// Reads on until it is dropped.
    pub async fn run(mut self) {
        loop {
            let pause = self.follow().await;
            if self.tracker.news(Source::Configuration, pause).await {
                self.contact.hear_news().await;
            }
        }
    }

    /// Learns what is new, and tells how long to wait then.
    async fn follow(&mut self) -> Duration {
        if self.ask_readers().await && self.has_all_news().await {
            return ASK_EVERY;
        }
        let until_retry = self.contact.until_retry();
        if until_retry.is_zero() {
            return self.read().await;
        }
        self.ask_anybody().await;
        until_retry.min(ASK_EVERY)
    }

    /// Guards against news that come from another peer than those that are asked first, and are in force
    /// late.
    async fn has_all_news(&mut self) -> bool {
        if self.tracker.is_behind(Source::Configuration) {
            self.ask_anybody().await;
        }
        !self.tracker.is_behind(Source::Configuration)
    }

    /// Whether a peer that reads before this instance does knows what it lacks, and it has it now.
    async fn ask_readers(&mut self) -> bool {
        let Some(word) = self.tracker.ask_readers(self.judge()).await else { return false };
        let is_taken = self.take(&word).await;
        if is_taken {
            self.contact.answered();
        }
        is_taken
    }

    /// Guards against an instance that alone can't reach the log and refuses all that need a key, while
    /// its peers have read a moment ago.
    async fn ask_anybody(&mut self) -> bool {
        match self.tracker.ask_any(QueryTarget::Anybody, self.judge()).await {
            Some(word) => self.take(&word).await,
            None => false,
        }
    }

    /// Judges answers by what this instance has read so far.
    fn judge(&self) -> impl Fn(ReceivedReply) -> Option<PeerWord> + use<S> {
        let (configuration, mine) = (self.configuration.clone(), self.source.position());
        move |heard| judge(&configuration, &heard, mine)
    }

    /// Makes use of a peer's answer; false where that came to nothing.
    async fn take(&mut self, word: &PeerWord) -> bool {
        match *word {
            PeerWord::Complete(position, as_of) => {
                self.tracker.know_configuration(position, as_of, None);
                true
            }
            PeerWord::Behind(peer) => self.transfer(peer).await,
        }
    }

    async fn transfer(&mut self, peer: SocketAddr) -> bool {
        let after = self.source.position().unwrap_or_default();
        let transfer = self.contact.transfer(peer, after).await;
        let Some(Transfer { position, as_of, content }) = transfer else { return false };
        match self.source.adopt(&content, position) {
            Ok(table) => {
                self.put(table);
                self.configuration.confirm(as_of);
                self.tracker.know_configuration(position, as_of, Some(content));
                true
            }
            Err(e) => {
                log::warn!(peer:% = peer, cause:% = e; "snapshot_not_taken");
                false
            }
        }
    }

    async fn read(&mut self) -> Duration {
        match self.source.read().await {
            Ok(reading) => {
                self.contact.answered();
                let bytes = reading.update.as_ref().map(|news| news.bytes.clone());
                let is_news = reading.update.is_some_and(|news| self.put(news.table));
                self.contact.log_read(reading.position, is_news);
                self.configuration.confirm(reading.as_of);
                self.tracker.know_configuration(reading.position, reading.as_of, bytes);
                if is_news {
                    self.tracker.announce();
                }
                Duration::ZERO
            }
            Err(e) => {
                self.contact.failed(&e);
                self.ask_anybody().await;
                self.contact.until_retry().min(ASK_EVERY)
            }
        }
    }

    fn put(&self, table: RouteTable) -> bool {
        let version = table.version;
        let is_news = self.configuration.replace_if_newer(table);
        if is_news {
            log::info!(version = version.0; "config_in_force");
            for (name, rules) in &self.configuration.table().groups {
                let group = self.groups.get_or_create(name);
                lock(&group.scheduler).set_rules(rules.engine.clone());
            }
        }
        is_news
    }
}

/// What a peer's answer says of what this instance has.
enum PeerWord {
    /// Nothing was missing of it up to here, at this moment.
    Complete(Position, BootTime),
    /// The peer there has more.
    Behind(SocketAddr),
}

/// Confirms what was read up to `mine`, and judges what else the answer is good for.
fn judge(
    configuration: &Configuration,
    heard: &ReceivedReply,
    mine: Option<Position>,
) -> Option<PeerWord> {
    let freshness = heard.answer.configuration?;
    let behind = Some(PeerWord::Behind(heard.from));
    let Some(mine) = mine else { return behind };
    match freshness.check(mine, heard.asked.age()) {
        FreshnessCheck::Complete(age) => {
            let as_of = BootTime::now().before(age);
            configuration.confirm(as_of);
            (age <= YOUNG).then_some(PeerWord::Complete(mine, as_of))
        }
        FreshnessCheck::Behind => behind,
    }
}
