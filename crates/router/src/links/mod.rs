//! Datagrams between instances: membership, updates on the work they have placed, and freshness
//! queries.
//!
//! Every update states an absolute level or a short-lived addition, so only the latest one matters:
//! the next update replaces a lost one, and none waits for another. A stream would deliver outdated
//! updates late and in order (`docs/decisions/platform.md`). Load updates only change where this
//! instance sends work, and positions wake a follower to query; no guarantee depends on them. What
//! peers tell of suspects and limits also decides what is refused, and is repeated
//! ([`policy::announcements`]).
//! [`policy::gossip`] decides who is a peer. Replies to this instance's own queries ([`queries`])
//! are evaluated by [`policy::freshness`].

mod directory;
mod message;
mod order;
mod queries;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use futures_lite::FutureExt;
use indexmap::IndexMap;
use policy::{
    DataCentre, GroupTag, Incarnation, InstanceId, Time,
    catch_up::{CatchUp, PEERS_ASKED},
    forwarding::Peer,
    freshness::{query_targets, retry_group_size},
    gossip::{Change, Entry, Gossip, Outgoing},
    instances::Instances,
    named_limit::LimitReport,
    placement::{LeavingReport, update_interval},
    quarantine, rendezvous,
    shares::{REPORT_INTERVAL, report_recipients},
};
use smol::{channel::Receiver, net::UdpSocket};

use crate::{
    clock::Clock,
    freshness::{FreshnessQuery, FreshnessTracker},
    join_names, lock,
    signal::Signal,
    state::{Group, Groups},
};

pub use directory::follow_directory;
use message::{Body, Datagram};
use order::Order;
use queries::PendingQuery;

/// Maximum number of updates in one datagram, so that it fits into one packet: an update with a
/// part takes about 40 bytes.
const MAX_UPDATES_PER_DATAGRAM: usize = 24;

/// Maximum number of quarantine entries in one datagram: an entry with eight deaths takes about 140
/// bytes.
const MAX_QUARANTINE_ENTRIES_PER_DATAGRAM: usize = 8;

/// Maximum number of limits in one datagram, at about 25 bytes each.
const MAX_LIMITS_PER_DATAGRAM: usize = 48;

/// Maximum number of leaving endpoints in one datagram, at up to 14 bytes each.
const MAX_LEAVING_PER_DATAGRAM: usize = 80;

/// Maximum number of groups in one datagram, at up to nine bytes each.
const MAX_GROUPS_PER_DATAGRAM: usize = 100;

/// Number of instances that send the quarantine and the limits to one that has appeared. One of
/// them may have failed, and its datagram may be lost.
const INFORMANTS_PER_NEWCOMER: usize = 3;

/// Longer datagrams aren't decoded.
const MAX_DATAGRAM_BYTES: usize = 4 << 10;

/// Exchanges datagrams with other instances.
pub struct Links {
    socket: UdpSocket,
    groups: Arc<Groups>,
    clock: Clock,
    gossip: Gossip,
    /// Addresses at which other instances may be found were configured.
    has_seeds: bool,
    /// Which datagrams of each live peer are outdated.
    order: Order,
    /// Peers that this instance queries, in this order, before it reads the log itself.
    readers: Vec<InstanceId>,
    /// Number of live instances, including this one.
    live_instances: Arc<AtomicUsize>,
    /// Raised for an update that can't wait for the next interval.
    urgent: Signal,
    listed: Receiver<Vec<SocketAddr>>,
    sequence: u64,
    tracker: Arc<FreshnessTracker>,
    queries: Receiver<FreshnessQuery>,
    pending_queries: IndexMap<u64, PendingQuery>,
    /// The peer that last announced an update.
    last_announcer: Option<InstanceId>,
    /// Share of the instances that this one heard when the groups were last told.
    heard_share: Option<f64>,
    /// Peers that appeared and disappeared since the last log line about them.
    discovered: Vec<InstanceId>,
    lost: Vec<InstanceId>,
    /// Peers that appeared and may not know the quarantine and the limits.
    newcomers: Vec<InstanceId>,
    /// Which groups this instance has asked its peers about.
    catch_up: CatchUp,
    /// When the next report of usage is due.
    next_report: Time,
    /// Number of reports of usage sent.
    reports_sent: usize,
}

