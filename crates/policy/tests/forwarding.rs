//! Requests that are passed on through peers while an instance's own path is cut, on a virtual clock.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use fastrand::Rng;
use policy::{
    DataCentre, EndpointGroup, EndpointId, GroupTag, InstanceId, Time,
    forwarding::{MAX_PEERS_PER_REQUEST, Path, PathState, Peer, Peers, UNREACHED_UNTIL_FORWARDED},
    placement::update_interval,
};

/// How long after the start of a cut requests may fail.
const CONTACT_MS: u64 = 3_000;

/// How long after the end of a cut an instance may take to use its own path again.
const RETURN_MS: u64 = 1_000;

const ENDPOINTS: usize = 20;
const TICK_MS: u64 = 20;

fn at(ms: u64) -> Time {
    Time((60_000 + ms) * 1_000)
}

fn name(index: usize) -> InstanceId {
    InstanceId::new(&format!("entry-{index}")).unwrap()
}

/// The data centre of an instance; there are three, of equal size.
fn data_centre(index: usize, instances: usize) -> DataCentre {
    DataCentre::new(&format!("dc-{}", 3 * index / instances)).unwrap()
}

struct Site {
    paths: Vec<Path>,
    peers: Vec<Peers>,
    is_cut: Vec<bool>,
    group: GroupTag,
    /// Requests that each instance served for its own callers and for peers.
    served_directly: Vec<usize>,
    served_for_peers: Vec<usize>,
    connections_to_peers: usize,
    rng: Rng,
    now: u64,
}

impl Site {
    fn new(instances: usize) -> Site {
        let address = |index| ([127, 0, 0, 1], 1_000 + index as u16).into();
        let peers = |own: usize| {
            let mut peers = Peers::default();
            let others = (0..instances).filter(|other| *other != own);
            others.for_each(|other| {
                peers.add(Peer {
                    instance: name(other),
                    address: address(other),
                    data_centre: data_centre(other, instances),
                })
            });
            peers
        };
        Site {
            paths: (0..instances).map(|_| Path::default()).collect(),
            peers: (0..instances).map(peers).collect(),
            is_cut: vec![false; instances],
            group: GroupTag::from(&EndpointGroup::new("desk").unwrap()),
            served_directly: vec![0; instances],
            served_for_peers: vec![0; instances],
            connections_to_peers: 0,
            rng: Rng::with_seed(46),
            now: 0,
        }
    }

    /// Tries an endpoint; true if it answers.
    fn attempt(&mut self, instance: usize) -> bool {
        let endpoint = EndpointId::new(&format!("i-{}", self.rng.usize(..ENDPOINTS))).unwrap();
        let path = &mut self.paths[instance];
        match self.is_cut[instance] {
            true => {
                path.record_unreached(&endpoint, at(self.now));
            }
            false => path.record_answer(),
        }
        !self.is_cut[instance]
    }

    /// Whether an instance considers its path cut; a probe that is due is carried out at once.
    fn considers_cut(&mut self, instance: usize) -> bool {
        let state = self.paths[instance].state(at(self.now));
        if state == (PathState::Cut { probe: true }) {
            let is_reached = !self.is_cut[instance];
            self.paths[instance].record_probe(is_reached, at(self.now));
        }
        state != PathState::Open
    }

    /// A peer's part: it serves a request, or declines.
    fn serve_for_peer(&mut self, peer: usize) -> bool {
        let is_served =
            !self.considers_cut(peer) && (0..UNREACHED_UNTIL_FORWARDED).any(|_| self.attempt(peer));
        self.served_for_peers[peer] += usize::from(is_served);
        is_served
    }

