//! The choice itself: which endpoints, and how many.

use crate::{Time, health, quarantine::Standing, routes::EngineRules};

use super::{Arranger, Ask, JobId, Placement, ask::Job, cost, server::Server};

/// Tokens by which an engine's memory is planned too small: engines allocate in blocks.
const MEMORY_SLACK: u64 = 2_000;

/// What waiting for a slot costs, in milliseconds for each request that stands before: a question
/// is written in about two seconds on sixteen slots, and those that fill them began together.
const SLOT_WAIT_MS: f64 = 300.0;

/// Slots that are left to what other instances have just placed and not told yet.
const SLOTS_LEFT: u32 = 1;

/// Parts of a pass that a new request waits for on average, where somebody writes.
const RESIDUAL: f64 = 0.5;

/// What an engine that nobody writes on costs a short prompt, times the share of engines that long
/// prompts take: it will soon be wanted for a part that the short one's pause can't bear.
const APART: f64 = 1.5;

/// Numbers of parts that are tried. Beyond these the gain of one more is below a pass.
const PARTS: [usize; 12] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 16, 17];

/// What one further engine costs a prompt, in weights: each may die under it, and each one's
/// writers get a longer pause. Keeps prompts whole where splitting gains next to nothing.
const PER_HELPER: f64 = 0.004;

/// Milliseconds of reading up to which a prompt goes beside writers whole.
const SHORT_MS: f64 = 45.0;

/// What is chosen for a request.
pub(super) struct Chosen {
    /// Indices of the endpoints; the first one runs it.
    servers: Vec<usize>,
    part_ms: f64,
    predicted_ms: f64,
    weight: f64,
    memory: u64,
    rank: u8,
}

/// An engine that may read a part, in the order in which they are taken.
struct Candidate {
    index: usize,
    /// Milliseconds until it can begin to read.
    wait_ms: f64,
    key: f64,
}

impl Arranger {
    pub(super) fn choose_engine(
        &self,
        rules: &EngineRules,
        ask: &Ask,
        now: Time,
    ) -> Option<Chosen> {
        let read_ms = rules.read_ms(ask.prompt);
        let weight = cost::weight(read_ms);
        let memory = ask.prompt + ask.output;
        let base = Chosen {
            servers: Vec::new(),
            part_ms: read_ms,
            predicted_ms: 0.0,
            weight,
            memory,
            rank: rank(read_ms),
        };
        if read_ms <= SHORT_MS {
            let (index, predicted_ms) = self.gather(rules, ask, weight, read_ms, now)?;
            return Some(Chosen { servers: vec![index], predicted_ms, ..base });
        }
        self.split(rules, ask, base, read_ms, now)
    }

    /// The least costly engine for a short prompt.
    fn gather(
        &self,
        rules: &EngineRules,
        ask: &Ask,
        weight: f64,
        read_ms: f64,
        now: Time,
    ) -> Option<(usize, f64)> {
        let engines = self.usable().max(1) as f64;
        let long_share = self.long_share.rate(now) / 1000.0 / engines;
        let mut best = None;
        for (index, server) in self.candidates(ask, now) {
            let pass = rules.pass_ms(server.running(), rules.usual_output) * server.pace();
            let backlog = server.backlog_ms(now);
            let part = read_ms * server.pace();
            let predicted = self.wait_ms(rules, server, now) + part;
            let harm = server.harm(pass + backlog + part) - server.harm(pass + backlog);
            let company = 1.0 + server.writers()[0];
            let alone = APART * long_share.min(1.0) / company;
            let own =
                cost::lateness(predicted, ask.goal_ms) + cost::miss(pass + part, ask.pause_ms);
            let total = self.caution(server, now) * (weight * (own + alone) + harm.max(0.0));
            if best.is_none_or(|(least, _, _)| total < least) {
                best = Some((total, index, predicted));
            }
        }
        best.map(|(_, index, predicted)| (index, predicted))
    }

