//! Admission control.
//!
//! **Load pattern.** For minutes, twice as much work arrives as the engines can do.
//!
//! **Without it.** All queues grow until every request misses its deadline while it waits. The
//! engines run at full speed, but no answer is useful, and callers learn of it only at their
//! deadline.
//!
//! **Rule.** A request is refused at once if its predicted time to first token, multiplied by the
//! learned margin, exceeds its first-token deadline. The prediction adds three waits to the
//! request's own prefill: for the prefill on the engines in its band and below, for the prompts of
//! lower bands queued here and on the peers, and for its own workspace's queue, which is served at
//! the workspace's share or at the capacity that the other workspaces leave, whichever is more. The
//! refusal says when to retry. If the queues are full, the latest request of the workspace furthest
//! over its share is dropped, or the new request if that workspace sent it. Until the speed of any
//! engine has been measured, no request is refused by a prediction: one request at a time is tried,
//! the others wait, and once there is a measurement, those that can't meet their deadline fail at
//! once.
//!
//! **Grounds.** A refusal costs microseconds and lets the caller go elsewhere or return at the
//! stated time, whereas an admission that fails later costs the caller the whole wait. Comparing
//! predictions with measured first tokens ([`super::learn::PredictionMargin`]) accounts for effects
//! that the model leaves out, such as memory held by long answers. Once per [`TRIAL_INTERVAL_S`],
//! an idle deployment runs a request against the prediction: otherwise a learned speed that is too
//! low would refuse all requests forever and never be corrected. After a cold start, a restart or
//! the replacement of all engines, there is no measurement at all. [`INITIAL_PREFILL_RATE`] is too
//! low for most engines, so it would refuse prompts that could be served; trying one request at a
//! time keeps all long prompts of that moment from being sent to the engines together.
//!
//! [`INITIAL_PREFILL_RATE`]: super::learn::INITIAL_PREFILL_RATE

use std::{sync::Arc, time::Duration};

use crate::{
    Admission, FailCause, Forecast, Refusal, RefusalReason, RequestSpec, RunStatus, Time,
    TokenRate, Tokens, quarantine::QuarantineState,
};

use super::{
    AdaptiveScheduler,
    queue::WorkspaceIndex,
    request::{AdmissionBasis, RequestEntry, RequestState, RequestTimer},
    seconds, span,
    workspaces::{MULTI_ENGINE_QUEUE, TRAFFIC_HALF_LIFE_S},
};

/// Cost of one decoded token in prefill tokens. Decoding is batched, but each step occupies the
/// whole engine; four lies between these extremes.
const PREFILL_TOKENS_PER_DECODED_TOKEN: f64 = 4.0;
/// Range of the retry delay that a refused caller is given, in seconds.
const RETRY_AFTER_RANGE_S: std::ops::RangeInclusive<f64> = 0.1..=60.0;
/// Random addition to the retry delay, as a share of it, so that callers refused together don't
/// return together.
const RETRY_JITTER_SHARE: f64 = 0.25;
/// Minimum seconds between two trials that run a request against the prediction.
const TRIAL_INTERVAL_S: f64 = 1.0;
/// Maximum share of the engines' speed that short prompts are assumed to use in predictions for
/// long ones. Above it, long prompts are soon overdue and [`super::short_rate_limit`] limits the
/// short ones.
const MAX_SHORT_LOAD: f64 = 0.75;

/// Predicted time to first token, in seconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Prediction {
    /// Wait for other requests.
    others: f64,
    /// The request's own prefill.
    own: f64,
    /// Wait in the queue of the request's own workspace.
    workspace_wait: f64,
}

impl Prediction {
    pub(super) fn seconds(self) -> f64 {
        self.others + self.own + self.workspace_wait
    }
}

impl AdaptiveScheduler {
    pub(super) fn admit(&mut self, req: Arc<RequestSpec>, now: Time) -> Admission {
        match self.check_admission(&req, now) {
            Ok(entry) => {
                self.insert(entry, now);
                Admission::Admitted
            }
            Err(refusal) => Admission::Refused(refusal),
        }
    }

