//! The adaptive scheduler, the default policy.
//!
//! Each module here handles one load pattern and describes it in its heading. A request passes
//! through them in this order: [`workspaces`] and [`admit`] admit or refuse it, [`queue`] holds it,
//! [`dispatch`] or [`reserve`] sends it, [`failover`] retries it after a failure, and [`learn`]
//! uses the outcome to improve the next predictions. See `docs/decisions/scheduling.md` and
//! `docs/decisions/long-beside-short.md`.

mod admit;
mod answers;
mod band;
mod dispatch;
mod endpoint;
mod failover;
mod fleet;
mod fleet_refresh;
mod learn;
mod open_engines;
mod peers;
mod queue;
mod request;
mod reserve;
mod short_rate_limit;
mod shortlist;
mod window;
mod workspaces;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use fastrand::Rng;
use indexmap::{IndexMap, IndexSet};

use crate::{
    Admission, BANDS, Decision, EndpointChange, EndpointId, Event, FailCause, Incarnation,
    InstanceId, LoadDigest, RequestId, RequestSpec, Scheduler, Time, TokenRate, Tokens,
    affinity::CacheIndex,
    config::{DeploymentRules, Limits, Weights, WorkspaceTable},
    health::Health,
    quarantine::Quarantine,
    report::WorkspaceShare,
    retry::RetryBudgets,
};

use band::BandLimits;
use endpoint::PerBand;
use fleet::Fleet;
use learn::{DecodeModel, LongPrefillDelay, PredictionMargin};
use open_engines::OpenEngines;
use peers::Peers;
use queue::FairQueue;
use request::{RequestEntry, RequestState, RequestTimer};
use reserve::ReservationPlan;
use short_rate_limit::ShortRateLimiter;
use shortlist::PrefixHolders;
use window::DecayedRate;
use workspaces::{QUEUE_COUNT, TRAFFIC_HALF_LIFE_S, Workspaces};

/// How often the queues are polled while requests wait, even without an event. Modelled progress
/// frees budget without an event, and a lost event must not leave requests waiting forever. Ten
/// milliseconds are a tenth of the shortest budget.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Half-life in seconds of the measured demand: about the time that a few long prompts take.
const DEMAND_HALF_LIFE_S: f64 = 20.0;
/// Weighted tokens per second below which a workspace with nothing waiting is left out of digests.
const MIN_REPORTED_TOKENS_PER_S: f64 = 1.0;
/// Maximum number of workspaces in one digest, busiest first. It keeps digests within the bandwidth
/// budget for traffic between instances.
const MAX_REPORTED_WORKSPACES: usize = 64;

/// Weight of one second of a long prompt's time to first token relative to one second of a short
/// prompt's, if a site weighs both alike. An extra second is a small part of a long prompt's time
/// and a multiple of a short one's. The value was measured in
/// `docs/decisions/long-beside-short.md`.
const LONG_FIRST_TOKEN_FACTOR: f64 = 0.4;
/// Seconds between two assessments of the endpoints' health.
const HEALTH_INTERVAL_S: f64 = 1.0;

#[derive(Debug, Default)]
struct Rules {
    weights: Weights,
    limits: Limits,
}

