//! Membership on a virtual clock: what it costs an instance, and how soon all know of a change.

#![allow(clippy::unwrap_used, clippy::print_stdout)]

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use policy::{
    DataCentre, Incarnation, InstanceId, Time,
    gossip::{Entry, Gossip, Message},
};

const DATA_CENTRES: usize = 5;
const SEEDS: usize = 3;

/// All instances start within this time.
const START_SPREAD_US: u64 = 300_000;

/// Bytes that a datagram takes besides its message: the headers of IP and UDP, and the links' own.
const DATAGRAM_OVERHEAD: usize = 28 + 12;

fn address(index: usize) -> SocketAddr {
    ([10, (index >> 16) as u8, (index >> 8) as u8, index as u8], 7_000).into()
}

fn name(index: usize) -> InstanceId {
    InstanceId::new(&format!("frontend-brasov-{index}")).unwrap()
}

fn data_centre(index: usize) -> DataCentre {
    DataCentre::new(&format!("brasov-{}", index % DATA_CENTRES)).unwrap()
}

fn entry(index: usize, incarnation: u64) -> Entry {
    Entry::new(name(index), address(index), data_centre(index), Incarnation(incarnation))
}

struct Node {
    gossip: Gossip,
    starts_at: u64,
    is_down: bool,
    /// Until then it neither sends nor receives, and what arrives waits.
    frozen_until: u64,
    next_tick: u64,
    sent_messages: usize,
    sent_bytes: usize,
}

/// A message on its way: arrival in microseconds, order, receiver, sender.
type InFlight = Reverse<(u64, u64, usize, usize)>;

struct Network {
    nodes: Vec<Node>,
    now: u64,
    in_flight: BinaryHeap<InFlight>,
    messages: HashMap<u64, Message>,
    sequence: u64,
    rng: fastrand::Rng,
    loss: f64,
    /// Data centres that are cut off from all others.
    cut: Vec<usize>,
}

fn seeds() -> Vec<SocketAddr> {
    (0..SEEDS).map(address).collect()
}

impl Network {
    fn new(count: usize, seed: u64) -> Network {
        let mut rng = fastrand::Rng::with_seed(seed);
        let nodes = (0..count)
            .map(|index| {
                let starts_at = rng.u64(..START_SPREAD_US);
                Node {
                    gossip: Gossip::new(entry(index, 1), seeds(), rng.u64(..)),
                    starts_at,
                    is_down: false,
                    frozen_until: 0,
                    next_tick: starts_at,
                    sent_messages: 0,
                    sent_bytes: 0,
                }
            })
            .collect();
        Network {
            nodes,
            now: 0,
            in_flight: BinaryHeap::new(),
            messages: HashMap::new(),
            sequence: 0,
            rng,
            loss: 0.0,
            cut: Vec::new(),
        }
    }

    fn restart(&mut self, index: usize, incarnation: u64) {
        let seed = self.rng.u64(..);
        self.nodes[index] = Node {
            gossip: Gossip::new(entry(index, incarnation), seeds(), seed),
            starts_at: self.now,
            is_down: false,
            frozen_until: 0,
            next_tick: self.now,
            sent_messages: 0,
            sent_bytes: 0,
        };
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        let (one, other) = (one % DATA_CENTRES, other % DATA_CENTRES);
        one != other && (self.cut.contains(&one) || self.cut.contains(&other))
    }

