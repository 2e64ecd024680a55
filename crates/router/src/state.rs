//! State that the tasks of an instance share, each piece behind its own lock.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock,
        atomic::{AtomicU8, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use policy::{
    DataCentre, EndpointGroup, EndpointId, FailCause, GroupTag, Time, Workspace,
    contention::MemoryShare,
    drain::DrainedDataCentres,
    forwarding::{Path, Peers},
    instances::Instances,
    placement::{GroupScheduler, JobId, PlacementRules},
    retry::{RetryRules, RetryWindow},
    returns::Returns,
    routes::RouteTable,
    shares::Shares,
    waiting::WaitingLine,
};

use crate::{clock::BootTime, lock, signal::OneShot};

/// Stages of an instance between start and stop. An instance never returns to an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Stage {
    /// Ready and serving.
    Serving = 0,
    /// Reports that it isn't ready, so that the balancer sends new connections elsewhere; still
    /// serves all requests.
    Leaving = 1,
    /// Closes each connection after its current response, or once it is unused.
    Closing = 2,
}

/// The stage of the instance and its requests in flight.
#[derive(Debug)]
pub struct Lifecycle {
    stage: AtomicU8,
    in_flight: AtomicUsize,
    accepted: AtomicUsize,
    connections: AtomicUsize,
    /// When requests that are still in flight are cut off.
    cutoff: OnceLock<Instant>,
    closing: OneShot,
    cut_off: OneShot,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle {
            stage: AtomicU8::new(0),
            in_flight: AtomicUsize::new(0),
            accepted: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            cutoff: OnceLock::new(),
            closing: OneShot::default(),
            cut_off: OneShot::default(),
        }
    }
}

impl Lifecycle {
    /// The current stage.
    pub fn stage(&self) -> Stage {
        match self.stage.load(Ordering::Acquire) {
            0 => Stage::Serving,
            1 => Stage::Leaving,
            _ => Stage::Closing,
        }
    }

    /// Enters a stage; does nothing if it or a later one has been reached.
    pub fn enter(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
        if stage == Stage::Closing {
            self.closing.set();
        }
    }

    /// Begins a stop that cuts off requests still in flight at `end`. Only the first call sets
    /// `end`.
    pub fn begin_stop(&self, end: Instant) {
        self.cutoff.get_or_init(|| end);
        self.enter(Stage::Leaving);
    }

    /// Time left until requests are cut off; `None` while no stop is in progress.
    pub fn time_until_cutoff(&self) -> Option<Duration> {
        self.cutoff.get().map(|end| end.saturating_duration_since(Instant::now()))
    }

    /// Waits until connections have to be closed.
    pub async fn wait_for_closing(&self) {
        self.closing.wait().await;
    }

    /// Ends the requests that are still in flight.
    pub fn cut_off(&self) {
        self.cut_off.set();
    }

