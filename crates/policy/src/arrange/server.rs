//! One endpoint's load as this instance sees it.
//!
//! **Load pattern.** Work comes from several instances; each knows its own at once and the others'
//! by their words, some milliseconds old or lost.
//!
//! **Without it.** Instances that look at the same report of a moment ago all choose the engine
//! that was idle in it.
//!
//! **Rule.** Reading is a queue that empties by itself: each part that anybody places makes it
//! longer by its own time. Writing, memory and slots are levels that each instance tells of its
//! own work. A lost word therefore errs for no longer than the part takes or until the next level.
//!
//! **Grounds.** Parts take 20 to 400 ms, levels come every [`super::told::EVERY`].

use indexmap::IndexMap;

use crate::{InstanceId, Time, routes::EngineRules};

use super::{Member, ask::Job, told::Level};

/// Upper bounds in milliseconds of the pauses that writers bear, by which they are counted. The
/// sites ask for 200, 500 and 800 ms.
pub(super) const PAUSES_MS: [f64; 3] = [250.0, 600.0, f64::INFINITY];

/// What each of these bears, where none of this instance's own has said it.
const BEARS_MS: [f64; 3] = [200.0, 500.0, 800.0];

/// Pauses of which the shortest shows how fast an engine is: some of them are free of reading.
const PAUSES_KEPT: usize = 8;

/// Paces below this count as ordinary: servers of one service differ somewhat.
const ORDINARY_PACE: f64 = 1.3;

/// The highest pace that is believed, so that one engine can't look as if it never ended.
const MAX_PACE: f64 = 20.0;

/// One endpoint.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) member: Member,
    /// All that was placed will have been read by then, in milliseconds.
    busy_until: f64,
    pub(super) own: Level,
    pub(super) peers: IndexMap<InstanceId, Level>,
    /// Milliseconds of reading placed by this instance and not told yet.
    pub(super) untold_ms: f64,
    pub(super) told: Level,
    /// It is out, and the next request shows whether it is back.
    pub(super) is_on_trial: bool,
    pauses: [f64; PAUSES_KEPT],
    next_pause: usize,
    pace: f64,
}

pub(super) fn millis(now: Time) -> f64 {
    now.0 as f64 / 1000.0
}

impl Server {
    pub(super) fn new(member: Member, now: Time) -> Server {
        Server {
            member,
            busy_until: millis(now),
            own: Level::default(),
            peers: IndexMap::new(),
            untold_ms: 0.0,
            told: Level::default(),
            is_on_trial: false,
            pauses: [f64::INFINITY; PAUSES_KEPT],
            next_pause: 0,
            pace: 1.0,
        }
    }

    /// Milliseconds of reading that stand before a new request, at the engine's pace.
    pub(super) fn backlog_ms(&self, now: Time) -> f64 {
        (self.busy_until - millis(now)).max(0.0)
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
    pub(super) fn read(&mut self, part_ms: f64, now: Time) {
        self.busy_until = self.busy_until.max(millis(now)) + part_ms * self.pace;
    }

    /// A first byte came: what was placed before it has been read, and nothing after it is known
    /// to have begun, so the queue is at most as long as it was.
    pub(super) fn read_until_now(&mut self, now: Time) {
        if self.own.reading == 0 && self.peers.values().all(|level| level.reading == 0) {
            self.busy_until = self.busy_until.min(millis(now));
        }
    }

    pub(super) fn take(&mut self, job: &Job, is_head: bool, now: Time) {
        self.read(job.part_ms, now);
        self.untold_ms += job.part_ms;
        if is_head {
            self.own.running = self.own.running.saturating_add(1);
            self.own.memory += job.memory;
            self.own.writers[pause_class(job.pause_ms)] += job.weight as f32;
        }
    }

    pub(super) fn release(&mut self, job: &Job, is_head: bool, now: Time) {
        if !job.is_writing {
            let given_back = (self.busy_until - job.part_ms * self.pace).max(millis(now));
            self.busy_until = self.busy_until.min(given_back);
        }
        if is_head {
            self.own.running = self.own.running.saturating_sub(1);
            self.own.memory = self.own.memory.saturating_sub(job.memory);
            let writers = &mut self.own.writers[pause_class(job.pause_ms)];
            *writers = (*writers - job.weight as f32).max(0.0);
            if self.own.running == 0 {
                self.own = Level::default();
            }
        }
    }

    pub(super) fn forget(&mut self, peer: &InstanceId) {
        self.peers.swap_remove(peer);
    }

    /// Learns from a pause between two events how fast the engine is.
    pub(super) fn saw_pause(&mut self, pause_ms: f64, rules: &EngineRules) {
        self.pauses[self.next_pause] = pause_ms;
        self.next_pause = (self.next_pause + 1) % PAUSES_KEPT;
        let shortest = self.pauses.iter().copied().fold(f64::INFINITY, f64::min);
        let pace = shortest / rules.pass_ms(self.running().max(1), 0);
        self.pace = if pace < ORDINARY_PACE { 1.0 } else { pace.min(MAX_PACE) };
    }
}

fn pause_class(pause_ms: f64) -> usize {
    PAUSES_MS.iter().position(|bound| pause_ms <= *bound).unwrap_or(PAUSES_MS.len() - 1)
}