    /// The best split of a longer prompt. Each number of parts is tried with the engines that are
    /// cheapest for parts of that size.
    fn split(
        &self,
        rules: &EngineRules,
        ask: &Ask,
        base: Chosen,
        read_ms: f64,
        now: Time,
    ) -> Option<Chosen> {
        let engines: Vec<(usize, &Server)> = self.candidates(ask, now).collect();
        let most = engines.len().min(rules.max_helpers + 1);
        let mut best: Option<(f64, Chosen)> = None;
        for parts in PARTS.into_iter().filter(|parts| *parts <= most) {
            let part_ms = read_ms / parts as f64;
            let mut sorted: Vec<Candidate> = engines
                .iter()
                .map(|(index, server)| {
                    self.candidate(rules, *index, server, part_ms, &base, ask, now)
                })
                .collect();
            sorted.sort_by(|a, b| a.key.total_cmp(&b.key));
            sorted.truncate(parts);
            let Some(head) = self.head(rules, &sorted, base.memory) else { continue };
            let slowest = sorted.iter().map(|c| c.wait_ms).fold(0.0, f64::max);
            let pace = sorted.iter().map(|c| self.servers[c.index].pace()).fold(1.0, f64::max);
            let predicted_ms = slowest + part_ms * pace;
            let harm: f64 =
                sorted.iter().map(|c| self.part_harm(rules, c.index, part_ms, now)).sum();
            let own = cost::lateness(predicted_ms, ask.goal_ms);
            let total = base.weight * (own + PER_HELPER * parts as f64) + harm;
            if best.as_ref().is_none_or(|(least, _)| total < *least) {
                let mut servers: Vec<usize> = sorted.iter().map(|c| c.index).collect();
                servers.swap(0, head);
                best = Some((total, Chosen { servers, part_ms, predicted_ms, ..base }));
            }
        }
        best.map(|(_, chosen)| chosen)
    }

    #[allow(clippy::too_many_arguments, reason = "all of it is one candidate's price")]
    fn candidate(
        &self,
        rules: &EngineRules,
        index: usize,
        server: &Server,
        part_ms: f64,
        base: &Chosen,
        ask: &Ask,
        now: Time,
    ) -> Candidate {
        let wait_ms = self.wait_ms(rules, server, now);
        let predicted = wait_ms + part_ms * server.pace();
        let own = base.weight * cost::lateness(predicted, ask.goal_ms);
        let harm = self.part_harm(rules, index, part_ms, now);
        Candidate { index, wait_ms, key: self.caution(server, now) * (own + harm) }
    }

    fn part_harm(&self, rules: &EngineRules, index: usize, part_ms: f64, now: Time) -> f64 {
        let server = &self.servers[index];
        let pass = rules.pass_ms(server.running(), rules.usual_output) * server.pace();
        let before = pass + server.backlog_ms(now);
        (server.harm(before + part_ms * server.pace()) - server.harm(before)).max(0.0)
    }

    /// Which of the engines runs the request: the one with the most memory left, if it is enough.
    /// A prompt larger than any engine's memory has to be split by memory, not by time.
    fn head(&self, rules: &EngineRules, sorted: &[Candidate], memory: u64) -> Option<usize> {
        let free = |c: &Candidate| {
            rules.memory_tokens.saturating_sub(self.servers[c.index].memory() + MEMORY_SLACK)
        };
        let slots = |c: &Candidate| self.servers[c.index].running() < rules.slots;
        let best = (0..sorted.len()).max_by_key(|i| (slots(&sorted[*i]), free(&sorted[*i])))?;
        let fits = free(&sorted[best]) >= memory || memory >= rules.memory_tokens;
        (fits || sorted.len() == self.servers.len()).then_some(best)
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
            part_ms: 0.0,
            predicted_ms: 0.0,
            weight: 1.0,
            memory: 0,
            rank: ask.priority.min(LOWEST_RANK),
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

    /// Milliseconds until an engine begins to read something new.
    fn wait_ms(&self, rules: &EngineRules, server: &Server, now: Time) -> f64 {
        let running = server.running();
        let pass = if running > 0 { rules.pass_ms(running, rules.usual_output) } else { 0.0 };
        let over = (running + 1).saturating_sub(rules.slots.saturating_sub(SLOTS_LEFT).max(1));
        server.backlog_ms(now)
            + RESIDUAL * pass * server.pace()
            + f64::from(over) * SLOT_WAIT_MS
            + 2.0 * server.member.distance.as_secs_f64() * 1000.0
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
        let (endpoint, helpers) = (ids[0].clone(), ids[1..].to_vec());
        let job = Job {
            endpoint: endpoint.clone(),
            helpers: helpers.clone(),
            part_ms: chosen.part_ms,
            memory: chosen.memory,
            weight: chosen.weight,
            pause_ms: ask.pause_ms,
            fingerprint: ask.fingerprint,
            placed: now,
            predicted_ms: chosen.predicted_ms,
            is_sent: false,
            is_writing: false,
        };
        for (place, index) in chosen.servers.iter().enumerate() {
            self.servers[*index].take(&job, place == 0, now);
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
        }
    }
}

/// The rank that engines take for the least urgent.
const LOWEST_RANK: u8 = 9;

/// A prompt's rank on an engine: what is read soonest goes first, which delays the others least.
fn rank(read_ms: f64) -> u8 {
    match read_ms {
        ms if ms <= SHORT_MS => 1,
        ms if ms <= 1000.0 => 3,
        _ => 5,
    }
}