/// The adaptive scheduler; see the module's documentation.
#[derive(Debug)]
pub struct AdaptiveScheduler {
    instance: InstanceId,
    incarnation: Incarnation,
    sequence: u64,
    rng: Rng,
    rules: Rules,
    fleet: Fleet,
    workspaces: Workspaces,
    queues: [FairQueue; QUEUE_COUNT],
    /// Number of requests waiting in `queues`.
    waiting: usize,
    requests: IndexMap<RequestId, RequestEntry>,
    expiries: BTreeSet<RequestTimer>,
    backoffs: BTreeSet<RequestTimer>,
    decisions: Vec<Decision>,
    plan: Option<ReservationPlan>,
    peers: Peers,
    margins: [PredictionMargin; QUEUE_COUNT],
    decode: DecodeModel,
    long_prefill_delay: LongPrefillDelay,
    demand: [DecayedRate; BANDS],
    open_engines: OpenEngines,
    band_limits: BandLimits,
    health: Health,
    health_assessed_at: f64,
    /// Ejected endpoints that are due for a probe.
    probes: Vec<EndpointId>,
    cache: CacheIndex,
    prefix_holders: PrefixHolders,
    budgets: RetryBudgets,
    short_limiter: ShortRateLimiter,
    /// Long prompts of this instance that are still being prefilled.
    long_prefills: IndexSet<RequestId>,
    /// Prefill rate available to short prompts, in tokens per second.
    short_rate: f64,
    /// Estimated seconds of work that other instances have sent to an endpoint but not reported
    /// yet, for endpoints that this instance doesn't prefer.
    unreported_work: f64,
    quarantine: Quarantine,
    last_trial_at: f64,
    /// Requests admitted before the speed of any engine was measured.
    unmeasured_requests: IndexSet<RequestId>,
    /// The request in `unmeasured_requests` that was started last.
    unmeasured_trial: Option<RequestId>,
    /// Demand of all instances by band, in prompt tokens per second.
    total_demand: PerBand,
    /// Total prefill rate of the engines that are open to long prompts and have memory for them, in
    /// tokens per second.
    long_rate: f64,
    /// Tokens on all engines that are prefilled before a new prompt of each band, and the shortest
    /// such wait on a single engine, in seconds.
    total_prefill_ahead: PerBand,
    shortest_wait: PerBand,
}

/// Memory per object in bytes, without names and queue entries.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// An endpoint, including its load history.
    pub endpoint: usize,
    /// A workspace without waiting requests.
    pub workspace: usize,
    /// An admitted request.
    pub request: usize,
}

impl AdaptiveScheduler {
    /// Sizes of the scheduler's objects, for the `decision_cost` example and the capacity
    /// documentation.
    pub fn sizes() -> Sizes {
        Sizes {
            endpoint: endpoint::Endpoint::bytes(),
            workspace: size_of::<workspaces::WorkspaceState>(),
            request: size_of::<RequestEntry>(),
        }
    }

    /// Creates a scheduler for one incarnation of `instance`; `seed` seeds its random generator.
    pub fn new(instance: InstanceId, incarnation: Incarnation, seed: u64) -> Self {
        AdaptiveScheduler {
            instance,
            incarnation,
            sequence: 0,
            rng: Rng::with_seed(seed),
            rules: Rules::default(),
            fleet: Fleet::new(),
            workspaces: Workspaces::default(),
            queues: Default::default(),
            waiting: 0,
            requests: IndexMap::new(),
            expiries: BTreeSet::new(),
            backoffs: BTreeSet::new(),
            decisions: Vec::new(),
            plan: None,
            peers: Peers::default(),
            margins: std::array::from_fn(|_| PredictionMargin::new()),
            decode: DecodeModel::new(),
            long_prefill_delay: LongPrefillDelay::new(),
            demand: Default::default(),
            open_engines: OpenEngines::new(),
            band_limits: BandLimits::new(),
            health: Health::new(),
            health_assessed_at: f64::NEG_INFINITY,
            probes: Vec::new(),
            cache: CacheIndex::new(),
            prefix_holders: PrefixHolders::default(),
            short_limiter: ShortRateLimiter::default(),
            long_prefills: IndexSet::new(),
            short_rate: 0.0,
            unreported_work: 0.0,
            budgets: RetryBudgets::new(Limits::default().retry_share),
            quarantine: Quarantine::new(),
            last_trial_at: f64::NEG_INFINITY,
            unmeasured_requests: IndexSet::new(),
            unmeasured_trial: None,
            total_demand: PerBand::default(),
            long_rate: 0.0,
            total_prefill_ahead: PerBand::default(),
            shortest_wait: PerBand::default(),
        }
    }

