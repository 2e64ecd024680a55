//! Over how many engines a long prompt is read, on which, and from when on.
//!
//! **Load pattern.** Prompts of middle length come beside questions and the longest ones.
//!
//! **Without it.** Each is written on the engine that reads it soonest, which is one where nobody else
//! writes. Its answer takes seconds, so after a while every engine has a single writer, and each part of
//! a long prompt is somebody's pause.
//!
//! **Rule.** Who bears only short pauses writes where others write, and its parts are read elsewhere,
//! unless that costs more than the engine that it would take from long prompts ([`GroupScheduler::alone`]).
//! Who bears long ones writes on whichever of its engines is best, so that nobody hears its reading.

use crate::{Time, routes::EngineRules};

use super::{
    GroupScheduler, PlacementRequest,
    choose::{Chosen, tried_part},
    decoding::whole_ms,
    reading::Read,
    server::{Outlook, Server, millis},
};

/// Tokens by which an engine's memory is planned too small: engines allocate in blocks.
const MEMORY_SLACK: u64 = 2_000;

/// Numbers of parts that are tried. Beyond these the gain of one more is below a pass.
const PARTS: [usize; 12] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 16, 17];

/// How a prompt's memory is spread over the engines that read it.
struct MemoryShares {
    /// Tokens where it runs.
    at_head: u64,
    /// Tokens on each of the others, in the order in which they stand once the head is first.
    reserve: Vec<Option<u64>>,
}

/// The engines for one split, in the order in which they are taken.
struct Parts<'a> {
    candidates: Vec<&'a Candidate>,
    /// Which of them runs it, where that is settled.
    head: Option<usize>,
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

