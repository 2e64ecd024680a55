//! The split of a long prompt: how many engines prefill it, which ones, and when they start.
//!
//! **Load pattern.** Prompts of middle length arrive together with questions and with the longest
//! prompts.
//!
//! **Without it.** Each one runs on the engine that prefills it soonest, which is one where nothing
//! else decodes. Its answer takes seconds, so after a while every engine has a single decoding
//! request, and each part of a long prompt causes a long pause for some caller.
//!
//! **Rule.** A request with a short pause goal runs where others already decode, and its parts are
//! prefilled elsewhere, unless that costs more than occupying an engine that long prompts would
//! need ([`GroupScheduler::isolation_cost`]). A request with a long pause goal runs on the best of
//! its engines, because other prompts' prefill there doesn't break its goal.

use crate::{Time, routes::EngineRules};

use super::{
    GroupScheduler, PlacementRequest, Pool, Spread,
    choose::{PlacementPlan, candidate_part},
    decoding::whole_ms,
    prefill::PartCompletion,
    rules::LONG_RANK,
    server::{PartEstimate, Server, millis},
};

/// Margin, in tokens, when an engine's free memory is computed: engines allocate in blocks.
const MEMORY_SLACK_TOKENS: u64 = 2_000;

/// Numbers of parts that are evaluated. At the larger ones, one more part gains less than a pass.
const PART_COUNTS: [usize; 12] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 16, 17];

/// The distribution of a prompt's memory over its engines.
struct MemoryShares {
    /// Tokens on the engine that runs it.
    at_head: u64,
    /// Tokens on each helper, in the order of the engines once the head is first.
    reserve: Vec<Option<u64>>,
}

/// The engines of one split, in order of preference.
struct SplitEngines<'a> {
    candidates: Vec<&'a Candidate>,
    /// Index of the engine that runs the request, if already chosen.
    head: Option<usize>,
}

/// An engine that may prefill a part, with its cost.
struct Candidate {
    index: usize,
    estimate: PartEstimate,
    /// Milliseconds until the first event, if this part is the last to be prefilled.
    first_event_ms: f64,
    cost: f64,
}

/// An engine, and when each of its waiting parts will be prefilled.
struct Engine<'a> {
    index: usize,
    server: &'a Server,
    completions: Vec<PartCompletion>,
}

impl Engine<'_> {
    /// Milliseconds until everything that waits is prefilled.
    fn idle_in_ms(&self, now: Time) -> f64 {
        self.completions
            .iter()
            .map(|completion| completion.done_at - millis(now))
            .fold(0.0, f64::max)
    }
}

