//! One endpoint's load as this instance sees it.
//!
//! **Load pattern.** Work comes from several instances; each knows its own at once and the others'
//! by their words, some milliseconds old or lost.
//!
//! **Without it.** Instances that look at the same report of a moment ago all choose the engine
//! that was idle in it.
//!
//! **Rule.** What waits to be read is known part by part, with whose it is ([`super::reading`]); each
//! event that arrives from the engine tells when a pass began. Writing, memory and slots are levels
//! that each instance tells of its own work. A lost word therefore errs for no longer than a part
//! takes or until the next level.
//!
//! **Grounds.** A question's answer has 35 pauses, and one that is too long makes it late: with one
//! pass in a hundred too long, a third of all answers are late. Reading that is merely taken to
//! drain with time looks done before its pass has begun.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::{InstanceId, Time, routes::EngineRules};

use super::{
    Member, PlacementRules,
    ask::Job,
    awaited::{Awaited, SplitWait},
    backoff::HelperBackoff,
    decoding::{DecodingLoad, TotalDecodingLoad},
    herd::ROUND_TRIPS,
    mean::Mean,
    reading::{Part, PartKey, Pass, Read, Reading, Tempo},
    updates::{EndpointLoad, PartUpdate},
};

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
    reading: Reading,
    awaited: Awaited,
    /// For how long it had stalled when it was last followed.
    stalled_ms: f64,
    /// The chance that it doesn't read; see [`super::overdue`].
    pub(super) risk: f64,
    as_helper: HelperBackoff,
    pub(super) own: EndpointLoad,
    peers: IndexMap<InstanceId, EndpointLoad>,
    /// What `own` and `peers` make together.
    all: Total,
    /// Parts placed by this instance and not told yet.
    pub(super) untold: Vec<PartUpdate>,
    /// Parts told that wait no more: they aren't wanted, or were read sooner than foretold.
    pub(super) untold_gone: Vec<PartKey>,
    pub(super) told: EndpointLoad,
    /// A request failed, or was answered, since the last word.
    pub(super) untold_failure: bool,
    pub(super) untold_answer: bool,
    /// A request was refused for its sake since the last word.
    pub(super) untold_fault: bool,
    /// Instances that told of failures since anybody had an answer.
    failing_for: IndexSet<InstanceId>,
    /// It is out, and the next request shows whether it is back.
    pub(super) is_on_trial: bool,
    /// Milliseconds that a connection takes to be made, as soon as one was.
    round_trip_ms: Mean,
    /// The shortest pause since `pauses_since`, and in the span before.
    shortest: f64,
    shortest_before: f64,
    pauses_since: f64,
    pace: f64,
}

/// What a part meets on an engine.
#[derive(Debug, Clone)]
pub(super) struct Outlook {
    /// Milliseconds until it has been read, from now.
    pub(super) read_in_ms: f64,
    /// The longest pause that is known to come once its request writes there.
    pub(super) pause_ms: f64,
    /// What those who write there lose by it.
    pub(super) harm: f64,
    /// What waits there and is read later because of it, with the time at which it will have been.
    pub(super) delayed: Vec<Read>,
}

pub(super) fn millis(now: Time) -> f64 {
    now.0 as f64 / 1000.0
}

impl Server {
    pub(super) fn new(member: Member, now: Time) -> Server {
        Server {
            member,
            reading: Reading::new(millis(now)),
            awaited: Awaited::default(),
            stalled_ms: 0.0,
            risk: 0.0,
            as_helper: HelperBackoff::default(),
            own: EndpointLoad::default(),
            peers: IndexMap::new(),
            all: Total::default(),
            untold: Vec::new(),
            untold_gone: Vec::new(),
            told: EndpointLoad::default(),
            untold_failure: false,
            untold_answer: false,
            untold_fault: false,
            failing_for: IndexSet::new(),
            is_on_trial: false,
            round_trip_ms: Mean::over(ROUND_TRIPS),
            shortest: f64::INFINITY,
            shortest_before: f64::INFINITY,
            pauses_since: millis(now),
            pace: 1.0,
        }
    }