enum Event {
    UpdatesDue,
    UrgentUpdates,
    GossipDue,
    Query(FreshnessQuery),
    AnnouncementRequested,
    DirectoryListed(Vec<SocketAddr>),
    Received(Datagram, SocketAddr),
}

/// Arguments of [`Links::new`].
pub struct LinkParts {
    /// This instance's name.
    pub instance: InstanceId,
    /// The address of `socket`.
    pub address: SocketAddr,
    /// This instance's data centre.
    pub data_centre: DataCentre,
    /// This instance's incarnation.
    pub incarnation: Incarnation,
    /// Addresses at which other instances may be found.
    pub seeds: Vec<SocketAddr>,
    /// Socket for all datagrams.
    pub socket: UdpSocket,
    /// All endpoint groups.
    pub groups: Arc<Groups>,
    /// Clock for timeouts and updates.
    pub clock: Clock,
    /// Receives the number of live instances, including this one.
    pub live_instances: Arc<AtomicUsize>,
    /// Addresses listed in the directory.
    pub listed: Receiver<Vec<SocketAddr>>,
    /// Records how far this instance has read.
    pub tracker: Arc<FreshnessTracker>,
    /// Queries to send to peers.
    pub queries: Receiver<FreshnessQuery>,
    /// Raised for an update that can't wait for the next interval.
    pub urgent: Signal,
}

impl Links {
    /// Creates links without any peer.
    pub fn new(parts: LinkParts) -> Links {
        let own = Entry::new(parts.instance, parts.address, parts.data_centre, parts.incarnation);
        Links {
            socket: parts.socket,
            groups: parts.groups,
            clock: parts.clock,
            has_seeds: !parts.seeds.is_empty(),
            gossip: Gossip::new(own, parts.seeds, fastrand::u64(..)),
            order: Order::default(),
            readers: Vec::new(),
            live_instances: parts.live_instances,
            urgent: parts.urgent,
            listed: parts.listed,
            sequence: 0,
            tracker: parts.tracker,
            queries: parts.queries,
            pending_queries: IndexMap::new(),
            last_announcer: None,
            heard_share: None,
            discovered: Vec::new(),
            lost: Vec::new(),
            newcomers: Vec::new(),
            catch_up: CatchUp::default(),
            next_report: Time::ZERO,
            reports_sent: 0,
        }
    }

    /// Sends and receives datagrams until it is dropped. May be called again after a panic: peers drop
    /// datagrams that are numbered anew, so what is known has to stay.
    pub async fn run(&mut self) {
        let mut next_update = self.clock.now();
        if self.has_seeds {
            self.share_instances();
        }
        loop {
            match self.next_event(next_update).await {
                Event::UpdatesDue => {
                    next_update = self.clock.now() + update_interval(self.gossip.live_count());
                    self.send_updates(true).await;
                    self.report_usage().await;
                    self.send_returns().await;
                    self.log_peer_changes();
                    self.share_instances_again();
                    self.request_news().await;
                }
                Event::UrgentUpdates => self.send_updates(false).await,
                Event::GossipDue => {
                    let now = self.clock.now();
                    self.pending_queries.retain(|_, query| query.is_open(now));
                    let outgoing = self.gossip.tick(now);
                    self.send_gossip(outgoing).await;
                    self.send_news().await;
                    self.request_news().await;
                }
                Event::Query(query) => self.send_query(query).await,
                Event::AnnouncementRequested => self.send_announcement().await,
                Event::DirectoryListed(addresses) => {
                    self.gossip.add_seeds(addresses, self.clock.now());
                    self.share_instances();
                }
                Event::Received(datagram, from) => self.receive(datagram, from).await,
            }
            self.apply_peer_changes();
            self.inform_newcomers().await;
        }
    }

