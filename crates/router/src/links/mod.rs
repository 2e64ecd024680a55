//! What instances tell each other of the work they placed, in datagrams.
//!
//! Every word is a level or a short-lived addition, so the newest is all that matters: a lost one
//! is made good by the next, and none waits behind another. A stream would deliver old words late
//! and in order (`docs/decisions/platform.md`). What an instance is told unasked changes only where it
//! sends work, or wakes it to look; nothing that must hold depends on it. Answers to its own questions
//! ([`questions`]) are believed as [`policy::freshness`] says.

mod message;
mod questions;

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

use message::{Body, Datagram, Hello, LifeTag};
use questions::Pending;

/// Pause before the directory is tried again. Instances that start together don't know of one another
/// yet, so none knows with how many it shares the retries.
const DIRECTORY_RETRY: Duration = Duration::from_millis(500);

/// The most words in one datagram, so that it fits into one packet: a word with a part takes about 40
/// bytes.
const WORDS: usize = 24;

/// The longest datagram that is read.
const MAX_DATAGRAM: usize = 4 << 10;

/// An instance that has nothing to say says so this often.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// An instance unheard of for this long is gone, and its work with it: six heartbeats.
const SILENT: Duration = Duration::from_secs(3);

/// How long addresses of instances that fell silent are still tried.
const REMEMBERED: Duration = Duration::from_secs(60);

/// Time between two readings of the directory. Instances that start greet all that are in it, and again
/// those that don't answer; this only heals what was lost beyond that.
const DIRECTORY_PERIOD: Duration = Duration::from_secs(45);

/// How often those that are listed and weren't heard of are greeted. Most of them are gone for good.
const GREETINGS: u32 = 5;

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    data_centre: DataCentre,
    incarnation: Incarnation,
    sequence: u64,
    heard: Time,
    is_live: bool,
}

impl Peer {
    /// Whether datagrams of this life come from there.
    fn is(&self, address: SocketAddr, life: LifeTag) -> bool {
        self.is_live && self.address == address && life == self.incarnation.into()
    }
}

/// The links of one instance.
pub struct Links {
    me: PeerEntry,
    incarnation: Incarnation,
    socket: UdpSocket,
    groups: Arc<Groups>,
    clock: Clock,
    peers: IndexMap<InstanceId, Peer>,
    /// Live instances, this one included.
    instances: Arc<AtomicUsize>,
    /// Raised for a word that can't wait.
    urgent: Signal,
    listed: Receiver<Vec<PeerEntry>>,
    sequence: u64,
    told: Time,
    /// Suspects told in the last round, so that only changes are told.
    suspects: IndexMap<EndpointGroup, usize>,
    /// Listed instances that weren't heard of yet, and how often they will still be greeted.
    unmet: Vec<PeerEntry>,
    greetings_left: u32,
    greeted: Time,
    here: DataCentre,
    tracker: Arc<FreshnessTracker>,
    questions: Receiver<FreshnessQuery>,
    pending: IndexMap<u64, Pending>,
    /// The peer that last told of news.
    informant: Option<InstanceId>,
    /// Peers found and lost since that was logged.
    found: Vec<InstanceId>,
    lost: Vec<InstanceId>,
}

enum Wake {
    Due,
    Urgent,
    Asked(FreshnessQuery),
    News,
    Listed(Vec<PeerEntry>),
    Heard(Datagram, SocketAddr),
}

/// What links need of their instance.
pub struct LinkParts {
    /// This instance.
    pub me: PeerEntry,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its socket.
    pub socket: UdpSocket,
    /// All endpoint groups.
    pub groups: Arc<Groups>,
    /// Its clock.
    pub clock: Clock,
    /// Where the count of live instances is kept.
    pub instances: Arc<AtomicUsize>,
    /// Addresses from the directory.
    pub listed: Receiver<Vec<PeerEntry>>,
    /// Where this instance stands.
    pub here: DataCentre,
    /// What it has read.
    pub tracker: Arc<FreshnessTracker>,
    /// Its questions to peers.
    pub questions: Receiver<FreshnessQuery>,
    /// Raised for a word that can't wait.
    pub urgent: Signal,
}

impl Links {
    /// Links without peers yet.
    pub fn new(parts: LinkParts) -> Links {
        Links {
            me: parts.me,
            incarnation: parts.incarnation,
            socket: parts.socket,
            groups: parts.groups,
            clock: parts.clock,
            peers: IndexMap::new(),
            instances: parts.instances,
            urgent: parts.urgent,
            listed: parts.listed,
            sequence: 0,
            told: Time::ZERO,
            suspects: IndexMap::new(),
            unmet: Vec::new(),
            greetings_left: 0,
            greeted: Time::ZERO,
            here: parts.here,
            tracker: parts.tracker,
            questions: parts.questions,
            pending: IndexMap::new(),
            informant: None,
            found: Vec::new(),
            lost: Vec::new(),
        }
    }

