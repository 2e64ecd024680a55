//! Follows the endpoints.

use std::{
    net::SocketAddr,
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use policy::{EndpointGroup, EndpointId, freshness::Position, placement::Member, roster::Roster};

use super::Contact;
use crate::{
    clock::{BootTime, Clock},
    freshness::{EndpointChange, FreshnessTracker, QueryTarget, ReceivedReply, Source},
    lock, names,
    snapshot::{self, SnapshotClient, Transfer},
    source::{EndpointEntry, EndpointSource},
    state::{Group, Groups},
};

/// Time between two readings, as a part of the time within which a leaving endpoint may get nothing
/// new. What varies about it, a retry and the way there fit into the rest; each reading has a price.
const PERIOD: f64 = 0.42;

/// Time between two questions to a peer, as such a part.
const ASK_PERIOD: f64 = 0.25;

/// A peer's knowledge older than this part is no reason not to read for oneself: with the time to the next
/// question and the way there it stays below the whole.
const YOUNG: f64 = 0.5;

/// Time between two readings while what an outage left is kept.
const SETTLING_PERIOD: Duration = Duration::from_millis(200);

/// The endpoints, as a peer or the log knows them.
pub struct Follower<S> {
    source: S,
    groups: Arc<Groups>,
    clock: Clock,
    /// Within this a leaving endpoint gets nothing new any more.
    leave: Duration,
    tracker: Arc<FreshnessTracker>,
    contact: Contact,
    roster: Roster<EndpointId, EndpointEntry>,
    found: Arc<IndexMap<EndpointId, EndpointEntry>>,
}

impl<S: EndpointSource> Follower<S> {
    /// Follows `source`.
    pub fn new(
        source: S,
        groups: Arc<Groups>,
        clock: Clock,
        leave: Duration,
        tracker: Arc<FreshnessTracker>,
        snapshots: SnapshotClient,
    ) -> Self {
        Follower {
            source,
            groups,
            clock,
            leave,
            contact: Contact::new(Source::Endpoints, tracker.clone(), snapshots),
            tracker,
            roster: Roster::default(),
            found: Arc::default(),
        }
    }

    /// Reads on until it is dropped.
    pub async fn run(mut self) {
        loop {
            let pause = self.follow().await;
            // What is kept after an outage is dropped by a reading, so that one has to come soon.
            let pause = if self.roster.is_settling() { SETTLING_PERIOD } else { pause };
            let pause = pause.mul_f64(0.85 + 0.3 * fastrand::f64());
            self.wait(Instant::now() + pause).await;
        }
    }

    /// Waits until then, or for news that have to be read or asked for.
    ///
    /// Guards against readings of the log for each change by the reader of every data centre: it takes the
    /// change from whoever told of it, and reads on at its own pace.
    async fn wait(&mut self, until: Instant) {
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !self.tracker.news(Source::Endpoints, left).await {
                return;
            }
            self.contact.hear_news().await;
            if !self.contact.is_reader() || !self.ask(QueryTarget::Informant).await {
                return;
            }
        }
    }

    /// Learns what has changed, and tells how long to wait then.
    async fn follow(&mut self) -> Duration {
        let ask_period = self.leave.mul_f64(ASK_PERIOD);
        if self.ask_readers().await {
            return ask_period;
        }
        let until_retry = self.contact.until_retry();
        if until_retry.is_zero() {
            return self.read().await;
        }
        if self.ask(QueryTarget::Anybody).await {
            return ask_period;
        }
        self.roster.failed();
        until_retry.min(ask_period)
    }

    /// Whether a peer that reads before this instance does knows what it lacks, and it has it now.
    async fn ask_readers(&mut self) -> bool {
        let oldest = self.leave.mul_f64(YOUNG);
        let told = self.tracker.ask_readers(|heard| Told::of(heard, oldest)).await;
        let Some(told) = told else { return false };
        let is_taken = self.take(&told).await;
        if is_taken {
            self.contact.answered();
        }
        is_taken
    }

    /// Takes over what other peers than the readers know; false where that comes to nothing.
    ///
    /// Guards against an instance that alone can't reach the log, and goes on with what it knew.
    async fn ask(&mut self, whom: QueryTarget) -> bool {
        let oldest = self.leave.mul_f64(YOUNG);
        match self.tracker.ask_any(whom, |heard| Told::of(heard, oldest)).await {
            Some(told) => self.take(&told).await,
            None => false,
        }
    }

    /// Takes over what a peer has read; false where it comes to nothing.
    async fn take(&mut self, told: &Told) -> bool {
        let Some(mine) = self.source.position() else { return self.transfer(told.from).await };
        let Told { position, as_of, .. } = *told;
        let changes = match &told.changes {
            // This instance has read as far, so what the peer has of changes is old.
            _ if position <= mine => &[][..],
            Some(changes) => changes,
            None => return self.transfer(told.from).await,
        };
        if position > mine {
            self.apply(changes, position);
        }
        let position = position.max(mine);
        self.tracker.know_endpoints(Some(mine), position, as_of, changes, &self.found);
        self.update();
        true
    }

    async fn transfer(&mut self, peer: SocketAddr) -> bool {
        let after = self.source.position().unwrap_or_default();
        let transfer = self.contact.transfer(peer, after).await;
        let Some(Transfer { position, as_of, content }) = transfer else { return false };
        let entries = match snapshot::decode(&content) {
            Ok(entries) => entries,
            Err(e) => {
                log::warn!(peer:% = peer, cause:% = e; "snapshot_not_taken");
                return false;
            }
        };
        self.source.adopt(&entries, position);
        self.found = Arc::new(entries);
        self.tracker.know_endpoints(None, position, as_of, &[], &self.found);
        self.update();
        true
    }

    fn apply(&mut self, changes: &[EndpointChange], position: Position) {
        self.source.advance(changes, position);
        let found = Arc::make_mut(&mut self.found);
        for EndpointChange { id, entry } in changes {
            match entry {
                Some(entry) => found.insert(id.clone(), entry.clone()),
                None => found.shift_remove(id),
            };
        }
    }

    /// Reads, and tells how long to wait then.
    async fn read(&mut self) -> Duration {
        let before = self.source.position();
        match self.source.read().await {
            Ok(reading) => {
                self.contact.answered();
                let changes = match reading.update {
                    Some(entries) => self.replace(entries),
                    None => Vec::new(),
                };
                let (position, as_of) = (reading.position, reading.as_of);
                self.contact.log_read(position, !changes.is_empty());
                self.tracker.know_endpoints(before, position, as_of, &changes, &self.found);
                if before.is_some() && !changes.is_empty() {
                    self.tracker.announce();
                }
                self.update();
                self.leave.mul_f64(PERIOD)
            }
            Err(e) => {
                self.contact.failed(&e);
                let ask_period = self.leave.mul_f64(ASK_PERIOD);
                if self.ask(QueryTarget::Anybody).await {
                    return ask_period;
                }
                self.roster.failed();
                self.contact.until_retry().min(ask_period)
            }
        }
    }

    /// Puts all endpoints in place of those found before, and tells what changed.
    fn replace(&mut self, entries: Vec<EndpointEntry>) -> Vec<EndpointChange> {
        let found: IndexMap<_, _> = entries.into_iter().map(|e| (e.id.clone(), e)).collect();
        let gone = self.found.keys().filter(|id| !found.contains_key(*id));
        let gone = gone.map(|id| EndpointChange { id: id.clone(), entry: None });
        let new = found.iter().filter(|(id, entry)| self.found.get(*id) != Some(entry));
        let new = new.map(|(id, e)| EndpointChange { id: id.clone(), entry: Some(e.clone()) });
        let changes = gone.chain(new).collect();
        self.found = Arc::new(found);
        changes
    }

    fn update(&mut self) {
        if self.roster.update(&self.found, self.clock.now()) {
            update(&self.groups, self.roster.entries(), self.clock);
        }
        self.groups.mark_endpoints_read();
    }
}

