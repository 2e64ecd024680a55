//! Follows the endpoints' registrations.

use std::{
    net::SocketAddr,
    sync::{Arc, PoisonError},
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use policy::{
    DataCentre, EndpointGroup, EndpointId, Region, freshness::Position, placement::Member,
    roster::Roster,
};

use super::SourceAccess;
use crate::{
    clock::{BootTime, Clock},
    freshness::{EndpointChange, FreshnessTracker, QueryTarget, ReceivedReply, Source},
    join_names, lock,
    snapshot::{self, SnapshotClient, Transfer},
    source::{EndpointEntry, EndpointSource},
    state::{Group, Groups},
};

/// Time between two reads, as a share of the time within which a leaving endpoint has to stop
/// getting requests. Jitter, a retry and the round trip fit into the rest. More frequent reads
/// would add load to the log service.
const READ_INTERVAL_SHARE: f64 = 0.42;

/// Time between two queries to a peer, as a share of the same time.
const QUERY_INTERVAL_SHARE: f64 = 0.25;

/// Where a peer's knowledge is older than this share, the instance reads the source itself. With
/// the time to the next query and the round trip it stays below the whole.
const MAX_PEER_AGE_SHARE: f64 = 0.5;

/// Time between two reads while registrations that an outage may have removed are still kept.
const SETTLING_READ_INTERVAL: Duration = Duration::from_millis(200);

/// Follows the registrations by queries to peers and, where none of them is up to date, by the log.
#[derive(Clone)]
pub struct Follower<S> {
    source: S,
    groups: Arc<Groups>,
    regions: IndexMap<DataCentre, Region>,
    clock: Clock,
    /// A leaving endpoint gets no new requests after this time.
    leave_within: Duration,
    tracker: Arc<FreshnessTracker>,
    access: SourceAccess,
    roster: Roster<EndpointId, EndpointEntry>,
    registered: Arc<IndexMap<EndpointId, EndpointEntry>>,
}

impl<S: EndpointSource> Follower<S> {
    /// Creates a follower that reads `source` itself where peers can't help.
    pub fn new(
        source: S,
        groups: Arc<Groups>,
        regions: IndexMap<DataCentre, Region>,
        clock: Clock,
        leave_within: Duration,
        tracker: Arc<FreshnessTracker>,
        snapshots: SnapshotClient,
    ) -> Self {
        Follower {
            source,
            groups,
            regions,
            clock,
            leave_within,
            access: SourceAccess::new(Source::Endpoints, tracker.clone(), snapshots),
            tracker,
            roster: Roster::default(),
            registered: Arc::default(),
        }
    }

    /// Keeps the endpoints up to date until it is dropped.
    pub async fn run(mut self) {
        self.access.begin();
        loop {
            let pause = self.refresh().await;
            // Registrations kept after an outage are dropped by the next read, so it has to come
            // soon.
            let pause = if self.roster.is_settling() { SETTLING_READ_INTERVAL } else { pause };
            let pause = pause.mul_f64(0.85 + 0.3 * fastrand::f64());
            self.wait_until(Instant::now() + pause).await;
        }
    }

    /// Waits until `until`, or until an announced update has to be read or queried.
    ///
    /// Guards against a read of the log by every data centre's reader for each change: a reader
    /// takes the change from the peer that announced it, and continues to read at its own interval.
    async fn wait_until(&mut self, until: Instant) {
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !self.tracker.wait_for_announcement(Source::Endpoints, left).await {
                return;
            }
            self.access.react_to_announcement().await;
            if !self.access.is_active_reader() || !self.query(QueryTarget::LastAnnouncer).await {
                return;
            }
        }
    }

    /// Updates the endpoints once, and returns how long to wait until the next update.
    async fn refresh(&mut self) -> Duration {
        let query_interval = self.leave_within.mul_f64(QUERY_INTERVAL_SHARE);
        if self.query_readers().await {
            return query_interval;
        }
        if self.source.position().is_none() {
            let time_until_first_read = self.access.time_until_first_read();
            if !time_until_first_read.is_zero() {
                let is_known = self.query(QueryTarget::AnyLive).await;
                return if is_known { query_interval } else { time_until_first_read };
            }
        }
        let time_until_retry = self.access.time_until_retry();
        if time_until_retry.is_zero() {
            return self.read().await;
        }
        if self.query(QueryTarget::AnyLive).await {
            return query_interval;
        }
        self.roster.record_failure();
        time_until_retry.min(query_interval)
    }

    /// Updates from a peer that reads before this instance; false where none has replied or the
    /// update failed.
    async fn query_readers(&mut self) -> bool {
        let max_age = self.leave_within.mul_f64(MAX_PEER_AGE_SHARE);
        let reply = self
            .tracker
            .query_readers(|received| PeerEndpoints::from_reply(received, max_age))
            .await;
        let Some(reply) = reply else { return false };
        let is_applied = self.apply_reply(&reply).await;
        if is_applied {
            self.access.record_success();
        }
        is_applied
    }

    /// Updates from peers other than the readers; false where none has replied or the update
    /// failed.
    ///
    /// Guards against an instance that alone can't reach the log and continues with outdated
    /// endpoints.
    async fn query(&mut self, target: QueryTarget) -> bool {
        let max_age = self.leave_within.mul_f64(MAX_PEER_AGE_SHARE);
        match self
            .tracker
            .query_peers(target, |received| PeerEndpoints::from_reply(received, max_age))
            .await
        {
            Some(reply) => self.apply_reply(&reply).await,
            None => false,
        }
    }

    /// Applies what a peer has read; false where the transfer of a snapshot failed.
    async fn apply_reply(&mut self, reply: &PeerEndpoints) -> bool {
        let Some(own_position) = self.source.position() else {
            return self.adopt_snapshot(reply.from).await;
        };
        let PeerEndpoints { position, as_of, .. } = *reply;
        let changes = match &reply.changes {
            // The peer has read no further than this instance, so its changes are old.
            _ if position <= own_position => &[][..],
            Some(changes) => changes,
            None => return self.adopt_snapshot(reply.from).await,
        };
        if position > own_position {
            self.apply(changes, position);
        }
        let position = position.max(own_position);
        self.tracker.update_endpoints(
            Some(own_position),
            position,
            as_of,
            changes,
            &self.registered,
        );
        self.apply_registrations();
        true
    }

    async fn adopt_snapshot(&mut self, peer: SocketAddr) -> bool {
        let after = self.source.position().unwrap_or_default();
        let transfer = self.access.fetch_snapshot(peer, after).await;
        let Some(Transfer { position, as_of, content }) = transfer else { return false };
        let entries = match snapshot::decode(&content) {
            Ok(entries) => entries,
            Err(e) => {
                log::warn!(peer:% = peer, cause:% = e; "snapshot_not_taken");
                return false;
            }
        };
        self.source.adopt(&entries, position);
        self.registered = Arc::new(entries);
        self.tracker.update_endpoints(None, position, as_of, &[], &self.registered);
        self.apply_registrations();
        true
    }

    fn apply(&mut self, changes: &[EndpointChange], position: Position) {
        self.source.advance(changes, position);
        let registered = Arc::make_mut(&mut self.registered);
        for EndpointChange { id, entry } in changes {
            match entry {
                Some(entry) => registered.insert(id.clone(), entry.clone()),
                None => registered.shift_remove(id),
            };
        }
    }

    /// Reads the source, and returns how long to wait until the next update.
    async fn read(&mut self) -> Duration {
        let before = self.source.position();
        match self.source.read().await {
            Ok(read) => {
                self.access.record_success();
                let changes = match read.update {
                    Some(entries) => self.replace_all(entries),
                    None => Vec::new(),
                };
                let (position, as_of) = (read.position, read.as_of);
                self.access.log_read(position, !changes.is_empty());
                self.tracker.update_endpoints(before, position, as_of, &changes, &self.registered);
                if before.is_some() && !changes.is_empty() {
                    self.tracker.announce();
                }
                self.apply_registrations();
                self.leave_within.mul_f64(READ_INTERVAL_SHARE)
            }
            Err(e) => {
                self.access.record_failure(&e);
                let query_interval = self.leave_within.mul_f64(QUERY_INTERVAL_SHARE);
                if self.query(QueryTarget::AnyLive).await {
                    return query_interval;
                }
                self.roster.record_failure();
                self.access.time_until_retry().min(query_interval)
            }
        }
    }

    /// Replaces all registrations, and returns what changed.
    fn replace_all(&mut self, entries: Vec<EndpointEntry>) -> Vec<EndpointChange> {
        let registered: IndexMap<_, _> = entries.into_iter().map(|e| (e.id.clone(), e)).collect();
        let removed = self.registered.keys().filter(|id| !registered.contains_key(*id));
        let removed = removed.map(|id| EndpointChange { id: id.clone(), entry: None });
        let new = registered.iter().filter(|(id, entry)| self.registered.get(*id) != Some(entry));
        let new = new.map(|(id, e)| EndpointChange { id: id.clone(), entry: Some(e.clone()) });
        let changes = removed.chain(new).collect();
        self.registered = Arc::new(registered);
        changes
    }

    fn apply_registrations(&mut self) {
        if self.roster.update(&self.registered, self.clock.now()) {
            self.update_groups();
        }
        self.groups.mark_endpoints_read();
    }

    fn update_groups(&self) {
        let mut by_group: IndexMap<EndpointGroup, Vec<&EndpointEntry>> = IndexMap::new();
        for entry in self.roster.entries().values() {
            by_group.entry(entry.group.clone()).or_default().push(entry);
        }
        // Groups whose last endpoint was removed have to be updated too.
        for group in self.groups.all() {
            by_group.entry(group.name.clone()).or_default();
        }
        for (name, entries) in by_group {
            update_group(&self.groups.get_or_create(&name), &entries, &self.regions, self.clock);
        }
    }
}

