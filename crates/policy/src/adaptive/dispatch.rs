//! Dispatch: when a request is sent, and to which engine.
//!
//! **Load pattern.** More requests wait than the engines can serve at once, and a later request may
//! be more urgent than an earlier one.
//!
//! **Without it.** A request in an engine's queue can't be reordered, moved or withdrawn. The order
//! is fixed when requests are sent, in favour of whoever sends most.
//!
//! **Rule.** An engine only gets as much prefill in advance as it needs to stay busy until it can
//! get more: a budget in predicted seconds for each band (see [`super::band`]), not a number of
//! requests. All other requests wait here. [`crate::selection`] chooses among the engines that have
//! room. Short prompts have the higher engine priority, so only short prompts count towards their
//! budget. The cost of an engine is the predicted time to the prompt's own first token, weighted by
//! its class, plus the delay of the prompts that it would overtake there, weighted by theirs. Short
//! prompts therefore avoid engines with long prompts until that costs them as much as it saves.
//!
//! Each instance prefers its own share of the endpoints. On the others it adds the unreported work:
//! what the other instances have probably sent there since their last digest.
//!
//! **Grounds.** A tenth of the longest short prefill covers several round trips within a region and
//! several chunks of prefill, and callers don't notice what it adds to a short prompt's wait. For
//! longer bands, the budget is a few percent of their own prefill time. The effect of preferring a
//! share of the endpoints was measured in `docs/decisions/scheduling.md`.

use std::time::Duration;

use crate::{
    Decision, EndpointId, FailCause, RequestId, Shard, Start, Time, TokenRate, Tokens,
    selection::{self, Candidate, SelectionRequest},
};

use super::{
    AdaptiveScheduler,
    band::Band,
    endpoint::Endpoint,
    request::{AdmissionBasis, Attempt, RequestEntry, RequestState, RequestTimer},
    seconds,
    shortlist::Shortlist,
    span,
    workspaces::MULTI_ENGINE_QUEUE,
};

/// Number of workspaces whose first request is tried before a queue counts as blocked. The first
/// request may be excluded from the only engine with room because it failed there or needs more
/// memory.
const LOOKAHEAD_WORKSPACES: usize = 4;
/// Minimum speed, as a share of the typical one, of an endpoint that doesn't count as slow.
const MIN_ORDINARY_SPEED_SHARE: f64 = 0.5;

/// What to do with a waiting request.
enum DispatchChoice {
    /// Start it now on this endpoint.
    Start(ChosenEndpoint),
    /// Leave it in the queue: no endpoint has room.
    Wait,
    /// Give it up: no endpoint can meet its first-token deadline.
    TooLate,
    /// Place it on several engines: it needs more memory than any engine has.
    NeedsSeveral,
}

struct ChosenEndpoint {
    endpoint: EndpointId,
    cached: Tokens,
    /// Seconds until the first token.
    predicted: f64,
}

impl AdaptiveScheduler {
    /// Starts as many waiting requests as fit, shortest band first.
    pub(super) fn dispatch(&mut self, now: Time) {
        if self.waiting == 0 {
            return;
        }
        for band in Band::all() {
            while self.start_next(band.index(), now) {}
        }
    }

    /// Starts, moves or gives up one request of a queue. Returns false if the queue is empty or
    /// blocked.
    fn start_next(&mut self, queue_index: usize, now: Time) -> bool {
        let is_short = queue_index == Band::SHORT.index();
        if is_short && !self.short_limiter.allows(seconds(now)) {
            return false;
        }
        let workspaces_in_order: Vec<_> =
            self.queues[queue_index].workspaces_in_order().take(LOOKAHEAD_WORKSPACES).collect();
        for workspace in workspaces_in_order {
            let Some(first) = self.workspaces.get(workspace).queues[queue_index].first() else {
                continue;
            };
            match self.choose_endpoint(first.request, now) {
                DispatchChoice::Start(chosen) => {
                    self.start_on_one(first.request, &chosen, now);
                    return true;
                }
                DispatchChoice::TooLate => {
                    self.fail(first.request, FailCause::Deadline, now);
                    return true;
                }
                DispatchChoice::NeedsSeveral => {
                    self.move_to_multi_engine_queue(first.request);
                    return true;
                }
                DispatchChoice::Wait => {}
            }
        }
        false
    }

    /// Moves a request to the queue of prompts that need several engines.
    ///
    /// This happens if the request was admitted before the engines reported their memory, or if
    /// larger engines have been removed since. In the queue of its band it would fit on no engine,
    /// and would block its workspace's other requests until its deadline.
    fn move_to_multi_engine_queue(&mut self, request: RequestId) {
        self.dequeue(request, false);
        if let Some(entry) = self.requests.get_mut(&request) {
            entry.queue_index = MULTI_ENGINE_QUEUE;
        }
        self.enqueue(request);
    }

