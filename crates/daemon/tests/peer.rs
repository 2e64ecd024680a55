//! Links between instances over loopback: heartbeats, silence, restarts and late updates.

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
use protocols::instances::{ListPage, ListedInstance, ListedState, Role};
use smol::{Executor, Timer, channel::Receiver};

/// Long enough for any step on a busy machine; it only turns a hang into a failure.
const TIMEOUT: Duration = Duration::from_secs(30);

struct Peer {
    mesh: PeerMesh,
    events: Receiver<PeerEvent>,
    skipped: RefCell<Vec<PeerEvent>>,
}

fn id(name: &str) -> InstanceId {
    InstanceId::new(name).unwrap()
}

/// An executor with its own threads, which end once it is dropped.
fn executor() -> Arc<Executor<'static>> {
    let executor = Arc::new(Executor::new());
    for _ in 0..2 {
        let weak = Arc::downgrade(&executor);
        thread::spawn(move || {
            while let Some(executor) = weak.upgrade() {
                let slice = async {
                    Timer::after(Duration::from_millis(100)).await;
                };
                smol::block_on(executor.run(slice));
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
        let data_centre = DataCentre::new("brasov-a").unwrap();
        Peer::start_in(data_centre, listen, name, incarnation, seeds)
    }

    fn start_in(
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

    /// Waits for the first event for which `wanted` returns a value. Events before it are kept for
    /// later waits, because the order in which several peers link is random.
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
        let timeout = async {
            Timer::after(TIMEOUT).await;
            None
        };
        smol::block_on(smol::future::or(search, timeout))
            .expect("the event arrives within the timeout")
    }

    fn wait_linked(&self, name: &str) {
        self.wait(|event| {
            matches!(event, PeerEvent::Linked(hello) if hello.instance == id(name)).then_some(())
        });
    }

    fn wait_removed(&self, name: &str) -> Incarnation {
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

fn endpoint_update(incarnation: u64) -> Message {
    Message::Endpoint(EndpointStateUpdate {
        endpoint: EndpointId::new("e1").unwrap(),
        incarnation: Incarnation(incarnation),
        state: EndpointState::Leaving,
    })
}

fn wait_until(what: &str, reached: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
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
    let data_centre = DataCentre::new("brasov-a").unwrap();
    let instances =
        vec![listed(&second, "entry-2", &data_centre), listed(&third, "entry-3", &data_centre)];
    second.mesh.apply_list(&ListPage { instances });
    second.wait_linked("entry-3");
    second.mesh.broadcast(endpoint_update(7)).unwrap();
    assert_eq!(first.wait_message(), (id("entry-2"), endpoint_update(7)));
    assert_eq!(third.wait_message(), (id("entry-2"), endpoint_update(7)));
    assert_eq!(second.mesh.owner_status(&id("entry-3"), Incarnation(1)), OwnerStatus::Alive);
}

fn listed(peer: &Peer, name: &str, data_centre: &DataCentre) -> ListedInstance {
    ListedInstance {
        name: name.to_string(),
        role: Role::Entry,
        incarnation: Incarnation(1),
        address: peer.mesh.address(),
        data_centre: data_centre.clone(),
        state: ListedState::Live,
    }
}

/// Above 16 instances there is no full mesh: a fleet-wide message has to pass gateways, two for
/// each pair of data centres, and must reach every instance exactly once.
#[test]
fn a_message_for_all_crosses_data_centres_and_arrives_once() {
    let data_centres: Vec<DataCentre> = ["tx-central-a", "tx-central-b", "tx-central-c"]
        .map(|dc| DataCentre::new(dc).unwrap())
        .into();
    let data_centre = |n: usize| data_centres[n % 3].clone();
    let name = |n: usize| format!("entry-{n:02}");
    let any = ([127, 0, 0, 1], 0).into();
    let peers: Vec<Peer> =
        (0..18).map(|n| Peer::start_in(data_centre(n), any, &name(n), 1, &[])).collect();
    let instances =
        peers.iter().enumerate().map(|(n, peer)| listed(peer, &name(n), &data_centre(n))).collect();
    let page = ListPage { instances };
    peers.iter().for_each(|peer| peer.mesh.apply_list(&page));
    let links = |peer: &Peer| peer.mesh.status().iter().filter(|peer| peer.linked).count();
    // Each of the 18 instances has five links within its data centre, and there are two links for
    // each of three pairs of data centres.
    wait_until("all links are established", || {
        peers.iter().map(links).sum::<usize>() == 18 * 5 + 2 * 2 * 3
    });
    peers[4].mesh.broadcast(endpoint_update(1)).unwrap();
    peers[4].mesh.broadcast(endpoint_update(2)).unwrap();
    for (n, peer) in peers.iter().enumerate().filter(|(n, _)| *n != 4) {
        let received = [peer.wait_message(), peer.wait_message()];
        assert!(received.contains(&(id("entry-04"), endpoint_update(1))), "{n}: {received:?}");
        assert!(received.contains(&(id("entry-04"), endpoint_update(2))), "{n}: {received:?}");
    }
    thread::sleep(Duration::from_millis(500));
    for peer in &peers {
        let late = std::iter::from_fn(|| peer.events.try_recv().ok());
        assert!(!late.into_iter().any(|event| matches!(event, PeerEvent::Message { .. })));
    }
}

#[test]
fn two_that_dial_each_other_at_once_keep_one_link() {
    let free_address = || standin::free_address().unwrap();
    let (first_address, second_address) = (free_address(), free_address());
    let first = Peer::listen(first_address, "entry-1", 1, &[second_address, first_address]);
    let second = Peer::listen(second_address, "entry-2", 1, &[first_address, second_address]);
    first.wait_linked("entry-2");
    second.wait_linked("entry-1");
    let linked = |peer: &Peer| peer.mesh.status().iter().filter(|peer| peer.linked).count();
    let link_counts =
        || (first.mesh.traffic().links_established, second.mesh.traffic().links_established);
    // Longer than the redial delay, and than a silent link would last.
    thread::sleep(Duration::from_secs(6));
    let before = link_counts();
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

/// Guards against requests that wait for load which ended long ago: a digest was overtaken by a
/// newer one and then applied as if it were newer.
#[test]
fn a_late_digest_and_one_of_another_life_are_ignored() {
    let first = Peer::start("entry-1", 1, &[]);
    let second = Peer::start("entry-2", 4, &[first.mesh.address()]);
    second.wait_linked("entry-1");
    let deployment = Deployment::new("desk").unwrap();
    let sent = [(4, 5, 5_000), (4, 4, 90_000), (3, 9, 80_000), (4, 6, 1_000)];
    for (incarnation, sequence, tokens) in sent {
        second.mesh.share_load(&deployment, digest(incarnation, sequence, tokens));
        // Parts that wait are merged, but this test needs each to be sent by itself.
        thread::sleep(Duration::from_millis(200));
    }
    let mut received = Vec::new();
    while received.last() != Some(&1_000) {
        received.push(first.wait(|event| match event {
            PeerEvent::Load { digest, .. } => Some(digest.endpoints[0].waiting_prefill.0),
            _ => None,
        }));
    }
    assert_eq!(received, [5_000, 1_000]);
}

/// Guards against load and engine memory of a dead incarnation that stay accounted for until it
/// times out, although its successor runs already.
#[test]
fn a_restart_under_the_same_name_ends_the_old_life_at_once() {
    let first = Peer::start("entry-1", 1, &[]);
    let second = Peer::start("entry-2", 1, &[first.mesh.address()]);
    first.wait_linked("entry-2");
    drop(second);
    let _second = Peer::start("entry-2", 2, &[first.mesh.address()]);
    assert_eq!(first.wait_removed("entry-2"), Incarnation(1));
    assert_eq!(first.state("entry-2"), Some(MemberState::Live));
    // A paused incarnation that resumes after it was replaced gets no link.
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
    // Its heartbeats repeat it, but the instance gets one event only.
    thread::sleep(Duration::from_millis(2_500));
    assert_eq!(first.events.try_recv().ok(), None);
    smol::block_on(second.mesh.close());
    assert_eq!(first.wait_removed("entry-2"), Incarnation(1));
    assert_eq!(first.state("entry-2"), None);
}

/// Relays connections. Once `forget` is set, it silently drops the data of all open ones; new ones
/// work.
struct Relay {
    address: SocketAddr,
    forget: Arc<AtomicBool>,
}

impl Relay {
    fn start(target: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let forget = Arc::new(AtomicBool::new(false));
        let is_forgotten = forget.clone();
        thread::spawn(move || {
            for near in listener.incoming().take(100) {
                let (near, far) = (near.unwrap(), TcpStream::connect(target).unwrap());
                // Connections opened after `forget` was set work for good.
                let may_forget = !is_forgotten.load(Ordering::SeqCst);
                let back = (far.try_clone().unwrap(), near.try_clone().unwrap());
                for (from, to) in [(near, far), back] {
                    let is_forgotten = is_forgotten.clone();
                    thread::spawn(move || copy(from, to, may_forget, &is_forgotten));
                }
            }
        });
        Relay { address, forget }
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, may_forget: bool, is_forgotten: &AtomicBool) {
    let mut buf = [0; 4096];
    loop {
        let len = from.read(&mut buf).unwrap_or(0);
        if may_forget && is_forgotten.load(Ordering::SeqCst) {
            // Discards the data, and hides the end of one side from the other.
            while from.read(&mut buf).is_ok_and(|len| len > 0) {}
            thread::sleep(TIMEOUT);
            return;
        }
        if len == 0 || to.write_all(&buf[..len]).is_err() {
            to.shutdown(Shutdown::Write).ok();
            return;
        }
    }
}

/// Guards against links that stay silent: a device between two instances loses track of the open
/// connection, which stays open and silent although a new one would work. For minutes both place
/// requests by stale load and consider each other dead.
#[test]
fn a_silent_link_is_made_anew_before_the_peer_counts_as_dead() {
    let first = Peer::start("entry-1", 1, &[]);
    let relay = Relay::start(first.mesh.address());
    let second = Peer::start("entry-2", 1, &[relay.address]);
    second.wait_linked("entry-1");
    relay.forget.store(true, Ordering::SeqCst);
    // Whichever end notices first dials the other, which replaces the old link by the new one.
    let timed_out = |peer: &Peer| peer.mesh.traffic().links_timed_out;
    wait_until("the silent link is noticed", || timed_out(&first) + timed_out(&second) > 0);
    second.wait(|event| match event {
        PeerEvent::Linked(_) => Some(()),
        PeerEvent::Removed { .. } => panic!("a live peer was reported as removed"),
        _ => None,
    });
    assert_eq!(second.state("entry-1"), Some(MemberState::Live));
    second.mesh.broadcast(endpoint_update(1)).unwrap();
    assert_eq!(first.wait_message().0, id("entry-2"));
}

#[test]
fn bytes_that_are_no_link_harm_nobody() {
    let first = Peer::start("entry-1", 1, &[]);
    let preface_only = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 4096], preface_only] {
        let mut stream = TcpStream::connect(first.mesh.address()).unwrap();
        stream.write_all(bytes).unwrap();
    }
    let second = Peer::start("entry-2", 1, &[first.mesh.address()]);
    second.wait_linked("entry-1");
}
