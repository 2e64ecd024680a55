//! Which peer gets a request that is passed on.

use std::{net::SocketAddr, time::Duration};

use fastrand::Rng;
use indexmap::IndexMap;

use crate::{DataCentre, GroupTag, InstanceId, Time, placement::update_interval};

/// How long a peer that declined, or wasn't reached, isn't asked again.
const DECLINED_TTL: Duration = Duration::from_secs(1);

/// How long a peer with an answer from an endpoint is preferred, in intervals between its reports.
const ANSWER_TTL_INTERVALS: u32 = 2;

/// The same at least, for peers that are asked seldom.
const MIN_ANSWER_TTL: Duration = Duration::from_secs(2);

/// A peer to which a request may be passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub instance: InstanceId,
    /// Its address for other instances.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// The last thing known about a peer's path to a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Word {
    /// It has reported an answer from an endpoint.
    Answered(Time),
    /// It can't help, or wasn't reached.
    Declined(Time),
}

#[derive(Debug)]
struct Record {
    peer: Peer,
    /// Requests that this instance has passed on to it and that haven't ended.
    in_flight: usize,
    words: IndexMap<GroupTag, Word>,
}

impl Record {
    fn has_declined(&self, group: GroupTag, now: Time) -> bool {
        let is_recent = |at: Time| now.since(at) < DECLINED_TTL;
        matches!(self.words.get(&group), Some(Word::Declined(at)) if is_recent(*at))
    }

    fn has_answered(&self, group: GroupTag, ttl: Duration, now: Time) -> bool {
        let is_recent = |at: Time| now.since(at) < ttl;
        matches!(self.words.get(&group), Some(Word::Answered(at)) if is_recent(*at))
    }
}

/// All live peers.
#[derive(Debug, Default)]
pub struct Peers(IndexMap<InstanceId, Record>);

impl Peers {
    /// Adds a peer that has appeared, in place of its earlier incarnation.
    pub fn add(&mut self, peer: Peer) {
        let instance = peer.instance.clone();
        self.0.insert(instance, Record { peer, in_flight: 0, words: IndexMap::new() });
    }

    /// Removes a peer that has disappeared.
    pub fn remove(&mut self, peer: &InstanceId) {
        self.0.swap_remove(peer);
    }

    /// Whether there is no live peer.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Chooses a peer for a request to a group that `tried` have declined: of two random ones the
    /// one with fewer requests. Those of other data centres come first, then those that have just
    /// reported an answer. None if nobody is left.
    pub fn choose(
        &self,
        group: GroupTag,
        tried: &[Peer],
        now: Time,
        rng: &mut Rng,
    ) -> Option<Peer> {
        self.draw(group, tried, now, rng, |record| !record.has_declined(group, now))
    }

    /// Chooses a peer to ask about an endpoint of a group, in the same way. A peer that can't help
    /// with requests may still tell whether endpoints refuse connections.
    pub fn choose_witness(
        &self,
        group: GroupTag,
        asked: &[Peer],
        now: Time,
        rng: &mut Rng,
    ) -> Option<Peer> {
        self.draw(group, asked, now, rng, |_| true)
    }

    fn draw(
        &self,
        group: GroupTag,
        tried: &[Peer],
        now: Time,
        rng: &mut Rng,
        is_candidate: impl Fn(&Record) -> bool,
    ) -> Option<Peer> {
        let is_tried =
            |record: &Record| tried.iter().any(|peer| peer.instance == record.peer.instance);
        let is_left = |record: &&Record| !is_tried(record) && is_candidate(record);
        let candidates: Vec<_> = self.0.values().filter(is_left).collect();
        let is_elsewhere =
            |record: &&Record| tried.iter().all(|peer| peer.data_centre != record.peer.data_centre);
        let candidates = prefer(candidates, is_elsewhere);
        let ttl = MIN_ANSWER_TTL.max(ANSWER_TTL_INTERVALS * update_interval(self.0.len()));
        let candidates = prefer(candidates, |record| record.has_answered(group, ttl, now));
        let drawn = [*rng.choice(&candidates)?, *rng.choice(&candidates)?];
        let record = drawn.into_iter().min_by_key(|record| record.in_flight)?;
        Some(record.peer.clone())
    }

    /// Records that a request is passed on to a peer.
    pub fn record_start(&mut self, peer: &InstanceId) {
        if let Some(record) = self.0.get_mut(peer) {
            record.in_flight += 1;
        }
    }

    /// Records that a request passed on to a peer has ended.
    pub fn record_end(&mut self, peer: &InstanceId) {
        if let Some(record) = self.0.get_mut(peer) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
    }

    /// Records that a peer has reported an answer from an endpoint of a group. Answers to requests
    /// that this instance passed on don't count: it would prefer the first peer that has helped.
    pub fn record_answer(&mut self, peer: &InstanceId, group: GroupTag, now: Time) {
        self.record(peer, group, Word::Answered(now));
    }

    /// Records that a peer can't help with a group, or wasn't reached.
    pub fn record_decline(&mut self, peer: &InstanceId, group: GroupTag, now: Time) {
        self.record(peer, group, Word::Declined(now));
    }

    fn record(&mut self, peer: &InstanceId, group: GroupTag, word: Word) {
        if let Some(record) = self.0.get_mut(peer) {
            record.words.insert(group, word);
        }
    }
}

/// Those candidates for which `is_preferred` holds, or all if there are none.
fn prefer<'a>(
    candidates: Vec<&'a Record>,
    is_preferred: impl Fn(&&'a Record) -> bool,
) -> Vec<&'a Record> {
    let preferred: Vec<_> = candidates.iter().copied().filter(is_preferred).collect();
    if preferred.is_empty() { candidates } else { preferred }
}
