//! Chooses endpoints for a request and records the placement; [`super::split`] chooses for long
//! prompts.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{Time, health, instances::Instances, quarantine::QuarantineState, routes::EngineRules};

use super::{
    GroupScheduler, Helper, JobId, Placement, PlacementRequest, PlacementRules, PlacementStrategy,
    Pool, Spread,
    prefill::{Part, PartCompletion, PartKey, Pass},
    request::Job,
    rules::{LONG_RANK, SHORT_RANK},
    server::{PartEstimate, Server, millis},
};

/// The key of a request's own part while it is evaluated; placed parts have random non-zero keys.
const CANDIDATE_KEY: PartKey = 0;

/// Retry delay when engines are crowded: within a second, half of the questions that are being
/// decoded have ended.
pub(super) const CROWDED_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Where a request is to run, and what that is predicted to cost.
#[derive(Clone, Default)]
pub(super) struct PlacementPlan {
    /// Indices of the endpoints; the first one runs the request.
    pub(super) servers: Vec<usize>,
    pub(super) part_prefill_ms: f64,
    pub(super) predicted_ms: f64,
    /// Milliseconds until all parts are prefilled.
    pub(super) prefilled_in_ms: f64,
    /// Milliseconds for which the request is held before it is sent.
    pub(super) hold_ms: f64,
    /// Milliseconds that its prefill would take if all engines that may take part were idle.
    pub(super) idle_prefill_ms: f64,
    pub(super) weight: f64,
    /// Cost, in weights, of decoding on an engine where nothing else decodes.
    pub(super) base_isolation_cost: f64,
    /// Milliseconds of waiting for a slot that are assumed for each request ahead in the queue.
    pub(super) slot_wait_ms: f64,
    /// What other requests lose by it, in weights.
    pub(super) cost_to_others: f64,
    /// Tokens of memory on the endpoint that runs it, without what is reserved on helpers.
    pub(super) memory_tokens: u64,
    /// Tokens to reserve on each helper, in their order.
    pub(super) reserve_tokens: Vec<Option<u64>>,
    pub(super) rank: u8,
    /// Whether a short prompt has to wait for a slot on its endpoint.
    pub(super) waits_for_slot: Option<bool>,
}

impl PlacementPlan {
    /// A plan for one endpoint without any prediction.
    fn unpredicted(index: usize, request: &PlacementRequest) -> PlacementPlan {
        PlacementPlan {
            servers: vec![index],
            weight: 1.0,
            rank: request.priority.min(LOWEST_RANK),
            ..PlacementPlan::default()
        }
    }

    /// Milliseconds by which the first event is predicted later than acceptable; positive means
    /// that the request is refused. A retry after a failure was admitted before and gets all
    /// remaining time, because its caller may already have half of the answer. A hedge has to meet
    /// the bound: under load, the engines would prefill every long prompt twice.
    pub(super) fn excess_ms(
        &self,
        request: &PlacementRequest,
        placement: &PlacementRules,
        is_overloaded: bool,
    ) -> f64 {
        if !request.tried.is_empty() && !request.is_hedge {
            return self.predicted_ms - request.remaining_ms;
        }
        let part = placement.bound(self.rank);
        let part = if is_overloaded { part.min(1.0) } else { part };
        let idle_bound = placement.idle_factor * self.idle_prefill_ms + placement.idle_slack_ms;
        let bound = if request.only_if_idle() {
            idle_bound
        } else {
            idle_bound.max(part * request.goal_ms)
        };
        self.predicted_ms - bound.min(request.remaining_ms)
    }

    /// Whether others would lose more by it than it is worth. A retry after a failure was admitted
    /// before and is exempt.
    pub(super) fn costs_others_too_much(
        &self,
        request: &PlacementRequest,
        placement: &PlacementRules,
    ) -> bool {
        request.tried.is_empty() && self.cost_to_others > placement.most_harm * self.weight
    }
}

