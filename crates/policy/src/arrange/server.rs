//! One endpoint's load as this instance sees it.
//!
//! **Load pattern.** Work comes from several instances; each knows its own at once and the others'
//! by their words, some milliseconds old or lost.
//!
//! **Without it.** Instances that look at the same report of a moment ago all choose the engine
//! that was idle in it.
//!
//! **Rule.** The engine's passes are followed one by one. A part that anybody places is read in the
//! pass that begins after its arrival, and makes that pass longer for all who write there; each
//! event that arrives from the engine tells when a pass began. Writing, memory and slots are
//! levels that each instance tells of its own work. A lost word therefore errs for no longer than
//! a pass or until the next level.
//!
//! **Grounds.** A question's answer has 35 pauses, and one that is too long makes it late: with one
//! pass in a hundred too long, a third of all answers are late. Reading that is merely taken to
//! drain with time looks done before its pass has begun.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

use crate::{InstanceId, Time, routes::EngineRules};

use super::{Member, ask::Job, told::Level};

/// Upper bounds in milliseconds of the pauses that writers bear, by which they are counted. The
/// sites ask for 200, 500 and 800 ms.
pub(super) const PAUSES_MS: [f64; 3] = [250.0, 600.0, f64::INFINITY];

/// What each of these bears, where none of this instance's own has said it.
const BEARS_MS: [f64; 3] = [200.0, 500.0, 800.0];

/// Milliseconds over which the shortest pause shows how fast an engine is: a second holds fifteen
/// passes, and some of them are free of reading.
const PAUSES_OVER_MS: f64 = 1_000.0;

/// Paces below this count as ordinary: servers of one service differ somewhat.
const ORDINARY_PACE: f64 = 1.3;

/// The highest pace that is believed, so that one engine can't look as if it never ended.
const MAX_PACE: f64 = 20.0;

/// One endpoint.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) member: Member,
    /// When the present pass ends, in milliseconds; in the past where the engine idles.
    pass_ends: f64,
    /// Parts of which the present pass reads nothing, in the order of their arrival.
    pending: VecDeque<Part>,
    pub(super) own: Level,
    pub(super) peers: IndexMap<InstanceId, Level>,
    /// Milliseconds of reading placed by this instance and not told yet.
    pub(super) untold_ms: f64,
    pub(super) told: Level,
    /// A request failed, or was answered, since the last word.
    pub(super) untold_failure: bool,
    pub(super) untold_answer: bool,
    /// Instances that told of failures since anybody had an answer.
    failing_for: IndexSet<InstanceId>,
    /// It is out, and the next request shows whether it is back.
    pub(super) is_on_trial: bool,
    /// The shortest pause since `pauses_since`, and in the span before.
    shortest: f64,
    shortest_before: f64,
    pauses_since: f64,
    pace: f64,
}

/// Reading that waits.
#[derive(Debug, Clone, Copy)]
struct Part {
    arrives: f64,
    ms: f64,
}

/// Passes that are followed in one go. An engine that nothing was heard of for longer starts
/// afresh, which errs towards idle.
const MAX_PASSES: usize = 64;

/// What a part of a prompt meets on an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Outlook {
    /// Milliseconds until the pass after the present one.
    pub(super) wait_ms: f64,
    /// Milliseconds of reading that stand before it.
    pub(super) queued_ms: f64,
    /// Milliseconds of a pass that reads nothing; zero where nobody writes.
    pub(super) writing_ms: f64,
}

impl Outlook {
    /// Milliseconds until `part_ms` more have been read.
    pub(super) fn read_by(&self, part_ms: f64) -> f64 {
        self.wait_ms + self.queued_ms + part_ms + self.writing_ms
    }

    /// Milliseconds of the longest pass if `part_ms` more are read.
    pub(super) fn longest_pass(&self, part_ms: f64) -> f64 {
        self.writing_ms + self.queued_ms + part_ms
    }
}

pub(super) fn millis(now: Time) -> f64 {
    now.0 as f64 / 1000.0
}

