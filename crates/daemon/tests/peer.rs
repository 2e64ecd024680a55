//! Links between instances: heartbeats, silence, restarts and late news, over loopback.

#![allow(clippy::unwrap_used)]

use std::{
    cell::RefCell,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use daemon::peer::{EndpointStateUpdate, Message, PeerConfig, PeerEvent, PeerMesh};
use policy::{
    DataCentre, Deployment, EndpointId, Incarnation, InstanceId, LoadDigest, TokenRate, Tokens,
    config::Version,
    membership::{MemberState, owners::OwnerStatus},
    report::EndpointShare,
    scheduler::EndpointState,
};
use protocols::instances::{ListPage, Listed, ListedState, Role};
use smol::{Executor, Timer, channel::Receiver};

/// Long enough for any of these steps on a busy machine; it only turns a hang into a failure.
const PATIENCE: Duration = Duration::from_secs(30);

struct Peer {
    mesh: PeerMesh,
    events: Receiver<PeerEvent>,
    skipped: RefCell<Vec<PeerEvent>>,
}

fn id(name: &str) -> InstanceId {
    InstanceId::new(name).unwrap()
}

/// An executor with threads of its own, which end with it.
fn executor() -> Arc<Executor<'static>> {
    let executor = Arc::new(Executor::new());
    for _ in 0..2 {
        let runs = Arc::downgrade(&executor);
        thread::spawn(move || {
            while let Some(executor) = runs.upgrade() {
                let moment = async {
                    Timer::after(Duration::from_millis(100)).await;
                };
                smol::block_on(executor.run(moment));
            }
        });
    }
    executor
}

impl Peer {
    fn start(name: &str, incarnation: u64, seeds: &[SocketAddr]) -> Peer {
        Peer::listen(([127, 0, 0, 1], 0).into(), name, incarnation, seeds)
    }

    fn listen(listen: SocketAddr, name: &str, incarnation: u64, seeds: &[SocketAddr]) -> Peer {
        let place = DataCentre::new("brasov-a").unwrap();
        Peer::place(place, listen, name, incarnation, seeds)
    }

    fn place(
        data_centre: DataCentre,
        listen: SocketAddr,
        name: &str,
        incarnation: u64,
        seeds: &[SocketAddr],
    ) -> Peer {
        let (mesh, events) = PeerMesh::start(PeerConfig {
            instance: id(name),
            incarnation: Incarnation(incarnation),
            data_centre,
            listen,
            seeds: seeds.to_vec(),
            load_bytes_per_second: 10_000,
            origin: Instant::now(),
            executor: executor(),
        })
        .unwrap();
        Peer { mesh, events, skipped: RefCell::default() }
    }

    /// Waits for the first event for which `wanted` gives something; events that came before it are
    /// kept for later waits, because which of several peers links first is a matter of luck.
    fn wait<T>(&self, wanted: impl Fn(&PeerEvent) -> Option<T>) -> T {
        let mut skipped = self.skipped.borrow_mut();
        for i in 0..skipped.len() {
            if let Some(found) = wanted(&skipped[i]) {
                skipped.remove(i);
                return found;
            }
        }
        let search = async {
            loop {
                let event = self.events.recv().await.unwrap();
                match wanted(&event) {
                    Some(found) => return Some(found),
                    None => skipped.push(event),
                }
            }
        };
        let patience = async {
            Timer::after(PATIENCE).await;
            None
        };
        smol::block_on(smol::future::or(search, patience)).expect("the event came")
    }

    fn wait_linked(&self, name: &str) {
        self.wait(|event| {
            matches!(event, PeerEvent::Linked(hello) if hello.instance == id(name)).then_some(())
        });
    }

    fn wait_gone(&self, name: &str) -> Incarnation {
        self.wait(|event| match event {
            PeerEvent::Removed { instance, incarnation } if *instance == id(name) => {
                Some(*incarnation)
            }
            _ => None,
        })
    }

    fn wait_message(&self) -> (InstanceId, Message) {
        self.wait(|event| match event {
            PeerEvent::Message { from, message } => Some((from.clone(), message.clone())),
            _ => None,
        })
    }

