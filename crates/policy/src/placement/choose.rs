//! The choice of endpoints, and what a placed request is noted as; [`super::split`] chooses for long prompts.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{Time, health, quarantine::QuarantineState, routes::EngineRules};

use super::{
    GroupScheduler, Helper, JobId, Placement, PlacementRequest, PlacementRules, PlacementStrategy,
    ask::Job,
    reading::{Part, PartKey, Pass, Read},
    rules::LONG_RANK,
    server::{Outlook, Server, millis},
};

/// The key under which a request's own part is tried; placed ones have random keys.
const TRIED: PartKey = 0;

/// When to come back to engines that are crowded: in a second half of the questions that are written
/// now have gone.
pub(super) const CROWDED_FOR: Duration = Duration::from_millis(1_000);

/// What is chosen for a request.
#[derive(Clone, Default)]
pub(super) struct Chosen {
    /// Indices of the endpoints; the first one runs it.
    pub(super) servers: Vec<usize>,
    pub(super) part_ms: f64,
    pub(super) predicted_ms: f64,
    /// Milliseconds until all parts have been read.
    pub(super) read_in_ms: f64,
    /// Milliseconds for which it is held before it is sent.
    pub(super) hold_ms: f64,
    /// Milliseconds that reading it would take if all engines that may read it were idle.
    pub(super) idle_ms: f64,
    pub(super) weight: f64,
    /// What an engine that nobody else writes on costs it, in weights.
    pub(super) apart: f64,
    /// Milliseconds of waiting for a slot that are reckoned for each request that stands before.
    pub(super) slot_wait_ms: f64,
    /// What others lose by it.
    pub(super) harm: f64,
    /// Tokens of memory where it runs, less what is reserved on others.
    pub(super) memory: u64,
    /// Tokens to be reserved on each of the others, in their order.
    pub(super) reserve: Vec<Option<u64>>,
    pub(super) rank: u8,
    /// Whether a short prompt waits for a slot where it runs.
    pub(super) queues: Option<bool>,
}

impl Chosen {
    /// One endpoint, of which nothing is foretold.
    fn unweighed(index: usize, ask: &PlacementRequest) -> Chosen {
        Chosen {
            servers: vec![index],
            weight: 1.0,
            rank: ask.priority.min(LOWEST_RANK),
            ..Chosen::default()
        }
    }

    /// Milliseconds by which its first event is predicted too late to be worth its while. One that
    /// goes on after a failure has been taken on, and gets whatever time there is: its caller may
    /// have half of the answer. Not so one that is asked beside a slow attempt: under load the
    /// engines would read every long prompt twice.
    pub(super) fn late_ms(
        &self,
        ask: &PlacementRequest,
        placement: &PlacementRules,
        is_overloaded: bool,
    ) -> f64 {
        if !ask.tried.is_empty() && !ask.is_hedge {
            return self.predicted_ms - ask.remaining_ms;
        }
        let part = placement.bound(self.rank);
        let part = if is_overloaded { part.min(1.0) } else { part };
        let idle_bound = placement.idle_factor * self.idle_ms + placement.idle_slack_ms;
        let bound = if ask.is_hedge { idle_bound } else { idle_bound.max(part * ask.goal_ms) };
        self.predicted_ms - bound.min(ask.remaining_ms)
    }

    /// Whether others would lose more by it than it is worth. What goes on after a failure has been
    /// taken on, and stays.
    pub(super) fn is_crowding(&self, ask: &PlacementRequest, placement: &PlacementRules) -> bool {
        ask.tried.is_empty() && self.harm > placement.most_harm * self.weight
    }
}

impl GroupScheduler {
    pub(super) fn choose_engine(
        &self,
        rules: &EngineRules,
        ask: &PlacementRequest,
        spread: usize,
        now: Time,
    ) -> Option<Chosen> {
        if self.placement.choice != PlacementStrategy::Weighed {
            return self.choose_naively(ask, now);
        }
        let read_ms = rules.read_ms(ask.prompt_tokens);
        let short_ms = self.short_ms();
        let base = Chosen {
            part_ms: read_ms,
            idle_ms: read_ms / self.usable_endpoints().min(rules.max_helpers + 1).max(1) as f64,
            weight: self.placement.weight(read_ms),
            apart: self.apart(now),
            slot_wait_ms: self.slot_wait_ms(rules, ask),
            memory: ask.prompt_tokens + ask.max_output_tokens,
            rank: self.placement.rank(read_ms, short_ms),
            ..Chosen::default()
        };
        if read_ms <= short_ms {
            let (index, predicted_ms) = self.gather(rules, ask, &base, spread, now)?;
            return Some(Chosen {
                servers: vec![index],
                queues: Some(self.servers[index].running() >= rules.slots),
                predicted_ms,
                read_in_ms: predicted_ms,
                ..base
            });
        }
        self.split(rules, ask, base, read_ms, now)
    }