/// What a peer has read of the registrations.
struct PeerEndpoints {
    from: SocketAddr,
    position: Position,
    as_of: BootTime,
    /// Changes since this instance's own position; none where the peer no longer keeps them.
    changes: Option<Vec<EndpointChange>>,
}

impl PeerEndpoints {
    /// None where the peer's knowledge is older than `max_age`.
    fn from_reply(received: ReceivedReply, max_age: Duration) -> Option<PeerEndpoints> {
        let freshness = received.reply.endpoints?;
        let age = freshness.age_after(received.query_sent.age());
        let as_of = BootTime::now().before(age);
        let changes = received.reply.changes;
        (age <= max_age).then_some(PeerEndpoints {
            from: received.from,
            position: freshness.position,
            as_of,
            changes,
        })
    }
}

fn update_group(
    group: &Group,
    entries: &[&EndpointEntry],
    regions: &IndexMap<DataCentre, Region>,
    clock: Clock,
) {
    let addresses = entries.iter().map(|entry| (entry.id.clone(), entry.address)).collect();
    let mut current = group.addresses.write().unwrap_or_else(PoisonError::into_inner);
    log_changes(group, &current, entries);
    *current = addresses;
    drop(current);
    let members = entries.iter().map(|entry| Member {
        endpoint: entry.id.clone(),
        incarnation: entry.incarnation,
        slots: entry.slots.into(),
        leaving: entry.leaving,
        data_centre: entry.data_centre.clone(),
        region: regions.get(&entry.data_centre).cloned(),
        cold_start: entry.cold_start,
    });
    lock(&group.scheduler).set_members(members.collect(), clock.now());
}

/// Logs the changes of a group in one line, however many endpoints there are.
fn log_changes(
    group: &Group,
    previous: &IndexMap<EndpointId, SocketAddr>,
    entries: &[&EndpointEntry],
) {
    let ids = |entries: Vec<&EndpointEntry>| join_names(entries.iter().map(|e| e.id.as_str()));
    let new: Vec<_> = entries.iter().copied().filter(|e| !previous.contains_key(&e.id)).collect();
    let leaving: Vec<_> = entries.iter().copied().filter(|e| e.leaving).collect();
    let removed: Vec<_> =
        previous.keys().filter(|id| !entries.iter().any(|e| e.id == **id)).collect();
    if new.is_empty() && leaving.is_empty() && removed.is_empty() {
        return;
    }
    log::info!(group = group.name.as_str(), known = entries.len(), new = ids(new).as_str(),
        leaving = ids(leaving).as_str(),
        gone = join_names(removed.iter().map(|id| id.as_str())).as_str();
        "endpoints_changed");
}