    /// Waits until requests in flight have to end.
    pub async fn wait_for_cutoff(&self) {
        self.cut_off.wait().await;
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Number of requests since the start.
    pub fn accepted_requests(&self) -> usize {
        self.accepted.load(Ordering::Acquire)
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    /// Counts a connection as open until the returned guard is dropped.
    pub fn count_connection(self: &Arc<Self>) -> ConnectionGuard {
        self.connections.fetch_add(1, Ordering::AcqRel);
        ConnectionGuard(self.clone())
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn count_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        self.accepted.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(self.clone())
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<Lifecycle>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The current configuration, and the time as of which it is confirmed to be the newest.
#[derive(Debug, Default)]
pub struct Configuration {
    table: RwLock<Arc<RouteTable>>,
    as_of: Mutex<Option<BootTime>>,
    /// Set once a table with a known age is in force.
    is_known: OneShot,
    /// Set and replaced when the limits change.
    limits_changed: Mutex<Arc<OneShot>>,
}

impl Configuration {
    /// The current route table.
    pub fn table(&self) -> Arc<RouteTable> {
        self.table.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the table by a newer version and returns true. Older versions are ignored, because
    /// a late reply must not revert an accepted change.
    pub fn replace_if_newer(&self, table: RouteTable) -> bool {
        let mut current = self.table.write().unwrap_or_else(PoisonError::into_inner);
        if table.version <= current.version {
            return false;
        }
        let has_other_limits = table.limits != current.limits;
        *current = Arc::new(table);
        drop(current);
        if has_other_limits {
            std::mem::take(&mut *lock(&self.limits_changed)).set();
        }
        true
    }

    /// A flag that is set when the limits change next.
    pub fn limits_changed(&self) -> Arc<OneShot> {
        lock(&self.limits_changed).clone()
    }

    /// Confirms that every change acknowledged before `as_of` is in the current table.
    pub fn confirm(&self, as_of: BootTime) {
        let mut current = lock(&self.as_of);
        *current = (*current).max(Some(as_of));
        drop(current);
        if self.table().version.0 > 0 {
            self.is_known.set();
        }
    }

    /// Waits until a configuration is known.
    pub async fn wait_until_known(&self) {
        self.is_known.wait().await;
    }

    /// Time since the table was last confirmed to be the newest; `None` if none is known yet.
    ///
    /// Guards against revoked keys that are still accepted by an instance that doesn't reach the
    /// source: beyond the operators' limit no request that needs a key may run.
    pub fn age(&self) -> Option<Duration> {
        (*lock(&self.as_of)).map(BootTime::age)
    }
}

/// How requests are scheduled on the endpoints of all groups.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Scheduling {
    /// Rules by which endpoints are chosen.
    pub placement: PlacementRules,
    /// Share of memory from which on a group is contended; none if no group is.
    pub contended_from: Option<MemoryShare>,
}

/// Counts one connection as open until it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard(Arc<Lifecycle>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::AcqRel);
    }
}

/// An endpoint group: its scheduler, its endpoints' addresses and its retry budget.
#[derive(Debug)]
pub struct Group {
    /// Name by which routes choose the group.
    pub name: EndpointGroup,
    /// Short form of the name in messages between instances.
    pub tag: GroupTag,
    /// Places requests on the group's endpoints.
    pub scheduler: Mutex<GroupScheduler>,
    /// Addresses of the endpoints.
    pub addresses: RwLock<IndexMap<EndpointId, SocketAddr>>,
    /// Requests that wait here until an endpoint has room.
    pub waiting: Mutex<WaitingLine>,
    /// This instance's own path to the endpoints.
    pub path: Mutex<Path>,
    /// What each workspace uses of the engines; empty unless the group is scheduled for contention.
    pub shares: Mutex<Shares>,
    /// Retries of refused requests, where the group is contended.
    pub returns: Mutex<Returns>,
    retries: Mutex<RetryWindow>,
}

impl Group {
    /// Creates a group without endpoints. `seed` is for the scheduler's random choices.
    pub fn new(name: EndpointGroup, scheduling: Scheduling, seed: u64) -> Group {
        let mut scheduler = GroupScheduler::with_rules(scheduling.placement, seed);
        scheduler.set_contention(scheduling.contended_from);
        Group {
            tag: GroupTag::from(&name),
            name,
            scheduler: Mutex::new(scheduler),
            addresses: RwLock::default(),
            waiting: Mutex::default(),
            path: Mutex::default(),
            shares: Mutex::default(),
            returns: Mutex::new(Returns::new(seed)),
            retries: Mutex::default(),
        }
    }

    /// Whether the group is scheduled for contention.
    pub fn is_contended(&self) -> bool {
        lock(&self.scheduler).is_contended()
    }

    /// Address of an endpoint; `None` if it isn't in the group.
    pub fn address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        let addresses = self.addresses.read().unwrap_or_else(PoisonError::into_inner);
        addresses.get(endpoint).copied()
    }

    /// Addresses of up to `count` random endpoints other than the one at `excluded`.
    pub fn random_addresses(&self, count: usize, excluded: Option<SocketAddr>) -> Vec<SocketAddr> {
        let addresses = self.addresses.read().unwrap_or_else(PoisonError::into_inner);
        let others = addresses.values().copied().filter(|address| Some(*address) != excluded);
        fastrand::choose_multiple(others, count)
    }

    /// The endpoint with this address.
    pub fn endpoint_at(&self, address: SocketAddr) -> Option<EndpointId> {
        let addresses = self.addresses.read().unwrap_or_else(PoisonError::into_inner);
        let entry = addresses.iter().find(|(_, known)| **known == address);
        entry.map(|(endpoint, _)| endpoint.clone())
    }

    /// Charges a workspace for the prefill of a request that was placed.
    pub fn charge_prefill(&self, workspace: Option<&Workspace>, job: JobId, now: Time) {
        let Some(workspace) = workspace else { return };
        let cost = lock(&self.scheduler).cost(job, now);
        if let Some(cost) = cost {
            lock(&self.shares).record(workspace, cost.prefill_ms, now);
        }
    }

    /// Ends a request on its endpoint, and charges its workspace for the time of its slot. The
    /// prefill of a request that wasn't sent is taken back.
    pub fn finish(
        &self,
        workspace: Option<&Workspace>,
        job: JobId,
        failed: Option<FailCause>,
        now: Time,
    ) {
        let mut scheduler = lock(&self.scheduler);
        let cost = scheduler.cost(job, now);
        scheduler.finish(job, failed, now);
        drop(scheduler);
        let Some((workspace, cost)) = workspace.zip(cost) else { return };
        let mut shares = lock(&self.shares);
        match cost.is_sent {
            true => shares.record(workspace, cost.slot_ms, now),
            false => shares.refund(workspace, cost.prefill_ms, cost.placed_at, now),
        }
    }

    /// Counts a request's first attempt, which earns retry budget.
    pub fn record_first_attempt(&self, now: Time) {
        lock(&self.retries).record_first_attempt(now);
    }

    /// Counts a retry and returns true, if the retry budget allows one.
    pub fn may_retry(&self, rules: &RetryRules, now: Time) -> bool {
        lock(&self.retries).try_retry(rules, now)
    }
}

/// What all groups have in common.
#[derive(Debug, Clone, Default)]
struct SharedView {
    drained: DrainedDataCentres,
    instances: Option<Instances>,
}

impl SharedView {
    fn apply(&self, group: &Group) {
        let mut scheduler = lock(&group.scheduler);
        scheduler.set_drained(&self.drained);
        if let Some(instances) = &self.instances {
            scheduler.set_instances(instances.clone());
            lock(&group.retries).set_part(instances.part());
        }
    }
}

/// All endpoint groups by name.
#[derive(Debug, Default)]
pub struct Groups {
    scheduling: Scheduling,
    shared: Mutex<SharedView>,
    /// Peers through which requests may be passed on.
    peers: Mutex<Peers>,
    groups: RwLock<IndexMap<EndpointGroup, Arc<Group>>>,
    /// Set once the endpoints have been read.
    endpoints_read: OneShot,
}

impl Groups {
    /// Creates an empty set whose groups will be scheduled like this.
    pub fn new(scheduling: Scheduling) -> Groups {
        Groups { scheduling, ..Groups::default() }
    }