    fn check_admission(
        &mut self,
        req: &Arc<RequestSpec>,
        now: Time,
    ) -> Result<RequestEntry, Refusal> {
        let workspace = self.workspaces.index(&req.workspace);
        let instances = self.peers.instances();
        let state = self.workspaces.get_mut(workspace);
        if let Some(over) = state.seconds_over_limit(instances, seconds(now)) {
            return Err(self.refusal(RefusalReason::OverLimit, over));
        }
        if let QuarantineState::Refused(left) = self.quarantine.state(req.fingerprint, now) {
            return Err(Refusal::new(RefusalReason::Quarantined, left));
        }
        if self.fleet.usable == 0 {
            return Err(self.refusal(RefusalReason::NoEndpoint, 1.0));
        }
        if req.footprint().0 as f64 > self.fleet.total_memory {
            return Err(self.refusal(RefusalReason::TooLarge, *RETRY_AFTER_RANGE_S.end()));
        }
        let mut entry = self.new_entry(req.clone(), workspace);
        let prediction = self.predict(&entry, now);
        entry.predicted = prediction.seconds();
        entry.workspace_wait = prediction.workspace_wait;
        let workspace_wait_margin =
            self.workspaces.get(workspace).queues[entry.queue_index].margin.factor();
        let promised = (prediction.others + prediction.own)
            * self.margins[entry.queue_index].factor(seconds(now))
            + prediction.workspace_wait * workspace_wait_margin;
        let allowed = entry.first_token_by.since(now).as_secs_f64();
        if promised > allowed {
            if !self.fleet.has_measured_speed {
                entry.basis = AdmissionBasis::Unmeasured;
            } else if self.may_start_trial(now) {
                entry.basis = AdmissionBasis::Trial;
                entry.first_token_by = req.deadline;
            } else {
                let forecast = self.forecast(&entry, prediction, now);
                let refusal = self.refusal(RefusalReason::TooLate, promised - allowed);
                return Err(Refusal { forecast: Some(forecast), ..refusal });
            }
        }
        self.ensure_queue_room(workspace, &entry, now)?;
        Ok(entry)
    }

    fn new_entry(&self, req: Arc<RequestSpec>, workspace: WorkspaceIndex) -> RequestEntry {
        let prompt = req.prompt.0 as f64;
        let band = self.band_limits.of(prompt, self.fleet.typical_rate);
        let cached = self.cached_at_holder(&req.prefix);
        let needs_several = req.footprint().0 as f64 > self.fleet.largest_memory;
        let output = self.decode.expected(req.max_output.0 as f64);
        let first_token_by = self.first_token_by(&req);
        RequestEntry {
            workspace,
            band,
            queue_index: if needs_several { MULTI_ENGINE_QUEUE } else { band.index() },
            uncached: (prompt - cached).max(1.0),
            cost: prompt + PREFILL_TOKENS_PER_DECODED_TOKEN * output,
            first_token_by,
            expires_at: first_token_by,
            state: RequestState::Waiting,
            attempts: 0,
            failures: 0,
            excluded: Vec::new(),
            silent_once: Vec::new(),
            may_have_run: false,
            passed_on: Tokens::ZERO,
            predicted: 0.0,
            workspace_wait: 0.0,
            basis: AdmissionBasis::Prediction,
            req,
        }
    }

    /// Tokens of the prefix that are expected in the cache of the engine that last received a
    /// prompt with the same first block. That engine is always on the shortlist, so the request can
    /// be sent there.
    fn cached_at_holder(&self, prefix: &[u64]) -> f64 {
        let holder = prefix.first().and_then(|first| self.prefix_holders.get(*first));
        holder.map_or(0.0, |holder| self.cache.expected_cached(holder, prefix).0 as f64)
    }

    /// The deadline of the first token.
    fn first_token_by(&self, req: &RequestSpec) -> Time {
        if let Some(first_token_by) = req.first_token_by {
            return first_token_by.min(req.deadline);
        }
        let whole = req.deadline.since(req.arrived);
        let decode = span(self.decode.seconds(req.max_output.0 as f64));
        // Callers rarely set `max_output` to a realistic value, so at least half of the time is
        // left for the first token.
        req.arrived + whole.saturating_sub(decode).max(whole / 2)
    }