    async fn next_event(&self, next_update: Time) -> Event {
        let due = async {
            self.clock.sleep_until(next_update).await;
            Event::UpdatesDue
        };
        let gossip_due = async {
            self.clock.sleep_until(self.gossip.next_tick()).await;
            Event::GossipDue
        };
        let urgent = async {
            self.urgent.raised().await;
            Event::UrgentUpdates
        };
        let listed = async { Event::DirectoryListed(recv_or_pending(&self.listed).await) };
        let received = async {
            let mut buf = [0; MAX_DATAGRAM_BYTES];
            loop {
                let Ok((len, from)) = self.socket.recv_from(&mut buf).await else { continue };
                let config = bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>();
                if let Ok((datagram, _)) = bincode::serde::decode_from_slice(&buf[..len], config) {
                    return Event::Received(datagram, from);
                }
            }
        };
        let query = async { Event::Query(recv_or_pending(&self.queries).await) };
        let announcement = async {
            self.tracker.wait_for_announcement_request().await;
            Event::AnnouncementRequested
        };
        urgent.or(gossip_due).or(received).or(query).or(announcement).or(listed).or(due).await
    }

    async fn send_updates(&mut self, is_due: bool) {
        for group in self.groups.all() {
            let updates = lock(&group.scheduler).take_updates(is_due);
            for chunk in updates.chunks(MAX_UPDATES_PER_DATAGRAM) {
                let body = Body::EndpointUpdates { group: group.tag, updates: chunk.to_vec() };
                self.send_all(body).await;
            }
        }
        self.send_news().await;
    }

    /// Reports what workspaces use of one contended group to a few random peers. Groups take turns,
    /// so the number of reports doesn't grow with them.
    async fn report_usage(&mut self) {
        let now = self.clock.now();
        if now < self.next_report {
            return;
        }
        let peers = self.gossip.live_count();
        let interval = REPORT_INTERVAL.max(update_interval(peers));
        self.next_report = now + interval;
        let mut groups = self.groups.all();
        groups.retain(|group| lock(&group.scheduler).is_contended());
        if groups.is_empty() {
            return;
        }
        self.reports_sent += 1;
        let group = &groups[self.reports_sent % groups.len()];
        let Some(usage) = lock(&group.shares).report(now) else { return };
        let addresses = self.gossip.all_live().map(|entry| entry.address);
        let recipients = fastrand::choose_multiple(addresses, report_recipients(peers, interval));
        self.send(Body::Usage { group: group.tag, usage }, &recipients).await;
    }

    /// Sends the refusals by which other instances recognise retries; see [`policy::returns`].
    async fn send_returns(&mut self) {
        let now = self.clock.now();
        let groups: Vec<_> =
            self.groups.all().into_iter().filter(|group| group.is_contended()).collect();
        // Each group has its own queue, and all of them share what may be received.
        let senders = self.gossip.live_count() * groups.len();
        for group in groups {
            let reports = lock(&group.returns).take_news(senders, now);
            if !reports.is_empty() {
                self.send_all(Body::Returns { group: group.tag, reports }).await;
            }
        }
    }

    /// Sends the changes that all instances have to act on at once; see [`policy::announcements`].
    async fn send_news(&mut self) {
        let now = self.clock.now();
        for group in self.groups.all() {
            let news = {
                let mut scheduler = lock(&group.scheduler);
                News {
                    suspects: scheduler.take_quarantine_news(now),
                    limits: scheduler.take_limit_news(now),
                    leaving: scheduler.take_leaving_news(now),
                }
            };
            for body in news.datagrams(group.tag) {
                self.send_all(body).await;
            }
        }
    }

