//! What instances tell each other of the work they placed, in datagrams.
//!
//! Every word is a level or a short-lived addition, so the newest is all that matters: a lost one
//! is made good by the next, and none waits behind another. A stream would deliver old words late
//! and in order (`docs/decisions/platform.md`). What an instance is told unasked changes only where it
//! sends work, or wakes it to look; nothing that must hold depends on it. Answers to its own questions
//! ([`questions`]) are believed as [`policy::freshness`] says.

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
    placement::update_interval,
};
use smol::{
    Timer,
    channel::{Receiver, Sender},
    net::UdpSocket,
};

use crate::{
    clock::Clock,
    freshness::{FreshnessQuery, FreshnessTracker},
    lock, names,
    signal::Signal,
    source::{PeerDirectory, PeerEntry},
    state::{Group, Groups},
};

use message::{Body, Datagram, Hello, IncarnationTag};
use queries::PendingQuery;

/// Pause before the directory is tried again. Instances that start together don't know of one another
/// yet, so none knows with how many it shares the retries.
const DIRECTORY_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The most words in one datagram, so that it fits into one packet: a word with a part takes about 40
/// bytes.
const MAX_UPDATES_PER_DATAGRAM: usize = 24;

/// The longest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 4 << 10;

/// An instance that has nothing to say says so this often.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// An instance unheard of for this long is gone, and its work with it: six heartbeats.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// How long addresses of instances that fell silent are still tried.
const DEAD_PEER_RETENTION: Duration = Duration::from_secs(60);

/// Time between two readings of the directory. Instances that start greet all that are in it, and again
/// those that don't answer; this only heals what was lost beyond that.
const DIRECTORY_POLL_INTERVAL: Duration = Duration::from_secs(45);

/// How often those that are listed and weren't heard of are greeted. Most of them are gone for good.
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
    /// Whether datagrams of this life come from there.
    fn is_sender(&self, address: SocketAddr, incarnation: IncarnationTag) -> bool {
        self.is_live && self.address == address && incarnation == self.incarnation.into()
    }
}

/// The links of one instance.
pub struct Links {
    own_entry: PeerEntry,
    incarnation: Incarnation,
    socket: UdpSocket,
    groups: Arc<Groups>,
    clock: Clock,
    peers: IndexMap<InstanceId, Peer>,
    /// Live instances, this one included.
    live_instances: Arc<AtomicUsize>,
    /// Raised for a word that can't wait.
    urgent: Signal,
    listed: Receiver<Vec<PeerEntry>>,
    sequence: u64,
    last_sent: Time,
    /// Suspects told in the last round, so that only changes are told.
    suspect_counts: IndexMap<EndpointGroup, usize>,
    /// Listed instances that weren't heard of yet, and how often they will still be greeted.
    unseen_entries: Vec<PeerEntry>,
    hello_rounds_left: u32,
    last_hello: Time,
    data_centre: DataCentre,
    tracker: Arc<FreshnessTracker>,
    queries: Receiver<FreshnessQuery>,
    pending_queries: IndexMap<u64, PendingQuery>,
    /// The peer that last told of news.
    last_announcer: Option<InstanceId>,
    /// Peers found and lost since that was logged.
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

/// What links need of their instance.
pub struct LinkParts {
    /// This instance.
    pub own_entry: PeerEntry,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its socket.
    pub socket: UdpSocket,
    /// All endpoint groups.
    pub groups: Arc<Groups>,
    /// Its clock.
    pub clock: Clock,
    /// Where the count of live instances is kept.
    pub live_instances: Arc<AtomicUsize>,
    /// Addresses from the directory.
    pub listed: Receiver<Vec<PeerEntry>>,
    /// Where this instance stands.
    pub data_centre: DataCentre,
    /// What it has read.
    pub tracker: Arc<FreshnessTracker>,
    /// Its questions to peers.
    pub queries: Receiver<FreshnessQuery>,
    /// Raised for a word that can't wait.
    pub urgent: Signal,
}

impl Links {
    /// Links without peers yet.
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

    /// Tells and hears until it is dropped.
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

    /// Sends one datagram, written once, to each of these.
    async fn send(&mut self, body: Body, addresses: &[SocketAddr]) {
        self.sequence += 1;
        let datagram =
            Datagram { incarnation: self.incarnation.into(), sequence: self.sequence, body };
        // These types can always be written.
        let bytes = bincode::serde::encode_to_vec(&datagram, bincode::config::standard());
        let Ok(bytes) = bytes else { return };
        for address in addresses {
            if let Err(e) = self.socket.send_to(&bytes, address).await {
                log::debug!(peer:% = address, cause:% = e; "datagram_not_sent");
            }
        }
    }

    /// Greets those that are listed and weren't heard of yet.
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

    /// A peer says who it is.
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
        self.discard_updates(&instance);
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

    /// Logs which peers came and went, in one line however many there are.
    fn log_peer_changes(&mut self) {
        let (found, lost) = (std::mem::take(&mut self.discovered), std::mem::take(&mut self.lost));
        if found.is_empty() && lost.is_empty() {
            return;
        }
        let ids = |ids: &[InstanceId]| names(ids.iter().map(InstanceId::as_str));
        log::info!(live = self.live_peers().len(), found = ids(&found).as_str(), lost = ids(&lost).as_str();
            "peers_changed");
    }

    fn mark_dead(&mut self, instance: &InstanceId) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.is_live = false;
        }
        self.lost.push(instance.clone());
        self.discard_updates(instance);
        self.update_peer_counts();
    }

    fn discard_updates(&self, instance: &InstanceId) {
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
        self.tracker.set_retry_group_size(retry_group_size(
            &self.own_entry.instance,
            &self.data_centre,
            &live,
        ));
    }
}

/// What comes next; nothing ever where the sender is gone.
async fn recv_or_pending<T>(rx: &Receiver<T>) -> T {
    match rx.recv().await {
        Ok(next) => next,
        Err(_) => std::future::pending().await,
    }
}

/// Registers this instance and reads the directory now and then, until it is dropped.
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
