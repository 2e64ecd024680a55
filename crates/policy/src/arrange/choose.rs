//! The choice of endpoints, and what a placed request is noted as; [`super::split`] chooses for long prompts.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{Time, health, quarantine::Standing, routes::EngineRules};

use super::{
    Arranger, Ask, Helper, JobId, Placement,
    ask::Job,
    cost,
    reading::{Part, PartKey, Pass, Read},
    server::{Outlook, Server, millis},
};

/// What waiting for a slot costs, in milliseconds for each request that stands before: a question
/// is written in about two seconds on sixteen slots, and those that fill them began together.
const SLOT_WAIT_MS: f64 = 300.0;

/// Slots that are left to what other instances have just placed and not told yet.
const SLOTS_LEFT: u32 = 1;

/// What an engine that nobody writes on costs a short prompt, times the share of engines that long
/// prompts take: it will soon be wanted for a part that the short one's pause can't bear.
const APART: f64 = 3.0;

/// The most that it costs, in weights: less than being late. Without this bound, questions queue for the
/// slots of a few engines in a burst of dossiers while others have room, and are refused in the end.
const MOST_APART: f64 = 0.8;

/// Milliseconds from the end of reading to the first event on an engine that writes nothing else: half
/// a pass.
const FIRST_EVENT_MS: f64 = 25.0;

/// Milliseconds for which a long prompt is held at least, so that instances that placed others in the
/// same moment have heard of each other: a datagram's way between data centres and two turns of the
/// receiver's processor. One part in 500 of its goal.
const HEARD_MS: f64 = 8.0;

/// The key under which a request's own part is tried; placed ones have random keys.
const TRIED: PartKey = 0;

/// The least share of engines that long prompts are taken to need. A burst of them begins within a
/// second, and questions that are then written everywhere can't be moved.
const LEAST_LONG_SHARE: f64 = 0.2;

/// The part of its goal within which a prompt's first event has to be predicted, by its rank; beyond
/// it the request is refused at once.
///
/// A long prompt that comes late is worth a quarter and takes as much of the engines as one that is
/// on time, so serving it makes the next one late as well: a burst of dossiers at nine tenths of
/// what the engines can read then ends with all of them late. Predictions err low by a fifth. A
/// question takes next to nothing and is refused only where it would wait for seconds.
const BOUNDS: [(u8, f64); 3] = [(SHORT_RANK, 5.0), (MIDDLE_RANK, 1.0), (LONG_RANK, 0.8)];

/// How many times its own weight a prompt may cost others; beyond it callers in sum lose by serving it.
const MOST_HARM: f64 = 1.0;

/// When to come back to engines that are crowded: in a second half of the questions that are written
/// now have gone.
pub(super) const CROWDED_FOR: Duration = Duration::from_millis(1_000);

/// Milliseconds of reading up to which a prompt goes beside writers whole.
pub(super) const SHORT_MS: f64 = 100.0;

/// A prompt that couldn't be on time even on idle engines is taken on if it would take little
/// longer than that: else the longest would never be served at all.
const IDLE_FACTOR: f64 = 1.2;
const IDLE_SLACK_MS: f64 = 300.0;

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
    /// What others lose by it.
    pub(super) harm: f64,
    /// Tokens of memory where it runs, less what is reserved on others.
    pub(super) memory: u64,
    /// Tokens to be reserved on each of the others, in their order.
    pub(super) reserve: Vec<Option<u64>>,
    pub(super) rank: u8,
}

impl Chosen {
    /// Milliseconds by which its first event is predicted too late to be worth its while. One that
    /// goes on after a failure has been taken on, and gets whatever time there is: its caller may
    /// have half of the answer. Not so one that is asked beside a slow attempt: under load the
    /// engines would read every long prompt twice.
    pub(super) fn late_ms(&self, ask: &Ask) -> f64 {
        if !ask.tried.is_empty() && !ask.is_beside {
            return self.predicted_ms - ask.left_ms;
        }
        let part =
            BOUNDS.iter().find(|(rank, _)| *rank == self.rank).map_or(1.0, |(_, part)| *part);
        let idle_bound = IDLE_FACTOR * self.idle_ms + IDLE_SLACK_MS;
        let bound = if ask.is_beside { idle_bound } else { idle_bound.max(part * ask.goal_ms) };
        self.predicted_ms - bound.min(ask.left_ms)
    }

    /// Whether others would lose more by it than it is worth. What goes on after a failure has been
    /// taken on, and stays.
    pub(super) fn is_crowding(&self, ask: &Ask) -> bool {
        ask.tried.is_empty() && self.harm > MOST_HARM * self.weight
    }
}

