//! Follows the configuration.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use policy::{
    DataCentre,
    drain::DrainedDataCentres,
    freshness::{FreshnessCheck, Position},
    routes::RouteTable,
};

use super::SourceAccess;
use crate::{
    clock::BootTime,
    freshness::{FreshnessTracker, QueryTarget, ReceivedReply, Source},
    join_names, lock,
    settings::ColdTolerance,
    snapshot::{SnapshotClient, Transfer},
    source::ConfigSource,
    state::{Configuration, Groups},
};

/// Time between two queries to a peer. Updates are announced at once; where an announcement is
/// lost, a change is in force up to this much later.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// Where a peer's knowledge is older than this, the instance reads the source itself. Covers a read
/// that the log service holds open, and its round trip. Together with [`QUERY_INTERVAL`] it stays
/// below the two seconds within which a change has to be in force, even where the peer's connection
/// to the log falls silent.
const MAX_PEER_AGE: Duration = Duration::from_millis(1_100);

/// Follows the configuration by queries to peers and, where none of them is up to date, by the log.
#[derive(Clone)]
pub struct Follower<S> {
    source: S,
    configuration: Arc<Configuration>,
    groups: Arc<Groups>,
    cold_tolerance: Option<ColdTolerance>,
    tracker: Arc<FreshnessTracker>,
    access: SourceAccess,
}

impl<S: ConfigSource> Follower<S> {
    /// Creates a follower that reads `source` itself where peers can't help.
    pub fn new(
        source: S,
        configuration: Arc<Configuration>,
        groups: Arc<Groups>,
        cold_tolerance: Option<ColdTolerance>,
        tracker: Arc<FreshnessTracker>,
        snapshots: SnapshotClient,
    ) -> Self {
        let access = SourceAccess::new(Source::Configuration, tracker.clone(), snapshots);
        Follower { source, configuration, groups, cold_tolerance, tracker, access }
    }

    /// Keeps the configuration up to date until it is dropped.
    pub async fn run(mut self) {
        self.access.begin();
        loop {
            let pause = self.refresh().await;
            if self.tracker.wait_for_announcement(Source::Configuration, pause).await {
                self.access.react_to_announcement().await;
            }
        }
    }

    /// Updates the configuration once, and returns how long to wait until the next update.
    async fn refresh(&mut self) -> Duration {
        if self.query_readers().await && self.has_all_updates().await {
            return QUERY_INTERVAL;
        }
        if self.source.position().is_none() {
            let time_until_first_read = self.access.time_until_first_read();
            if !time_until_first_read.is_zero() {
                let is_known = self.query_any_peer().await;
                return if is_known { QUERY_INTERVAL } else { time_until_first_read };
            }
        }
        let time_until_retry = self.access.time_until_retry();
        if time_until_retry.is_zero() {
            return self.read().await;
        }
        self.query_any_peer().await;
        time_until_retry.min(QUERY_INTERVAL)
    }

    /// Whether this instance has every update that a peer has announced; queries other peers where
    /// it hasn't.
    ///
    /// Guards against a late update: where a peer other than the queried readers has announced it,
    /// the readers' replies don't contain it yet.
    async fn has_all_updates(&mut self) -> bool {
        if self.tracker.is_behind(Source::Configuration) {
            self.query_any_peer().await;
        }
        !self.tracker.is_behind(Source::Configuration)
    }

    /// Updates from a peer that reads before this instance; false where none has replied or the
    /// update failed.
    async fn query_readers(&mut self) -> bool {
        let Some(reply) = self.tracker.query_readers(self.reply_check()).await else {
            return false;
        };
        let is_applied = self.apply_reply(&reply).await;
        if is_applied {
            self.access.record_success();
        }
        is_applied
    }

    /// Updates from any peer; false where none has replied or the update failed.
    ///
    /// Guards against an instance that alone can't reach the log and refuses all requests that need
    /// a key, although its peers have just read the log.
    async fn query_any_peer(&mut self) -> bool {
        match self.tracker.query_peers(QueryTarget::AnyLive, self.reply_check()).await {
            Some(reply) => self.apply_reply(&reply).await,
            None => false,
        }
    }