    /// Tells and hears until it is dropped.
    pub async fn run(mut self) {
        let mut next = self.clock.now();
        loop {
            match self.wake(next).await {
                Wake::Due => {
                    next = self.clock.now() + update_interval(self.peers.len());
                    self.tell(true).await;
                    self.greet().await;
                    self.forget_silent();
                    self.log_changes();
                }
                Wake::Urgent => self.tell(false).await,
                Wake::Asked(question) => self.ask(question).await,
                Wake::News => self.tell_news().await,
                Wake::Listed(entries) => {
                    self.unmet = entries;
                    self.greetings_left = GREETINGS;
                    self.greeted = Time::ZERO;
                    self.greet().await;
                }
                Wake::Heard(datagram, from) => self.hear(datagram, from).await,
            }
        }
    }

    async fn wake(&self, next: Time) -> Wake {
        let due = async {
            Timer::after(self.clock.until(next)).await;
            Wake::Due
        };
        let urgent = async {
            self.urgent.raised().await;
            Wake::Urgent
        };
        let listed = async { Wake::Listed(next_of(&self.listed).await) };
        let heard = async {
            let mut buf = [0; MAX_DATAGRAM];
            loop {
                let Ok((len, from)) = self.socket.recv_from(&mut buf).await else { continue };
                let config = bincode::config::standard().with_limit::<MAX_DATAGRAM>();
                if let Ok((datagram, _)) = bincode::serde::decode_from_slice(&buf[..len], config) {
                    return Wake::Heard(datagram, from);
                }
            }
        };
        let asked = async { Wake::Asked(next_of(&self.questions).await) };
        let news = async {
            self.tracker.telling().await;
            Wake::News
        };
        urgent.or(heard).or(asked).or(news).or(listed).or(due).await
    }

    async fn tell(&mut self, is_due: bool) {
        for group in self.groups.all() {
            let words = lock(&group.scheduler).take_updates(is_due);
            for part in words.chunks(WORDS) {
                let body = Body::Work { group: group.tag, words: part.to_vec() };
                self.send_all(body).await;
            }
            if is_due {
                self.tell_suspects(&group).await;
            }
        }
        if is_due && self.clock.now().since(self.told) >= HEARTBEAT {
            self.send_all(self.hello(false)).await;
        }
    }

    async fn tell_suspects(&mut self, group: &Group) {
        let now = self.clock.now();
        let entries = lock(&group.scheduler).quarantine().export(now);
        let before = self.suspects.insert(group.name.clone(), entries.len()).unwrap_or(0);
        if entries.len() > before {
            let body = Body::Suspects { group: group.tag, entries };
            self.send_all(body).await;
        }
    }

    async fn send_all(&mut self, body: Body) {
        self.told = self.clock.now();
        let now = self.clock.now();
        let known = self.peers.values().filter(|peer| {
            peer.is_live || now.since(peer.heard) < REMEMBERED && matches!(body, Body::Heartbeat(_))
        });
        let addresses: Vec<_> = known.map(|peer| peer.address).collect();
        self.send(body, &addresses).await;
    }

