//! The choice itself: which endpoints, how many, and when.

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

/// Tokens by which an engine's memory is planned too small: engines allocate in blocks.
const MEMORY_SLACK: u64 = 2_000;

/// What waiting for a slot costs, in milliseconds for each request that stands before: a question
/// is written in about two seconds on sixteen slots, and those that fill them began together.
const SLOT_WAIT_MS: f64 = 300.0;

/// Slots that are left to what other instances have just placed and not told yet.
const SLOTS_LEFT: u32 = 1;

/// What an engine that nobody writes on costs a short prompt, times the share of engines that long
/// prompts take: it will soon be wanted for a part that the short one's pause can't bear.
const APART: f64 = 1.5;

/// Numbers of parts that are tried. Beyond these the gain of one more is below a pass.
const PARTS: [usize; 12] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 16, 17];

/// Milliseconds from the end of reading to the first event on an engine that writes nothing else: half
/// a pass, as measured for 16 prompts of 125,000 to 800,000 tokens alone (19 to 27 ms).
const FIRST_EVENT_MS: f64 = 25.0;

/// Milliseconds for which a long prompt is held at least, so that instances that placed others in the
/// same moment have heard of each other: a datagram's way between data centres and two turns of the
/// receiver's processor. One part in 500 of its goal.
const HEARD_MS: f64 = 8.0;

/// The key under which a request's own part is tried; placed ones have random keys.
const TRIED: PartKey = 0;

/// What one further engine costs a prompt, in weights: each may die under it, and each one's
/// writers get a longer pause. Keeps prompts whole where splitting gains next to nothing.
const PER_HELPER: f64 = 0.001;

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
pub(super) const SHORT_MS: f64 = 45.0;

/// A prompt that couldn't be on time even on idle engines is taken on if it would take little
/// longer than that: else the longest would never be served at all.
const IDLE_FACTOR: f64 = 1.2;
const IDLE_SLACK_MS: f64 = 300.0;

/// What is chosen for a request.
#[derive(Clone, Default)]
pub(super) struct Chosen {
    /// Indices of the endpoints; the first one runs it.
    servers: Vec<usize>,
    part_ms: f64,
    predicted_ms: f64,
    /// Milliseconds until all parts have been read.
    read_in_ms: f64,
    /// Milliseconds for which it is held before it is sent.
    hold_ms: f64,
    /// Milliseconds that reading it would take if all engines that may read it were idle.
    idle_ms: f64,
    weight: f64,
    /// What others lose by it.
    harm: f64,
    /// Tokens of memory where it runs, less what is reserved on others.
    memory: u64,
    /// Tokens to be reserved on each of the others, in their order.
    reserve: Vec<Option<u64>>,
    rank: u8,
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
        let bound = (part * ask.goal_ms).max(IDLE_FACTOR * self.idle_ms + IDLE_SLACK_MS);
        self.predicted_ms - bound.min(ask.left_ms)
    }

    /// Whether others would lose more by it than it is worth. What goes on after a failure has been
    /// taken on, and stays.
    pub(super) fn is_crowding(&self, ask: &Ask) -> bool {
        ask.tried.is_empty() && self.harm > MOST_HARM * self.weight
    }
}

/// How a prompt's memory is spread over the engines that read it.
struct MemoryShares {
    /// Which of them runs it.
    head: usize,
    /// Tokens there.
    at_head: u64,
    /// Tokens on each of the others, in the order in which they stand once the head is first.
    reserve: Vec<Option<u64>>,
}

/// An engine that may read a part, in the order in which they are taken.
struct Candidate {
    index: usize,
    outlook: Outlook,
    /// Milliseconds until its part would let a first event come.
    first_ms: f64,
    key: f64,
}

/// An engine, and when it will have read what waits there.
struct Engine<'a> {
    index: usize,
    server: &'a Server,
    reads: Vec<Read>,
}

