//! Over how many engines a long prompt is read, on which, and from when on.

use crate::{Time, routes::EngineRules};

use super::{
    Arranger, Ask,
    choose::{Chosen, delay_cost, first_ms, tried_part},
    cost,
    reading::Read,
    server::{Outlook, Server, millis},
};

/// Tokens by which an engine's memory is planned too small: engines allocate in blocks.
const MEMORY_SLACK: u64 = 2_000;

/// Numbers of parts that are tried. Beyond these the gain of one more is below a pass.
const PARTS: [usize; 12] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 16, 17];

/// What one further engine costs a prompt, in weights: each may die under it, and each one's
/// writers get a longer pause. Keeps prompts whole where splitting gains next to nothing.
const PER_HELPER: f64 = 0.001;

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
    /// The best split of a longer prompt. Each number of parts is tried at once and when enough
    /// engines have read what waits there, with the engines that are cheapest for parts of that size.
    ///
    /// Guards against dossiers that starve: engines read the newest part first, so what is sent to
    /// those that still read delays every earlier dossier there. One that is held until they have
    /// read keeps the order of arrival.
    pub(super) fn split(
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
}
