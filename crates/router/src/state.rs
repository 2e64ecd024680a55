//! What the parts of an instance share, each piece under its own lock.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock, PoisonError, RwLock,
        atomic::{AtomicU8, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use policy::{
    EndpointGroup, EndpointId, GroupTag, Time,
    placement::{GroupScheduler, PlacementRules},
    retry::{RetryRules, RetryWindow},
    routes::RouteTable,
};

use crate::{clock::BootTime, lock, signal::OneShot};

/// How far the instance is on its way to a stop. It only moves on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Stage {
    /// In service.
    Serving = 0,
    /// Not ready any more, so that the balancer looks elsewhere; still serving.
    Leaving = 1,
    /// Each answer is the last on its connection.
    Closing = 2,
}

/// The stage, and the requests under way.
#[derive(Debug)]
pub struct Lifecycle {
    stage: AtomicU8,
    open: AtomicUsize,
    /// When whatever is still under way is cut.
    ends: OnceLock<Instant>,
    closing: OneShot,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle {
            stage: AtomicU8::new(0),
            open: AtomicUsize::new(0),
            ends: OnceLock::new(),
            closing: OneShot::default(),
        }
    }
}

impl Lifecycle {
    /// The stage.
    pub fn stage(&self) -> Stage {
        match self.stage.load(Ordering::Acquire) {
            0 => Stage::Serving,
            1 => Stage::Leaving,
            _ => Stage::Closing,
        }
    }

    /// Moves on.
    pub fn enter(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
        if stage == Stage::Closing {
            self.closing.set();
        }
    }

    /// Begins a stop that cuts whatever is still under way at `end`.
    pub fn begin_stop(&self, end: Instant) {
        self.ends.get_or_init(|| end);
        self.enter(Stage::Leaving);
    }

    /// What is left until requests are cut; none while no stop is under way.
    pub fn time_until_cutoff(&self) -> Option<Duration> {
        self.ends.get().map(|end| end.saturating_duration_since(Instant::now()))
    }

    /// Waits until connections are to be closed.
    pub async fn wait_for_closing(&self) {
        self.closing.wait().await;
    }

    /// Requests under way.
    pub fn in_flight(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Counts a request until the result is dropped.
    pub fn count_request(self: &Arc<Self>) -> InFlightGuard {
        self.open.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(self.clone())
    }
}

/// A request under way.
#[derive(Debug)]
pub struct InFlightGuard(Arc<Lifecycle>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The configuration in force, and since when nothing newer can be missing.
#[derive(Debug, Default)]
pub struct Configuration {
    table: RwLock<Arc<RouteTable>>,
    as_of: Mutex<Option<BootTime>>,
    /// A table is in force, and its age is known.
    known: OneShot,
}

impl Configuration {
    /// What is in force.
    pub fn table(&self) -> Arc<RouteTable> {
        self.table.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a table in force, unless it isn't newer: a late answer must not revert an accepted
    /// change.
    pub fn replace_if_newer(&self, table: RouteTable) -> bool {
        let mut known = self.table.write().unwrap_or_else(PoisonError::into_inner);
        if table.version <= known.version {
            return false;
        }
        *known = Arc::new(table);
        true
    }

    /// Notes that nothing acknowledged before `as_of` is missing.
    pub fn confirm(&self, as_of: BootTime) {
        let mut known = lock(&self.as_of);
        *known = (*known).max(Some(as_of));
        drop(known);
        if self.table().version.0 > 0 {
            self.known.set();
        }
    }

    /// Waits until there is a configuration.
    pub async fn wait_until_known(&self) {
        self.known.wait().await;
    }

    /// How long ago the table was known to be the newest; none where there is none yet.
    ///
    /// Guards against keys that were taken away and still run at an instance that doesn't reach
    /// the source: past the operators' bound nothing that needs a key may run.
    pub fn age(&self) -> Option<Duration> {
        (*lock(&self.as_of)).map(BootTime::age)
    }
}

/// One endpoint group.
#[derive(Debug)]
pub struct Group {
    /// Its name.
    pub name: EndpointGroup,
    /// The same in messages.
    pub tag: GroupTag,
    /// Decides where requests go.
    pub scheduler: Mutex<GroupScheduler>,
    /// Where its endpoints listen.
    pub addresses: RwLock<IndexMap<EndpointId, SocketAddr>>,
    retries: Mutex<RetryWindow>,
}

impl Group {
    /// A group without endpoints.
    pub fn new(name: EndpointGroup, placement: PlacementRules, seed: u64) -> Group {
        Group {
            tag: GroupTag::from(&name),
            name,
            scheduler: Mutex::new(GroupScheduler::with_rules(placement, seed)),
            addresses: RwLock::default(),
            retries: Mutex::default(),
        }
    }

    /// Where an endpoint listens.
    pub fn address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        let addresses = self.addresses.read().unwrap_or_else(PoisonError::into_inner);
        addresses.get(endpoint).copied()
    }

    /// Who listens at an address.
    pub fn endpoint_at(&self, address: SocketAddr) -> Option<EndpointId> {
        let addresses = self.addresses.read().unwrap_or_else(PoisonError::into_inner);
        let found = addresses.iter().find(|(_, known)| **known == address);
        found.map(|(endpoint, _)| endpoint.clone())
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&self, now: Time) {
        lock(&self.retries).record_first_attempt(now);
    }

    /// Counts a repeat if one is allowed.
    pub fn may_retry(&self, rules: &RetryRules, instances: usize, now: Time) -> bool {
        lock(&self.retries).try_retry(rules, instances, now)
    }
}

/// All endpoint groups.
#[derive(Debug, Default)]
pub struct Groups {
    placement: PlacementRules,
    groups: RwLock<IndexMap<EndpointGroup, Arc<Group>>>,
    /// Endpoints were read.
    filled: OneShot,
}

impl Groups {
    /// No group yet; requests of all will be placed by these rules.
    pub fn new(placement: PlacementRules) -> Groups {
        Groups { placement, ..Groups::default() }
    }

    /// Endpoints were read, here or by a peer.
    pub fn mark_endpoints_read(&self) {
        self.filled.set();
    }

    /// Waits until endpoints were read.
    pub async fn wait_for_endpoints(&self) {
        self.filled.wait().await;
    }

    /// A group, if any endpoint or route ever named it.
    pub fn get(&self, name: &EndpointGroup) -> Option<Arc<Group>> {
        self.groups.read().unwrap_or_else(PoisonError::into_inner).get(name).cloned()
    }

    /// The group that a message names.
    pub fn by_tag(&self, tag: GroupTag) -> Option<Arc<Group>> {
        let groups = self.groups.read().unwrap_or_else(PoisonError::into_inner);
        groups.values().find(|group| group.tag == tag).cloned()
    }

    /// A group, made where there is none.
    pub fn get_or_create(&self, name: &EndpointGroup) -> Arc<Group> {
        if let Some(group) = self.get(name) {
            return group;
        }
        let mut groups = self.groups.write().unwrap_or_else(PoisonError::into_inner);
        let made = || Arc::new(Group::new(name.clone(), self.placement, fastrand::u64(..)));
        groups.entry(name.clone()).or_insert_with(made).clone()
    }

    /// All of them.
    pub fn all(&self) -> Vec<Arc<Group>> {
        self.groups.read().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }
}