/// What a peer told of the endpoints.
struct Told {
    from: SocketAddr,
    position: Position,
    as_of: BootTime,
    /// What changed since this instance's own position; none where the peer doesn't know.
    changes: Option<Vec<EndpointChange>>,
}

impl Told {
    /// None where what the peer knows is older than `oldest`.
    fn of(heard: ReceivedReply, oldest: Duration) -> Option<Told> {
        let freshness = heard.answer.endpoints?;
        let age = freshness.age_after(heard.asked.age());
        let as_of = BootTime::now().before(age);
        let changes = heard.answer.changes;
        (age <= oldest).then_some(Told {
            from: heard.from,
            position: freshness.position,
            as_of,
            changes,
        })
    }
}

fn update(groups: &Groups, entries: &IndexMap<EndpointId, EndpointEntry>, clock: Clock) {
    let mut by_group: IndexMap<EndpointGroup, Vec<&EndpointEntry>> = IndexMap::new();
    for entry in entries.values() {
        by_group.entry(entry.group.clone()).or_default().push(entry);
    }
    // A group whose last endpoint is gone has to hear of it too.
    for group in groups.all() {
        by_group.entry(group.name.clone()).or_default();
    }
    for (name, entries) in by_group {
        update_group(&groups.get_or_create(&name), &entries, clock);
    }
}

fn update_group(group: &Group, entries: &[&EndpointEntry], clock: Clock) {
    let addresses = entries.iter().map(|entry| (entry.id.clone(), entry.address)).collect();
    let mut known = group.addresses.write().unwrap_or_else(PoisonError::into_inner);
    log_changes(group, &known, entries);
    *known = addresses;
    drop(known);
    let members = entries.iter().map(|entry| Member {
        endpoint: entry.id.clone(),
        incarnation: entry.incarnation,
        slots: entry.slots,
        leaving: entry.leaving,
    });
    lock(&group.scheduler).set_members(members.collect(), clock.now());
}

/// Logs what changed in a group, in one line however many endpoints there are.
fn log_changes(
    group: &Group,
    known: &IndexMap<EndpointId, SocketAddr>,
    entries: &[&EndpointEntry],
) {
    let ids = |entries: Vec<&EndpointEntry>| names(entries.iter().map(|e| e.id.as_str()));
    let new: Vec<_> = entries.iter().copied().filter(|e| !known.contains_key(&e.id)).collect();
    let leaving: Vec<_> = entries.iter().copied().filter(|e| e.leaving).collect();
    let gone: Vec<_> = known.keys().filter(|id| !entries.iter().any(|e| e.id == **id)).collect();
    if new.is_empty() && leaving.is_empty() && gone.is_empty() {
        return;
    }
    log::info!(group = group.name.as_str(), known = entries.len(), new = ids(new).as_str(),
        leaving = ids(leaving).as_str(), gone = names(gone.iter().map(|id| id.as_str())).as_str();
        "endpoints_changed");
}