    /// Returns a check of replies against the position that this instance has read up to.
    fn reply_check(&self) -> impl Fn(ReceivedReply) -> Option<CheckedReply> + use<S> {
        let (configuration, own_position) = (self.configuration.clone(), self.source.position());
        move |received| check_reply(&configuration, &received, own_position)
    }

    /// Applies a peer's reply; false where the transfer of a snapshot failed.
    async fn apply_reply(&mut self, reply: &CheckedReply) -> bool {
        match *reply {
            CheckedReply::Complete(position, as_of) => {
                self.tracker.update_configuration(position, as_of, None);
                true
            }
            CheckedReply::Behind(peer) => self.adopt_snapshot(peer).await,
        }
    }

    async fn adopt_snapshot(&mut self, peer: SocketAddr) -> bool {
        let after = self.source.position().unwrap_or_default();
        let transfer = self.access.fetch_snapshot(peer, after).await;
        let Some(Transfer { position, as_of, content }) = transfer else { return false };
        match self.source.adopt(&content, position) {
            Ok(published) => {
                self.put_in_force(published.table, &published.drained);
                self.configuration.confirm(as_of);
                self.tracker.update_configuration(position, as_of, Some(content));
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
            Ok(read) => {
                self.access.record_success();
                let bytes = read.update.as_ref().map(|published| published.bytes.clone());
                let is_newer = read.update.is_some_and(|published| {
                    self.put_in_force(published.table, &published.drained)
                });
                self.access.log_read(read.position, is_newer);
                self.configuration.confirm(read.as_of);
                self.tracker.update_configuration(read.position, read.as_of, bytes);
                if is_newer {
                    self.tracker.announce();
                }
                Duration::ZERO
            }
            Err(e) => {
                self.access.record_failure(&e);
                self.query_any_peer().await;
                self.access.time_until_retry().min(QUERY_INTERVAL)
            }
        }
    }

    /// Returns whether anything has changed. Updates come in the order of their positions, so
    /// the drained data centres of the latest one are the current ones.
    fn put_in_force(&self, table: RouteTable, drained: &DrainedDataCentres) -> bool {
        let is_drain_changed = self.groups.set_drained(drained);
        if is_drain_changed {
            let names = join_names(drained.iter().map(DataCentre::as_str));
            log::info!(data_centres = names.as_str(); "drain_in_force");
        }
        let version = table.version;
        let is_newer = self.configuration.replace_if_newer(table);
        if is_newer {
            log::info!(version = version.0; "config_in_force");
            for (name, rules) in &self.configuration.table().groups {
                let group = self.groups.get_or_create(name);
                let cold_limit = self
                    .cold_tolerance
                    .zip(rules.cold_requests_per_s)
                    .map(|(tolerance, rate)| tolerance.limit_per_s(rate));
                let mut scheduler = lock(&group.scheduler);
                scheduler.set_rules(rules.engine.clone());
                scheduler.set_cold_limit(cold_limit);
            }
        }
        is_newer || is_drain_changed
    }
}

/// A peer's reply, compared with what this instance has read.
enum CheckedReply {
    /// This instance has everything up to this position, as of this moment.
    Complete(Position, BootTime),
    /// The peer at this address has read further.
    Behind(SocketAddr),
}

/// Compares a peer's reply with `own_position`. Where the peer has read no further, its reply
/// confirms the configuration in force, however old it is.
fn check_reply(
    configuration: &Configuration,
    received: &ReceivedReply,
    own_position: Option<Position>,
) -> Option<CheckedReply> {
    let freshness = received.reply.configuration?;
    let behind = Some(CheckedReply::Behind(received.from));
    let Some(own_position) = own_position else { return behind };
    match freshness.check(own_position, received.query_sent.age()) {
        FreshnessCheck::Complete(age) => {
            let as_of = BootTime::now().before(age);
            configuration.confirm(as_of);
            (age <= MAX_PEER_AGE).then_some(CheckedReply::Complete(own_position, as_of))
        }
        FreshnessCheck::Behind => behind,
    }
}