    /// Asks a few peers for the quarantine and the limits of groups that are new to this instance.
    async fn request_news(&mut self) {
        let groups = self.groups.all().into_iter().map(|group| group.tag);
        let has_peers = self.gossip.live_count() > 0;
        let due = self.catch_up.take_due(groups, has_peers, self.clock.now());
        if due.is_empty() {
            return;
        }
        let addresses = self.gossip.all_live().map(|entry| entry.address);
        let peers = fastrand::choose_multiple(addresses, PEERS_ASKED);
        for chunk in due.chunks(MAX_GROUPS_PER_DATAGRAM) {
            self.send(Body::NewsRequest { groups: chunk.to_vec() }, &peers).await;
        }
    }

    /// Answers a peer's request for the quarantine and the limits of groups.
    async fn send_requested_news(&mut self, groups: Vec<GroupTag>, to: SocketAddr) {
        let now = self.clock.now();
        let groups = groups.into_iter().take(MAX_GROUPS_PER_DATAGRAM);
        let groups = groups.filter(|group| self.catch_up.may_answer(*group, now));
        let known: Vec<_> = groups.filter_map(|tag| self.groups.by_tag(tag)).collect();
        if known.is_empty() {
            return;
        }
        for group in &known {
            for body in all_news(group, now) {
                self.send(body, &[to]).await;
            }
        }
        let groups = known.iter().map(|group| group.tag).collect();
        self.send(Body::NewsSent { groups }, &[to]).await;
    }

    /// Sends the whole quarantine and all limits to instances that have appeared: one that was cut
    /// off has missed what the others told meanwhile. Only a few instances do, because all of them
    /// know the same. One that has just started asks by itself; see [`policy::catch_up`].
    async fn inform_newcomers(&mut self) {
        let newcomers = std::mem::take(&mut self.newcomers);
        if newcomers.is_empty() {
            return;
        }
        let now = self.clock.now();
        let bodies: Vec<_> =
            self.groups.all().iter().flat_map(|group| all_news(group, now)).collect();
        // Usually there is nothing to send, and instances appear in hundreds when all of them start.
        if bodies.is_empty() {
            return;
        }
        let newcomers = newcomers.iter().filter(|newcomer| self.is_informant_of(newcomer));
        let entries = newcomers.filter_map(|newcomer| self.gossip.live(newcomer));
        let addresses: Vec<_> = entries.map(|entry| entry.address).collect();
        for body in bodies {
            self.send(body, &addresses).await;
        }
    }

    /// Whether this instance is one of the few that inform an instance that has appeared.
    fn is_informant_of(&self, newcomer: &InstanceId) -> bool {
        let own = &self.gossip.own().instance;
        let others = self.gossip.all_live().map(|entry| &entry.instance);
        let others = others.filter(|instance| *instance != newcomer);
        let members: Vec<_> = std::iter::once(own).chain(others).collect();
        let key = rendezvous::key(newcomer.as_str());
        rendezvous::owners(key, &members, INFORMANTS_PER_NEWCOMER).contains(&0)
    }

    async fn send_all(&mut self, body: Body) {
        let addresses: Vec<_> = self.gossip.all_live().map(|entry| entry.address).collect();
        self.send(body, &addresses).await;
    }

    async fn send_gossip(&mut self, outgoing: Vec<Outgoing>) {
        for (address, message) in outgoing {
            self.send(Body::Gossip(message), &[address]).await;
        }
    }

    /// Sends one datagram, encoded once, to all `addresses`.
    async fn send(&mut self, body: Body, addresses: &[SocketAddr]) {
        self.sequence += 1;
        let incarnation = self.gossip.own().incarnation.into();
        let datagram = Datagram { incarnation, sequence: self.sequence, body };
        // Encoding these types can't fail.
        let bytes = bincode::serde::encode_to_vec(&datagram, bincode::config::standard());
        let Ok(bytes) = bytes else { return };
        for address in addresses {
            if let Err(e) = self.socket.send_to(&bytes, address).await {
                log::debug!(peer:% = address, cause:% = e; "datagram_not_sent");
            }
        }
    }

