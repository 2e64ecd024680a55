//! Datagrams between instances: updates on the work they have placed, heartbeats, and freshness
//! queries.
//!
//! Every update states an absolute level or a short-lived addition, so only the latest one matters:
//! the next update replaces a lost one, and none waits for another. A stream would deliver outdated
//! updates late and in order (`docs/decisions/platform.md`). What peers send unasked only changes
//! where this instance sends work, or wakes a follower to query; no guarantee depends on it.
//! Replies to this instance's own queries ([`queries`]) are evaluated by [`policy::freshness`].

mod message;
mod queries;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures_lite::FutureExt;
use indexmap::IndexMap;
use policy::{
    DataCentre, EndpointGroup, Incarnation, InstanceId, Time, freshness::retry_group_size,
    placement::update_interval, warm_up::Instances,
};
use smol::{
    Timer,
    channel::{Receiver, Sender},
    net::UdpSocket,
};

use crate::{
    clock::Clock,
    freshness::{FreshnessQuery, FreshnessTracker},
    join_names, lock,
    signal::Signal,
    source::{PeerDirectory, PeerEntry},
    state::{Group, Groups},
};

use message::{Body, Datagram, Hello, IncarnationTag};
use queries::PendingQuery;

/// Interval between retries of the directory. Instances that start together don't know each other
/// yet, so none of them knows how many share the retries.
const DIRECTORY_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of updates in one datagram, so that it fits into one packet: an update with a
/// part takes about 40 bytes.
const MAX_UPDATES_PER_DATAGRAM: usize = 24;

/// Longer datagrams aren't decoded.
const MAX_DATAGRAM_BYTES: usize = 4 << 10;

/// An instance that has sent nothing else sends a heartbeat at this interval.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// An instance that was silent for this long, six heartbeats, is considered dead, and its work is
/// discarded.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Heartbeats are still sent to a silent instance's address for this long.
const DEAD_PEER_RETENTION: Duration = Duration::from_secs(60);

/// Time between two reads of the directory. An instance that starts sends hellos to all listed
/// instances, and again to those that don't reply; later reads only recover what was lost beyond
/// that.
const DIRECTORY_POLL_INTERVAL: Duration = Duration::from_secs(45);

/// Rounds of hellos to listed instances that haven't been seen. Most of them have stopped for good.
const MAX_HELLO_ROUNDS: u32 = 5;

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    data_centre: DataCentre,
    incarnation: Incarnation,
    sequence: u64,
    last_seen: Time,
    is_live: bool,
}

impl Peer {
    /// Whether this peer sends from `address` under `incarnation`.
    fn is_sender(&self, address: SocketAddr, incarnation: IncarnationTag) -> bool {
        self.is_live && self.address == address && incarnation == self.incarnation.into()
    }
}

/// Exchanges datagrams with all other instances.
pub struct Links {
    own_entry: PeerEntry,
    incarnation: Incarnation,
    socket: UdpSocket,
    groups: Arc<Groups>,
    clock: Clock,
    peers: IndexMap<InstanceId, Peer>,
    /// Number of live instances, including this one.
    live_instances: Arc<AtomicUsize>,
    /// Raised for an update that can't wait for the next interval.
    urgent: Signal,
    listed: Receiver<Vec<PeerEntry>>,
    sequence: u64,
    last_sent: Time,
    /// Number of suspects per group at the last regular update. They are sent again only when it
    /// has grown.
    suspect_counts: IndexMap<EndpointGroup, usize>,
    /// Listed instances that haven't been seen yet, and how many more rounds of hellos they get.
    unseen_entries: Vec<PeerEntry>,
    hello_rounds_left: u32,
    last_hello: Time,
    data_centre: DataCentre,
    tracker: Arc<FreshnessTracker>,
    queries: Receiver<FreshnessQuery>,
    pending_queries: IndexMap<u64, PendingQuery>,
    /// The peer that last announced an update.
    last_announcer: Option<InstanceId>,
    /// Peers that appeared and disappeared since the last log line about them.
    discovered: Vec<InstanceId>,
    lost: Vec<InstanceId>,
}

