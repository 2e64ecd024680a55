//! The product's own scheduler.
//!
//! Each module here answers one load pattern and says which. A request passes them in this order:
//! [`workspaces`] and [`admit`] let it in or refuse it, [`queue`] holds it, [`dispatch`] or
//! [`reserve`] sends it, [`failover`] sends it again, and [`learn`] makes the next prediction
//! better. See `docs/decisions/scheduling.md` and `docs/decisions/long-beside-short.md`.

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

/// How often what waits is looked at even if nothing happens: modelled progress frees budget
/// without an event, and a lost event must not strand anybody. A hundredth of a second is a tenth
/// of the shortest budget.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Half-life in seconds of the measured demand: a few long prompts' worth of time.
const DEMAND_HALF_LIFE_S: f64 = 20.0;
/// Weighted tokens a second below which a workspace isn't told to the other instances.
const MIN_REPORTED_TOKENS_PER_S: f64 = 1.0;
/// The most workspaces told in one digest, busiest first, so that digests stay within the
/// instances' budget for talk among themselves.
const MAX_REPORTED_WORKSPACES: usize = 64;

/// What a second of a long prompt's first token weighs against a second of a short one's, where a
/// site weighs both alike. A second more is a small part of the one and many times the other; this
/// balance is measured in `docs/decisions/long-beside-short.md`.
const LONG_FIRST_TOKEN_FACTOR: f64 = 0.4;
/// Seconds between two judgements of the endpoints' health.
const HEALTH_INTERVAL_S: f64 = 1.0;

#[derive(Debug, Default)]
struct Rules {
    weights: Weights,
    limits: Limits,
}

/// The product's scheduler; see the module's documentation.
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
    /// Requests that wait in lanes.
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
    /// Ejected endpoints whose probe is due.
    probes: Vec<EndpointId>,
    cache: CacheIndex,
    prefix_holders: PrefixHolders,
    budgets: RetryBudgets,
    short_limiter: ShortRateLimiter,
    /// Long prompts of this instance without a first token.
    long_prefills: IndexSet<RequestId>,
    /// Prefill speed that short prompts can count on.
    short_rate: f64,
    /// Seconds of work that others have likely sent to an endpoint that isn't this one's home.
    unreported_work: f64,
    quarantine: Quarantine,
    last_trial: f64,
    /// Requests admitted before any speed was measured.
    unmeasured_requests: IndexSet<RequestId>,
    /// The last of them that was started.
    unmeasured_trial: Option<RequestId>,
    /// Prompt tokens a second of all instances, by band.
    total_demand: PerBand,
    /// Prefill speed of the engines open to long prompts and with memory for them.
    long_rate: f64,
    /// Prefill on the engines that goes before a prompt of each band, and the least on any one in
    /// seconds.
    inflight: PerBand,
    least_wait: PerBand,
}

/// Bytes that the scheduler keeps for one of each, without names and without what is queued.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// An endpoint, with its own load's history.
    pub endpoint: usize,
    /// A workspace with nothing waiting.
    pub workspace: usize,
    /// An admitted request.
    pub request: usize,
}

impl AdaptiveScheduler {
    /// What it keeps, for `decision_cost` and the page of capacities.
    pub fn sizes() -> Sizes {
        Sizes {
            endpoint: endpoint::Endpoint::bytes(),
            workspace: size_of::<workspaces::WorkspaceState>(),
            request: size_of::<RequestEntry>(),
        }
    }

    /// A scheduler for one life of `instance`; `seed` starts its generator.
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
            last_trial: f64::NEG_INFINITY,
            unmeasured_requests: IndexSet::new(),
            unmeasured_trial: None,
            total_demand: PerBand::default(),
            long_rate: 0.0,
            inflight: PerBand::default(),
            least_wait: PerBand::default(),
        }
    }

    /// Fails what is past its bound or deadline.
    fn expire(&mut self, now: Time) {
        while let Some(timer) = self.expiries.first().copied().filter(|timer| timer.at <= now) {
            self.expiries.remove(&timer);
            let Some(entry) = self.requests.get_mut(&timer.request) else { continue };
            let past_deadline = entry.req.deadline <= now;
            if past_deadline || matches!(entry.state, RequestState::Waiting) {
                self.fail(timer.request, FailCause::Deadline, now);
                continue;
            }
            // It backs off; its deadline is what counts until it waits again.
            entry.expires_at = entry.req.deadline;
            self.expiries.insert(RequestTimer { at: entry.expires_at, ..timer });
        }
    }

    /// Takes over what another instance told.
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
            Event::PeerGone { instance, incarnation } => self.peer_gone(&instance, incarnation),
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
            long_prompts_starved: self.has_late_long_prompt(now),
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

/// A point in time in seconds since the origin.
fn seconds(at: Time) -> f64 {
    at.0 as f64 / 1e6
}

/// A span of so many seconds; the longest where the number has no meaning as one.
fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}