impl Engine<'_> {
    /// Milliseconds until it has read all that waits there.
    fn free_in_ms(&self, now: Time) -> f64 {
        self.reads.iter().map(|read| read.at - millis(now)).fold(0.0, f64::max)
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
        let engines = self.usable().max(1) as f64;
        let long_share = (self.long_share.rate(now) / 1000.0 / engines).max(LEAST_LONG_SHARE);
        let mut best = None;
        for (index, server) in self.candidates(ask, now) {
            let part = tried_part(base, server, 1, ask, now);
            let outlook = server.outlook(rules, part, &server.reads(rules, now), now);
            let predicted = first_ms(rules, server, &outlook);
            let company = 1.0 + server.writers()[0];
            let alone = APART * long_share.min(1.0) / company;
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

    /// The best split of a longer prompt. Each number of parts is tried at once and when enough
    /// engines have read what waits there, with the engines that are cheapest for parts of that size.
    ///
    /// Guards against dossiers that starve: engines read the newest part first, so what is sent to
    /// those that still read delays every earlier dossier there. One that is held until they have
    /// read keeps the order of arrival.
    fn split(
        &self,
        rules: &EngineRules,
        ask: &Ask,
        base: Chosen,
        read_ms: f64,
        now: Time,
    ) -> Option<Chosen> {
        let engines: Vec<Engine<'_>> = self
            .candidates(ask, now)
            .map(|(index, server)| Engine { index, server, reads: server.reads(rules, now) })
            .collect();
        let mut free: Vec<f64> = engines.iter().map(|engine| engine.free_in_ms(now)).collect();
        free.sort_by(f64::total_cmp);
        let most = engines.len().min(rules.max_helpers + 1);
        let mut best: Option<(f64, Chosen)> = None;
        for parts in PARTS.into_iter().filter(|parts| *parts <= most) {
            let held = free[parts - 1];
            let holds = [0.0, held].into_iter().take(if held > 0.0 { 2 } else { 1 });
            for hold_ms in holds {
                let tried = Chosen { part_ms: read_ms / parts as f64, hold_ms, ..base.clone() };
                let Some((total, chosen)) = self.try_split(rules, ask, &engines, parts, tried, now)
                else {
                    continue;
                };
                if best.as_ref().is_none_or(|(least, _)| total < *least) {
                    best = Some((total, chosen));
                }
            }
        }
        best.map(|(_, chosen)| chosen)
    }

    /// What one split costs on the engines that are cheapest for it; none where their memory is too
    /// small.
    fn try_split(
        &self,
        rules: &EngineRules,
        ask: &Ask,
        engines: &[Engine<'_>],
        parts: usize,
        tried: Chosen,
        now: Time,
    ) -> Option<(f64, Chosen)> {
        let mut sorted: Vec<Candidate> = engines
            .iter()
            .map(|engine| self.candidate(rules, engine, parts, &tried, ask, now))
            .collect();
        sorted.sort_by(|a, b| a.key.total_cmp(&b.key));
        sorted.truncate(parts);
        let MemoryShares { head, at_head, reserve } =
            self.memory(rules, &sorted, tried.memory, ask.pause_ms)?;
        let predicted_ms = sorted.iter().map(|c| c.first_ms).fold(0.0, f64::max);
        let read_in_ms = sorted.iter().map(|c| c.outlook.read_in_ms).fold(0.0, f64::max);
        let harm: f64 = sorted.iter().map(|c| c.outlook.harm).sum();
        let harm = harm + delay_cost(sorted.iter().map(|c| &c.outlook));
        let own = cost::lateness(predicted_ms, ask.goal_ms)
            + cost::miss(sorted[head].outlook.pause_ms, ask.pause_ms);
        let total = tried.weight * (own + PER_HELPER * parts as f64) + harm;
        let mut servers: Vec<usize> = sorted.iter().map(|c| c.index).collect();
        servers.swap(0, head);
        let chosen =
            Chosen { servers, predicted_ms, read_in_ms, harm, memory: at_head, reserve, ..tried };
        Some((total, chosen))
    }

    fn candidate(
        &self,
        rules: &EngineRules,
        engine: &Engine<'_>,
        parts: usize,
        tried: &Chosen,
        ask: &Ask,
        now: Time,
    ) -> Candidate {
        let Engine { index, server, reads } = engine;
        let part = tried_part(tried, server, parts, ask, now);
        let outlook = server.outlook(rules, part, reads, now);
        let first_ms = first_ms(rules, server, &outlook);
        let own = tried.weight * cost::lateness(first_ms, ask.goal_ms);
        let harm = outlook.harm + delay_cost(std::iter::once(&outlook));
        let key = self.caution(server, now) * (own + harm);
        Candidate { index: *index, outlook, first_ms, key }
    }

    /// Which of the engines runs the request: one whose memory takes it and that won't read for long
    /// while it writes, and of those the one with the most memory left. What doesn't fit
    /// there is reserved on the others, those with the most memory first, so that few have to be
    /// asked; none where all together have too little.
    fn memory(
        &self,
        rules: &EngineRules,
        sorted: &[Candidate],
        needed: u64,
        pause_ms: f64,
    ) -> Option<MemoryShares> {
        let free = |c: &Candidate| {
            rules.memory_tokens.saturating_sub(self.servers[c.index].memory() + MEMORY_SLACK)
        };
        let has_slot = |c: &Candidate| self.servers[c.index].running() < rules.slots;
        let undisturbed = |c: &Candidate| cost::miss(c.outlook.pause_ms, pause_ms) <= 0.0;
        let fits = |c: &Candidate| free(c) >= needed;
        let merit = |c: &Candidate| (has_slot(c), fits(c), undisturbed(c), free(c));
        let head = (0..sorted.len()).max_by_key(|i| merit(&sorted[*i]))?;
        let mut rest: Vec<u64> = sorted.iter().map(free).collect();
        rest.swap(0, head);
        let at_head = needed.min(rest[0]);
        let mut missing = needed - at_head;
        let mut reserve = vec![None; rest.len() - 1];
        if needed < rules.memory_tokens && rest.iter().sum::<u64>() < needed {
            // It fits an engine, but none has the room now: it waits where it runs.
            return Some(MemoryShares { head, at_head: needed, reserve });
        }
        let mut by_room: Vec<usize> = (0..reserve.len()).collect();
        by_room.sort_by_key(|i| std::cmp::Reverse(rest[i + 1]));
        for index in by_room {
            let part = missing.min(rest[index + 1]);
            if part == 0 {
                break;
            }
            reserve[index] = Some(part);
            missing -= part;
        }
        (missing == 0).then_some(MemoryShares { head, at_head, reserve })
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
    fn candidates<'a>(
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

    fn caution(&self, server: &Server, now: Time) -> f64 {
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

/// A request's part on one engine, before it is placed.
fn tried_part(chosen: &Chosen, server: &Server, parts: usize, ask: &Ask, now: Time) -> Part {
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
fn first_ms(rules: &EngineRules, server: &Server, outlook: &Outlook) -> f64 {
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
fn delay_cost<'a>(outlooks: impl Iterator<Item = &'a Outlook>) -> f64 {
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
