//! Follows the configuration.

use std::{sync::Arc, time::Duration};

use policy::{
    routes::RouteTable,
    vouch::{Position, Word},
};
use smol::Timer;

use super::Contact;
use crate::{
    clock::BootTime,
    lock,
    source::ConfigSource,
    state::{Configuration, Groups},
    vouching::{Heard, Source, Vouching},
};

/// Pause after a failed reading. Several fit into the time within which a change has to be in
/// force, and all instances together stay far below what a store refuses.
const RETRY: Duration = Duration::from_millis(200);

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
    vouching: Arc<Vouching>,
    contact: Contact,
}

impl<S: ConfigSource> Follower<S> {
    /// Follows `source`.
    pub fn new(
        source: S,
        configuration: Arc<Configuration>,
        groups: Arc<Groups>,
        vouching: Arc<Vouching>,
    ) -> Self {
        let contact = Contact::new(Source::Configuration, vouching.clone());
        Follower { source, configuration, groups, vouching, contact }
    }

    /// Reads on until it is dropped.
    pub async fn run(mut self) {
        loop {
            if self.is_vouched().await {
                self.vouching.news(Source::Configuration, ASK_EVERY).await;
            } else {
                self.read().await;
            }
        }
    }

    /// Whether a peer that reads before this instance does says that nothing is missing.
    async fn is_vouched(&mut self) -> bool {
        let Some(mine) = self.source.position() else { return false };
        let complete = self.vouching.ask_readers(|heard| young_as_of(&heard, mine)).await;
        self.confirm(mine, complete)
    }

    /// Notes since when nothing is missing; false where nobody knows.
    fn confirm(&self, mine: Position, complete: Option<BootTime>) -> bool {
        let Some(as_of) = complete else { return false };
        self.configuration.confirm(as_of);
        self.vouching.know_configuration(mine, as_of, false);
        true
    }

    async fn read(&mut self) {
        match self.source.read().await {
            Ok(reading) => {
                self.contact.answered();
                let is_news = reading.news.is_some_and(|table| self.put(table));
                self.configuration.confirm(reading.as_of);
                self.vouching.know_configuration(reading.position, reading.as_of, is_news);
            }
            Err(e) => {
                self.contact.failed(&e);
                self.ask_anybody().await;
                Timer::after(RETRY.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
            }
        }
    }

    /// Guards against an instance that alone can't reach the log and refuses all that need a key, while
    /// its peers have read a moment ago.
    async fn ask_anybody(&mut self) {
        let Some(mine) = self.source.position() else { return };
        let complete = self.vouching.ask_anybody(|heard| young_as_of(&heard, mine)).await;
        self.confirm(mine, complete);
    }

    fn put(&self, table: RouteTable) -> bool {
        let version = table.version;
        let is_news = self.configuration.put(table);
        if is_news {
            log::info!(version = version.0; "config_in_force");
            for (name, rules) in &self.configuration.table().groups {
                let group = self.groups.get_or_add(name);
                lock(&group.arranger).set_rules(rules.engine.clone());
            }
        }
        is_news
    }
}

/// Since when nothing is missing of what was read up to `mine`; none where that is too long ago.
fn young_as_of(heard: &Heard, mine: Position) -> Option<BootTime> {
    match heard.answer.configuration?.says_of(mine, heard.asked.age()) {
        Word::Complete(age) if age <= YOUNG => Some(BootTime::now().before(age)),
        Word::Complete(_) | Word::Behind => None,
    }
}