impl Arranger {
    pub(super) fn choose_engine(
        &self,
        rules: &EngineRules,
        ask: &Ask,
        now: Time,
    ) -> Option<Chosen> {
        let read_ms = rules.read_ms(ask.prompt);
        let base = Chosen {
            part_ms: read_ms,
            idle_ms: read_ms / self.usable().min(rules.max_helpers + 1).max(1) as f64,
            weight: cost::weight(read_ms),
            apart: self.apart(now),
            memory: ask.prompt + ask.output,
            rank: rank(read_ms),
            ..Chosen::default()
        };
        if read_ms <= SHORT_MS {
            let (index, predicted_ms) = self.gather(rules, ask, &base, now)?;
            return Some(Chosen {
                servers: vec![index],
                predicted_ms,
                read_in_ms: predicted_ms,
                ..base
            });
        }
        self.split(rules, ask, base, read_ms, now)
    }

    /// The least costly engine for a short prompt.
    fn gather(
        &self,
        rules: &EngineRules,
        ask: &Ask,
        base: &Chosen,
        now: Time,
    ) -> Option<(usize, f64)> {
        let mut best = None;
        for (index, server) in self.candidates(ask, now) {
            let part = tried_part(base, server, 1, ask, now);
            let outlook = server.outlook(rules, part, &server.reads(rules, now), now);
            let predicted = first_ms(rules, server, &outlook);
            let alone = alone(base.apart, server);
            let own =
                cost::lateness(predicted, ask.goal_ms) + cost::miss(outlook.pause_ms, ask.pause_ms);
            let harm = outlook.harm + delay_cost(std::iter::once(&outlook));
            let total = self.caution(server, now) * (base.weight * (own + alone) + harm);
            if best.is_none_or(|(least, _, _)| total < least) {
                best = Some((total, index, predicted));
            }
        }
        best.map(|(_, index, predicted)| (index, predicted))
    }

    /// What an engine that nobody writes on costs a short prompt now.
    fn apart(&self, now: Time) -> f64 {
        let engines = self.usable().max(1) as f64;
        let long_share = (self.long_share.rate(now) / 1000.0 / engines).max(LEAST_LONG_SHARE);
        APART * long_share.min(1.0)
    }

    pub(super) fn choose_plain(&self, ask: &Ask, now: Time) -> Option<Chosen> {
        let mut best = None;
        for (index, server) in self.candidates(ask, now) {
            let load = f64::from(server.running() + 1) / f64::from(server.member.slots.max(1));
            let total = self.caution(server, now) * load + server.member.distance.as_secs_f64();
            if best.is_none_or(|(least, _)| total < least) {
                best = Some((total, index));
            }
        }
        let (_, index) = best?;
        Some(Chosen {
            servers: vec![index],
            weight: 1.0,
            rank: ask.priority.min(LOWEST_RANK),
            ..Chosen::default()
        })
    }