    fn send(&mut self, from: usize, outgoing: Vec<(SocketAddr, Message)>) {
        for (to, message) in outgoing {
            let bytes = bincode::serde::encode_to_vec(&message, bincode::config::standard());
            let node = &mut self.nodes[from];
            node.sent_messages += 1;
            node.sent_bytes += bytes.unwrap().len() + DATAGRAM_OVERHEAD;
            let SocketAddr::V4(v4) = to else { continue };
            let [_, a, b, c] = v4.ip().octets();
            let to = usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c);
            if to >= self.nodes.len() || self.is_cut(from, to) || self.rng.f64() < self.loss {
                continue;
            }
            let delay = if from % DATA_CENTRES == to % DATA_CENTRES { 300 } else { 1_000 };
            self.sequence += 1;
            self.messages.insert(self.sequence, message);
            self.in_flight.push(Reverse((self.now + delay, self.sequence, to, from)));
        }
    }

    fn is_up(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        !node.is_down && self.now >= node.starts_at && self.now >= node.frozen_until
    }

    /// Runs for `span`, or until `holds`, which is checked every 50 ms. Returns the time that took.
    fn run(&mut self, span: Duration, mut holds: impl FnMut(&Network) -> bool) -> Option<Duration> {
        let (began, end) = (self.now, self.now + span.as_micros() as u64);
        let step = 1_000;
        while self.now < end {
            self.now += step;
            while let Some(Reverse((at, sequence, to, from))) = self.in_flight.peek().copied() {
                if at > self.now {
                    break;
                }
                self.in_flight.pop();
                let message = self.messages.remove(&sequence).unwrap();
                let frozen_until = self.nodes[to].frozen_until;
                if frozen_until > self.now && !self.nodes[to].is_down {
                    self.messages.insert(sequence, message);
                    self.in_flight.push(Reverse((frozen_until, sequence, to, from)));
                    continue;
                }
                if !self.is_up(to) {
                    continue;
                }
                let outgoing =
                    self.nodes[to].gossip.receive(address(from), message, Time(self.now));
                self.nodes[to].next_tick = self.nodes[to].gossip.next_tick().0;
                self.send(to, outgoing);
            }
            for index in 0..self.nodes.len() {
                if self.nodes[index].next_tick > self.now || !self.is_up(index) {
                    continue;
                }
                let outgoing = self.nodes[index].gossip.tick(Time(self.now));
                self.nodes[index].next_tick = self.nodes[index].gossip.next_tick().0;
                self.send(index, outgoing);
            }
            if self.now.is_multiple_of(50_000) && holds(self) {
                return Some(Duration::from_micros(self.now - began));
            }
        }
        None
    }

    fn run_for(&mut self, span: Duration) {
        self.run(span, |_| false);
    }

    fn up(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|index| !self.nodes[*index].is_down).collect()
    }

    /// Whether all running instances know exactly the running ones.
    fn all_agree(&self) -> bool {
        let up = self.up();
        up.iter().all(|index| {
            let gossip = &self.nodes[*index].gossip;
            gossip.live_count() == up.len() - 1
                && gossip.all_live().all(|entry| {
                    let SocketAddr::V4(v4) = entry.address else { return false };
                    let [_, a, b, c] = v4.ip().octets();
                    !self.nodes[usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c)].is_down
                })
        })
    }

    /// Messages and bytes a second that each instance sends, on average.
    fn rates(&mut self, span: Duration) -> (f64, f64) {
        let total = |network: &Network| {
            let messages: usize = network.nodes.iter().map(|node| node.sent_messages).sum();
            let bytes: usize = network.nodes.iter().map(|node| node.sent_bytes).sum();
            (messages as f64, bytes as f64)
        };
        let before = total(self);
        self.run_for(span);
        let after = total(self);
        let instance_seconds = self.nodes.len() as f64 * span.as_secs_f64();
        ((after.0 - before.0) / instance_seconds, (after.1 - before.1) / instance_seconds)
    }
}

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Time from the first start until all know all, with the bytes that each instance sent by then.
fn found(count: usize) -> (Network, Duration) {
    let mut network = Network::new(count, count as u64);
    let took = network.run(secs(20.0), Network::all_agree);
    let took = took.unwrap_or_else(|| panic!("{count} instances don't find each other"));
    let bytes: usize = network.nodes.iter().map(|node| node.sent_bytes).sum();
    println!("{count} found each other within {took:?}, {} bytes each", bytes / count);
    (network, took)
}

/// Checks the time to find all, and the cost at rest, against the goals of the fleet.
fn find_each_other(count: usize) {
    let (mut network, took) = found(count);
    assert!(took <= secs(3.0), "{took:?}");
    network.run_for(secs(2.0));
    let (messages, bytes) = network.rates(secs(5.0));
    println!("{count} at rest: {messages:.1} messages and {bytes:.0} bytes a second each");
    assert!(bytes <= 3_000.0, "{bytes} bytes a second");
    assert!(messages <= 8.0, "{messages} messages a second");
}