    /// The choice of the baselines.
    fn choose_naively(&self, ask: &PlacementRequest, now: Time) -> Option<Chosen> {
        let next = usize::try_from(self.next_job).unwrap_or_default() % self.servers.len().max(1);
        let turn = |index: usize| (index + self.servers.len() - next) % self.servers.len();
        let running = |server: &Server| match self.placement.choice {
            PlacementStrategy::LeastOutstanding => server.running(),
            PlacementStrategy::RoundRobin | PlacementStrategy::Weighed => 0,
        };
        let least =
            self.candidates(ask, now).min_by_key(|(index, server)| (running(server), turn(*index)));
        let (index, _) = least?;
        Some(Chosen {
            memory: ask.prompt_tokens + ask.max_output_tokens,
            ..Chosen::unweighed(index, ask)
        })
    }

    /// An engine for a short prompt: the least costly one, or the one that comes after `spread` others,
    /// unless going there costs more than the request's being late.
    fn gather(
        &self,
        rules: &EngineRules,
        ask: &PlacementRequest,
        base: &Chosen,
        spread: usize,
        now: Time,
    ) -> Option<(usize, f64)> {
        let placement = &self.placement;
        let mut places = Vec::new();
        for (index, server) in self.candidates(ask, now) {
            let part = tried_part(base, server, 1, ask, now);
            let reads = server.reads(rules, now);
            let outlook = server.outlook(rules, &self.placement, part, &reads, now);
            let predicted = self.first_ms(rules, base, server, &outlook);
            let alone = self.alone(base.apart, server);
            let own = placement.lateness(predicted, ask.goal_ms)
                + placement.miss(outlook.pause_ms, ask.max_pause_ms);
            let harm = outlook.harm + self.delay_cost(std::iter::once(&outlook));
            let total = self.caution(server, now) * (base.weight * (own + alone) + harm);
            places.push((total, index, predicted));
        }
        places.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let least = places.first()?.0;
        let near = places.iter().take_while(|(total, ..)| *total <= least + base.weight);
        near.take(spread + 1).last().map(|(_, index, predicted)| (*index, *predicted))
    }

    /// What an engine that nobody writes on costs a short prompt now.
    fn apart(&self, now: Time) -> f64 {
        let engines = self.usable_endpoints().max(1) as f64;
        let long_share =
            (self.long_share.rate(now) / 1000.0 / engines).max(self.placement.least_long_share);
        self.placement.apart * long_share.min(1.0)
    }

    pub(super) fn choose_plain(&self, ask: &PlacementRequest, now: Time) -> Option<Chosen> {
        let mut best = None;
        for (index, server) in self.candidates(ask, now) {
            let load = f64::from(server.running() + 1) / f64::from(server.member.slots.max(1));
            let total = self.caution(server, now) * load + server.way_ms() / 1000.0;
            if best.is_none_or(|(least, _)| total < least) {
                best = Some((total, index));
            }
        }
        let (_, index) = best?;
        Some(Chosen::unweighed(index, ask))
    }