impl GroupScheduler {
    pub(super) fn choose_engine(
        &self,
        rules: &EngineRules,
        request: &PlacementRequest,
        pool: Pool,
        spread: Spread,
        now: Time,
    ) -> Option<PlacementPlan> {
        if self.placement.choice != PlacementStrategy::Weighed {
            return self.choose_baseline(request, pool, now);
        }
        let prefill_ms = rules.prefill_ms(request.prompt_tokens);
        let short_prefill_ms = self.short_prefill_ms();
        let base = PlacementPlan {
            part_prefill_ms: prefill_ms,
            idle_prefill_ms: prefill_ms
                / self.usable_endpoints().min(rules.max_helpers + 1).max(1) as f64,
            weight: self.placement.weight(prefill_ms),
            base_isolation_cost: self.base_isolation_cost(now),
            slot_wait_ms: self.slot_wait_ms(rules, request),
            memory_tokens: request.prompt_tokens.saturating_add(request.max_output_tokens),
            rank: self.placement.rank(prefill_ms, short_prefill_ms),
            ..PlacementPlan::default()
        };
        if prefill_ms <= short_prefill_ms {
            let (index, predicted_ms) =
                self.choose_for_short(rules, request, &base, pool, spread, now)?;
            return Some(PlacementPlan {
                servers: vec![index],
                waits_for_slot: Some(self.servers[index].running() >= rules.slots),
                predicted_ms,
                prefilled_in_ms: predicted_ms,
                ..base
            });
        }
        self.split(rules, request, base, pool, spread, now)
    }

    /// The baseline strategies: least outstanding requests, or round robin.
    fn choose_baseline(
        &self,
        request: &PlacementRequest,
        pool: Pool,
        now: Time,
    ) -> Option<PlacementPlan> {
        let next = usize::try_from(self.next_job).unwrap_or_default() % self.servers.len().max(1);
        let distance_from_next =
            |index: usize| (index + self.servers.len() - next) % self.servers.len();
        let running = |server: &Server| match self.placement.choice {
            PlacementStrategy::LeastOutstanding => server.running(),
            PlacementStrategy::RoundRobin | PlacementStrategy::Weighed => 0,
        };
        let least = self
            .candidates(request, pool, now)
            .min_by_key(|(index, server)| (running(server), distance_from_next(*index)));
        let (index, _) = least?;
        Some(PlacementPlan {
            memory_tokens: request.prompt_tokens.saturating_add(request.max_output_tokens),
            ..PlacementPlan::unpredicted(index, request)
        })
    }

    /// Chooses an engine for a short prompt: the cheapest one, or the one after those that `spread`
    /// skips, as long as that costs no more than the request's being late.
    fn choose_for_short(
        &self,
        rules: &EngineRules,
        request: &PlacementRequest,
        base: &PlacementPlan,
        pool: Pool,
        spread: Spread,
        now: Time,
    ) -> Option<(usize, f64)> {
        let placement = &self.placement;
        let mut places = Vec::new();
        for (index, server) in self.candidates(request, pool, now) {
            let part = candidate_part(base, server, 1, request, now);
            let completions = server.completions(rules, now);
            let estimate = server.estimate(rules, &self.placement, part, &completions, now);
            let predicted = self.first_event_ms(rules, base, server, &estimate);
            let isolation_cost = self.short_isolation_cost(base.base_isolation_cost, index);
            let own = placement.lateness_cost(predicted, request.goal_ms)
                + placement.miss_probability(estimate.pause_ms, request.max_pause_ms);
            let cost_to_others =
                estimate.cost_to_others + self.delay_cost(std::iter::once(&estimate));
            let cost = self.health_penalty(server, now)
                * (base.weight * (own + isolation_cost) + cost_to_others);
            places.push((cost, index, predicted));
        }
        places.sort_unstable_by(|a, b| {
            a.0.total_cmp(&b.0).then_with(|| spread.rank(a.1).cmp(&spread.rank(b.1)))
        });
        let (least, best, _) = *places.first()?;
        let is_in_pool = self.short_pool.contains(best);
        let near = places
            .iter()
            .take_while(|(cost, ..)| *cost <= least + base.weight)
            .filter(|(_, index, _)| self.short_pool.contains(*index) == is_in_pool);
        near.take(spread.skipped + 1).last().map(|(_, index, predicted)| (*index, *predicted))
    }

    /// Cost, in weights, of placing a short prompt on an engine that long prompts may need.
    fn short_isolation_cost(&self, base_isolation_cost: f64, index: usize) -> f64 {
        match self.short_pool.is_active() {
            true if self.short_pool.contains(index) => 0.0,
            true => self.placement.most_apart,
            false => self.isolation_cost(base_isolation_cost, &self.servers[index]),
        }
    }

    /// The present cost, to a short prompt, of an engine where nothing else decodes.
    fn base_isolation_cost(&self, now: Time) -> f64 {
        let engines = self.usable_endpoints().max(1) as f64;
        let long_share =
            (self.long_share.rate(now) / 1000.0 / engines).max(self.placement.least_long_share);
        let heard_share = self.instances.as_ref().map_or(1.0, Instances::heard_share);
        heard_share * self.placement.apart * long_share.min(1.0)
    }