    async fn send_announcement(&mut self) {
        let (configuration, endpoints) = self.tracker.positions();
        self.send_all(Body::Positions { configuration, endpoints }).await;
    }

    async fn receive(&mut self, datagram: Datagram, from: SocketAddr) {
        if let Body::Gossip(message) = datagram.body {
            let outgoing = self.gossip.receive(from, message, self.clock.now());
            return self.send_gossip(outgoing).await;
        }
        let sender = self.gossip.live_at(from);
        let sender = sender.filter(|entry| datagram.incarnation == entry.incarnation.into());
        let Some(instance) = sender.map(|entry| entry.instance.clone()) else {
            let greeting = self.gossip.greeting(from);
            return self.send_gossip(vec![greeting]).await;
        };
        self.gossip.record_heard(&instance);
        if self.order.accepts(from, &datagram) {
            self.apply(instance, datagram.body, from).await;
        }
    }

    async fn apply(&mut self, instance: InstanceId, body: Body, from: SocketAddr) {
        let now = self.clock.now();
        match body {
            Body::Gossip(_) | Body::Suspects => {}
            Body::EndpointUpdates { group, updates } => {
                if updates.iter().any(|update| update.answered) {
                    self.groups.peers().record_answer(&instance, group, now);
                }
                if let Some(group) = self.groups.by_tag(group) {
                    lock(&group.scheduler).apply_updates(&instance, &updates, now);
                }
            }
            Body::Quarantine { group, entries } => {
                if let Some(group) = self.groups.by_tag(group) {
                    lock(&group.scheduler).apply_quarantine_news(&entries, now);
                }
            }
            Body::Limits { group, reports } => {
                if let Some(group) = self.groups.by_tag(group) {
                    lock(&group.scheduler).apply_limit_reports(&reports, now);
                }
            }
            Body::Leaving { group, reports } => {
                if let Some(group) = self.groups.by_tag(group) {
                    lock(&group.scheduler).apply_leaving_reports(&reports, now);
                }
            }
            Body::NewsRequest { groups } => self.send_requested_news(groups, from).await,
            Body::NewsSent { groups } => {
                groups.into_iter().for_each(|group| self.catch_up.record_answer(group));
            }
            Body::Usage { group, usage } => {
                let group = self.groups.by_tag(group);
                if let Some(group) = group.filter(|group| lock(&group.scheduler).is_contended()) {
                    lock(&group.shares).apply_report(&instance, &usage, now);
                }
            }
            Body::Returns { group, reports } => {
                let group = self.groups.by_tag(group).filter(|group| group.is_contended());
                if let Some(group) = group {
                    lock(&group.returns).apply_news(&reports, now);
                }
            }
            Body::Query { nonce, endpoints_position } => {
                let reply = self.tracker.reply(endpoints_position);
                self.send(Body::Reply { nonce, reply }, &[from]).await;
            }
            Body::Reply { nonce, reply } => self.receive_reply(nonce, reply, from),
            Body::Positions { configuration, endpoints } => {
                self.last_announcer = Some(instance);
                self.tracker.record_announcement(configuration, endpoints);
            }
        }
    }

    /// Applies the changes of the live peers since the last call.
    fn apply_peer_changes(&mut self) {
        let changes = self.gossip.take_changes();
        if changes.is_empty() {
            return;
        }
        let now = self.clock.now();
        for change in changes {
            let (instance, is_new) = match change {
                Change::Appeared(instance) => (instance, true),
                Change::Disappeared(instance) => (instance, false),
            };
            let list = if is_new { &mut self.discovered } else { &mut self.lost };
            list.push(instance.clone());
            if is_new {
                self.newcomers.push(instance.clone());
            }
            self.groups.peers().remove(&instance);
            if let Some(entry) = self.gossip.live(&instance) {
                self.groups.peers().add(Peer {
                    instance: instance.clone(),
                    address: entry.address,
                    data_centre: entry.data_centre.clone(),
                });
            }
            for group in self.groups.all() {
                lock(&group.scheduler).remove_peer(&instance);
                lock(&group.shares).remove_peer(&instance, now);
            }
        }
        self.update_readers();
        self.share_instances();
        let gossip = &self.gossip;
        self.order.retain(|address| gossip.live_at(address).is_some());
    }