    /// Endpoints that may run the request: neither leaving, nor out, nor tried before, nor barred
    /// because the request is suspected of crashing endpoints.
    pub(super) fn candidates<'a>(
        &'a self,
        ask: &'a Ask,
        now: Time,
    ) -> impl Iterator<Item = (usize, &'a Server)> {
        let usable = self.usable();
        let is_suspect = self.quarantine.standing(ask.fingerprint, now) != Standing::Clear;
        self.servers.values().enumerate().filter(move |(_, server)| {
            let member = &server.member;
            let tried = ask
                .tried
                .iter()
                .any(|(id, life)| *id == member.endpoint && *life == member.incarnation);
            let barred = is_suspect
                && !self.quarantine.may_run(ask.fingerprint, &member.endpoint, usable, now);
            let is_out = self.health.standing(&member.endpoint, now) == health::Standing::Out;
            !member.leaving && !tried && !barred && (!is_out || server.is_on_trial)
        })
    }

    pub(super) fn caution(&self, server: &Server, now: Time) -> f64 {
        match self.health.standing(&server.member.endpoint, now) {
            health::Standing::Usable(caution) => caution,
            // It is on trial: the probe has to go somewhere.
            health::Standing::Out => 0.5,
        }
    }

    /// Counts the request as sent to the chosen endpoints.
    pub(super) fn commit(&mut self, chosen: Chosen, ask: &Ask, now: Time) -> Placement {
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
            .map(|(endpoint, reserve)| Helper { endpoint: endpoint.clone(), reserve })
            .collect();
        let incarnations =
            chosen.servers.iter().map(|index| self.servers[*index].member.incarnation).collect();
        let least_hold = if chosen.rank == LONG_RANK { HEARD_MS } else { 0.0 };
        let hold = Duration::from_secs_f64(chosen.hold_ms.max(least_hold) / 1000.0);
        let job = Job {
            key: self.rng.u64(TRIED + 1..),
            endpoint: endpoint.clone(),
            incarnations,
            helpers: helpers.clone(),
            part_ms: chosen.part_ms,
            part_tokens: ask.prompt as f64 / chosen.servers.len() as f64,
            memory: chosen.memory,
            weight: chosen.weight,
            pause_ms: ask.pause_ms,
            fingerprint: ask.fingerprint,
            placed: now,
            goal_ms: ask.goal_ms,
            predicted_ms: chosen.predicted_ms,
            read_in_ms: chosen.read_in_ms,
            hold,
            is_sent: false,
            is_writing: false,
        };
        for (place, index) in chosen.servers.iter().enumerate() {
            self.servers[*index].take(self.rules.as_ref(), &job, place == 0, now);
        }
        let head = &mut self.servers[chosen.servers[0]];
        head.is_on_trial = false;
        let incarnation = head.member.incarnation;
        if chosen.part_ms > SHORT_MS || !helpers.is_empty() {
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

/// What writing on this engine costs in weights because it will be wanted for a part of a long prompt:
/// nearly nothing where others write already.
pub(super) fn alone(apart: f64, server: &Server) -> f64 {
    (apart / (1.0 + server.writers()[0])).min(MOST_APART)
}

/// A request's part on one engine, before it is placed.
pub(super) fn tried_part(
    chosen: &Chosen,
    server: &Server,
    parts: usize,
    ask: &Ask,
    now: Time,
) -> Part {
    let placed = millis(now);
    let way_ms = server.member.distance.as_secs_f64() * 1000.0;
    Part {
        key: TRIED,
        arrives: placed + chosen.hold_ms + way_ms,
        ms: chosen.part_ms,
        tokens: ask.prompt as f64 / parts as f64,
        overtakes: parts > 1,
        is_head: false,
        due: placed + ask.goal_ms,
        goal: ask.goal_ms,
        ready: placed,
        weight: chosen.weight,
        longest: Pass::default(),
    }
}

/// Milliseconds until a first event comes, if a part is read as foretold.
pub(super) fn first_ms(rules: &EngineRules, server: &Server, outlook: &Outlook) -> f64 {
    let places = rules.slots.saturating_sub(SLOTS_LEFT).max(1);
    let over = (server.running() + 1).saturating_sub(places);
    let own_pass = if outlook.beside_writers { 0.0 } else { FIRST_EVENT_MS * server.pace() };
    outlook.read_in_ms
        + own_pass
        + f64::from(over) * SLOT_WAIT_MS
        + server.member.distance.as_secs_f64() * 1000.0
}

/// What the requests lose whose parts are read later on these engines. A request whose parts are
/// delayed on several engines is as late as the latest of them.
pub(super) fn delay_cost<'a>(outlooks: impl Iterator<Item = &'a Outlook>) -> f64 {
    let mut latest: IndexMap<PartKey, Read> = IndexMap::new();
    for read in outlooks.flat_map(|outlook| &outlook.delayed) {
        let known = latest.entry(read.part.key).or_insert(*read);
        if read.at > known.at {
            *known = *read;
        }
    }
    latest.values().map(|read| read.part.weight * delay(read)).sum()
}

/// How much nearer to being late a request is if this part has been read only then.
fn delay(read: &Read) -> f64 {
    let part = &read.part;
    let placed = part.due - part.goal;
    let lateness = |at: f64| cost::lateness(at - placed, part.goal);
    (lateness(read.at) - lateness(part.ready)).max(0.0)
}

/// Ranks on an engine by the length of a prompt.
const SHORT_RANK: u8 = 1;
const MIDDLE_RANK: u8 = 3;
const LONG_RANK: u8 = 5;

/// Milliseconds of reading up to which a prompt is of middle length: what a caller who waits for a
/// summary would notice.
const MIDDLE_MS: f64 = 1_000.0;

/// The rank that engines take for the least urgent.
const LOWEST_RANK: u8 = 9;

/// A prompt's rank on an engine: what is read soonest goes first, which delays the others least.
fn rank(read_ms: f64) -> u8 {
    match read_ms {
        ms if ms <= SHORT_MS => SHORT_RANK,
        ms if ms <= MIDDLE_MS => MIDDLE_RANK,
        _ => LONG_RANK,
    }
}
