//! Follows the configuration.

use std::{sync::Arc, time::Duration};

use policy::{
    routes::RouteTable,
    vouch::{Position, Word},
};

use super::{Contact, Standing};
use crate::{
    clock::BootTime,
    lock,
    source::ConfigSource,
    state::{Configuration, Groups},
    vouching::{Asked, Heard, Source, Verdict, Vouching},
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
            let pause = self.follow().await;
            if self.vouching.news(Source::Configuration, pause).await {
                self.contact.hear_news();
            }
        }
    }

    /// Learns what is new, and tells how long to wait then.
    async fn follow(&mut self) -> Duration {
        match self.ask_readers().await {
            Standing::Vouched => return ASK_EVERY,
            Standing::Refused => self.contact.defer(),
            Standing::Unknown => {}
        }
        let until_retry = self.contact.until_retry();
        if until_retry.is_zero() {
            return self.read().await;
        }
        self.ask_anybody().await;
        until_retry.min(ASK_EVERY)
    }

    async fn ask_readers(&mut self) -> Standing {
        let Some(mine) = self.source.position() else { return Standing::Unknown };
        let configuration = self.configuration.clone();
        let judge = |heard: Heard| judge(&configuration, &heard, mine);
        match self.vouching.ask_readers(judge).await {
            Asked::Used(as_of) => {
                self.vouching.know_configuration(mine, as_of, false);
                self.contact.answered();
                Standing::Vouched
            }
            Asked::Lost => Standing::Refused,
            Asked::Nobody | Asked::Silence => Standing::Unknown,
        }
    }

    /// Guards against an instance that alone can't reach the log and refuses all that need a key, while
    /// its peers have read a moment ago.
    async fn ask_anybody(&mut self) {
        let Some(mine) = self.source.position() else { return };
        let configuration = self.configuration.clone();
        let judge = |heard: Heard| judge(&configuration, &heard, mine);
        if let Some(as_of) = self.vouching.ask_anybody(judge).await {
            self.vouching.know_configuration(mine, as_of, false);
        }
    }

    async fn read(&mut self) -> Duration {
        match self.source.read().await {
            Ok(reading) => {
                self.contact.answered();
                let is_news = reading.news.is_some_and(|table| self.put(table));
                self.configuration.confirm(reading.as_of);
                self.vouching.know_configuration(reading.position, reading.as_of, is_news);
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

/// Confirms what was read up to `mine`, and gives since when nothing is missing of it.
fn judge(configuration: &Configuration, heard: &Heard, mine: Position) -> Verdict<BootTime> {
    let Some(vouch) = heard.answer.configuration else { return Verdict::Lost };
    match vouch.says_of(mine, heard.asked.age()) {
        Word::Complete(age) => {
            let as_of = BootTime::now().before(age);
            configuration.confirm(as_of);
            if age <= YOUNG { Verdict::Use(as_of) } else { Verdict::Useless }
        }
        Word::Behind => Verdict::Useless,
    }
}