    fn update_readers(&mut self) {
        let live: Vec<_> = self
            .gossip
            .all_live()
            .map(|entry| (entry.instance.clone(), entry.data_centre.clone()))
            .collect();
        let own = self.gossip.own();
        self.readers = query_targets(&own.instance, &own.data_centre, &live);
        self.live_instances.store(live.len() + 1, Ordering::Relaxed);
        let group_size = retry_group_size(&own.instance, &own.data_centre, &live);
        self.tracker.record_membership(live.len(), group_size);
    }

    /// Tells the groups which instances there are and how many of them are heard.
    fn share_instances(&mut self) {
        let heard_share = self.gossip.heard_share(self.clock.now());
        self.heard_share = Some(heard_share);
        let instances = Instances::new(
            &self.gossip.own().instance,
            self.gossip.known(),
            self.gossip.live_count(),
            heard_share,
        );
        self.groups.set_instances(instances);
    }

    /// The same if the share of instances that are heard has changed, as it does once removed ones
    /// no longer count.
    fn share_instances_again(&mut self) {
        let heard_share = self.gossip.heard_share(self.clock.now());
        if self.heard_share.is_some_and(|shared| shared != heard_share) {
            self.share_instances();
        }
    }

    /// Logs which peers appeared and disappeared in one line, however many there are.
    fn log_peer_changes(&mut self) {
        let (found, lost) = (std::mem::take(&mut self.discovered), std::mem::take(&mut self.lost));
        if found.is_empty() && lost.is_empty() {
            return;
        }
        let ids = |ids: &[InstanceId]| join_names(ids.iter().map(InstanceId::as_str));
        log::info!(live = self.gossip.live_count(), found = ids(&found).as_str(),
            lost = ids(&lost).as_str(); "peers_changed");
    }
}

/// Receives the next item; waits for ever once the channel is closed.
async fn recv_or_pending<T>(rx: &Receiver<T>) -> T {
    match rx.recv().await {
        Ok(next) => next,
        Err(_) => std::future::pending().await,
    }
}

/// Datagrams with all that the scheduler of a group knows of suspects and of what endpoints say.
fn all_news(group: &Group, now: Time) -> Vec<Body> {
    let scheduler = lock(&group.scheduler);
    let news = News {
        suspects: scheduler.quarantine_entries(now),
        limits: scheduler.limit_reports(),
        leaving: scheduler.leaving_reports(),
    };
    news.datagrams(group.tag)
}

/// What instances merge with what they know of a group.
struct News {
    suspects: Vec<quarantine::Entry>,
    limits: Vec<LimitReport>,
    leaving: Vec<LeavingReport>,
}

impl News {
    fn datagrams(self, group: GroupTag) -> Vec<Body> {
        let suspects = self
            .suspects
            .chunks(MAX_QUARANTINE_ENTRIES_PER_DATAGRAM)
            .map(|entries| Body::Quarantine { group, entries: entries.to_vec() });
        let limits = self
            .limits
            .chunks(MAX_LIMITS_PER_DATAGRAM)
            .map(|reports| Body::Limits { group, reports: reports.to_vec() });
        let leaving = self
            .leaving
            .chunks(MAX_LEAVING_PER_DATAGRAM)
            .map(|reports| Body::Leaving { group, reports: reports.to_vec() });
        suspects.chain(limits).chain(leaving).collect()
    }
}