    pub(super) fn choose_least_loaded(
        &self,
        request: &PlacementRequest,
        pool: Pool,
        spread: Spread,
        now: Time,
    ) -> Option<PlacementPlan> {
        let mut best = None;
        for (index, server) in self.candidates(request, pool, now) {
            let load = f64::from(server.running() + 1)
                / f64::from(self.slot_cap.apply(server.member.slots));
            let cost = self.health_penalty(server, now) * load + server.one_way_ms() / 1000.0;
            let rank = spread.rank(index);
            if best.is_none_or(|(least, least_rank, _)| (cost, rank) < (least, least_rank)) {
                best = Some((cost, rank, index));
            }
        }
        let (.., index) = best?;
        Some(PlacementPlan::unpredicted(index, request))
    }

    /// Endpoints of the pool that may run the request: those in one of its homes that aren't
    /// leaving, drained, ejected, already tried, or barred because the request is suspected of
    /// crashing endpoints.
    pub(super) fn candidates<'a>(
        &'a self,
        request: &'a PlacementRequest,
        pool: Pool,
        now: Time,
    ) -> impl Iterator<Item = (usize, &'a Server)> {
        let usable = self.usable_endpoints();
        let fingerprint = request.fingerprint;
        let is_suspect = self.quarantine.state(fingerprint, now) != QuarantineState::Clear;
        let may_run = move |server: &Server| {
            !is_suspect
                || self.quarantine.may_run(fingerprint, &server.member.endpoint, usable, now)
        };
        let is_candidate = move |server: &Server| self.is_candidate(server, request, pool, now);
        let may_run_anywhere = is_suspect
            && self.quarantine.has_one_death(fingerprint)
            && !self.servers.values().any(|server| is_candidate(server) && may_run(server));
        self.servers.values().enumerate().filter(move |(_, server)| {
            is_candidate(server) && (may_run_anywhere || may_run(server))
        })
    }

    fn is_candidate(
        &self,
        server: &Server,
        request: &PlacementRequest,
        pool: Pool,
        now: Time,
    ) -> bool {
        let member = &server.member;
        let tried = request
            .tried
            .iter()
            .any(|(id, incarnation)| *id == member.endpoint && *incarnation == member.incarnation);
        let is_out = self.health.state(&member.endpoint, now) == health::HealthState::Ejected;
        server.may_be_sent_to(now)
            && request.homes.allows(member.region.as_ref())
            && self.is_in_pool(server, pool, now)
            && !tried
            && (!is_out || server.is_next_probe)
    }

    fn is_in_pool(&self, server: &Server, pool: Pool, now: Time) -> bool {
        let is_cold = self.is_cold(server, now);
        (pool == Pool::All || !is_cold) && self.time_until_allowed(server, now).is_zero()
    }

    pub(super) fn health_penalty(&self, server: &Server, now: Time) -> f64 {
        match self.health.state(&server.member.endpoint, now) {
            health::HealthState::Usable(penalty) => penalty,
            // Its probe is due and has to be sent somewhere.
            health::HealthState::Ejected => 0.5,
        }
    }

    /// Cost, in weights, of decoding on this engine because it will be needed for a part of a long
    /// prompt: close to zero where other requests already decode.
    pub(super) fn isolation_cost(&self, base_isolation_cost: f64, server: &Server) -> f64 {
        let decoding_weight =
            server.decoding_weight(|pause_ms| self.pause_goals.is_below_longest(pause_ms));
        (base_isolation_cost / (1.0 + decoding_weight)).min(self.placement.most_apart)
    }

    /// Milliseconds until the first event, if the part is prefilled as predicted.
    pub(super) fn first_event_ms(
        &self,
        rules: &EngineRules,
        plan: &PlacementPlan,
        server: &Server,
        estimate: &PartEstimate,
    ) -> f64 {
        let places = rules.slots.saturating_sub(self.placement.slots_left).max(1);
        let excess = (server.running() + 1).saturating_sub(places);
        estimate.prefilled_in_ms + f64::from(excess) * plan.slot_wait_ms + server.one_way_ms()
    }

    /// Derived from the mean time that an answer holds its slot; before the first answer, from the
    /// longest answer that the request allows.
    fn slot_wait_ms(&self, rules: &EngineRules, request: &PlacementRequest) -> f64 {
        let passes = request.max_output_tokens.div_ceil(u64::from(rules.stride.max(1))) as f64;
        let longest_ms = || passes * rules.pass_ms(rules.slots, rules.usual_context);
        let held_ms = self.slot_usage.held_ms().unwrap_or_else(longest_ms);
        self.placement.slot_waits * held_ms / f64::from(rules.slots.max(1))
    }

    /// What other requests lose because their parts are prefilled later on these engines. A request
    /// that is delayed on several engines counts with its latest part.
    pub(super) fn delay_cost<'a>(&self, estimates: impl Iterator<Item = &'a PartEstimate>) -> f64 {
        let mut latest: IndexMap<PartKey, PartCompletion> = IndexMap::new();
        for completion in estimates.flat_map(|estimate| &estimate.delayed) {
            let known = latest.entry(completion.part.key).or_insert(*completion);
            if completion.done_at > known.done_at {
                *known = *completion;
            }
        }
        latest
            .values()
            .map(|completion| completion.part.weight * self.added_lateness_cost(completion))
            .sum()
    }

    /// How much the expected cost of lateness rises if this part is prefilled only then.
    fn added_lateness_cost(&self, completion: &PartCompletion) -> f64 {
        let part = &completion.part;
        let placed = part.due_at - part.goal_ms;
        let lateness = |at: f64| self.placement.lateness_cost(at - placed, part.goal_ms);
        (lateness(completion.done_at) - lateness(part.ready_at)).max(0.0)
    }

    /// Records the request as placed on the chosen endpoints.
    pub(super) fn commit(
        &mut self,
        plan: PlacementPlan,
        request: &PlacementRequest,
        now: Time,
    ) -> Placement {
        self.next_job += 1;
        let job_id = JobId(self.next_job);
        let ids: Vec<_> =
            plan.servers.iter().map(|index| self.servers[*index].member.endpoint.clone()).collect();
        let endpoint = ids[0].clone();
        let reserve = plan.reserve_tokens.iter().copied().chain(std::iter::repeat(None));
        let helpers: Vec<Helper> = ids[1..]
            .iter()
            .zip(reserve)
            .map(|(endpoint, reserve)| Helper {
                endpoint: endpoint.clone(),
                reserve_tokens: reserve,
            })
            .collect();
        let incarnations =
            plan.servers.iter().map(|index| self.servers[*index].member.incarnation).collect();
        let least_hold = if plan.rank == LONG_RANK { self.placement.heard_ms } else { 0.0 };
        let hold = super::predicted_duration(plan.hold_ms.max(least_hold));
        let job = Job {
            key: PartKey::from(self.rng.u32(1..)),
            endpoint: endpoint.clone(),
            incarnations,
            helpers: helpers.clone(),
            part_prefill_ms: plan.part_prefill_ms,
            part_tokens: request.prompt_tokens as f64 / plan.servers.len() as f64,
            memory_tokens: plan.memory_tokens,
            weight: plan.weight,
            max_pause_ms: request.max_pause_ms,
            fingerprint: request.fingerprint,
            parts: request.parts.clone(),
            placed_at: now,
            goal_ms: request.goal_ms,
            predicted_ms: plan.predicted_ms,
            prefilled_in_ms: plan.prefilled_in_ms,
            hold,
            is_sent: false,
            first_event_at: None,
        };
        for (place, index) in plan.servers.iter().enumerate() {
            self.servers[*index].add_job(self.rules.as_ref(), &job, place == 0, now);
        }
        let head = &mut self.servers[plan.servers[0]];
        head.is_next_probe = false;
        head.sent.record(now + hold, now);
        let incarnation = head.member.incarnation;
        if plan.rank == SHORT_RANK {
            self.short_pool.record_placed(1, now);
        }
        if plan.part_prefill_ms > self.short_prefill_ms() || !helpers.is_empty() {
            self.long_share.add(plan.part_prefill_ms * plan.servers.len() as f64, now);
        }
        self.quarantine.record_start(request.fingerprint, &endpoint, now);
        self.jobs.insert(job_id, job);
        Placement {
            job: job_id,
            endpoint,
            incarnation,
            helpers,
            priority: plan.rank,
            predicted_ms: plan.predicted_ms,
            hold,
        }
    }
}

/// A request's part on one engine, for evaluation.
pub(super) fn candidate_part(
    plan: &PlacementPlan,
    server: &Server,
    parts: usize,
    request: &PlacementRequest,
    now: Time,
) -> Part {
    let placed = millis(now);
    let one_way_ms = server.one_way_ms();
    Part {
        key: CANDIDATE_KEY,
        arrives_at: placed + plan.hold_ms + one_way_ms,
        prefill_ms: plan.part_prefill_ms,
        tokens: request.prompt_tokens as f64 / parts as f64,
        is_split: parts > 1,
        is_head: false,
        due_at: placed + request.goal_ms,
        goal_ms: request.goal_ms,
        ready_at: placed,
        weight: plan.weight,
        longest_pass: Pass::default(),
    }
}

/// The least urgent rank that engines accept.
const LOWEST_RANK: u8 = 9;