    fn request(&mut self, instance: usize) -> bool {
        if !self.considers_cut(instance)
            && (0..UNREACHED_UNTIL_FORWARDED).any(|_| self.attempt(instance))
        {
            self.served_directly[instance] += 1;
            return true;
        }
        let mut tried = Vec::new();
        while tried.len() < MAX_PEERS_PER_REQUEST {
            let now = at(self.now);
            let peer = self.peers[instance].choose(self.group, &tried, now, &mut self.rng);
            let Some(peer) = peer else { break };
            self.connections_to_peers += 1;
            self.peers[instance].record_start(&peer.instance);
            let is_served = self.serve_for_peer(usize::from(peer.address.port()) - 1_000);
            self.peers[instance].record_end(&peer.instance);
            if is_served {
                self.paths[instance].record_help(now);
                return true;
            }
            self.peers[instance].record_decline(&peer.instance, self.group, now);
            tried.push(peer);
        }
        let is_served = self.attempt(instance);
        self.served_directly[instance] += usize::from(is_served);
        is_served
    }

    /// Instances that reach endpoints report answers, as they do with their load.
    fn report(&mut self) {
        let interval = update_interval(self.paths.len()).as_millis() as u64;
        if !self.now.is_multiple_of(interval.next_multiple_of(TICK_MS)) {
            return;
        }
        for (own, peers) in self.peers.iter_mut().enumerate() {
            for other in (0..self.is_cut.len()).filter(|other| *other != own) {
                if !self.is_cut[other] {
                    peers.record_answer(&name(other), self.group, at(self.now));
                }
            }
        }
    }

    /// Runs for `ms`, with a request at each of the first `callers` instances every 100 ms. Returns
    /// the numbers of requests and of those that were served.
    fn run(&mut self, ms: u64, callers: usize) -> (usize, usize) {
        let end = self.now + ms;
        let (mut sent, mut served) = (0, 0);
        while self.now < end {
            self.now += TICK_MS;
            self.report();
            for instance in 0..callers {
                if (self.now / TICK_MS + instance as u64).is_multiple_of(5) {
                    sent += 1;
                    served += usize::from(self.request(instance));
                }
            }
        }
        (sent, served)
    }
}

/// The first `cut` of `instances` lose their path to all endpoints for some seconds.
fn cut_off(instances: usize, cut: usize) {
    let callers = cut.min(40);
    let mut site = Site::new(instances);
    site.run(1_000, callers);
    site.is_cut[..cut].fill(true);
    site.run(CONTACT_MS, callers);
    site.connections_to_peers = 0;
    site.served_for_peers.fill(0);
    let (sent, served) = site.run(4_000, callers);
    assert_eq!(served, sent);
    assert!(site.connections_to_peers <= 2 * sent, "{} of {sent}", site.connections_to_peers);
    let helpers = instances - cut;
    let mean = sent as f64 / helpers as f64;
    let most = site.served_for_peers.iter().max().copied().unwrap_or_default() as f64;
    assert!(most <= 2.0 * mean + 8.0, "one peer served {most}, on average they served {mean}");
    site.is_cut.fill(false);
    site.run(RETURN_MS, callers);
    site.connections_to_peers = 0;
    let (sent, served) = site.run(1_000, callers);
    assert_eq!((served, site.connections_to_peers), (sent, 0));
}

/// Defines one test function per named case.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

