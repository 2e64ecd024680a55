//! Membership of a fleet by gossip.
//!
//! **Load pattern.** A thousand instances start within a third of a second, or half of them are
//! killed at once, or links between data centres fail for a while. Every instance needs to know
//! all others, and which of them are alive.
//!
//! **Without it.** A central directory is written and read by all of them in the same second, and
//! calls that time out and are repeated keep its queue full for good. Heartbeats from each to each
//! grow with the square of the fleet: 1.9 million datagrams a second with 985 instances.
//!
//! **Rule.** Each instance periodically exchanges what it knows with one other, chosen at random
//! and mostly in its own data centre. Both compare a [digest] of their members and send each other
//! only entries that differ, so an exchange between equal views costs one small datagram each way.
//! While an exchange brings news, the next one follows soon; news therefore spread in a number of
//! rounds that grows with the logarithm of the fleet. The exchange is also the failure detector of
//! SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", 2002): an instance that doesn't answer is probed through others, then
//! suspected, and removed only if it doesn't refute that in time. A new instance contacts the seeds
//! of its settings. Removed instances and seeds are contacted now and then, so that two halves of a
//! fleet find each other again after a cut.
//!
//! **Grounds.** The cost of an instance at rest doesn't depend on the size of the fleet but for the
//! digest, whose size is bounded. `tests/gossip.rs` measures messages, bytes and times for 4 to
//! 2,000 instances; `docs/design/fleet.md` has the figures.

mod digest;
mod entry;
mod message;
mod view;

use std::{net::SocketAddr, time::Duration};

use fastrand::Rng;
use indexmap::IndexMap;

pub use entry::{Entry, Status};
pub use message::Message;

use crate::{InstanceId, Time};

use view::View;

/// Time between two exchanges of an instance at rest.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two exchanges while they bring news.
pub const QUICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two attempts to reach a seed after the start, while nobody is known.
const EAGER_INTERVAL: Duration = Duration::from_millis(100);

/// Number of such attempts. After that an instance that nobody answers tries more rarely.
const EAGER_EXCHANGES: u32 = 30;

/// Number of seeds contacted at once while nobody is known.
const SEEDS_AT_ONCE: usize = 3;

/// Exchanges without news until an instance is at rest again.
const QUICK_EXCHANGES: u32 = 3;

/// Time after which an instance that hasn't answered is probed through others.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which an instance that hasn't answered through others either is suspected.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Number of others through which an instance is probed.
const INDIRECT_PROBES: usize = 3;

/// Time that a suspected instance has to refute the suspicion. It covers the exchanges that bring
/// the suspicion there and the refutation back.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_800);

/// How long a removed instance is remembered.
pub const REMOVED_RETENTION: Duration = Duration::from_secs(600);

/// One in this many exchanges goes to an instance of any data centre, the others within the own.
const EXCHANGES_PER_FOREIGN: u32 = 4;

/// One in this many exchanges additionally goes to a removed instance or to a seed.
const EXCHANGES_PER_REUNION: u32 = 8;

/// Maximum number of entries in one message, so that it fits into one packet.
const MAX_ENTRIES_PER_MESSAGE: usize = 16;

/// Maximum number of messages with entries that one exchange causes in one direction.
const MAX_MESSAGES_PER_REPLY: usize = 4;

/// A message and where to send it.
pub type Outgoing = (SocketAddr, Message);

/// A change of the live instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An instance appeared, or a new incarnation replaced an earlier one.
    Appeared(InstanceId),
    /// An instance doesn't answer any more.
    Disappeared(InstanceId),
}

/// An exchange that hasn't been answered.
#[derive(Debug)]
struct Probe {
    sent: Time,
    /// Whether others were asked to probe the instance.
    is_indirect: bool,
}

/// A probe that another instance asked for.
#[derive(Debug)]
struct Relay {
    target: SocketAddr,
    asked_by: SocketAddr,
    expires: Time,
}