    /// Sends one datagram, written once, to each of these.
    async fn send(&mut self, body: Body, addresses: &[SocketAddr]) {
        self.sequence += 1;
        let datagram = Datagram { life: self.incarnation.into(), sequence: self.sequence, body };
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
    async fn greet(&mut self) {
        let now = self.clock.now();
        if self.greetings_left == 0
            || self.greeted > Time::ZERO && now.since(self.greeted) < HEARTBEAT
        {
            return;
        }
        self.greetings_left -= 1;
        self.greeted = now;
        let (me, peers) = (&self.me, &self.peers);
        self.unmet.retain(|e| e.instance != me.instance && !peers.contains_key(&e.instance));
        let addresses: Vec<_> = self.unmet.iter().map(|entry| entry.address).collect();
        self.send(self.hello(true), &addresses).await;
    }

    async fn tell_news(&mut self) {
        let (configuration, endpoints) = self.tracker.positions();
        self.send_all(Body::News { configuration, endpoints }).await;
    }

    async fn hear(&mut self, datagram: Datagram, from: SocketAddr) {
        let Datagram { life, sequence, body } = datagram;
        if let Body::Heartbeat(hello) = body {
            return self.meet(hello, sequence, from).await;
        }
        let now = self.clock.now();
        let known = self.peers.iter_mut().find(|(_, peer)| peer.is(from, life));
        let Some((instance, peer)) = known else {
            return self.send(self.hello(true), &[from]).await;
        };
        peer.heard = now;
        if sequence <= peer.sequence {
            return;
        }
        peer.sequence = sequence;
        let instance = instance.clone();
        self.take(instance, body, from).await;
    }

    /// A peer says who it is.
    async fn meet(&mut self, hello: Hello, sequence: u64, from: SocketAddr) {
        let Hello { instance, incarnation, data_centre, is_asking } = hello;
        if instance == self.me.instance {
            return;
        }
        let now = self.clock.now();
        match self.peers.get_mut(&instance) {
            Some(peer) if incarnation < peer.incarnation => return,
            Some(peer) if peer.is_live && peer.is(from, incarnation.into()) => {
                peer.heard = now;
                peer.sequence = peer.sequence.max(sequence);
                if is_asking {
                    self.send(self.hello(false), &[from]).await;
                }
                return;
            }
            _ => {}
        }
        let (heard, address) = (now, from);
        let peer = Peer { address, data_centre, incarnation, sequence, heard, is_live: true };
        self.forget(&instance);
        self.found.push(instance.clone());
        self.peers.insert(instance, peer);
        self.count();
        self.send(self.hello(false), &[from]).await;
    }

    fn hello(&self, is_asking: bool) -> Body {
        Body::Heartbeat(Hello {
            instance: self.me.instance.clone(),
            incarnation: self.incarnation,
            data_centre: self.here.clone(),
            is_asking,
        })
    }

    async fn take(&mut self, instance: InstanceId, body: Body, from: SocketAddr) {
        let now = self.clock.now();
        match body {
            Body::Heartbeat(_) => {}
            Body::Work { group, words } => {
                if let Some(group) = self.groups.by_tag(group) {
                    lock(&group.scheduler).apply_updates(&instance, &words, now);
                }
            }
            Body::Suspects { group, entries } => {
                if let Some(group) = self.groups.by_tag(group) {
                    lock(&group.scheduler).quarantine().import(&entries, now);
                }
            }
            Body::Question { nonce, endpoints_at } => {
                let answer = self.tracker.answer(endpoints_at);
                self.send(Body::Answer { nonce, answer }, &[from]).await;
            }
            Body::Answer { nonce, answer } => self.answered(nonce, answer, from),
            Body::News { configuration, endpoints } => {
                self.informant = Some(instance);
                self.tracker.hear_news(configuration, endpoints);
            }
        }
    }

    fn forget_silent(&mut self) {
        let now = self.clock.now();
        self.pending.retain(|_, pending| pending.is_open(now));
        let silent = self.peers.iter().filter(|(_, p)| p.is_live && now.since(p.heard) > SILENT);
        let silent: Vec<_> = silent.map(|(instance, _)| instance.clone()).collect();
        for instance in silent {
            self.lose(&instance);
        }
        self.peers.retain(|_, peer| now.since(peer.heard) < REMEMBERED);
    }

    /// Logs which peers came and went, in one line however many there are.
    fn log_changes(&mut self) {
        let (found, lost) = (std::mem::take(&mut self.found), std::mem::take(&mut self.lost));
        if found.is_empty() && lost.is_empty() {
            return;
        }
        let ids = |ids: &[InstanceId]| names(ids.iter().map(InstanceId::as_str));
        log::info!(live = self.live().len(), found = ids(&found).as_str(), lost = ids(&lost).as_str();
            "peers_changed");
    }

    fn lose(&mut self, instance: &InstanceId) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.is_live = false;
        }
        self.lost.push(instance.clone());
        self.forget(instance);
        self.count();
    }

    fn forget(&self, instance: &InstanceId) {
        for group in self.groups.all() {
            lock(&group.scheduler).remove_peer(instance);
        }
    }

    fn live(&self) -> Vec<(InstanceId, DataCentre)> {
        let live = self.peers.iter().filter(|(_, peer)| peer.is_live);
        live.map(|(instance, peer)| (instance.clone(), peer.data_centre.clone())).collect()
    }

    fn count(&self) {
        let live = self.live();
        self.instances.store(live.len() + 1, Ordering::Relaxed);
        self.tracker.set_sharers(retry_group_size(&self.me.instance, &self.here, &live));
    }
}

/// What comes next; nothing ever where the sender is gone.
async fn next_of<T>(rx: &Receiver<T>) -> T {
    match rx.recv().await {
        Ok(next) => next,
        Err(_) => std::future::pending().await,
    }
}

/// Registers this instance and reads the directory now and then, until it is dropped.
pub async fn follow_directory(
    mut directory: impl PeerDirectory,
    me: PeerEntry,
    listed: Sender<Vec<PeerEntry>>,
) {
    while let Err(e) = directory.register(&me).await {
        log::debug!(cause:% = e; "not_registered");
        Timer::after(DIRECTORY_RETRY).await;
    }
    loop {
        let pause = match directory.list().await {
            Ok(entries) => {
                if listed.send(entries).await.is_err() {
                    return;
                }
                DIRECTORY_PERIOD
            }
            Err(_) => DIRECTORY_RETRY,
        };
        Timer::after(pause).await;
    }
}