    /// Collects the inputs of a prediction for the refusal.
    fn forecast(&self, entry: &RequestEntry, prediction: Prediction, now: Time) -> Forecast {
        let bands = || 0..=entry.band.index();
        let here: f64 = bands().map(|band| self.queues[band].tokens()).sum();
        let peers: f64 = bands().map(|band| self.peers.queued[band]).sum();
        Forecast {
            prefill_s: prediction.own,
            prefill_ahead_s: prediction.others,
            fair_share_wait_s: prediction.workspace_wait,
            margin: self.margins[entry.queue_index].factor(seconds(now)),
            budget_s: entry.first_token_by.since(now).as_secs_f64(),
            rate: TokenRate(self.fleet.typical_rate),
            is_measured: self.fleet.has_measured_speed,
            in_flight: Tokens(self.total_prefill_ahead[entry.band.index()] as u64),
            queued: Tokens((here + peers) as u64),
            in_flight_requests: self.requests.len(),
            max_peer_age: self.peers.age(now),
        }
    }

    fn insert(&mut self, entry: RequestEntry, now: Time) {
        let at = seconds(now);
        self.band_limits.observe(entry.prompt());
        self.demand[entry.band.index()].add(entry.prompt(), at, super::DEMAND_HALF_LIFE_S);
        let state = self.workspaces.get_mut(entry.workspace);
        state.admitted(entry.cost, at);
        state.queues[entry.queue_index].demand.add(entry.prompt(), at, TRAFFIC_HALF_LIFE_S);
        let request = entry.req.id;
        if entry.basis == AdmissionBasis::Unmeasured {
            self.unmeasured_requests.insert(request);
        }
        self.requests.insert(request, entry);
        self.enqueue(request);
    }

    /// Puts a request into its queue.
    pub(super) fn enqueue(&mut self, request: crate::RequestId) {
        self.set_expiry(request);
        let Some(entry) = self.requests.get_mut(&request) else { return };
        entry.state = RequestState::Waiting;
        let weight = self.workspaces.weight_of(entry.workspace);
        let workspace_queue =
            &mut self.workspaces.get_mut(entry.workspace).queues[entry.queue_index];
        self.queues[entry.queue_index].push(
            weight,
            workspace_queue,
            entry.waiting(),
            entry.prompt(),
        );
        self.waiting += 1;
    }

    /// Sets the time after which a waiting request would miss its first-token deadline even on an
    /// idle engine.
    fn set_expiry(&mut self, request: crate::RequestId) {
        let (fastest, is_measured) = (self.fleet.fastest_rate, self.fleet.has_measured_speed);
        let Some(entry) = self.requests.get_mut(&request) else { return };
        self.expiries.remove(&RequestTimer { at: entry.expires_at, request });
        let overrides_prediction = entry.basis.overrides_prediction(is_measured);
        let own = if overrides_prediction { 0.0 } else { entry.uncached / fastest };
        let latest = Time(entry.first_token_by.0.saturating_sub((own * 1e6) as u64));
        entry.expires_at = latest.min(entry.req.deadline);
        self.expiries.insert(RequestTimer { at: entry.expires_at, request });
    }

    /// Once an engine's speed is measured, rechecks the waiting requests that were admitted without
    /// a measurement and fails those that can't meet their first-token deadline.
    pub(super) fn recheck_unmeasured(&mut self, now: Time) {
        if !self.fleet.has_measured_speed || self.unmeasured_requests.is_empty() {
            return;
        }
        for request in std::mem::take(&mut self.unmeasured_requests) {
            let Some(entry) = self.requests.get(&request) else { continue };
            if !matches!(entry.state, RequestState::Waiting) {
                continue;
            }
            self.set_expiry(request);
            if self.requests.get(&request).is_some_and(|entry| entry.expires_at <= now) {
                self.fail(request, FailCause::TooLate, now);
            }
        }
    }

    /// Whether a request admitted without a measurement has to wait because another one is being
    /// tried.
    pub(super) fn must_wait_for_trial(&self, entry: &RequestEntry) -> bool {
        if entry.basis != AdmissionBasis::Unmeasured || self.fleet.has_measured_speed {
            return false;
        }
        let trial = self.unmeasured_trial.and_then(|request| self.requests.get(&request));
        trial
            .and_then(RequestEntry::attempt)
            .is_some_and(|attempt| attempt.first_token_at.is_none())
    }

