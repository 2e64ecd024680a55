//! The members that one instance knows.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use fastrand::Rng;
use indexmap::{IndexMap, IndexSet};

use crate::{DataCentre, Incarnation, InstanceId, Time};

use super::{
    Change, Entry, MAX_ENTRIES_PER_MESSAGE, MAX_MESSAGES_PER_REPLY, REMOVED_RETENTION,
    SUSPICION_TIMEOUT, Status,
    digest::{EntryHash, bucket_count, is_bucket_count},
};

/// How long a removal is passed on. Longer than news take to reach everyone, and much shorter than
/// removed members are kept, so that they aren't passed around for ever.
const REMOVAL_PASSED_ON: Duration = Duration::from_secs(20);

/// How long a member is suspected here before another instance's removal of it counts.
///
/// Guards against a removal of everyone when two parts of a fleet meet again after a cut: each has
/// removed the other's members, which are alive and refute that within a few exchanges.
const MIN_SUSPICION: Duration = Duration::from_millis(900);

/// Attempts to draw a live member before all are searched.
const MAX_DRAWS: usize = 8;

#[derive(Debug)]
struct Known {
    entry: Entry,
    hash: EntryHash,
    /// When the status was learned.
    since: Time,
}

impl Known {
    fn is_passed_on(&self, now: Time) -> bool {
        self.entry.status.is_live() || now.since(self.since) < REMOVAL_PASSED_ON
    }
}

/// How a view differs from another instance's digest.
pub(super) struct Difference {
    /// Digest of this view, with as many buckets as the other one.
    pub(super) own_digest: Vec<u32>,
    /// Random entries of the buckets that differ, at most as many as one reply holds.
    pub(super) entries: Vec<Entry>,
}

/// Result of merging an entry.
pub(super) enum Merged {
    /// It was newer than what was known.
    Newer,
    /// It was known.
    Same,
    /// A newer one is known.
    Older(Entry),
    /// It was wrong about this instance, which has a new entry now.
    Refuted(Entry),
}

#[derive(Debug)]
pub(super) struct View {
    own: Entry,
    own_hash: EntryHash,
    others: IndexMap<InstanceId, Known>,
    /// Names of the live members by address.
    live_by_address: HashMap<SocketAddr, InstanceId>,
    /// When each suspicion began.
    suspicions: IndexMap<InstanceId, Time>,
    /// Names of data centres, which the entries share.
    data_centres: IndexSet<DataCentre>,
    changes: Vec<Change>,
    /// The latest time that was passed in; digests leave out members removed long before.
    now: Time,
}

impl View {
    pub(super) fn new(own: Entry) -> View {
        let own_hash = EntryHash::of(&own);
        View {
            own,
            own_hash,
            others: IndexMap::new(),
            live_by_address: HashMap::new(),
            suspicions: IndexMap::new(),
            data_centres: IndexSet::new(),
            changes: Vec::new(),
            now: Time::ZERO,
        }
    }

    pub(super) fn own(&self) -> &Entry {
        &self.own
    }

    pub(super) fn others(&self) -> impl Iterator<Item = &Entry> {
        self.others.values().map(|known| &known.entry)
    }

    pub(super) fn get(&self, instance: &InstanceId) -> Option<&Entry> {
        self.others.get(instance).map(|known| &known.entry)
    }

    pub(super) fn live_at(&self, address: SocketAddr) -> Option<&Entry> {
        self.get(self.live_by_address.get(&address)?)
    }

    pub(super) fn live_count(&self) -> usize {
        self.live_by_address.len()
    }

    pub(super) fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// A digest with as many buckets as suit this view.
    pub(super) fn digest(&self) -> Vec<u32> {
        self.digest_of(bucket_count(self.others.len() + 1))
    }

    /// A digest with this number of buckets, a power of two.
    fn digest_of(&self, buckets: usize) -> Vec<u32> {
        let mut digest = vec![0; buckets];
        self.own_hash.toggle(&mut digest);
        for known in self.others.values().filter(|known| known.is_passed_on(self.now)) {
            known.hash.toggle(&mut digest);
        }
        digest
    }

    /// Compares the view with another instance's digest.
    pub(super) fn difference(&mut self, digest: &[u32], now: Time, rng: &mut Rng) -> Difference {
        self.now = self.now.max(now);
        let buckets = digest.len();
        if !is_bucket_count(buckets) {
            return Difference { own_digest: self.digest(), entries: Vec::new() };
        }
        let own_digest = self.digest_of(buckets);
        let differs =
            |hash: EntryHash| own_digest[hash.bucket(buckets)] != digest[hash.bucket(buckets)];
        let others = self.others.values().filter(|known| known.is_passed_on(now));
        let different = others.filter(|known| differs(known.hash)).map(|known| &known.entry);
        let entries =
            rng.choose_multiple(different, MAX_ENTRIES_PER_MESSAGE * MAX_MESSAGES_PER_REPLY);
        let entries = entries.into_iter().cloned().collect();
        Difference { own_digest, entries }
    }

    /// Replaces what is known of a member if the entry is newer.
    pub(super) fn merge(&mut self, mut entry: Entry, now: Time) -> Merged {
        self.now = self.now.max(now);
        if entry.instance == self.own.instance {
            return self.merge_own(&entry);
        }
        match self.others.get(&entry.instance) {
            Some(known) if known.entry == entry => return Merged::Same,
            Some(known) if !entry.is_newer_than(&known.entry) => {
                return Merged::Older(known.entry.clone());
            }
            // Nobody has to learn of a member that is gone.
            None if !entry.status.is_live() => return Merged::Same,
            Some(known) if !entry.status.is_live() => match known.entry.status {
                Status::Alive => entry.status = Status::Suspected,
                Status::Suspected if now.since(known.since) < MIN_SUSPICION => {
                    return Merged::Same;
                }
                Status::Suspected | Status::Removed => {}
            },
            _ => {}
        }
        self.insert(entry, now);
        Merged::Newer
    }