impl GroupScheduler {
    /// Finds the cheapest split of a long prompt. Each number of parts is evaluated both without a
    /// hold and with a hold until enough engines have prefilled their queues, always on the engines
    /// that are cheapest for parts of that size.
    ///
    /// Guards against starvation of long prompts: engines prefill the newest part first, so a
    /// prompt that is sent to busy engines delays every earlier long prompt there. Holding it until
    /// they are idle keeps the order of arrival.
    pub(super) fn split(
        &self,
        rules: &EngineRules,
        request: &PlacementRequest,
        base: PlacementPlan,
        pool: Pool,
        spread: Spread,
        now: Time,
    ) -> Option<PlacementPlan> {
        let prefill_ms = base.part_prefill_ms;
        let mut engines: Vec<Engine<'_>> = self
            .candidates(request, pool, now)
            .filter(|(index, _)| base.rank != LONG_RANK || self.short_pool.admits_long(*index))
            .map(|(index, server)| Engine {
                index,
                server,
                completions: server.completions(rules, now),
            })
            .collect();
        engines.sort_by_key(|engine| spread.rank(engine.index));
        let mut idle_in_ms: Vec<f64> =
            engines.iter().map(|engine| engine.idle_in_ms(now)).collect();
        idle_in_ms.sort_by(f64::total_cmp);
        let max_parts = engines.len().min(rules.max_helpers + 1);
        let mut best: Option<(f64, PlacementPlan)> = None;
        for parts in PART_COUNTS.into_iter().filter(|parts| *parts <= max_parts) {
            let hold_until_idle_ms = idle_in_ms[parts - 1];
            let may_hold = self.placement.holds && hold_until_idle_ms > 0.0;
            let holds = [0.0, hold_until_idle_ms].into_iter().take(if may_hold { 2 } else { 1 });
            for hold_ms in holds {
                let trial = PlacementPlan {
                    part_prefill_ms: prefill_ms / parts as f64,
                    hold_ms,
                    ..base.clone()
                };
                let ranked = self.ranked(rules, request, &engines, parts, &trial, now);
                if ranked.len() < parts {
                    continue;
                }
                for engine_set in self.engine_sets(rules, request, &ranked, parts, &trial) {
                    let Some((cost, plan)) =
                        self.evaluate_split(rules, request, engine_set, &trial)
                    else {
                        continue;
                    };
                    if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                        best = Some((cost, plan));
                    }
                }
            }
        }
        best.map(|(_, plan)| plan)
    }

    /// All engines that may prefill a part of this size, the cheapest first.
    fn ranked(
        &self,
        rules: &EngineRules,
        request: &PlacementRequest,
        engines: &[Engine<'_>],
        parts: usize,
        trial: &PlacementPlan,
        now: Time,
    ) -> Vec<Candidate> {
        let max_helping = rules.slots.saturating_sub(self.placement.slots_left) as usize;
        let arrives_at = millis(now) + trial.hold_ms;
        let may_help = |engine: &&Engine<'_>| {
            engine.server.may_help(max_helping, arrives_at, now)
                && self.shared_limits(engine.server, now).next().is_none()
        };
        let eligible = engines.iter().filter(|engine| parts == 1 || may_help(engine));
        let candidates =
            eligible.map(|engine| self.candidate(rules, engine, parts, trial, request, now));
        let mut ranked: Vec<Candidate> = candidates.collect();
        ranked.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        ranked
    }

    /// The sets of engines to evaluate for a number of parts: the cheapest ones, and for requests
    /// with short pause goals also those whose head runs where others decode.
    fn engine_sets<'a>(
        &self,
        rules: &EngineRules,
        request: &PlacementRequest,
        ranked: &'a [Candidate],
        parts: usize,
        trial: &PlacementPlan,
    ) -> impl Iterator<Item = SplitEngines<'a>> {
        let prefers_shared_head = self.prefers_shared_head(request);
        let with_shared_head = prefers_shared_head
            .then(|| self.with_shared_head(rules, ranked, parts, trial))
            .flatten();
        let cheapest = SplitEngines { candidates: ranked.iter().take(parts).collect(), head: None };
        with_shared_head.into_iter().chain(std::iter::once(cheapest))
    }

    /// Whether the request should run where others decode: true for all but the longest pause
    /// goals.
    fn prefers_shared_head(&self, request: &PlacementRequest) -> bool {
        self.placement.gathers && self.pause_goals.is_below_longest(whole_ms(request.max_pause_ms))
    }

    /// The cheapest engine to decode on, including its isolation cost, and the cheapest others as
    /// helpers.
    fn with_shared_head<'a>(
        &self,
        rules: &EngineRules,
        ranked: &'a [Candidate],
        parts: usize,
        trial: &PlacementPlan,
    ) -> Option<SplitEngines<'a>> {
        let server = |c: &Candidate| &self.servers[c.index];
        let cost = |c: &Candidate| {
            c.cost + trial.weight * self.isolation_cost(trial.base_isolation_cost, server(c))
        };
        let with_slot = ranked.iter().filter(|c| server(c).running() < rules.slots);
        let head = with_slot.min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        let others = ranked.iter().filter(|c| c.index != head.index);
        let candidates = std::iter::once(head).chain(others).take(parts).collect();
        Some(SplitEngines { candidates, head: Some(0) })
    }

    /// Evaluates one split; none if its engines have too little memory.
    fn evaluate_split(
        &self,
        rules: &EngineRules,
        request: &PlacementRequest,
        engine_set: SplitEngines<'_>,
        trial: &PlacementPlan,
    ) -> Option<(f64, PlacementPlan)> {
        let SplitEngines { candidates, head } = engine_set;
        let head = head.or_else(|| {
            self.choose_head(rules, &candidates, trial.memory_tokens, request.max_pause_ms)
        })?;
        let MemoryShares { at_head, reserve } =
            self.spread_memory(rules, &candidates, head, trial.memory_tokens)?;
        let estimates = || candidates.iter().map(|c| &c.estimate);
        let predicted_ms = candidates.iter().map(|c| c.first_event_ms).fold(0.0, f64::max);
        let prefilled_in_ms =
            estimates().map(|estimate| estimate.prefilled_in_ms).fold(0.0, f64::max);
        let cost_to_others = estimates().map(|estimate| estimate.cost_to_others).sum::<f64>()
            + self.delay_cost(estimates());
        let isolation_cost = match self.prefers_shared_head(request) {
            true => self
                .isolation_cost(trial.base_isolation_cost, &self.servers[candidates[head].index]),
            false => 0.0,
        };
        let own = self.placement.lateness_cost(predicted_ms, request.goal_ms)
            + self
                .placement
                .miss_probability(candidates[head].estimate.pause_ms, request.max_pause_ms);
        let risk = candidates.iter().map(|c| self.servers[c.index].risk).sum();
        let helper_failure = self.helper_failure_cost(candidates.len(), risk);
        let cost = trial.weight * (own + isolation_cost + helper_failure) + cost_to_others;
        let mut servers: Vec<usize> = candidates.iter().map(|c| c.index).collect();
        servers.swap(0, head);
        let trial = trial.clone();
        let plan = PlacementPlan {
            servers,
            predicted_ms,
            prefilled_in_ms,
            cost_to_others,
            memory_tokens: at_head,
            reserve_tokens: reserve,
            ..trial
        };
        Some((cost, plan))
    }

    /// Expected cost, in weights, of an engine's failing to prefill its part.
    fn helper_failure_cost(&self, parts: usize, risk: f64) -> f64 {
        if parts > 1 { self.placement.broken_loss * risk.min(1.0) } else { 0.0 }
    }

    fn candidate(
        &self,
        rules: &EngineRules,
        engine: &Engine<'_>,
        parts: usize,
        trial: &PlacementPlan,
        request: &PlacementRequest,
        now: Time,
    ) -> Candidate {
        let Engine { index, server, completions } = engine;
        let part = candidate_part(trial, server, parts, request, now);
        let estimate = server.estimate(rules, &self.placement, part, completions, now);
        let first_event_ms = self.first_event_ms(rules, trial, server, &estimate);
        let own = trial.weight * self.placement.lateness_cost(first_event_ms, request.goal_ms);
        let cost_to_others = estimate.cost_to_others + self.delay_cost(std::iter::once(&estimate));
        let helper_failure = trial.weight * self.helper_failure_cost(parts, server.risk);
        let cost = self.health_penalty(server, now) * (own + cost_to_others + helper_failure);
        Candidate { index: *index, estimate, first_event_ms, cost }
    }

    /// Chooses the engine that runs the request: one with enough memory and without long prefill
    /// during the answer, and among those the one with the most free memory.
    fn choose_head(
        &self,
        rules: &EngineRules,
        candidates: &[&Candidate],
        needed_tokens: u64,
        pause_ms: f64,
    ) -> Option<usize> {
        let suitability = |c: &Candidate| {
            let free = self.free_memory_tokens(rules, c);
            let has_slot = self.servers[c.index].running() < rules.slots;
            let undisturbed = self.placement.miss_probability(c.estimate.pause_ms, pause_ms) <= 0.0;
            (has_slot, free >= needed_tokens, undisturbed, free)
        };
        (0..candidates.len()).max_by_key(|i| suitability(candidates[*i]))
    }

    /// Tokens of memory that the engine has left.
    fn free_memory_tokens(&self, rules: &EngineRules, c: &Candidate) -> u64 {
        rules
            .memory_tokens
            .saturating_sub(self.servers[c.index].memory_tokens() + MEMORY_SLACK_TOKENS)
    }

    /// Distributes a prompt's memory. What doesn't fit on the head is reserved on the helpers with
    /// the most free memory, so that few reservations are needed. None if all of them together have
    /// too little.
    fn spread_memory(
        &self,
        rules: &EngineRules,
        candidates: &[&Candidate],
        head: usize,
        needed_tokens: u64,
    ) -> Option<MemoryShares> {
        let mut free_tokens: Vec<u64> =
            candidates.iter().map(|c| self.free_memory_tokens(rules, c)).collect();
        free_tokens.swap(0, head);
        let at_head = needed_tokens.min(free_tokens[0]);
        let mut missing_tokens = needed_tokens - at_head;
        let mut reserve = vec![None; free_tokens.len() - 1];
        if needed_tokens < rules.memory_tokens && free_tokens.iter().sum::<u64>() < needed_tokens {
            // It would fit on one engine, but none has the memory now, so it waits on its head.
            return Some(MemoryShares { at_head: needed_tokens, reserve });
        }
        let mut by_free_memory: Vec<usize> = (0..reserve.len()).collect();
        by_free_memory.sort_by_key(|i| std::cmp::Reverse(free_tokens[i + 1]));
        for index in by_free_memory {
            let part = missing_tokens.min(free_tokens[index + 1]);
            if part == 0 {
                break;
            }
            reserve[index] = Some(part);
            missing_tokens -= part;
        }
        (missing_tokens == 0).then_some(MemoryShares { at_head, reserve })
    }
}