/// One instance's part of the protocol. It has neither a clock nor a socket: each call returns the
/// messages to send.
#[derive(Debug)]
pub struct Gossip {
    view: View,
    /// Addresses to contact while nobody is known.
    seeds: Vec<SocketAddr>,
    rng: Rng,
    next_exchange: Time,
    exchanges: u32,
    quick_exchanges_left: u32,
    probes: IndexMap<InstanceId, Probe>,
    relays: Vec<Relay>,
}

impl Gossip {
    /// Creates the state of an instance that knows nobody. `seeds` may contain its own address.
    pub fn new(own: Entry, seeds: Vec<SocketAddr>, seed: u64) -> Gossip {
        Gossip {
            view: View::new(own),
            seeds,
            rng: Rng::with_seed(seed),
            next_exchange: Time::ZERO,
            exchanges: 0,
            quick_exchanges_left: QUICK_EXCHANGES,
            probes: IndexMap::new(),
            relays: Vec::new(),
        }
    }

    /// Adds addresses to contact while nobody is known, such as those of a directory.
    pub fn add_seeds(&mut self, addresses: impl IntoIterator<Item = SocketAddr>, now: Time) {
        for address in addresses {
            if address != self.view.own().address && !self.seeds.contains(&address) {
                self.seeds.push(address);
                self.next_exchange = self.next_exchange.min(now);
            }
        }
    }

    /// When [`Self::tick`] has to be called next.
    pub fn next_tick(&self) -> Time {
        let indirect = self.probes.values().map(|probe| match probe.is_indirect {
            false => probe.sent + ANSWER_TIMEOUT,
            true => probe.sent + PROBE_TIMEOUT,
        });
        let suspicion = self.view.next_suspicion_end();
        indirect.chain(suspicion).fold(self.next_exchange, Time::min)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time) -> Vec<Outgoing> {
        let mut outgoing = self.check_probes(now);
        if self.view.expire(now) {
            self.speed_up(now);
        }
        if now >= self.next_exchange {
            self.exchange(now, &mut outgoing);
        }
        outgoing
    }

    /// Opens an exchange with an instance that isn't known under its address.
    pub fn greeting(&self, to: SocketAddr) -> Outgoing {
        (to, self.exchange_message())
    }

    /// Handles a message. `from` is the address that it came from.
    pub fn receive(&mut self, from: SocketAddr, message: Message, now: Time) -> Vec<Outgoing> {
        match message {
            Message::Exchange { own, digest } => self.answer(from, own, &digest, now),
            Message::Entries { own, digest, entries } => {
                let mut outgoing = self.merge_all(from, own, entries, now);
                if let Some(digest) = digest {
                    let entries = self.view.difference(&digest, now, &mut self.rng).entries;
                    outgoing.extend(self.entry_messages(entries, None).map(|m| (from, m)));
                }
                outgoing
            }
            Message::Same => self.forward_sign_of_life(from),
            Message::ProbeFor { target } => {
                self.relays.retain(|relay| relay.expires > now);
                let expires = now + PROBE_TIMEOUT;
                self.relays.push(Relay { target, asked_by: from, expires });
                vec![(target, self.exchange_message())]
            }
            Message::Alive { instance } => {
                self.probes.swap_remove(&instance);
                Vec::new()
            }
        }
    }

    /// Records that an instance has sent anything.
    pub fn record_heard(&mut self, instance: &InstanceId) {
        self.probes.swap_remove(instance);
    }

    /// This instance's own entry.
    pub fn own(&self) -> &Entry {
        self.view.own()
    }

    /// Entry of the live instance at an address.
    pub fn live_at(&self, address: SocketAddr) -> Option<&Entry> {
        self.view.live_at(address)
    }

    /// Entry of a live instance.
    pub fn live(&self, instance: &InstanceId) -> Option<&Entry> {
        self.view.get(instance).filter(|entry| entry.status.is_live())
    }

    /// Entries of all live instances but this one.
    pub fn all_live(&self) -> impl Iterator<Item = &Entry> {
        self.view.others().filter(|entry| entry.status.is_live())
    }