    /// Refutes what others say of this instance, unless it is right.
    fn merge_own(&mut self, entry: &Entry) -> Merged {
        if *entry == self.own || entry.incarnation < self.own.incarnation {
            return Merged::Same;
        }
        if entry.incarnation > self.own.incarnation {
            // An earlier process under this name started by a clock that was ahead.
            self.own.incarnation = Incarnation(entry.incarnation.0 + 1);
            self.own.revision = 0;
        } else if entry.status != Status::Alive || entry.revision > self.own.revision {
            self.own.revision = self.own.revision.max(entry.revision + 1);
        } else {
            return Merged::Older(self.own.clone());
        }
        self.own_hash = EntryHash::of(&self.own);
        Merged::Refuted(self.own.clone())
    }

    fn insert(&mut self, mut entry: Entry, now: Time) {
        let (index, _) = self.data_centres.insert_full(entry.data_centre.clone());
        entry.data_centre = self.data_centres[index].clone();
        let instance = entry.instance.clone();
        let before = self.others.get(&instance).map(|known| &known.entry);
        let live_before = before.filter(|before| before.status.is_live());
        let is_same_process =
            live_before.is_some_and(|before| before.incarnation == entry.incarnation);
        match (entry.status.is_live(), live_before) {
            (true, Some(_)) if is_same_process => {}
            (true, _) => self.changes.push(Change::Appeared(instance.clone())),
            (false, Some(_)) => self.changes.push(Change::Disappeared(instance.clone())),
            (false, None) => {}
        }
        if let Some(before) = live_before
            && self.live_by_address.get(&before.address) == Some(&instance)
        {
            self.live_by_address.remove(&before.address);
        }
        if entry.status.is_live() {
            self.live_by_address.insert(entry.address, instance.clone());
        }
        match entry.status {
            Status::Suspected => {
                self.suspicions.entry(instance.clone()).or_insert(now);
            }
            Status::Alive | Status::Removed => {
                self.suspicions.swap_remove(&instance);
            }
        }
        let hash = EntryHash::of(&entry);
        self.others.insert(instance, Known { entry, hash, since: now });
    }

    /// Suspects a member that is alive; its new entry.
    pub(super) fn suspect(&mut self, instance: &InstanceId, now: Time) -> Option<Entry> {
        let entry = self.get(instance).filter(|entry| entry.status == Status::Alive)?;
        let entry = Entry { status: Status::Suspected, ..entry.clone() };
        self.insert(entry.clone(), now);
        Some(entry)
    }

    pub(super) fn next_suspicion_end(&self) -> Option<Time> {
        self.suspicions.values().map(|began| *began + SUSPICION_TIMEOUT).min()
    }

    /// Removes members that haven't refuted a suspicion, and forgets those removed long ago; true
    /// if any was removed.
    pub(super) fn expire(&mut self, now: Time) -> bool {
        self.now = self.now.max(now);
        let is_over = |began: &Time| now.since(*began) >= SUSPICION_TIMEOUT;
        let over = self.suspicions.iter().filter(|(_, began)| is_over(began));
        let over: Vec<InstanceId> = over.map(|(instance, _)| instance.clone()).collect();
        for instance in &over {
            self.suspicions.swap_remove(instance);
            if let Some(entry) = self.get(instance).cloned() {
                self.insert(Entry { status: Status::Removed, ..entry }, now);
            }
        }
        self.others.retain(|_, known| {
            known.entry.status.is_live() || now.since(known.since) < REMOVED_RETENTION
        });
        !over.is_empty()
    }

    /// Number of members removed so recently that they may be alive behind a cut.
    pub(super) fn count_recently_removed(&self, now: Time) -> usize {
        let is_recent = |known: &&Known| {
            !known.entry.status.is_live() && now.since(known.since) < REMOVAL_PASSED_ON
        };
        self.others.values().filter(is_recent).count()
    }

    /// A random live member.
    pub(super) fn random_live(&self, rng: &mut Rng) -> Option<&Entry> {
        self.random(rng, |entry| entry.status.is_live())
    }

    /// A random live member of the own data centre; of any, where there is none.
    pub(super) fn random_neighbour(&self, rng: &mut Rng) -> Option<&Entry> {
        let is_neighbour =
            |entry: &Entry| entry.status.is_live() && entry.data_centre == self.own.data_centre;
        self.random(rng, is_neighbour).or_else(|| self.random_live(rng))
    }

    /// Address of a random removed member.
    pub(super) fn random_removed(&self, rng: &mut Rng) -> Option<SocketAddr> {
        let removed = self.random(rng, |entry| !entry.status.is_live())?;
        // Another instance may have its address now.
        Some(removed.address).filter(|address| !self.live_by_address.contains_key(address))
    }

    fn random(&self, rng: &mut Rng, suits: impl Fn(&Entry) -> bool) -> Option<&Entry> {
        if self.others.is_empty() {
            return None;
        }
        for _ in 0..MAX_DRAWS {
            let (_, known) = self.others.get_index(rng.usize(..self.others.len()))?;
            if suits(&known.entry) {
                return Some(&known.entry);
            }
        }
        let suitable: Vec<&Entry> = self.others().filter(|entry| suits(entry)).collect();
        rng.choice(suitable)
    }
}