    fn state(&self, name: &str) -> Option<MemberState> {
        let status = self.mesh.status();
        status.into_iter().find(|peer| peer.instance == id(name)).map(|peer| peer.state)
    }
}

fn news(life: u64) -> Message {
    Message::Endpoint(EndpointStateUpdate {
        endpoint: EndpointId::new("e1").unwrap(),
        incarnation: Incarnation(life),
        state: EndpointState::Leaving,
    })
}

fn until(what: &str, reached: impl Fn() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !reached() {
        assert!(Instant::now() < deadline, "{what}");
        thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn three_instances_find_each_other_by_one_seed_and_the_list() {
    let first = Peer::start("entry-1", 1, &[]);
    let second = Peer::start("entry-2", 1, &[first.mesh.address()]);
    let third = Peer::start("entry-3", 1, &[first.mesh.address()]);
    first.wait_linked("entry-2");
    first.wait_linked("entry-3");
    second.wait_linked("entry-1");
    let place = DataCentre::new("brasov-a").unwrap();
    let instances = vec![listed(&second, "entry-2", &place), listed(&third, "entry-3", &place)];
    second.mesh.apply_list(&ListPage { instances });
    second.wait_linked("entry-3");
    second.mesh.broadcast(news(7)).unwrap();
    assert_eq!(first.wait_message(), (id("entry-2"), news(7)));
    assert_eq!(third.wait_message(), (id("entry-2"), news(7)));
    assert_eq!(second.mesh.owner_status(&id("entry-3"), Incarnation(1)), OwnerStatus::Alive);
}

fn listed(peer: &Peer, name: &str, data_centre: &DataCentre) -> Listed {
    Listed {
        name: name.to_string(),
        role: Role::Entry,
        incarnation: Incarnation(1),
        address: peer.mesh.address(),
        data_centre: data_centre.clone(),
        state: ListedState::Live,
    }
}

/// Above 16 instances there is no full mesh: what one tells all has to pass gateways, two of them
/// for each pair of data centres, and must reach everyone once.
#[test]
fn a_message_for_all_crosses_data_centres_and_arrives_once() {
    let places: Vec<DataCentre> = ["tx-central-a", "tx-central-b", "tx-central-c"]
        .map(|dc| DataCentre::new(dc).unwrap())
        .into();
    let place = |n: usize| places[n % 3].clone();
    let name = |n: usize| format!("entry-{n:02}");
    let any = ([127, 0, 0, 1], 0).into();
    let peers: Vec<Peer> = (0..18).map(|n| Peer::place(place(n), any, &name(n), 1, &[])).collect();
    let instances =
        peers.iter().enumerate().map(|(n, peer)| listed(peer, &name(n), &place(n))).collect();
    let page = ListPage { instances };
    peers.iter().for_each(|peer| peer.mesh.apply_list(&page));
    let links = |peer: &Peer| peer.mesh.status().iter().filter(|peer| peer.linked).count();
    // Five within the data centre, and two links for each of three pairs of data centres.
    until("all links stand", || peers.iter().map(links).sum::<usize>() == 18 * 5 + 2 * 2 * 3);
    peers[4].mesh.broadcast(news(1)).unwrap();
    peers[4].mesh.broadcast(news(2)).unwrap();
    for (n, peer) in peers.iter().enumerate().filter(|(n, _)| *n != 4) {
        let heard = [peer.wait_message(), peer.wait_message()];
        assert!(heard.contains(&(id("entry-04"), news(1))), "{n}: {heard:?}");
        assert!(heard.contains(&(id("entry-04"), news(2))), "{n}: {heard:?}");
    }
    thread::sleep(Duration::from_millis(500));
    for peer in &peers {
        let late = std::iter::from_fn(|| peer.events.try_recv().ok());
        assert!(!late.into_iter().any(|event| matches!(event, PeerEvent::Message { .. })));
    }
}

#[test]
fn two_that_dial_each_other_at_once_keep_one_link() {
    let free = || standin::free_address().unwrap();
    let (here, there) = (free(), free());
    let first = Peer::listen(here, "entry-1", 1, &[there, here]);
    let second = Peer::listen(there, "entry-2", 1, &[here, there]);
    first.wait_linked("entry-2");
    second.wait_linked("entry-1");
    let linked = |peer: &Peer| peer.mesh.status().iter().filter(|peer| peer.linked).count();
    let settled =
        || (first.mesh.traffic().links_established, second.mesh.traffic().links_established);
    // Longer than the pause after a dial that failed, and than a silent link would live.
    thread::sleep(Duration::from_secs(6));
    let before = settled();
    assert_eq!((linked(&first), linked(&second)), (1, 1));
    assert!(before.0 <= 3 && before.1 <= 3, "{before:?}");
    first.mesh.send_to(&id("entry-2"), Message::ConfigWanted(Version(3))).unwrap();
    assert_eq!(second.wait_message(), (id("entry-1"), Message::ConfigWanted(Version(3))));
}

#[test]
fn a_large_configuration_goes_through_and_one_too_large_does_not() {
    let first = Peer::start("entry-1", 1, &[]);
    let second = Peer::start("entry-2", 1, &[first.mesh.address()]);
    first.wait_linked("entry-2");
    let config = |len: usize| Message::Config { version: Version(9), content: vec![7; len].into() };
    first.mesh.send_to(&id("entry-2"), config(3 << 20)).unwrap();
    assert_eq!(second.wait_message().1, config(3 << 20));
    assert!(first.mesh.send_to(&id("entry-2"), config(5 << 20)).is_err());
}

fn digest(incarnation: u64, sequence: u64, tokens: u64) -> LoadDigest {
    LoadDigest {
        endpoints: vec![EndpointShare {
            endpoint: EndpointId::new("e1").unwrap(),
            incarnation: Incarnation(1),
            waiting_prefill: Tokens(tokens),
            waiting_bands: Default::default(),
            running: 1,
            held: Tokens(tokens),
            prefilled: Tokens::ZERO,
            prefill_rate: TokenRate(10_000.0),
            ejected: false,
        }],
        ..LoadDigest::idle(id("entry-2"), Incarnation(incarnation), sequence)
    }
}

/// What a user sees without it: a request waits behind load that ended long ago. A digest was
/// overtaken by a newer one and then taken for news.
#[test]
fn a_late_digest_and_one_of_another_life_are_ignored() {
    let first = Peer::start("entry-1", 1, &[]);
    let second = Peer::start("entry-2", 4, &[first.mesh.address()]);
    second.wait_linked("entry-1");
    let deployment = Deployment::new("desk").unwrap();
    let told = [(4, 5, 5_000), (4, 4, 90_000), (3, 9, 80_000), (4, 6, 1_000)];
    for (incarnation, sequence, tokens) in told {
        second.mesh.share_load(&deployment, digest(incarnation, sequence, tokens));
        // Parts that wait are merged; each has to go out by itself here.
        thread::sleep(Duration::from_millis(200));
    }
    let mut heard = Vec::new();
    while heard.last() != Some(&1_000) {
        heard.push(first.wait(|event| match event {
            PeerEvent::Load { digest, .. } => Some(digest.endpoints[0].waiting_prefill.0),
            _ => None,
        }));
    }
    assert_eq!(heard, [5_000, 1_000]);
}

/// What a user sees without it: until the old life times out, requests wait behind load that died
/// with it, and memory on engines that it left stays held.
#[test]
fn a_restart_under_the_same_name_ends_the_old_life_at_once() {
    let first = Peer::start("entry-1", 1, &[]);
    let second = Peer::start("entry-2", 1, &[first.mesh.address()]);
    first.wait_linked("entry-2");
    drop(second);
    let _second = Peer::start("entry-2", 2, &[first.mesh.address()]);
    assert_eq!(first.wait_gone("entry-2"), Incarnation(1));
    assert_eq!(first.state("entry-2"), Some(MemberState::Live));
    // A life that wakes after it was replaced finds no way back.
    let stale = Peer::start("entry-2", 1, &[first.mesh.address()]);
    thread::sleep(Duration::from_secs(1));
    assert_eq!(first.mesh.status()[0].incarnation, Incarnation(2));
    assert!(stale.mesh.status().iter().all(|peer| !peer.linked));
}

#[test]
fn leaving_is_told_and_goodbye_ends_a_life_without_waiting() {
    let first = Peer::start("entry-1", 1, &[]);
    let second = Peer::start("entry-2", 1, &[first.mesh.address()]);
    second.wait_linked("entry-1");
    second.mesh.set_leaving();
    first.wait(|event| matches!(event, PeerEvent::Leaving { .. }).then_some(()));
    assert_eq!(first.state("entry-2"), Some(MemberState::Leaving));
    // Its heartbeats go on saying so; the instance hears it once.
    thread::sleep(Duration::from_millis(2_500));
    assert_eq!(first.events.try_recv().ok(), None);
    smol::block_on(second.mesh.close());
    assert_eq!(first.wait_gone("entry-2"), Incarnation(1));
    assert_eq!(first.state("entry-2"), None);
}

/// Passes connections on, until it is told to forget all that are open; new ones work.
struct Relay {
    address: SocketAddr,
    forget: Arc<AtomicBool>,
}

impl Relay {
    fn start(target: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let forget = Arc::new(AtomicBool::new(false));
        let forgotten = forget.clone();
        thread::spawn(move || {
            for near in listener.incoming().take(100) {
                let (near, far) = (near.unwrap(), TcpStream::connect(target).unwrap());
                // Connections opened after the order are passed on for good.
                let dooms = !forgotten.load(Ordering::SeqCst);
                let back = (far.try_clone().unwrap(), near.try_clone().unwrap());
                for (from, to) in [(near, far), back] {
                    let forgotten = forgotten.clone();
                    thread::spawn(move || pass(from, to, dooms, &forgotten));
                }
            }
        });
        Relay { address, forget }
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, dooms: bool, forgotten: &AtomicBool) {
    let mut buf = [0; 4096];
    loop {
        let len = from.read(&mut buf).unwrap_or(0);
        if dooms && forgotten.load(Ordering::SeqCst) {
            // Swallows what comes, and keeps the end of the one side from the other.
            while from.read(&mut buf).is_ok_and(|len| len > 0) {}
            thread::sleep(PATIENCE);
            return;
        }
        if len == 0 || to.write_all(&buf[..len]).is_err() {
            to.shutdown(Shutdown::Write).ok();
            return;
        }
    }
}

/// What a user sees: for minutes, instances place requests by views that no longer change, and
/// each holds the other for dead. A device between them has forgotten the open connection, which
/// stays open and silent; a new one would work at once.
#[test]
fn a_silent_link_is_made_anew_before_the_peer_counts_as_dead() {
    let first = Peer::start("entry-1", 1, &[]);
    let relay = Relay::start(first.mesh.address());
    let second = Peer::start("entry-2", 1, &[relay.address]);
    second.wait_linked("entry-1");
    relay.forget.store(true, Ordering::SeqCst);
    // Whichever end notices first dials the other, which then takes the new link for the old.
    let silent = |peer: &Peer| peer.mesh.traffic().links_timed_out;
    until("the silent link is noticed", || silent(&first) + silent(&second) > 0);
    second.wait(|event| match event {
        PeerEvent::Linked(_) => Some(()),
        PeerEvent::Removed { .. } => panic!("a live peer was taken for dead"),
        _ => None,
    });
    assert_eq!(second.state("entry-1"), Some(MemberState::Live));
    second.mesh.broadcast(news(1)).unwrap();
    assert_eq!(first.wait_message().0, id("entry-2"));
}

#[test]
fn bytes_that_are_no_link_harm_nobody() {
    let first = Peer::start("entry-1", 1, &[]);
    let preface_only = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    for nonsense in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 4096], preface_only] {
        let mut stream = TcpStream::connect(first.mesh.address()).unwrap();
        stream.write_all(nonsense).unwrap();
    }
    let second = Peer::start("entry-2", 1, &[first.mesh.address()]);
    second.wait_linked("entry-1");
}