    /// Number of live instances but this one.
    pub fn live_count(&self) -> usize {
        self.view.live_count()
    }

    /// Names of all instances but this one that are alive or were within [`REMOVED_RETENTION`].
    pub fn known(&self) -> impl Iterator<Item = &InstanceId> {
        self.view.others().map(|entry| &entry.instance)
    }

    /// Share of the instances that are alive or were until recently that still are, from 0 to 1.
    /// This one counts too, and so do its seeds while nobody answers.
    pub fn heard_share(&self, now: Time) -> f64 {
        let heard = self.live_count() + 1;
        let own = self.view.own().address;
        let seeds = self.seeds.iter().filter(|seed| **seed != own).count();
        let silent = if heard == 1 { seeds } else { 0 };
        let unheard = self.view.count_recently_removed(now).max(silent);
        heard as f64 / (heard + unheard) as f64
    }

    /// Takes the changes of the live instances since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        self.view.take_changes()
    }

    /// Opens an exchange with a live instance, which also probes it, and now and then with others.
    fn exchange(&mut self, now: Time, outgoing: &mut Vec<Outgoing>) {
        self.exchanges += 1;
        let target = match self.exchanges.is_multiple_of(EXCHANGES_PER_FOREIGN) {
            true => self.view.random_live(&mut self.rng),
            false => self.view.random_neighbour(&mut self.rng),
        };
        let is_alone = target.is_none();
        if let Some(target) = target {
            let probe = Probe { sent: now, is_indirect: false };
            self.probes.entry(target.instance.clone()).or_insert(probe);
            outgoing.push((target.address, self.exchange_message()));
        }
        let is_reunion = self.exchanges.is_multiple_of(EXCHANGES_PER_REUNION);
        let seeds = if is_alone { SEEDS_AT_ONCE } else { usize::from(is_reunion) };
        let mut contacted = self.absent_seeds(seeds);
        if is_reunion {
            contacted.extend(self.view.random_removed(&mut self.rng));
        }
        outgoing.extend(contacted.into_iter().map(|address| (address, self.exchange_message())));
        let interval = match self.quick_exchanges_left {
            _ if is_alone && self.exchanges < EAGER_EXCHANGES => EAGER_INTERVAL,
            0 => EXCHANGE_INTERVAL,
            _ => QUICK_INTERVAL,
        };
        self.quick_exchanges_left = self.quick_exchanges_left.saturating_sub(1);
        self.next_exchange = now + interval.mul_f64(0.8 + 0.4 * self.rng.f64());
    }

    /// Up to `count` random seeds that aren't known to be alive.
    fn absent_seeds(&mut self, count: usize) -> Vec<SocketAddr> {
        let own = self.view.own().address;
        let is_absent = |seed: &&SocketAddr| **seed != own && self.view.live_at(**seed).is_none();
        let absent: Vec<SocketAddr> = self.seeds.iter().filter(is_absent).copied().collect();
        self.rng.choose_multiple(absent, count)
    }

    fn exchange_message(&self) -> Message {
        Message::Exchange { own: self.view.own().clone(), digest: self.view.digest() }
    }

    /// Replies to an exchange that the instance at `from` has opened.
    fn answer(&mut self, from: SocketAddr, own: Entry, digest: &[u32], now: Time) -> Vec<Outgoing> {
        let mut outgoing = self.merge_all(from, own, Vec::new(), now);
        let difference = self.view.difference(digest, now, &mut self.rng);
        if difference.own_digest == digest {
            outgoing.push((from, Message::Same));
            return outgoing;
        }
        // The sender compares the digest with its own and sends what is missing here.
        let messages = self.entry_messages(difference.entries, Some(difference.own_digest));
        outgoing.extend(messages.map(|message| (from, message)));
        outgoing
    }

    /// Splits entries into messages; the last one carries the digest.
    fn entry_messages(
        &self,
        entries: Vec<Entry>,
        digest: Option<Vec<u32>>,
    ) -> impl Iterator<Item = Message> + use<> {
        let mut chunks: Vec<Vec<Entry>> = entries
            .chunks(MAX_ENTRIES_PER_MESSAGE)
            .take(MAX_MESSAGES_PER_REPLY)
            .map(<[Entry]>::to_vec)
            .collect();
        if chunks.is_empty() && digest.is_some() {
            chunks.push(Vec::new());
        }
        let last = chunks.len().saturating_sub(1);
        let own = self.view.own().clone();
        chunks.into_iter().enumerate().map(move |(index, entries)| Message::Entries {
            own: own.clone(),
            digest: digest.clone().filter(|_| index == last),
            entries,
        })
    }

    /// Merges what the sender at `from` states of itself and of others. The reply corrects what is
    /// out of date.
    fn merge_all(
        &mut self,
        from: SocketAddr,
        own: Entry,
        entries: Vec<Entry>,
        now: Time,
    ) -> Vec<Outgoing> {
        self.probes.swap_remove(&own.instance);
        let mut outgoing = self.forward_sign_of_life(from);
        let mut corrections = Vec::new();
        let mut has_news = false;
        for entry in std::iter::once(own).chain(entries) {
            match self.view.merge(entry, now) {
                view::Merged::Newer => has_news = true,
                view::Merged::Same => {}
                view::Merged::Older(known) => corrections.push(known),
                view::Merged::Refuted(own) => {
                    has_news = true;
                    corrections.push(own);
                }
            }
        }
        if has_news {
            self.speed_up(now);
        }
        if !corrections.is_empty() {
            let messages = self.entry_messages(corrections, None);
            outgoing.extend(messages.map(|message| (from, message)));
        }
        outgoing
    }

    /// Records that the instance at `from` is alive, and tells those that asked for a probe of it.
    fn forward_sign_of_life(&mut self, from: SocketAddr) -> Vec<Outgoing> {
        let Some(instance) = self.view.live_at(from).map(|entry| entry.instance.clone()) else {
            return Vec::new();
        };
        self.probes.swap_remove(&instance);
        let relays = std::mem::take(&mut self.relays).into_iter();
        let (answered, waiting): (Vec<_>, Vec<_>) = relays.partition(|relay| relay.target == from);
        self.relays = waiting;
        let alive = Message::Alive { instance };
        answered.into_iter().map(|relay| (relay.asked_by, alive.clone())).collect()
    }

    /// Exchanges soon, because there is something to pass on.
    fn speed_up(&mut self, now: Time) {
        self.quick_exchanges_left = QUICK_EXCHANGES;
        let soon = now + QUICK_INTERVAL.mul_f64(self.rng.f64());
        self.next_exchange = self.next_exchange.min(soon);
    }

    /// Probes instances through others that haven't answered, and suspects those that don't answer
    /// that way either.
    fn check_probes(&mut self, now: Time) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        let mut unanswered = Vec::new();
        for (instance, probe) in &mut self.probes {
            let waited = now.since(probe.sent);
            if waited >= PROBE_TIMEOUT {
                unanswered.push(instance.clone());
            } else if waited >= ANSWER_TIMEOUT && !probe.is_indirect {
                probe.is_indirect = true;
                let Some(target) = self.view.get(instance).map(|entry| entry.address) else {
                    continue;
                };
                for _ in 0..INDIRECT_PROBES {
                    let helper = self.view.random_live(&mut self.rng);
                    let helper = helper.filter(|helper| helper.address != target);
                    outgoing.extend(
                        helper.map(|helper| (helper.address, Message::ProbeFor { target })),
                    );
                }
            }
        }
        for instance in unanswered {
            self.probes.swap_remove(&instance);
            if let Some(suspect) = self.view.suspect(&instance, now) {
                // A suspected instance that can still be reached learns of it first.
                outgoing.push((
                    suspect.address,
                    Message::Entries {
                        own: self.view.own().clone(),
                        digest: None,
                        entries: vec![suspect],
                    },
                ));
                self.speed_up(now);
            }
        }
        outgoing
    }
}