impl Server {
    pub(super) fn new(member: Member, now: Time) -> Server {
        Server {
            member,
            pass_ends: millis(now),
            pending: VecDeque::new(),
            own: Level::default(),
            peers: IndexMap::new(),
            untold_ms: 0.0,
            told: Level::default(),
            untold_failure: false,
            untold_answer: false,
            failing_for: IndexSet::new(),
            is_on_trial: false,
            shortest: f64::INFINITY,
            shortest_before: f64::INFINITY,
            pauses_since: millis(now),
            pace: 1.0,
        }
    }

    /// What a part that is placed now meets.
    pub(super) fn outlook(&self, rules: &EngineRules, now: Time) -> Outlook {
        let now = millis(now);
        let (pass_ends, taken) = self.follow(rules, now);
        let queued: f64 = self.pending.iter().map(|part| part.ms).sum();
        let writing_ms = if self.running() > 0 { self.writing_ms(rules) } else { 0.0 };
        Outlook {
            wait_ms: (pass_ends - now).max(0.0),
            queued_ms: (queued - taken).max(0.0),
            writing_ms,
        }
    }

    fn writing_ms(&self, rules: &EngineRules) -> f64 {
        rules.pass_ms(self.running(), rules.usual_context) * self.pace
    }

    /// When the pass that is under way at `now` ends, and how much of what was pending is read
    /// by then.
    fn follow(&self, rules: &EngineRules, now: f64) -> (f64, f64) {
        let writing = if self.running() > 0 { self.writing_ms(rules) } else { 0.0 };
        let mut ends = self.pass_ends;
        let mut taken = 0.0;
        for _ in 0..MAX_PASSES {
            if ends > now {
                return (ends, taken);
            }
            let arrived: f64 =
                self.pending.iter().filter(|part| part.arrives <= ends).map(|part| part.ms).sum();
            let read = (arrived - taken).max(0.0);
            if read + writing <= 0.0 {
                // It idles until the next part arrives.
                let next = self.pending.iter().map(|part| part.arrives).find(|at| *at > ends);
                match next {
                    Some(next) if next <= now => ends = next,
                    _ => return (now, taken),
                }
                continue;
            }
            taken += read;
            ends += read + writing;
        }
        (now, taken)
    }

    /// Drops what the passes up to now have read.
    fn advance(&mut self, rules: &EngineRules, now: f64) {
        let (ends, mut taken) = self.follow(rules, now);
        self.pass_ends = ends;
        while taken > 0.0 {
            let Some(part) = self.pending.front_mut() else { return };
            if part.ms > taken {
                part.ms -= taken;
                return;
            }
            taken -= part.ms;
            self.pending.pop_front();
        }
    }

    /// An event arrived: a pass has just ended, and the next one reads what had arrived by then.
    pub(super) fn pass_began(&mut self, rules: &EngineRules, now: Time) {
        let now = millis(now);
        let began = now - self.member.distance.as_secs_f64() * 1000.0;
        self.advance(rules, now);
        if began + self.writing_ms(rules) > self.pass_ends || self.pending.is_empty() {
            self.pass_ends = self.pass_ends.max(began + self.writing_ms(rules));
        }
    }

    /// How many times slower than its figures it is; one where it isn't.
    pub(super) fn pace(&self) -> f64 {
        self.pace
    }

    /// Weights of those who write there, by the pause that they bear.
    pub(super) fn writers(&self) -> [f64; PAUSES_MS.len()] {
        let mut sum = self.own.writers;
        for level in self.peers.values() {
            for (sum, more) in sum.iter_mut().zip(level.writers) {
                *sum += more;
            }
        }
        sum.map(f64::from)
    }

    /// Requests that run or wait there.
    pub(super) fn running(&self) -> u32 {
        u32::from(self.own.running)
            + self.peers.values().map(|level| u32::from(level.running)).sum::<u32>()
    }

    /// Tokens of memory in use.
    pub(super) fn memory(&self) -> u64 {
        self.own.memory + self.peers.values().map(|level| level.memory).sum::<u64>()
    }

    /// What those who write there lose by a pass of `pass_ms`.
    pub(super) fn harm(&self, pass_ms: f64) -> f64 {
        let each = self.writers().into_iter().zip(BEARS_MS);
        each.map(|(weight, bears)| weight * super::cost::miss(pass_ms, bears)).sum()
    }