    /// Fails waiting requests that can no longer meet their first-token deadline, and all requests
    /// past their final deadline.
    fn expire(&mut self, now: Time) {
        while let Some(timer) = self.expiries.first().copied().filter(|timer| timer.at <= now) {
            self.expiries.remove(&timer);
            let Some(entry) = self.requests.get_mut(&timer.request) else { continue };
            let past_deadline = entry.req.deadline <= now;
            if past_deadline || matches!(entry.state, RequestState::Waiting) {
                self.fail(timer.request, FailCause::Deadline, now);
                continue;
            }
            // While the request backs off, only its final deadline applies.
            entry.expires_at = entry.req.deadline;
            self.expiries.insert(RequestTimer { at: entry.expires_at, ..timer });
        }
    }

    /// Applies a load digest from another instance.
    fn apply_peer_digest(&mut self, digest: LoadDigest, now: Time) {
        if digest.instance == self.instance || !self.peers.is_new(&digest) {
            return;
        }
        self.fleet.apply_peer_digest(&digest, now);
        self.quarantine.import(&digest.suspicions, now);
        for endpoint in &digest.suspect_endpoints {
            self.quarantine.record_peer_suspect(endpoint, now);
        }
        self.peers.accept(digest, &mut self.workspaces, now);
    }

    fn endpoint_changed(&mut self, change: &EndpointChange, now: Time) {
        let known = self.fleet.get(&change.endpoint).map(|endpoint| endpoint.incarnation);
        if known.is_some_and(|known| change.incarnation > known) {
            self.health.reset(&change.endpoint);
        }
        self.fleet.apply_change(change, now);
        self.health.configure(self.fleet.endpoints.keys());
        self.refresh_fleet(now);
    }

    fn drop_stale_peers(&mut self, now: Time) {
        for (instance, incarnation) in self.peers.stale(now) {
            self.peer_gone(&instance, incarnation);
        }
    }

    fn peer_gone(&mut self, instance: &InstanceId, incarnation: Incarnation) {
        if self.peers.remove(instance, incarnation, &mut self.workspaces) {
            self.fleet.remove_peer(instance);
        }
    }

    fn workspace_shares(&self, now: Time) -> Vec<WorkspaceShare> {
        let share = |state: &workspaces::WorkspaceState| WorkspaceShare {
            workspace: state.name.clone(),
            waiting: Tokens(state.waiting() as u64),
            served: TokenRate(state.served.rate(seconds(now), TRAFFIC_HALF_LIFE_S)),
        };
        let mut shares: Vec<WorkspaceShare> = self
            .workspaces
            .iter()
            .map(|(_, state)| share(state))
            .filter(|share| {
                share.waiting > Tokens::ZERO || share.served.0 >= MIN_REPORTED_TOKENS_PER_S
            })
            .collect();
        shares.sort_by(|a, b| b.served.0.total_cmp(&a.served.0));
        shares.truncate(MAX_REPORTED_WORKSPACES);
        shares
    }
}

impl Scheduler for AdaptiveScheduler {
    fn configure(
        &mut self,
        rules: &DeploymentRules,
        workspaces: &WorkspaceTable,
        endpoints: &[EndpointChange],
        now: Time,
    ) {
        let weights = Weights {
            long_first_token: rules.weights.long_first_token * LONG_FIRST_TOKEN_FACTOR,
            ..rules.weights
        };
        self.rules = Rules { weights, limits: rules.limits.clone() };
        self.workspaces.configure(workspaces, seconds(now));
        for (index, queue) in self.queues.iter_mut().enumerate() {
            let waiting =
                |state: &workspaces::WorkspaceState| state.queues[index].first().is_some();
            let all = self.workspaces.iter().filter(|(_, state)| waiting(state));
            queue.set_weights(all.map(|(_, state)| state.weight).sum());
        }
        for removed in self.fleet.replace(endpoints, now) {
            self.cache.forget(&removed);
        }
        self.health.configure(self.fleet.endpoints.keys());
        self.budgets.configure(rules.limits.retry_share);
        self.refresh_fleet(now);
    }