    fn choose_endpoint(&mut self, request: RequestId, now: Time) -> DispatchChoice {
        let shortlist = self.shortlist(request, now);
        let Some(entry) = self.requests.get(&request) else { return DispatchChoice::Wait };
        if self.fleet.usable > 0 && entry.footprint() > self.fleet.largest_memory {
            return DispatchChoice::NeedsSeveral;
        }
        if self.must_wait_for_trial(entry) {
            return DispatchChoice::Wait;
        }
        let selection = self.selection_request(entry);
        let listed = shortlist.indices().filter_map(|index| self.fleet.endpoints.get_index(index));
        let candidates: Vec<Candidate> =
            listed.filter_map(|(_, endpoint)| self.candidate(entry, endpoint, now)).collect();
        let Some(index) = selection::choose(&candidates, &selection, &mut self.rng) else {
            return DispatchChoice::Wait;
        };
        let chosen = &candidates[index];
        let first_token = selection::first_token(chosen, &selection);
        let overrides_prediction = entry.basis.overrides_prediction(self.fleet.has_measured_speed);
        if !overrides_prediction && now + first_token > entry.first_token_by {
            return self.too_late(entry, &candidates, &selection, now);
        }
        DispatchChoice::Start(ChosenEndpoint {
            endpoint: chosen.endpoint.clone(),
            cached: chosen.cached.min(entry.req.prompt),
            predicted: first_token.as_secs_f64(),
        })
    }

    /// Decides about a request that can't meet its first-token deadline on the chosen endpoint. If
    /// only a slow endpoint has room at the moment, the request waits for a faster one.
    fn too_late(
        &self,
        entry: &RequestEntry,
        candidates: &[Candidate],
        selection: &SelectionRequest,
        now: Time,
    ) -> DispatchChoice {
        let min_rate = self.fleet.typical_rate * MIN_ORDINARY_SPEED_SHARE;
        let first_tokens = candidates
            .iter()
            .filter(|candidate| candidate.rate.0 >= min_rate)
            .map(|candidate| selection::first_token(candidate, selection));
        match first_tokens.min() {
            Some(least) if now + least > entry.first_token_by => DispatchChoice::TooLate,
            _ => DispatchChoice::Wait,
        }
    }

    /// The endpoints with room for a request and the shortest wait, plus the endpoint that last
    /// received a prompt with the same first block.
    fn shortlist(&mut self, request: RequestId, now: Time) -> Shortlist {
        let mut list = Shortlist::default();
        let Some(entry) = self.requests.get(&request) else { return list };
        let (band, footprint) = (entry.band, entry.footprint());
        let budget = self.band_limits.budget(band);
        let typical = self.fleet.typical_rate;
        let count = self.fleet.endpoints.len().max(1);
        let start = self.rng.usize(..count);
        let holder = entry.req.prefix.first().and_then(|first| self.prefix_holders.get(*first));
        for index in (start..count).chain(0..start) {
            let Some((id, endpoint)) = self.fleet.endpoints.get_index_mut(index) else { continue };
            let rate = endpoint.speed.rate().unwrap_or(typical);
            endpoint.advance(seconds(now), rate);
            if !endpoint.has_room(band, budget * rate, footprint, now) {
                continue;
            }
            let wait = endpoint.prefill_ahead(band) / rate;
            let unreported = if endpoint.is_preferred { 0.0 } else { self.unreported_work };
            let delayed = endpoint.prompts_delayed_by(band).min(1);
            let is_prefix_holder = holder == Some(id);
            let wait = wait + unreported + f64::from(delayed) * budget + 2.0 * endpoint.distance;
            list.offer(
                index,
                if is_prefix_holder { f64::NEG_INFINITY } else { wait * endpoint.penalty },
            );
        }
        list
    }

    fn selection_request(&self, entry: &RequestEntry) -> SelectionRequest {
        SelectionRequest {
            prompt: entry.req.prompt,
            footprint: entry.req.footprint(),
            long: entry.band.is_long(),
            prefix: entry.req.prefix.first().copied(),
            unreported_work: Duration::ZERO,
            weights: self.rules.weights,
        }
    }

    /// Converts an endpoint with room to a candidate, unless `entry` may not run there.
    fn candidate(&self, entry: &RequestEntry, endpoint: &Endpoint, now: Time) -> Option<Candidate> {
        let band = entry.band;
        let rate = self.fleet.rate(endpoint);
        let free = endpoint.free(band);
        if !entry.may_run_on(&endpoint.id, endpoint.incarnation) {
            return None;
        }
        let fingerprint = entry.req.fingerprint;
        if !self.quarantine.may_run(fingerprint, &endpoint.id, self.fleet.usable, now) {
            return None;
        }
        let speed_left = if band.is_long() { 1.0 - self.short_load() } else { 1.0 };
        let wait = endpoint.prefill_ahead(band) / (rate * speed_left)
            + endpoint.lateness(seconds(now), rate)
            + if endpoint.is_preferred { 0.0 } else { self.unreported_work };
        Some(Candidate {
            endpoint: endpoint.id.clone(),
            wait: span(wait),
            rate: TokenRate(rate * speed_left),
            cached: self.cache.expected_cached(&endpoint.id, &entry.req.prefix),
            distance: span(endpoint.distance),
            free: Tokens(free.min(1e18) as u64),
            shorts_running: 0,
            longs_running: endpoint.prompts_delayed_by(band),
            accepts_long: endpoint.open_to_long,
            penalty: endpoint.penalty,
        })
    }