    /// Endpoints that may run the request: neither leaving, nor out, nor tried before, nor barred
    /// because the request is suspected of crashing endpoints.
    pub(super) fn candidates<'a>(
        &'a self,
        ask: &'a PlacementRequest,
        now: Time,
    ) -> impl Iterator<Item = (usize, &'a Server)> {
        let usable = self.usable_endpoints();
        let is_suspect = self.quarantine.state(ask.fingerprint, now) != QuarantineState::Clear;
        self.servers.values().enumerate().filter(move |(_, server)| {
            let member = &server.member;
            let tried = ask
                .tried
                .iter()
                .any(|(id, life)| *id == member.endpoint && *life == member.incarnation);
            let barred = is_suspect
                && !self.quarantine.may_run(ask.fingerprint, &member.endpoint, usable, now);
            let is_out = self.health.state(&member.endpoint, now) == health::HealthState::Ejected;
            !member.leaving && !tried && !barred && (!is_out || server.is_on_trial)
        })
    }

    pub(super) fn caution(&self, server: &Server, now: Time) -> f64 {
        match self.health.state(&server.member.endpoint, now) {
            health::HealthState::Usable(caution) => caution,
            // It is on trial: the probe has to go somewhere.
            health::HealthState::Ejected => 0.5,
        }
    }

    /// What writing on this engine costs in weights because it will be wanted for a part of a long prompt:
    /// nearly nothing where others write already.
    pub(super) fn alone(&self, apart: f64, server: &Server) -> f64 {
        let gathered = server.writers(|pause_ms| self.pauses.is_below_longest(pause_ms));
        (apart / (1.0 + gathered)).min(self.placement.most_apart)
    }

    /// Milliseconds until a first event comes, if a part is read as foretold.
    pub(super) fn first_ms(
        &self,
        rules: &EngineRules,
        chosen: &Chosen,
        server: &Server,
        outlook: &Outlook,
    ) -> f64 {
        let places = rules.slots.saturating_sub(self.placement.slots_left).max(1);
        let over = (server.running() + 1).saturating_sub(places);
        outlook.read_in_ms + f64::from(over) * chosen.slot_wait_ms + server.way_ms()
    }

    /// From the time for which an answer holds its slot; before any was seen, as if the answer were as
    /// long as it may be.
    fn slot_wait_ms(&self, rules: &EngineRules, ask: &PlacementRequest) -> f64 {
        let passes = ask.max_output_tokens.div_ceil(u64::from(rules.stride.max(1))) as f64;
        let longest_ms = || passes * rules.pass_ms(rules.slots, rules.usual_context);
        let held_ms = self.slots.held_ms().unwrap_or_else(longest_ms);
        self.placement.slot_waits * held_ms / f64::from(rules.slots.max(1))
    }

    /// What the requests lose whose parts are read later on these engines. A request whose parts are
    /// delayed on several engines is as late as the latest of them.
    pub(super) fn delay_cost<'a>(&self, outlooks: impl Iterator<Item = &'a Outlook>) -> f64 {
        let mut latest: IndexMap<PartKey, Read> = IndexMap::new();
        for read in outlooks.flat_map(|outlook| &outlook.delayed) {
            let known = latest.entry(read.part.key).or_insert(*read);
            if read.at > known.at {
                *known = *read;
            }
        }
        latest.values().map(|read| read.part.weight * self.delay(read)).sum()
    }

    /// How much nearer to being late a request is if this part has been read only then.
    fn delay(&self, read: &Read) -> f64 {
        let part = &read.part;
        let placed = part.due - part.goal;
        let lateness = |at: f64| self.placement.lateness(at - placed, part.goal);
        (lateness(read.at) - lateness(part.ready)).max(0.0)
    }

    /// Counts the request as sent to the chosen endpoints.
    pub(super) fn commit(
        &mut self,
        chosen: Chosen,
        ask: &PlacementRequest,
        now: Time,
    ) -> Placement {
        self.next_job += 1;
        let job_id = JobId(self.next_job);
        let ids: Vec<_> = chosen
            .servers
            .iter()
            .map(|index| self.servers[*index].member.endpoint.clone())
            .collect();
        let endpoint = ids[0].clone();
        let reserve = chosen.reserve.iter().copied().chain(std::iter::repeat(None));
        let helpers: Vec<Helper> = ids[1..]
            .iter()
            .zip(reserve)
            .map(|(endpoint, reserve)| Helper {
                endpoint: endpoint.clone(),
                reserve_tokens: reserve,
            })
            .collect();
        let incarnations =
            chosen.servers.iter().map(|index| self.servers[*index].member.incarnation).collect();
        let least_hold = if chosen.rank == LONG_RANK { self.placement.heard_ms } else { 0.0 };
        let hold = Duration::from_secs_f64(chosen.hold_ms.max(least_hold) / 1000.0);
        let job = Job {
            key: PartKey::from(self.rng.u32(1..)),
            endpoint: endpoint.clone(),
            incarnations,
            helpers: helpers.clone(),
            part_ms: chosen.part_ms,
            part_tokens: ask.prompt_tokens as f64 / chosen.servers.len() as f64,
            memory: chosen.memory,
            weight: chosen.weight,
            max_pause_ms: ask.max_pause_ms,
            fingerprint: ask.fingerprint,
            placed: now,
            goal_ms: ask.goal_ms,
            predicted_ms: chosen.predicted_ms,
            read_in_ms: chosen.read_in_ms,
            hold,
            is_sent: false,
            began: None,
        };
        for (place, index) in chosen.servers.iter().enumerate() {
            self.servers[*index].take(self.rules.as_ref(), &job, place == 0, now);
        }
        let head = &mut self.servers[chosen.servers[0]];
        head.is_on_trial = false;
        let incarnation = head.member.incarnation;
        if chosen.part_ms > self.short_ms() || !helpers.is_empty() {
            self.long_share.add(chosen.part_ms * chosen.servers.len() as f64, now);
        }
        self.quarantine.started(ask.fingerprint, &endpoint, now);
        self.jobs.insert(job_id, job);
        Placement {
            job: job_id,
            endpoint,
            incarnation,
            helpers,
            priority: chosen.rank,
            predicted_ms: chosen.predicted_ms,
            hold,
        }
    }
}

/// A request's part on one engine, before it is placed.
pub(super) fn tried_part(
    chosen: &Chosen,
    server: &Server,
    parts: usize,
    ask: &PlacementRequest,
    now: Time,
) -> Part {
    let placed = millis(now);
    let way_ms = server.way_ms();
    Part {
        key: TRIED,
        arrives: placed + chosen.hold_ms + way_ms,
        ms: chosen.part_ms,
        tokens: ask.prompt_tokens as f64 / parts as f64,
        overtakes: parts > 1,
        is_head: false,
        due: placed + ask.goal_ms,
        goal: ask.goal_ms,
        ready: placed,
        weight: chosen.weight,
        longest: Pass::default(),
    }
}

/// The rank that engines take for the least urgent.
const LOWEST_RANK: u8 = 9;