enum Event {
    UpdatesDue,
    UrgentUpdates,
    Query(FreshnessQuery),
    AnnouncementRequested,
    DirectoryListed(Vec<PeerEntry>),
    Received(Datagram, SocketAddr),
}

/// Arguments of [`Links::new`].
pub struct LinkParts {
    /// This instance's entry in the directory.
    pub own_entry: PeerEntry,
    /// This instance's incarnation.
    pub incarnation: Incarnation,
    /// Socket for all datagrams.
    pub socket: UdpSocket,
    /// All endpoint groups.
    pub groups: Arc<Groups>,
    /// Clock for timeouts and updates.
    pub clock: Clock,
    /// Receives the number of live instances, including this one.
    pub live_instances: Arc<AtomicUsize>,
    /// Listings of the directory.
    pub listed: Receiver<Vec<PeerEntry>>,
    /// This instance's data centre.
    pub data_centre: DataCentre,
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
        Links {
            own_entry: parts.own_entry,
            incarnation: parts.incarnation,
            socket: parts.socket,
            groups: parts.groups,
            clock: parts.clock,
            peers: IndexMap::new(),
            live_instances: parts.live_instances,
            urgent: parts.urgent,
            listed: parts.listed,
            sequence: 0,
            last_sent: Time::ZERO,
            suspect_counts: IndexMap::new(),
            unseen_entries: Vec::new(),
            hello_rounds_left: 0,
            last_hello: Time::ZERO,
            data_centre: parts.data_centre,
            tracker: parts.tracker,
            queries: parts.queries,
            pending_queries: IndexMap::new(),
            last_announcer: None,
            discovered: Vec::new(),
            lost: Vec::new(),
        }
    }

    /// Sends and receives datagrams until it is dropped.
    pub async fn run(mut self) {
        let mut next_update = self.clock.now();
        loop {
            match self.next_event(next_update).await {
                Event::UpdatesDue => {
                    next_update = self.clock.now() + update_interval(self.peers.len());
                    self.send_updates(true).await;
                    self.send_hellos().await;
                    self.expire_peers();
                    self.log_peer_changes();
                }
                Event::UrgentUpdates => self.send_updates(false).await,
                Event::Query(query) => self.send_query(query).await,
                Event::AnnouncementRequested => self.send_announcement().await,
                Event::DirectoryListed(entries) => {
                    self.unseen_entries = entries;
                    self.hello_rounds_left = MAX_HELLO_ROUNDS;
                    self.last_hello = Time::ZERO;
                    self.send_hellos().await;
                    self.update_peer_counts();
                }
                Event::Received(datagram, from) => self.receive(datagram, from).await,
            }
        }
    }

    async fn next_event(&self, next_update: Time) -> Event {
        let due = async {
            Timer::after(self.clock.until(next_update)).await;
            Event::UpdatesDue
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
        urgent.or(received).or(query).or(announcement).or(listed).or(due).await
    }

    async fn send_updates(&mut self, is_due: bool) {
        for group in self.groups.all() {
            let updates = lock(&group.scheduler).take_updates(is_due);
            for chunk in updates.chunks(MAX_UPDATES_PER_DATAGRAM) {
                let body = Body::EndpointUpdates { group: group.tag, updates: chunk.to_vec() };
                self.send_all(body).await;
            }
            if is_due {
                self.send_suspects(&group).await;
            }
        }
        if is_due && self.clock.now().since(self.last_sent) >= HEARTBEAT_INTERVAL {
            self.send_all(self.hello_body(false)).await;
        }
    }

    async fn send_suspects(&mut self, group: &Group) {
        let now = self.clock.now();
        let entries = lock(&group.scheduler).quarantine().export(now);
        let before = self.suspect_counts.insert(group.name.clone(), entries.len()).unwrap_or(0);
        if entries.len() > before {
            let body = Body::Suspects { group: group.tag, entries };
            self.send_all(body).await;
        }
    }

    async fn send_all(&mut self, body: Body) {
        self.last_sent = self.clock.now();
        let now = self.clock.now();
        let recipients = self.peers.values().filter(|peer| {
            peer.is_live
                || now.since(peer.last_seen) < DEAD_PEER_RETENTION
                    && matches!(body, Body::Heartbeat(_))
        });
        let addresses: Vec<_> = recipients.map(|peer| peer.address).collect();
        self.send(body, &addresses).await;
    }

    /// Sends one datagram, encoded once, to all `addresses`.
    async fn send(&mut self, body: Body, addresses: &[SocketAddr]) {
        self.sequence += 1;
        let datagram =
            Datagram { incarnation: self.incarnation.into(), sequence: self.sequence, body };
        // Encoding these types can't fail.
        let bytes = bincode::serde::encode_to_vec(&datagram, bincode::config::standard());
        let Ok(bytes) = bytes else { return };
        for address in addresses {
            if let Err(e) = self.socket.send_to(&bytes, address).await {
                log::debug!(peer:% = address, cause:% = e; "datagram_not_sent");
            }
        }
    }

    /// Sends hellos to listed instances that haven't been seen yet.
    async fn send_hellos(&mut self) {
        let now = self.clock.now();
        if self.hello_rounds_left == 0
            || self.last_hello > Time::ZERO && now.since(self.last_hello) < HEARTBEAT_INTERVAL
        {
            return;
        }
        self.hello_rounds_left -= 1;
        self.last_hello = now;
        let (own_entry, peers) = (&self.own_entry, &self.peers);
        self.unseen_entries
            .retain(|e| e.instance != own_entry.instance && !peers.contains_key(&e.instance));
        let addresses: Vec<_> = self.unseen_entries.iter().map(|entry| entry.address).collect();
        self.send(self.hello_body(true), &addresses).await;
    }

    async fn send_announcement(&mut self) {
        let (configuration, endpoints) = self.tracker.positions();
        self.send_all(Body::Positions { configuration, endpoints }).await;
    }

    async fn receive(&mut self, datagram: Datagram, from: SocketAddr) {
        let Datagram { incarnation, sequence, body } = datagram;
        if let Body::Heartbeat(hello) = body {
            return self.handle_hello(hello, sequence, from).await;
        }
        let now = self.clock.now();
        let sender = self.peers.iter_mut().find(|(_, peer)| peer.is_sender(from, incarnation));
        let Some((instance, peer)) = sender else {
            return self.send(self.hello_body(true), &[from]).await;
        };
        peer.last_seen = now;
        if sequence <= peer.sequence {
            return;
        }
        peer.sequence = sequence;
        let instance = instance.clone();
        self.apply(instance, body, from).await;
    }

    /// Adds or updates the peer that sent a hello.
    async fn handle_hello(&mut self, hello: Hello, sequence: u64, from: SocketAddr) {
        let Hello { instance, incarnation, data_centre, wants_reply } = hello;
        if instance == self.own_entry.instance {
            return;
        }
        let now = self.clock.now();
        match self.peers.get_mut(&instance) {
            Some(peer) if incarnation < peer.incarnation => return,
            Some(peer) if peer.is_live && peer.is_sender(from, incarnation.into()) => {
                peer.last_seen = now;
                peer.sequence = peer.sequence.max(sequence);
                if wants_reply {
                    self.send(self.hello_body(false), &[from]).await;
                }
                return;
            }
            _ => {}
        }
        let (last_seen, address) = (now, from);
        let peer = Peer { address, data_centre, incarnation, sequence, last_seen, is_live: true };
        self.remove_from_schedulers(&instance);
        self.discovered.push(instance.clone());
        self.peers.insert(instance, peer);
        self.update_peer_counts();
        self.send(self.hello_body(false), &[from]).await;
    }

    fn hello_body(&self, wants_reply: bool) -> Body {
        Body::Heartbeat(Hello {
            instance: self.own_entry.instance.clone(),
            incarnation: self.incarnation,
            data_centre: self.data_centre.clone(),
            wants_reply,
        })
    }

    async fn apply(&mut self, instance: InstanceId, body: Body, from: SocketAddr) {
        let now = self.clock.now();
        match body {
            Body::Heartbeat(_) => {}
            Body::EndpointUpdates { group, updates } => {
                if let Some(group) = self.groups.by_tag(group) {
                    lock(&group.scheduler).apply_updates(&instance, &updates, now);
                }
            }
            Body::Suspects { group, entries } => {
                if let Some(group) = self.groups.by_tag(group) {
                    lock(&group.scheduler).quarantine().import(&entries, now);
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

    fn expire_peers(&mut self) {
        let now = self.clock.now();
        self.pending_queries.retain(|_, query| query.is_open(now));
        let silent =
            self.peers.iter().filter(|(_, p)| p.is_live && now.since(p.last_seen) > PEER_TIMEOUT);
        let silent: Vec<_> = silent.map(|(instance, _)| instance.clone()).collect();
        for instance in silent {
            self.mark_dead(&instance);
        }
        self.peers.retain(|_, peer| now.since(peer.last_seen) < DEAD_PEER_RETENTION);
    }

    /// Logs which peers appeared and disappeared in one line, however many there are.
    fn log_peer_changes(&mut self) {
        let (found, lost) = (std::mem::take(&mut self.discovered), std::mem::take(&mut self.lost));
        if found.is_empty() && lost.is_empty() {
            return;
        }
        let ids = |ids: &[InstanceId]| join_names(ids.iter().map(InstanceId::as_str));
        log::info!(live = self.live_peers().len(), found = ids(&found).as_str(),
            lost = ids(&lost).as_str(); "peers_changed");
    }

    fn mark_dead(&mut self, instance: &InstanceId) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.is_live = false;
        }
        self.lost.push(instance.clone());
        self.remove_from_schedulers(instance);
        self.update_peer_counts();
    }

    fn remove_from_schedulers(&self, instance: &InstanceId) {
        for group in self.groups.all() {
            lock(&group.scheduler).remove_peer(instance);
        }
    }

    fn live_peers(&self) -> Vec<(InstanceId, DataCentre)> {
        let live = self.peers.iter().filter(|(_, peer)| peer.is_live);
        live.map(|(instance, peer)| (instance.clone(), peer.data_centre.clone())).collect()
    }

    fn update_peer_counts(&self) {
        let live = self.live_peers();
        self.live_instances.store(live.len() + 1, Ordering::Relaxed);
        self.groups.set_instances(Instances::new(&self.own_entry.instance, self.peers.keys()));
        self.tracker.set_retry_group_size(retry_group_size(
            &self.own_entry.instance,
            &self.data_centre,
            &live,
        ));
    }
}

/// Receives the next item; waits for ever once the channel is closed.
async fn recv_or_pending<T>(rx: &Receiver<T>) -> T {
    match rx.recv().await {
        Ok(next) => next,
        Err(_) => std::future::pending().await,
    }
}

/// Registers this instance in the directory, then lists it periodically until it is dropped.
pub async fn follow_directory(
    mut directory: impl PeerDirectory,
    own_entry: PeerEntry,
    listed: Sender<Vec<PeerEntry>>,
) {
    while let Err(e) = directory.register(&own_entry).await {
        log::debug!(cause:% = e; "not_registered");
        Timer::after(DIRECTORY_RETRY_INTERVAL).await;
    }
    loop {
        let pause = match directory.list().await {
            Ok(entries) => {
                if listed.send(entries).await.is_err() {
                    return;
                }
                DIRECTORY_POLL_INTERVAL
            }
            Err(_) => DIRECTORY_RETRY_INTERVAL,
        };
        Timer::after(pause).await;
    }
}