    fn start_on_one(&mut self, request: RequestId, chosen: &ChosenEndpoint, now: Time) {
        let Some(entry) = self.requests.get(&request) else { return };
        let Some(endpoint) = self.fleet.get(&chosen.endpoint) else { return };
        let shard = Shard {
            endpoint: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
            tokens: entry.req.footprint(),
        };
        self.start(request, vec![shard], chosen.cached, chosen.predicted, now);
    }

    /// Starts a waiting request on `shards`. The first shard runs it, has `cached` tokens of its
    /// prompt in its cache, and is predicted to give the first token after `predicted` seconds.
    pub(super) fn start(
        &mut self,
        request: RequestId,
        shards: Vec<Shard>,
        cached: Tokens,
        predicted: f64,
        now: Time,
    ) {
        self.dequeue(request, true);
        let Some(entry) = self.requests.get_mut(&request) else { return };
        self.expiries.remove(&RequestTimer { at: entry.expires_at, request });
        entry.expires_at = entry.req.deadline;
        self.expiries.insert(RequestTimer { at: entry.expires_at, request });
        entry.attempts += 1;
        if entry.basis == AdmissionBasis::Unmeasured {
            self.unmeasured_trial = Some(request);
        }
        let band = entry.band;
        let prefill = (entry.req.prompt + entry.passed_on - cached).0.max(1) as f64;
        for shard in &shards {
            if let Some(endpoint) = self.fleet.get_mut(&shard.endpoint) {
                endpoint.reserve_memory(band, shard.tokens.0 as f64);
            }
        }
        let first = shards.first().and_then(|shard| self.fleet.get_mut(&shard.endpoint));
        let Some(endpoint) = first else { return };
        if let Some(first) = entry.req.prefix.first() {
            self.prefix_holders.record_sent(*first, &endpoint.id);
        }
        self.cache.record_sent(&endpoint.id, endpoint.incarnation, &entry.req.prefix);
        self.quarantine.record_start(entry.req.fingerprint, &endpoint.id, now);
        let attempt = Attempt {
            sent_at: now,
            predicted,
            cached,
            ahead: endpoint.modelled_prefill_ahead(band),
            short_prefilled: endpoint.short_prefilled,
            shares_with_long_prefill: !band.is_long() && endpoint.prompts_delayed_by(band) > 0,
            prefill,
            first_token_at: None,
            shards: shards.clone(),
        };
        endpoint.record_sent(band, prefill, now);
        endpoint.record_load(now);
        entry.state = RequestState::Running(attempt);
        self.decisions.push(Decision::Start(Start {
            request,
            attempt: entry.attempts,
            shards,
            priority: band.priority(),
        }));
        if band.is_long() {
            self.long_prefills.insert(request);
            self.refresh_fleet(now);
        } else {
            self.short_limiter.started(prefill);
        }
    }

    /// Removes a request from its queue; `served` if it starts.
    pub(super) fn dequeue(&mut self, request: RequestId, served: bool) {
        let Some(entry) = self.requests.get(&request) else { return };
        let weight = self.workspaces.weight_of(entry.workspace);
        let workspace_queue =
            &mut self.workspaces.get_mut(entry.workspace).queues[entry.queue_index];
        let queue = &mut self.queues[entry.queue_index];
        if !queue.remove(weight, workspace_queue, entry.waiting(), entry.prompt()) {
            return;
        }
        self.waiting -= 1;
        // The workspace was charged for the first attempt; retries are free.
        if served && entry.attempts == 0 {
            queue.charge(weight, workspace_queue, entry.cost);
        }
    }

    /// Ends the running attempt, if any, and releases its memory and prefill.
    pub(super) fn end_attempt(&mut self, request: RequestId, now: Time) -> Option<Attempt> {
        let entry = self.requests.get_mut(&request)?;
        if !matches!(entry.state, RequestState::Running(_)) {
            return None;
        }
        let RequestState::Running(attempt) =
            std::mem::replace(&mut entry.state, RequestState::Waiting)
        else {
            return None;
        };
        let band = entry.band;
        self.long_prefills.swap_remove(&request);
        for (index, shard) in attempt.shards.iter().enumerate() {
            let Some(endpoint) = self.fleet.for_shard(shard) else { continue };
            endpoint.release_memory(band, shard.tokens.0 as f64);
            if index == 0 && attempt.first_token_at.is_none() {
                endpoint.finish_prefill(band, attempt.prefill);
            }
            endpoint.record_load(now);
        }
        Some(attempt)
    }
}

/// Rounds tokens up to a whole number.
pub(super) fn ceil_tokens(tokens: f64) -> Tokens {
    Tokens(tokens.ceil().max(0.0) as u64)
}