impl GroupScheduler {
    /// The best split of a longer prompt. Each number of parts is tried at once and when enough
    /// engines have read what waits there, with the engines that are cheapest for parts of that size.
    ///
    /// Guards against dossiers that starve: engines read the newest part first, so what is sent to
    /// those that still read delays every earlier dossier there. One that is held until they have
    /// read keeps the order of arrival.
    pub(super) fn split(
        &self,
        rules: &EngineRules,
        ask: &PlacementRequest,
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
            let may_hold = self.placement.holds && held > 0.0;
            let holds = [0.0, held].into_iter().take(if may_hold { 2 } else { 1 });
            for hold_ms in holds {
                let tried = Chosen { part_ms: read_ms / parts as f64, hold_ms, ..base.clone() };
                let sorted = self.sorted(rules, ask, &engines, parts, &tried, now);
                if sorted.len() < parts {
                    continue;
                }
                for parts in self.ways(rules, ask, &sorted, parts, &tried) {
                    let Some((total, chosen)) = self.try_split(rules, ask, parts, &tried) else {
                        continue;
                    };
                    if best.as_ref().is_none_or(|(least, _)| total < *least) {
                        best = Some((total, chosen));
                    }
                }
            }
        }
        best.map(|(_, chosen)| chosen)
    }

    /// All engines that may read a part of this size, the cheapest first.
    fn sorted(
        &self,
        rules: &EngineRules,
        ask: &PlacementRequest,
        engines: &[Engine<'_>],
        parts: usize,
        tried: &Chosen,
        now: Time,
    ) -> Vec<Candidate> {
        let most_helped = rules.slots.saturating_sub(self.placement.slots_left) as usize;
        let arrives = millis(now) + tried.hold_ms;
        let may_help = |engine: &&Engine<'_>| engine.server.may_help(most_helped, arrives, now);
        let may_read = engines.iter().filter(|engine| parts == 1 || may_help(engine));
        let candidates =
            may_read.map(|engine| self.candidate(rules, engine, parts, tried, ask, now));
        let mut sorted: Vec<Candidate> = candidates.collect();
        sorted.sort_by(|a, b| a.key.total_cmp(&b.key));
        sorted
    }

    /// The engines for a number of parts: for whoever bears only short pauses those with a head where
    /// others write, and in any case those that are cheapest.
    fn ways<'a>(
        &self,
        rules: &EngineRules,
        ask: &PlacementRequest,
        sorted: &'a [Candidate],
        parts: usize,
        tried: &Chosen,
    ) -> impl Iterator<Item = Parts<'a>> {
        let gathers = self.gathers(ask);
        let gathered = gathers.then(|| self.gathered(rules, sorted, parts, tried)).flatten();
        let cheapest = Parts { candidates: sorted.iter().take(parts).collect(), head: None };
        gathered.into_iter().chain(std::iter::once(cheapest))
    }

    /// Whether it writes where others write: all but those who bear the longest pauses.
    fn gathers(&self, ask: &PlacementRequest) -> bool {
        self.placement.gathers && self.pauses.is_below_longest(whole_ms(ask.max_pause_ms))
    }

    /// The cheapest engine to write on, and the cheapest others to read.
    fn gathered<'a>(
        &self,
        rules: &EngineRules,
        sorted: &'a [Candidate],
        parts: usize,
        tried: &Chosen,
    ) -> Option<Parts<'a>> {
        let server = |c: &Candidate| &self.servers[c.index];
        let cost = |c: &Candidate| c.key + tried.weight * self.alone(tried.apart, server(c));
        let with_slot = sorted.iter().filter(|c| server(c).running() < rules.slots);
        let head = with_slot.min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        let others = sorted.iter().filter(|c| c.index != head.index);
        let candidates = std::iter::once(head).chain(others).take(parts).collect();
        Some(Parts { candidates, head: Some(0) })
    }

    /// What one split costs; none where the memory of its engines is too small.
    fn try_split(
        &self,
        rules: &EngineRules,
        ask: &PlacementRequest,
        parts: Parts<'_>,
        tried: &Chosen,
    ) -> Option<(f64, Chosen)> {
        let Parts { candidates, head } = parts;
        let head =
            head.or_else(|| self.best_head(rules, &candidates, tried.memory, ask.max_pause_ms))?;
        let MemoryShares { at_head, reserve } =
            self.memory(rules, &candidates, head, tried.memory)?;
        let outlooks = || candidates.iter().map(|c| &c.outlook);
        let predicted_ms = candidates.iter().map(|c| c.first_ms).fold(0.0, f64::max);
        let read_in_ms = outlooks().map(|outlook| outlook.read_in_ms).fold(0.0, f64::max);
        let harm =
            outlooks().map(|outlook| outlook.harm).sum::<f64>() + self.delay_cost(outlooks());
        let alone = match self.gathers(ask) {
            true => self.alone(tried.apart, &self.servers[candidates[head].index]),
            false => 0.0,
        };
        let own = self.placement.lateness(predicted_ms, ask.goal_ms)
            + self.placement.miss(candidates[head].outlook.pause_ms, ask.max_pause_ms);
        let risk = candidates.iter().map(|c| self.servers[c.index].risk).sum();
        let broken = self.broken_cost(candidates.len(), risk);
        let total = tried.weight * (own + alone + broken) + harm;
        let mut servers: Vec<usize> = candidates.iter().map(|c| c.index).collect();
        servers.swap(0, head);
        let tried = tried.clone();
        let chosen =
            Chosen { servers, predicted_ms, read_in_ms, harm, memory: at_head, reserve, ..tried };
        Some((total, chosen))
    }

    /// What a split costs its request by the chance that an engine doesn't read its part, in weights.
    fn broken_cost(&self, parts: usize, risk: f64) -> f64 {
        if parts > 1 { self.placement.broken_loss * risk.min(1.0) } else { 0.0 }
    }

    fn candidate(
        &self,
        rules: &EngineRules,
        engine: &Engine<'_>,
        parts: usize,
        tried: &Chosen,
        ask: &PlacementRequest,
        now: Time,
    ) -> Candidate {
        let Engine { index, server, reads } = engine;
        let part = tried_part(tried, server, parts, ask, now);
        let outlook = server.outlook(rules, &self.placement, part, reads, now);
        let first_ms = self.first_ms(rules, tried, server, &outlook);
        let own = tried.weight * self.placement.lateness(first_ms, ask.goal_ms);
        let harm = outlook.harm + self.delay_cost(std::iter::once(&outlook));
        let broken = tried.weight * self.broken_cost(parts, server.risk);
        let key = self.caution(server, now) * (own + harm + broken);
        Candidate { index: *index, outlook, first_ms, key }
    }

    /// Which of the engines runs the request: one whose memory takes it and that won't read for long
    /// while it writes, and of those the one with the most memory left.
    fn best_head(
        &self,
        rules: &EngineRules,
        candidates: &[&Candidate],
        needed: u64,
        pause_ms: f64,
    ) -> Option<usize> {
        let merit = |c: &Candidate| {
            let free = self.free_memory(rules, c);
            let has_slot = self.servers[c.index].running() < rules.slots;
            let undisturbed = self.placement.miss(c.outlook.pause_ms, pause_ms) <= 0.0;
            (has_slot, free >= needed, undisturbed, free)
        };
        (0..candidates.len()).max_by_key(|i| merit(candidates[*i]))
    }

    /// Tokens that an engine's memory takes.
    fn free_memory(&self, rules: &EngineRules, c: &Candidate) -> u64 {
        rules.memory_tokens.saturating_sub(self.servers[c.index].memory() + MEMORY_SLACK)
    }

    /// How a prompt's memory is spread. What doesn't fit at its head is reserved on the others, those with
    /// the most memory first, so that few have to be asked; none where all together have too little.
    fn memory(
        &self,
        rules: &EngineRules,
        candidates: &[&Candidate],
        head: usize,
        needed: u64,
    ) -> Option<MemoryShares> {
        let mut rest: Vec<u64> = candidates.iter().map(|c| self.free_memory(rules, c)).collect();
        rest.swap(0, head);
        let at_head = needed.min(rest[0]);
        let mut missing = needed - at_head;
        let mut reserve = vec![None; rest.len() - 1];
        if needed < rules.memory_tokens && rest.iter().sum::<u64>() < needed {
            // It fits an engine, but none has the room now: it waits where it runs.
            return Some(MemoryShares { at_head: needed, reserve });
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
        (missing == 0).then_some(MemoryShares { at_head, reserve })
    }
}