    /// Peers through which requests may be passed on.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        lock(&self.peers)
    }

    /// Replaces the drained data centres; true if the set has changed.
    pub fn set_drained(&self, drained: &DrainedDataCentres) -> bool {
        self.update_shared(|shared| {
            let is_changed = shared.drained != *drained;
            shared.drained = drained.clone();
            is_changed
        })
    }

    /// Replaces the instances that share the limits of endpoints and the retry budgets.
    pub fn set_instances(&self, instances: Instances) {
        self.update_shared(|shared| {
            shared.instances = Some(instances);
            true
        });
    }

    /// Changes the shared view, and applies it to all groups if `update` returns true.
    fn update_shared(&self, update: impl FnOnce(&mut SharedView) -> bool) -> bool {
        let mut shared = lock(&self.shared);
        let is_changed = update(&mut shared);
        if is_changed {
            self.all().iter().for_each(|group| shared.apply(group));
        }
        is_changed
    }

    /// Records that the endpoints have been read, by this instance or by a peer.
    pub fn mark_endpoints_read(&self) {
        self.endpoints_read.set();
    }

    /// Waits until the endpoints have been read.
    pub async fn wait_for_endpoints(&self) {
        self.endpoints_read.wait().await;
    }

    /// A group, if any endpoint or route has named it.
    pub fn get(&self, name: &EndpointGroup) -> Option<Arc<Group>> {
        self.groups.read().unwrap_or_else(PoisonError::into_inner).get(name).cloned()
    }

    /// The group with this tag.
    pub fn by_tag(&self, tag: GroupTag) -> Option<Arc<Group>> {
        let groups = self.groups.read().unwrap_or_else(PoisonError::into_inner);
        groups.values().find(|group| group.tag == tag).cloned()
    }

    /// Returns a group, creating it if it doesn't exist.
    pub fn get_or_create(&self, name: &EndpointGroup) -> Arc<Group> {
        if let Some(group) = self.get(name) {
            return group;
        }
        let shared = lock(&self.shared);
        let mut groups = self.groups.write().unwrap_or_else(PoisonError::into_inner);
        let create = || {
            let group = Group::new(name.clone(), self.scheduling, fastrand::u64(..));
            shared.apply(&group);
            Arc::new(group)
        };
        groups.entry(name.clone()).or_insert_with(create).clone()
    }

    /// Addresses of up to `count` random endpoints of other groups in a data centre.
    pub fn random_addresses_beside(
        &self,
        group: &EndpointGroup,
        data_centre: &DataCentre,
        count: usize,
    ) -> Vec<SocketAddr> {
        let others = self.all().into_iter().filter(|other| other.name != *group);
        let addresses = others.flat_map(|other| {
            let scheduler = lock(&other.scheduler);
            let endpoints = scheduler.endpoints_in(data_centre);
            endpoints.filter_map(|endpoint| other.address(endpoint)).collect::<Vec<_>>()
        });
        fastrand::choose_multiple(addresses, count)
    }

    /// All groups.
    pub fn all(&self) -> Vec<Arc<Group>> {
        self.groups.read().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }
}