cases! {
    /// Guards against an instance of a small site that finds nobody to help.
    one_of_four => || cut_off(4, 1);

    /// Guards against a herd on one of many peers.
    one_of_29 => || cut_off(29, 1);

    /// Guards against a herd on one of a fleet's peers.
    one_of_985 => || cut_off(985, 1);

    /// Guards against instances that ask each other in vain.
    all_but_one_of_four => || cut_off(4, 3);

    /// Guards against the same where it takes many questions to find the one that helps.
    all_but_one_of_29 => || cut_off(29, 28);

    /// Guards against a data centre's instances that pass requests on among themselves.
    a_data_centre_of_985 => || cut_off(985, 328);

    /// Guards against the same in a larger fleet.
    a_data_centre_of_2000 => || cut_off(2_000, 667);

    /// Guards against deaths that stay unproved because all peers have just declined requests.
    peers_that_declined_can_be_asked_about_endpoints => || {
        let mut site = Site::new(4);
        let (group, now) = (site.group, at(0));
        let peers = &mut site.peers[0];
        (1..4).for_each(|peer| peers.record_decline(&name(peer), group, now));
        assert_eq!(peers.choose(group, &[], now, &mut site.rng), None);
        let mut asked = Vec::new();
        while let Some(peer) = peers.choose_witness(group, &asked, now, &mut site.rng) {
            asked.push(peer);
        }
        assert_eq!(asked.len(), 3);
    };

    /// Guards against an instance that has no peers and tries nothing any more.
    a_single_instance_tries_its_own_path => || {
        let mut site = Site::new(1);
        site.is_cut[0] = true;
        let (_, served) = site.run(CONTACT_MS, 1);
        assert_eq!(served, 0);
        site.is_cut[0] = false;
        site.run(RETURN_MS, 1);
        let (sent, served) = site.run(1_000, 1);
        assert_eq!(served, sent);
    };

    /// Guards against instances that ask all others for each request, where none can help.
    all_are_cut_off => || {
        let mut site = Site::new(985);
        site.is_cut.fill(true);
        site.run(CONTACT_MS, 40);
        site.connections_to_peers = 0;
        let (sent, served) = site.run(1_000, 40);
        assert_eq!(served, 0);
        assert!(site.connections_to_peers <= MAX_PEERS_PER_REQUEST * sent);
        site.is_cut.fill(false);
        site.run(RETURN_MS, 40);
        let (sent, served) = site.run(1_000, 40);
        assert_eq!(served, sent);
    };

    /// Guards against one endpoint that fails, or is silent for a moment, and is taken for a cut.
    one_endpoint_is_no_path => || {
        let mut path = Path::default();
        let endpoint = EndpointId::new("i-1").unwrap();
        for ms in 0..20 {
            assert!(!path.record_unreached(&endpoint, at(100 * ms)));
            assert_eq!(path.state(at(100 * ms)), PathState::Open);
        }
    };

    /// Guards against an instance with few requests that tries its own path with each of them.
    two_endpoints_and_help_of_a_peer_are_a_cut => || {
        let mut path = Path::default();
        assert!(!path.record_help(at(0)));
        path.record_unreached(&EndpointId::new("i-1").unwrap(), at(10));
        assert!(!path.record_help(at(20)));
        path.record_unreached(&EndpointId::new("i-2").unwrap(), at(30));
        assert!(path.record_help(at(40)));
        assert!(path.is_cut());
    };

    /// Guards against failures that are far apart and add up to a cut.
    old_failures_do_not_count => || {
        let mut path = Path::default();
        for index in 0..10 {
            let endpoint = EndpointId::new(&format!("i-{index}")).unwrap();
            assert!(!path.record_unreached(&endpoint, at(3_000 * index)));
        }
    };

    /// Guards against a path that accepts connections, breaks them later, and counts as open for as
    /// long as before.
    a_failure_after_a_probe_is_a_cut => || {
        let mut path = Path::default();
        let endpoint = |index: u64| EndpointId::new(&format!("i-{index}")).unwrap();
        for index in 0..3 {
            path.record_unreached(&endpoint(index), at(index));
        }
        assert_eq!(path.state(at(10)), PathState::Cut { probe: true });
        assert!(path.record_probe(true, at(20)));
        assert_eq!(path.state(at(30)), PathState::Open);
        assert!(path.record_unreached(&endpoint(4), at(40)));
        assert_eq!(path.state(at(50)), PathState::Cut { probe: true });
    };

    /// Guards against probes that pile up, and against one that is lost and the last.
    probes_are_few => || {
        let mut path = Path::default();
        for index in 0..3 {
            path.record_unreached(&EndpointId::new(&format!("i-{index}")).unwrap(), at(0));
        }
        let is_due = |path: &mut Path, ms| path.state(at(ms)) == PathState::Cut { probe: true };
        let due: Vec<u64> = (0..5_000).filter(|ms| is_due(&mut path, *ms)).collect();
        assert_eq!(due.len(), 3, "{due:?}");
        path.record_probe(false, at(5_000));
        let second = Duration::from_secs(1).as_millis() as u64;
        let due = (5_000..5_000 + second).filter(|ms| is_due(&mut path, *ms)).count();
        assert_eq!(due, 1);
    };
}