/// Kills a share of the instances, and returns how long until all others know that.
fn deaths_are_known(count: usize, killed: impl Fn(usize) -> bool) -> Duration {
    let (mut network, _) = found(count);
    network.run_for(secs(2.0));
    (0..count).filter(|index| killed(*index)).for_each(|index| network.nodes[index].is_down = true);
    let took = network.run(secs(40.0), Network::all_agree);
    println!("{count}: deaths known to all after {took:?}");
    took.expect("not all deaths are known")
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

cases! {
    /// Guards against instances that start together and don't find each other, or at a cost that
    /// grows with the fleet.
    four_find_each_other => || find_each_other(4);
    thirty_find_each_other => || find_each_other(30);
    three_hundred_find_each_other => || find_each_other(300);
    a_thousand_find_each_other => || find_each_other(1_000);
    two_thousand_find_each_other => || find_each_other(2_000);

    /// Guards against a death that few learn of.
    one_death_is_known => || {
        assert!(deaths_are_known(300, |index| index == 50) <= secs(5.0));
    };

    /// Guards against half of a fleet that is killed at once and counted as alive.
    many_deaths_are_known => || {
        assert!(deaths_are_known(300, |index| index % 20 < 11) <= secs(12.0));
    };

    /// Guards against a new instance that waits although the fleet runs, also where seeds are gone.
    a_restarted_instance_finds_all => || {
        let (mut network, _) = found(300);
        network.nodes[0].is_down = true;
        network.nodes[1].is_down = true;
        network.run_for(secs(6.0));
        network.nodes[77].is_down = true;
        network.run_for(secs(0.5));
        network.restart(77, 2);
        let joined = network.run(secs(3.0), |network| network.nodes[77].gossip.live_count() > 0);
        assert!(joined.unwrap() <= secs(0.3), "{joined:?}");
        assert!(network.run(secs(5.0), Network::all_agree).is_some());
    };

    /// Guards against instances that are removed although they only stood still.
    a_frozen_instance_is_back => || {
        let (mut network, _) = found(100);
        network.nodes[40].frozen_until = network.now + 8_000_000;
        let known = |network: &Network| {
            (0..100).filter(|i| *i != 40).all(|i| network.nodes[i].gossip.live(&name(40)).is_none())
        };
        assert!(network.run(secs(8.0), known).is_some());
        network.run_for(secs(2.0));
        assert!(network.run(secs(8.0), Network::all_agree).is_some());
    };

    /// Guards against live instances that are removed because packets are lost.
    nobody_is_removed_by_loss => || {
        let (mut network, _) = found(100);
        network.nodes.iter_mut().for_each(|node| drop(node.gossip.take_changes()));
        network.loss = 0.05;
        network.run_for(secs(30.0));
        for node in &mut network.nodes {
            assert_eq!(node.gossip.take_changes(), []);
        }
    };

    /// Guards against two parts of a fleet that stay apart after a cut, or remove each other's
    /// members again and again once they meet.
    a_cut_heals => || {
        let (mut network, _) = found(100);
        network.cut = vec![0, 1, 2, 3, 4];
        network.run_for(secs(15.0));
        for node in &network.nodes {
            assert_eq!(node.gossip.live_count(), 19);
            assert_eq!(node.gossip.known().count(), 99, "those cut off still count as known");
        }
        network.cut.clear();
        let mut fewest = usize::MAX;
        let healed = network.run(secs(20.0), |network| {
            fewest = network.nodes.iter().map(|node| node.gossip.live_count()).min().unwrap().min(fewest);
            network.all_agree()
        });
        println!("healed after {healed:?}, at least {fewest} known meanwhile");
        assert!(healed.is_some());
        assert!(fewest >= 15, "{fewest}");
    };

    /// Guards against an instance whose clock was set back before its restart, and whom all others
    /// take for its predecessor.
    a_clock_set_back_hides_nobody => || {
        let (mut network, _) = found(30);
        network.restart(9, 0);
        network.run_for(secs(1.0));
        assert!(network.run(secs(5.0), Network::all_agree).is_some());
    };
}