    fn tempo<'a>(&self, rules: &'a EngineRules) -> Tempo<'a> {
        Tempo { rules, pace: self.pace, running: self.running() }
    }

    /// Follows what it reads, and for how long it has answered nobody. Word of others' first events
    /// takes `told_after`.
    pub(super) fn follow(&mut self, rules: &EngineRules, told_after: Duration, now: Time) {
        self.advance(rules, now);
        let told_after_ms = told_after.as_secs_f64() * 1000.0;
        self.stalled_ms = self.awaited.stalled_ms(told_after_ms, millis(now));
    }

    fn advance(&mut self, rules: &EngineRules, now: Time) {
        let (tempo, awaited) = (self.tempo(rules), &mut self.awaited);
        self.reading.run(tempo, millis(now), |read| awaited.has_been_read(read.part.key, read.at));
    }

    /// When each waiting part will have been read, as things stand.
    pub(super) fn reads(&self, rules: &EngineRules, now: Time) -> Vec<Read> {
        self.reading.foretell(self.tempo(rules), millis(now), None)
    }

    /// What `part` meets there; `base` are the [reads](Self::reads) without it.
    pub(super) fn outlook(
        &self,
        rules: &EngineRules,
        placement: &PlacementRules,
        part: Part,
        base: &[Read],
        now: Time,
    ) -> Outlook {
        let part = Part { ms: part.ms * self.pace, ..part };
        let reads = self.reading.foretell(self.tempo(rules), millis(now), Some(part));
        let mine = reads.iter().find(|read| read.part.key == part.key);
        let mine = mine.copied().unwrap_or(Read { part, at: f64::MAX });
        let Pass { ms, part_ms } = mine.part.longest;
        let harm = (self.harm(placement, ms) - self.harm(placement, ms - part_ms)).max(0.0);
        let delayed = reads.iter().filter_map(|read| {
            let before = base.iter().find(|before| before.part.key == read.part.key)?;
            let ready = read.part.ready.max(before.at);
            (before.at < read.at).then_some(Read { part: Part { ready, ..read.part }, ..*read })
        });
        let later = reads.iter().filter(|read| read.at > mine.at).map(|read| &read.part);
        let together: f64 =
            later.clone().filter(|part| part.arrives <= mine.at).map(|p| p.ms).sum();
        let alone = later.filter(|part| part.arrives > mine.at).map(|part| part.ms);
        let pause_ms = self.writing_ms(rules) + alone.fold(together, f64::max);
        let read_in_ms = mine.at - millis(now) + self.stalled_ms;
        Outlook { pause_ms, read_in_ms, harm, delayed: delayed.collect() }
    }

    /// Milliseconds of a pass that reads nothing; zero where nobody writes.
    pub(super) fn writing_ms(&self, rules: &EngineRules) -> f64 {
        match self.reading.writers(self.running()) {
            0 => 0.0,
            writers => rules.pass_ms(writers, rules.usual_context) * self.pace,
        }
    }

    /// An event arrived: a pass has just ended, and the next one reads what had arrived by then.
    pub(super) fn pass_began(&mut self, rules: &EngineRules, now: Time) {
        self.advance(rules, now);
        let began = millis(now) - self.way_ms();
        self.reading.pass_began(began, self.tempo(rules));
    }

    pub(super) fn round_trip(&mut self, ms: f64) {
        self.round_trip_ms.add(ms);
    }

    /// Milliseconds that bytes take to get there.
    pub(super) fn way_ms(&self) -> f64 {
        self.round_trip_ms.get().unwrap_or_default() / 2.0
    }

    /// Weight of those who write there and bear such a pause.
    pub(super) fn writers(&self, counts: impl Fn(u16) -> bool) -> f64 {
        let each = self.all.writers.by_pause();
        each.filter(|(bears_ms, _)| counts(*bears_ms)).map(|(_, weight)| weight).sum()
    }

    /// Parts of split prompts there whose first events aren't known.
    pub(super) fn split_waits(
        &self,
        told_after: Duration,
        now: Time,
    ) -> impl Iterator<Item = SplitWait> {
        self.awaited.split(told_after.as_secs_f64() * 1000.0, millis(now))
    }

    /// Whether requests were refused for its sake of late.
    pub(super) fn is_left_out(&self, now: Time) -> bool {
        !self.as_helper.may_help(millis(now))
    }

    /// Requests that run or wait there.
    pub(super) fn running(&self) -> u32 {
        self.all.running
    }

    /// Whether it may read a part that reaches it then, in milliseconds of the instance's clock, where
    /// engines help up to `most` others.
    pub(super) fn may_help(&self, most: usize, at: f64, now: Time) -> bool {
        self.as_helper.may_help(at) && self.awaited.helping(at, millis(now)) < most
    }

    /// A request was refused for its sake, here or at another instance.
    pub(super) fn refused_to_help(&mut self, now: Time) {
        self.as_helper.refused(millis(now));
    }

    /// Tokens of memory in use.
    pub(super) fn memory(&self) -> u64 {
        self.all.memory
    }

    /// What those who write there lose by a pass of `pass_ms`.
    pub(super) fn harm(&self, placement: &PlacementRules, pass_ms: f64) -> f64 {
        let each = self.all.writers.by_pause();
        each.map(|(bears, weight)| weight * placement.disturbance(pass_ms, bears.into())).sum()
    }

    /// Notes a part that an instance placed there; none stands for this one.
    pub(super) fn read(
        &mut self,
        rules: &EngineRules,
        part: Part,
        placed_by: Option<&InstanceId>,
        now: Time,
    ) {
        self.awaited.note(&part, placed_by, millis(now));
        self.advance(rules, now);
        self.reading.add(Part { ms: part.ms * self.pace, ..part });
    }

    /// A part waits no more, and nor does its request for a first event; true where either was thought.
    pub(super) fn unread(&mut self, key: PartKey, was_read: bool, now: Time) -> bool {
        let was_awaited = self.awaited.over(key, was_read);
        self.reading.take_back(key, millis(now)) || was_awaited
    }

    /// The same for a part of this instance's own, of which the others have to hear.
    pub(super) fn unread_own(&mut self, key: PartKey, was_read: bool, now: Time) {
        if !self.unread(key, was_read, now) {
            return;
        }
        let untold = self.untold.len();
        self.untold.retain(|part| part.key != key);
        if self.untold.len() == untold {
            self.untold_gone.push(key);
        }
    }

    pub(super) fn take(
        &mut self,
        rules: Option<&EngineRules>,
        job: &Job,
        is_head: bool,
        now: Time,
    ) {
        if let Some(rules) = rules {
            let part = job.part(self.way_ms(), is_head);
            self.read(rules, part, None, now);
            self.untold.push(PartUpdate::of(&part, now));
        }
        let mut own = self.own;
        if let Some(reserved) = job.reserved_at(&self.member.endpoint) {
            own.memory += reserved;
        }
        if is_head {
            own.running = own.running.saturating_add(1);
            own.memory += job.memory;
            own.writers.add(job.max_pause_ms, job.weight);
        }
        self.set_own(own);
    }

    pub(super) fn release(&mut self, job: &Job, is_head: bool, now: Time) {
        if job.began.is_none() {
            self.unread_own(job.key, false, now);
        }
        let mut own = self.own;
        if let Some(reserved) = job.reserved_at(&self.member.endpoint) {
            own.memory = own.memory.saturating_sub(reserved);
        }
        if is_head {
            own.running = own.running.saturating_sub(1);
            own.memory = own.memory.saturating_sub(job.memory);
            own.writers.remove(job.max_pause_ms, job.weight);
            if own.running == 0 {
                own.writers = DecodingLoad::default();
            }
        }
        self.set_own(own);
    }

    fn set_own(&mut self, own: EndpointLoad) {
        self.all.remove(&self.own);
        self.all.add(&own);
        self.own = own;
    }

    /// Takes over what another instance has there now.
    pub(super) fn set_peer(&mut self, peer: &InstanceId, level: EndpointLoad) {
        self.forget_level(peer);
        if level != EndpointLoad::default() {
            self.all.add(&level);
            self.peers.insert(peer.clone(), level);
        }
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

    /// Another instance is gone, and what it had there with it.
    pub(super) fn forget(&mut self, peer: &InstanceId) {
        self.awaited.forget(peer);
        self.forget_level(peer);
    }

    fn forget_level(&mut self, peer: &InstanceId) {
        if let Some(level) = self.peers.swap_remove(peer) {
            self.all.remove(&level);
        }
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

/// All instances' work on one endpoint.
#[derive(Debug, Default)]
struct Total {
    running: u32,
    memory: u64,
    writers: TotalDecodingLoad,
}

impl Total {
    fn add(&mut self, level: &EndpointLoad) {
        self.running += u32::from(level.running);
        self.memory += level.memory;
        self.writers.add(&level.writers);
    }

    fn remove(&mut self, level: &EndpointLoad) {
        self.running = self.running.saturating_sub(u32::from(level.running));
        self.memory = self.memory.saturating_sub(level.memory);
        self.writers.remove(&level.writers);
    }
}