    fn offer(&mut self, req: Arc<RequestSpec>, now: Time) -> Admission {
        if self.fleet.is_refresh_due(now) {
            self.refresh_fleet(now);
        }
        self.admit(req, now)
    }

    fn poll(&mut self, now: Time) -> Vec<Decision> {
        if self.fleet.is_refresh_due(now) {
            self.drop_stale_peers(now);
            self.refresh_fleet(now);
        }
        self.recheck_unmeasured(now);
        self.expire(now);
        self.end_backoffs(now);
        self.dispatch_multi_engine(now);
        let spread = self.queues[workspaces::MULTI_ENGINE_QUEUE].tokens();
        self.dispatch(now);
        if self.queues[workspaces::MULTI_ENGINE_QUEUE].tokens() > spread {
            self.dispatch_multi_engine(now);
        }
        std::mem::take(&mut self.decisions)
    }

    fn next_wakeup(&self, now: Time) -> Option<Time> {
        if !self.decisions.is_empty() {
            return Some(now);
        }
        let poll = (self.waiting > 0).then(|| now + POLL_INTERVAL);
        let expiry = self.expiries.first().map(|timer| timer.at);
        let backoff = self.backoffs.first().map(|timer| timer.at);
        [poll, expiry, backoff].into_iter().flatten().min()
    }

    fn observe(&mut self, event: Event, now: Time) {
        match event {
            Event::FirstToken { request, attempt, cached } => {
                self.first_token(request, attempt, cached, now);
            }
            Event::Progress { request, attempt, .. } => self.progressed(request, attempt, now),
            Event::Ended { request, outcome } => self.ended(request, &outcome, now),
            Event::AttemptFailed { request, attempt, cause, passed_on } => {
                self.attempt_failed(request, attempt, cause, passed_on, now);
            }
            Event::Load(report) => self.fleet.apply_report(&report, now),
            Event::Cache(events) => self.cache.apply(&events),
            Event::Peer(digest) => self.apply_peer_digest(digest, now),
            Event::PeerRemoved { instance, incarnation } => self.peer_gone(&instance, incarnation),
            Event::Endpoint(change) => self.endpoint_changed(&change, now),
            Event::Probe { endpoint, healthy } => self.probed(&endpoint, healthy, now),
        }
    }

    fn digest(&mut self, now: Time) -> LoadDigest {
        self.sequence += 1;
        self.fleet.advance(now);
        let shares = self.fleet.endpoints.values().filter(|e| e.has_load_to_report());
        let mut queued = std::array::from_fn(|band| Tokens(self.queues[band].tokens() as u64));
        queued[BANDS - 1] += Tokens(self.queues[workspaces::MULTI_ENGINE_QUEUE].tokens() as u64);
        let mut suspicions = self.quarantine.export(now);
        suspicions.truncate(LoadDigest::MAX_ENTRIES);
        LoadDigest {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            endpoints: shares.map(endpoint::Endpoint::share).collect(),
            workspaces: self.workspace_shares(now),
            queued,
            demand: std::array::from_fn(|band| {
                TokenRate(self.demand[band].rate(seconds(now), DEMAND_HALF_LIFE_S))
            }),
            pending_reservations: self.pending_reservations(now),
            long_prompts_starved: self.has_starved_long_prompt(now),
            suspicions,
            suspect_endpoints: self
                .quarantine
                .running()
                .take(LoadDigest::MAX_ENTRIES)
                .cloned()
                .collect(),
        }
    }
}

/// Converts a point in time to seconds since the origin.
fn seconds(at: Time) -> f64 {
    at.0 as f64 / 1e6
}

/// Converts seconds to a duration; values that a duration can't represent become the maximum.
fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}