    /// Notes `part_ms` of reading placed there by anybody.
    pub(super) fn read(&mut self, rules: &EngineRules, part_ms: f64, now: Time) {
        let now = millis(now);
        self.advance(rules, now);
        let arrives = now + self.member.distance.as_secs_f64() * 1000.0;
        self.pending.push_back(Part { arrives, ms: part_ms * self.pace });
    }

    pub(super) fn take(
        &mut self,
        rules: Option<&EngineRules>,
        job: &Job,
        is_head: bool,
        now: Time,
    ) {
        if let Some(rules) = rules {
            self.read(rules, job.part_ms, now);
            self.untold_ms += job.part_ms;
        }
        if let Some(reserved) = job.reserved_at(&self.member.endpoint) {
            self.own.memory += reserved;
        }
        if is_head {
            self.own.running = self.own.running.saturating_add(1);
            self.own.memory += job.memory;
            self.own.writers[pause_class(job.pause_ms)] += job.weight as f32;
        }
    }

    pub(super) fn release(&mut self, job: &Job, is_head: bool, now: Time) {
        if !job.is_writing {
            // The others count this part as well; they hear that it isn't wanted any more.
            self.untold_ms -= self.unread(job.part_ms * self.pace, now) / self.pace;
        }
        if let Some(reserved) = job.reserved_at(&self.member.endpoint) {
            self.own.memory = self.own.memory.saturating_sub(reserved);
        }
        if is_head {
            self.own.running = self.own.running.saturating_sub(1);
            self.own.memory = self.own.memory.saturating_sub(job.memory);
            let writers = &mut self.own.writers[pause_class(job.pause_ms)];
            *writers = (*writers - job.weight as f32).max(0.0);
            if self.own.running == 0 {
                *writers = 0.0;
            }
        }
    }

    /// Takes back up to `ms` of reading, the newest first, and tells how much. What the present
    /// pass reads ends with it, as an engine drops a prompt whose caller is gone.
    pub(super) fn unread(&mut self, ms: f64, now: Time) -> f64 {
        let mut left = ms;
        while let Some(part) = self.pending.back_mut().filter(|_| left > 0.0) {
            if part.ms > left {
                part.ms -= left;
                return ms;
            }
            left -= part.ms;
            self.pending.pop_back();
        }
        let under_way = (self.pass_ends - millis(now)).clamp(0.0, left);
        self.pass_ends -= under_way;
        ms - left + under_way
    }

    /// Another instance told of a failure; true where it is the first from there since anybody had
    /// an answer.
    ///
    /// Guards against one instance whose own connections break: it fails everywhere at once, and if
    /// each of its failures counted here, it would take every endpoint out of service for all.
    pub(super) fn fails_for(&mut self, peer: &InstanceId) -> bool {
        self.failing_for.insert(peer.clone())
    }

    /// Somebody had an answer.
    pub(super) fn answered(&mut self) {
        self.failing_for.clear();
    }

    pub(super) fn forget(&mut self, peer: &InstanceId) {
        self.peers.swap_remove(peer);
    }

    /// Learns from a pause between two events how fast the engine is.
    pub(super) fn saw_pause(&mut self, pause_ms: f64, rules: &EngineRules, now: Time) {
        let now = millis(now);
        if now - self.pauses_since > PAUSES_OVER_MS {
            self.shortest_before = self.shortest;
            self.shortest = f64::INFINITY;
            self.pauses_since = now;
        }
        self.shortest = self.shortest.min(pause_ms);
        if !self.shortest_before.is_finite() {
            return;
        }
        let shortest = self.shortest.min(self.shortest_before);
        let pace = shortest / rules.pass_ms(self.running().max(1), 0);
        self.pace = if pace < ORDINARY_PACE { 1.0 } else { pace.min(MAX_PACE) };
    }
}

fn pause_class(pause_ms: f64) -> usize {
    PAUSES_MS.iter().position(|bound| pause_ms <= *bound).unwrap_or(PAUSES_MS.len() - 1)
}