    /// Predicts the time to first token of `entry` if it is admitted now.
    pub(super) fn predict(&self, entry: &RequestEntry, now: Time) -> Prediction {
        let band = entry.band.index();
        let speed_left = if entry.band.is_long() { 1.0 - self.short_load() } else { 1.0 };
        let own = entry.uncached / (self.fleet.typical_rate * speed_left);
        let capacity =
            if entry.band.is_long() { self.long_rate * speed_left } else { self.short_rate };
        let capacity = capacity.max(1.0);
        let lower: f64 = (0..band).map(|b| self.queues[b].tokens() + self.peers.queued[b]).sum();
        let queued = lower + self.queues[entry.queue_index].tokens() + self.peers.queued[band];
        let wait = (self.total_prefill_ahead[band] + lower) / capacity;
        if queued > 0.0 || entry.needs_several() {
            let workspace_wait = self.workspace_wait(entry, capacity, now);
            return Prediction { others: wait, own, workspace_wait };
        }
        // No request is queued, so this one goes to the engine that is free first.
        Prediction {
            others: wait.min(self.shortest_wait[band] / speed_left),
            own,
            workspace_wait: 0.0,
        }
    }

    /// Seconds until the queue of the request's workspace is served up to this request. The
    /// workspace gets its share of the capacity, or what the other workspaces have recently left
    /// unused if that is more.
    fn workspace_wait(&self, entry: &RequestEntry, capacity: f64, now: Time) -> f64 {
        let queue = &self.queues[entry.queue_index];
        let state = self.workspaces.get(entry.workspace);
        let workspace_queue = &state.queues[entry.queue_index];
        let peers = state.peers_waiting.min(self.peers.queued[entry.band.index()]);
        let mine = workspace_queue.tokens() + peers;
        let newcomer = if workspace_queue.tokens() > 0.0 { 0.0 } else { state.weight };
        let share = capacity * state.weight / (queue.weights() + newcomer);
        let own =
            workspace_queue.demand.rate(seconds(now), TRAFFIC_HALF_LIFE_S) + state.peers_served;
        let others = (self.total_demand[entry.band.index()] - own).max(0.0);
        mine / share.max(capacity - others).min(capacity)
    }

    /// Share of the engines' total speed that short prompts use.
    pub(super) fn short_load(&self) -> f64 {
        (self.total_demand[0] / self.fleet.total_rate.max(1.0)).min(MAX_SHORT_LOAD)
    }

    /// Whether a request may be run against the prediction: no request is in flight that it could
    /// delay, and the last trial is at least [`TRIAL_INTERVAL_S`] ago.
    fn may_start_trial(&mut self, now: Time) -> bool {
        let idle = self.requests.is_empty();
        let due = seconds(now) - self.last_trial_at >= TRIAL_INTERVAL_S;
        if idle && due {
            self.last_trial_at = seconds(now);
        }
        idle && due
    }

    fn ensure_queue_room(
        &mut self,
        workspace: WorkspaceIndex,
        entry: &RequestEntry,
        now: Time,
    ) -> Result<(), Refusal> {
        // Requests whose attempt failed are queued again even if the queues are full, so more than
        // one may have to be dropped.
        while self.waiting >= self.rules.limits.waiting {
            let over = self.workspaces.most_over_share(entry.prompt(), workspace);
            let queues = &self.workspaces.get(over).queues;
            let last = queues.iter().filter_map(|workspace_queue| workspace_queue.last()).max();
            match last.filter(|_| over != workspace) {
                Some(last) => self.fail(last.request, FailCause::Shed, now),
                None => return Err(self.refusal(RefusalReason::OverShare, entry.predicted)),
            }
        }
        Ok(())
    }

    fn refusal(&mut self, reason: RefusalReason, seconds: f64) -> Refusal {
        Refusal::new(reason, self.retry_after(seconds))
    }

    /// The retry delay to report for a wait of about `seconds`.
    pub(super) fn retry_after(&mut self, seconds: f64) -> Duration {
        let seconds = seconds.clamp(*RETRY_AFTER_RANGE_S.start(), *RETRY_AFTER_RANGE_S.end());
        span(seconds * (1.0 + RETRY_JITTER_SHARE * self.rng.f64()))
    }

    /// Whether a request that is given up now has run on an endpoint.
    pub(super) fn run_status(entry: &RequestEntry) -> RunStatus {
        match &entry.state {
            _ if entry.passed_on.0 > 0 => RunStatus::Yes,
            RequestState::Running(attempt) if attempt.first_token_at.is_some() => RunStatus::Yes,
            RequestState::Running(_) => RunStatus::Unknown,
            _ if entry.may_have_run => RunStatus::Unknown,
            _ => RunStatus::No,
        }
    }
}
