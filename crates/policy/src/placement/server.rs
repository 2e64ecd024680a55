//! One endpoint's load, as this instance knows it.
//!
//! **Load pattern.** Several instances place work on the same endpoint. Each knows its own work at
//! once and the others' from their updates, which are some milliseconds old and may be lost.
//!
//! **Without it.** Instances that rely on the same load report all choose the engine that was idle
//! when it was taken.
//!
//! **Rule.** Waiting prefill is tracked part by part, with the request that each part belongs to
//! ([`super::prefill`]); each event that arrives from the engine shows when a pass began. Decoding,
//! memory and slots are totals that each instance reports of its own work. A lost update is
//! therefore wrong for no longer than a part's prefill or until the next periodic update.
//!
//! **Grounds.** A question's answer has 35 pauses, and a single one above its goal makes it late:
//! with one pass in a hundred too long, a third of all answers are late. Prefill that is merely
//! assumed to drain with time looks finished before its pass has begun.

use std::{cell::Cell, time::Duration};

use indexmap::{IndexMap, IndexSet};

use crate::{
    InstanceId, Time,
    instances::Instances,
    named_limit::{LimitReport, NamedLimit},
    routes::EngineRules,
    shared_limit::SentRequests,
    warm_up::WarmUp,
};

use super::{
    Member, PlacementRules,
    backoff::HelperBackoff,
    decoding::{DecodingLoad, TotalDecodingLoad},
    prefill::{EngineSpeed, Part, PartCompletion, PartKey, Pass, PrefillQueue},
    request::Job,
    running_mean::RunningMean,
    unanswered::{UnansweredParts, UnansweredSplit},
    unreported::AVERAGED_ROUND_TRIPS,
    updates::{EndpointLoad, PartUpdate},
};

/// Length of the window, in milliseconds, whose shortest pause shows how fast an engine is: a
/// second holds fifteen passes, and some of them prefill nothing.
const PAUSE_WINDOW_MS: f64 = 1_000.0;

/// Slowdowns below this count as none: servers of one service differ somewhat.
const NORMAL_SLOWDOWN: f64 = 1.3;

/// Upper bound of the measured slowdown, so that an engine can't look as if it never finished.
const MAX_SLOWDOWN: f64 = 20.0;

/// An endpoint with all known work on it.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) member: Member,
    /// Its data centre is drained.
    pub(super) is_drained: bool,
    pub(super) warm_up: WarmUp,
    pub(super) named_limit: NamedLimit,
    /// When it was first known to have said that it is leaving; see [`super::leaving`].
    pub(super) said_leaving_at: Option<Time>,
    /// It wants no request of this instance before; see [`super::rest`].
    pub(super) rests_until: Time,
    /// What this instance sends there; a limit counts what was sent before it was known.
    pub(super) sent: SentRequests,
    /// This instance's rank among all of them, once it has been needed.
    rank: Cell<Option<usize>>,
    prefill_queue: PrefillQueue,
    unanswered: UnansweredParts,
    /// Milliseconds for which it had stalled at the last `refresh`.
    stalled_ms: f64,
    /// Probability that it doesn't prefill its parts; see [`super::overdue`].
    pub(super) risk: f64,
    helper_backoff: HelperBackoff,
    pub(super) own_load: EndpointLoad,
    peer_loads: IndexMap<InstanceId, EndpointLoad>,
    /// Sum of `own_load` and `peer_loads`.
    total_load: TotalLoad,
    /// Parts that this instance placed and hasn't reported yet.
    pub(super) unsent_parts: Vec<PartUpdate>,
    /// Reported parts that no longer wait: their requests ended, or they were prefilled sooner than
    /// predicted.
    pub(super) unsent_removals: Vec<PartKey>,
    pub(super) sent_load: EndpointLoad,
    /// A request failed, or was answered, since the last update.
    pub(super) unsent_failure: bool,
    /// A connection or a run failed there, and it isn't known yet whether this instance reaches any
    /// other endpoint.
    pub(super) unconfirmed_failure: bool,
    pub(super) unsent_answer: bool,
    /// A request was refused because of it since the last update.
    pub(super) unsent_refusal: bool,
    /// Instances that have reported failures since the last answer at any instance.
    failing_peers: IndexSet<InstanceId>,
    /// It is ejected, and the next request there serves as its probe.
    pub(super) is_next_probe: bool,
    /// Mean time to connect in milliseconds; none before the first connection.
    round_trip_ms: RunningMean,
    /// The shortest pause of the present window, and that of the window before.
    shortest_pause_ms: f64,
    previous_shortest_pause_ms: f64,
    pause_window_start_ms: f64,
    slowdown: f64,
}

/// Predicted effects of placing a part on an engine.
#[derive(Debug, Clone)]
pub(super) struct PartEstimate {
    /// Milliseconds until the part is prefilled, from now.
    pub(super) prefilled_in_ms: f64,
    /// The longest pause that is expected once its request decodes there.
    pub(super) pause_ms: f64,
    /// What the requests that decode there lose by it, in weights.
    pub(super) cost_to_others: f64,
    /// Waiting parts that it delays, with their new completion times.
    pub(super) delayed: Vec<PartCompletion>,
}

pub(super) fn millis(now: Time) -> f64 {
    now.0 as f64 / 1000.0
}

impl Server {
    pub(super) fn new(member: Member, now: Time) -> Server {
        let mut warm_up = WarmUp::default();
        warm_up.record_start(member.cold_start, now);
        Server {
            member,
            is_drained: false,
            warm_up,
            named_limit: NamedLimit::default(),
            said_leaving_at: None,
            rests_until: Time::ZERO,
            sent: SentRequests::default(),
            rank: Cell::new(None),
            prefill_queue: PrefillQueue::new(millis(now)),
            unanswered: UnansweredParts::default(),
            stalled_ms: 0.0,
            risk: 0.0,
            helper_backoff: HelperBackoff::default(),
            own_load: EndpointLoad::default(),
            peer_loads: IndexMap::new(),
            total_load: TotalLoad::default(),
            unsent_parts: Vec::new(),
            unsent_removals: Vec::new(),
            sent_load: EndpointLoad::default(),
            unsent_failure: false,
            unconfirmed_failure: false,
            unsent_answer: false,
            unsent_refusal: false,
            failing_peers: IndexSet::new(),
            is_next_probe: false,
            round_trip_ms: RunningMean::new(AVERAGED_ROUND_TRIPS),
            shortest_pause_ms: f64::INFINITY,
            previous_shortest_pause_ms: f64::INFINITY,
            pause_window_start_ms: millis(now),
            slowdown: 1.0,
        }
    }

    /// Whether it may get new requests.
    pub(super) fn accepts_requests(&self) -> bool {
        !self.is_leaving() && !self.is_drained
    }

    /// This instance's rank for it. Comparing a thousand names takes too long for each placement.
    pub(super) fn rank_among(&self, instances: &Instances) -> usize {
        let rank = self.rank.get().unwrap_or_else(|| instances.rank(&self.member.endpoint));
        self.rank.set(Some(rank));
        rank
    }

    /// Forgets the rank, because the instances have changed.
    pub(super) fn forget_rank(&self) {
        self.rank.set(None);
    }

    /// The limit that it names, for the other instances.
    pub(super) fn limit_report(&self) -> Option<LimitReport> {
        self.named_limit.report((&self.member.endpoint).into(), self.member.incarnation)
    }

    fn speed<'a>(&self, rules: &'a EngineRules) -> EngineSpeed<'a> {
        EngineSpeed { rules, slowdown: self.slowdown, running: self.running() }
    }

    /// Simulates the engine up to now and updates for how long it has stalled. Other instances'
    /// first events are reported within `update_delay`.
    pub(super) fn refresh(&mut self, rules: &EngineRules, update_delay: Duration, now: Time) {
        self.advance(rules, now);
        let update_delay_ms = update_delay.as_secs_f64() * 1000.0;
        self.stalled_ms = self.unanswered.stalled_ms(update_delay_ms, millis(now));
    }

    /// Forgets what was predicted and learned by rules that have been replaced.
    pub(super) fn forget_rules(&mut self) {
        self.prefill_queue.forget_pass_end();
        self.slowdown = 1.0;
    }

    fn advance(&mut self, rules: &EngineRules, now: Time) {
        let (speed, unanswered) = (self.speed(rules), &mut self.unanswered);
        self.prefill_queue.simulate(speed, millis(now), |completion| {
            unanswered.record_prefilled(completion.part.key, completion.done_at)
        });
    }

    /// When each waiting part will be prefilled if no more work arrives.
    pub(super) fn completions(&self, rules: &EngineRules, now: Time) -> Vec<PartCompletion> {
        self.prefill_queue.predict(self.speed(rules), millis(now), None)
    }

    /// Predicts the effects of placing `part` there; `base` are the
    /// [completions](Self::completions) without it.
    pub(super) fn estimate(
        &self,
        rules: &EngineRules,
        placement: &PlacementRules,
        part: Part,
        base: &[PartCompletion],
        now: Time,
    ) -> PartEstimate {
        let part = Part { prefill_ms: part.prefill_ms * self.slowdown, ..part };
        let completions = self.prefill_queue.predict(self.speed(rules), millis(now), Some(part));
        let mine = completions.iter().find(|completion| completion.part.key == part.key);
        let mine = mine.copied().unwrap_or(PartCompletion { part, done_at: f64::MAX });
        let Pass { duration_ms, part_ms } = mine.part.longest_pass;
        let cost_to_others = (self.disturbance_cost(placement, duration_ms)
            - self.disturbance_cost(placement, duration_ms - part_ms))
        .max(0.0);
        let delayed = completions.iter().filter_map(|completion| {
            let before = base.iter().find(|before| before.part.key == completion.part.key)?;
            let ready_at = completion.part.ready_at.max(before.done_at);
            (before.done_at < completion.done_at).then_some(PartCompletion {
                part: Part { ready_at, ..completion.part },
                ..*completion
            })
        });
        let later = completions
            .iter()
            .filter(|completion| completion.done_at > mine.done_at)
            .map(|completion| &completion.part);
        let together: f64 = later
            .clone()
            .filter(|part| part.arrives_at <= mine.done_at)
            .map(|p| p.prefill_ms)
            .sum();
        let alone = later.filter(|part| part.arrives_at > mine.done_at).map(|part| part.prefill_ms);
        let pause_ms = self.decode_pass_ms(rules) + alone.fold(together, f64::max);
        let prefilled_in_ms = mine.done_at - millis(now) + self.stalled_ms;
        PartEstimate { pause_ms, prefilled_in_ms, cost_to_others, delayed: delayed.collect() }
    }

    /// Milliseconds of a pass that prefills nothing; zero if nothing decodes.
    pub(super) fn decode_pass_ms(&self, rules: &EngineRules) -> f64 {
        match self.prefill_queue.decoding_count(self.running()) {
            0 => 0.0,
            decoding => rules.pass_ms(decoding, rules.usual_context) * self.slowdown,
        }
    }

    /// Records an event of an answer: a pass has just ended, and the next one prefills what had
    /// arrived by then.
    pub(super) fn record_pass_start(&mut self, rules: &EngineRules, now: Time) {
        self.advance(rules, now);
        let pass_start = millis(now) - self.one_way_ms();
        self.prefill_queue.record_pass_start(pass_start, self.speed(rules));
    }

    pub(super) fn record_round_trip(&mut self, ms: f64) {
        self.round_trip_ms.add(ms);
    }

    /// Milliseconds from here to the endpoint.
    pub(super) fn one_way_ms(&self) -> f64 {
        self.round_trip_ms.get().unwrap_or_default() / 2.0
    }

    /// Total weight of the requests that decode there and whose pause goal satisfies `includes`.
    pub(super) fn decoding_weight(&self, includes: impl Fn(u16) -> bool) -> f64 {
        let each = self.total_load.decoding.by_pause_goal();
        each.filter(|(pause_goal_ms, _)| includes(*pause_goal_ms)).map(|(_, weight)| weight).sum()
    }

    /// Parts of split prompts there whose first events aren't known.
    pub(super) fn unanswered_splits(
        &self,
        update_delay: Duration,
        now: Time,
    ) -> impl Iterator<Item = UnansweredSplit> {
        self.unanswered.splits(update_delay.as_secs_f64() * 1000.0, millis(now))
    }

    /// Whether it is left out as a helper because of recent refusals.
    pub(super) fn is_backing_off(&self, now: Time) -> bool {
        !self.helper_backoff.may_help(millis(now))
    }

    /// Requests that run or wait there.
    pub(super) fn running(&self) -> u32 {
        self.total_load.running
    }

    /// Whether it may prefill a part that arrives at `arrives_at`, in milliseconds of the
    /// instance's clock, if engines help up to `max_helping` others.
    pub(super) fn may_help(&self, max_helping: usize, arrives_at: f64, now: Time) -> bool {
        self.helper_backoff.may_help(arrives_at)
            && self.unanswered.count_helping(arrives_at, millis(now)) < max_helping
    }

    /// Records that a request was refused because of it, here or at another instance.
    pub(super) fn refused_to_help(&mut self, now: Time) {
        self.helper_backoff.record_refusal(millis(now));
    }

    /// Tokens of memory in use.
    pub(super) fn memory_tokens(&self) -> u64 {
        self.total_load.memory_tokens
    }

    /// What the requests that decode there lose by a pass of `pass_ms`.
    pub(super) fn disturbance_cost(&self, placement: &PlacementRules, pass_ms: f64) -> f64 {
        let each = self.total_load.decoding.by_pause_goal();
        each.map(|(pause_goal_ms, weight)| {
            weight * placement.disturbance_cost(pass_ms, pause_goal_ms.into())
        })
        .sum()
    }

    /// Adds a part that an instance placed there; `placed_by` is none for this instance.
    pub(super) fn add_part(
        &mut self,
        rules: &EngineRules,
        part: Part,
        placed_by: Option<&InstanceId>,
        now: Time,
    ) {
        self.unanswered.add(&part, placed_by, millis(now));
        self.advance(rules, now);
        self.prefill_queue.add(Part { prefill_ms: part.prefill_ms * self.slowdown, ..part });
    }

    /// Removes a part, and its request from those without a first event; true if either was known.
    pub(super) fn remove_part(&mut self, key: PartKey, was_prefilled: bool, now: Time) -> bool {
        let was_unanswered = self.unanswered.remove(key, was_prefilled);
        self.prefill_queue.remove(key, millis(now)) || was_unanswered
    }

    /// The same for one of this instance's own parts; the removal is reported to the others.
    pub(super) fn remove_own_part(&mut self, key: PartKey, was_prefilled: bool, now: Time) {
        if !self.remove_part(key, was_prefilled, now) {
            return;
        }
        let unsent_parts = self.unsent_parts.len();
        self.unsent_parts.retain(|part| part.key != key);
        if self.unsent_parts.len() == unsent_parts {
            self.unsent_removals.push(key);
        }
    }

    pub(super) fn add_job(
        &mut self,
        rules: Option<&EngineRules>,
        job: &Job,
        is_head: bool,
        now: Time,
    ) {
        if let Some(rules) = rules {
            let part = job.part(self.one_way_ms(), is_head);
            self.add_part(rules, part, None, now);
            self.unsent_parts.push(PartUpdate::new(&part, now));
        }
        let mut own_load = self.own_load;
        if let Some(reserved) = job.reserved_tokens(&self.member.endpoint) {
            own_load.memory_tokens = own_load.memory_tokens.saturating_add(reserved);
        }
        if is_head {
            own_load.running = own_load.running.saturating_add(1);
            own_load.memory_tokens = own_load.memory_tokens.saturating_add(job.memory_tokens);
            own_load.decoding.add(job.max_pause_ms, job.weight);
        }
        self.set_own_load(own_load);
    }

    pub(super) fn remove_job(&mut self, job: &Job, is_head: bool, now: Time) {
        if job.first_event_at.is_none() {
            self.remove_own_part(job.key, false, now);
        }
        let mut own_load = self.own_load;
        if let Some(reserved) = job.reserved_tokens(&self.member.endpoint) {
            own_load.memory_tokens = own_load.memory_tokens.saturating_sub(reserved);
        }
        if is_head {
            own_load.running = own_load.running.saturating_sub(1);
            own_load.memory_tokens = own_load.memory_tokens.saturating_sub(job.memory_tokens);
            own_load.decoding.remove(job.max_pause_ms, job.weight);
            if own_load.running == 0 {
                own_load.decoding = DecodingLoad::default();
            }
        }
        self.set_own_load(own_load);
    }

    fn set_own_load(&mut self, own_load: EndpointLoad) {
        self.total_load.remove(&self.own_load);
        self.total_load.add(&own_load);
        self.own_load = own_load;
    }

    /// Replaces the load that another instance has there.
    pub(super) fn set_peer_load(&mut self, peer: &InstanceId, load: EndpointLoad) {
        self.remove_peer_load(peer);
        if load != EndpointLoad::default() {
            self.total_load.add(&load);
            self.peer_loads.insert(peer.clone(), load);
        }
    }

    /// Records a failure that another instance reported; true if it is the first from that instance
    /// since the last answer at any instance.
    ///
    /// Guards against an instance whose own connections break: it fails everywhere at once, and if
    /// each of its failures counted here, every endpoint would be ejected at all instances.
    pub(super) fn record_peer_failure(&mut self, peer: &InstanceId) -> bool {
        self.failing_peers.insert(peer.clone())
    }

    /// Called when a request was answered at any instance.
    pub(super) fn clear_peer_failures(&mut self) {
        self.failing_peers.clear();
    }

    /// Removes another instance that has failed or left, and its work there.
    pub(super) fn remove_peer(&mut self, peer: &InstanceId) {
        self.unanswered.remove_peer(peer);
        self.remove_peer_load(peer);
    }

    fn remove_peer_load(&mut self, peer: &InstanceId) {
        if let Some(load) = self.peer_loads.swap_remove(peer) {
            self.total_load.remove(&load);
        }
    }

    /// Updates the engine's slowdown from a pause between two events.
    pub(super) fn record_pause(&mut self, pause_ms: f64, rules: &EngineRules, now: Time) {
        let now = millis(now);
        if now - self.pause_window_start_ms > PAUSE_WINDOW_MS {
            self.previous_shortest_pause_ms = self.shortest_pause_ms;
            self.shortest_pause_ms = f64::INFINITY;
            self.pause_window_start_ms = now;
        }
        self.shortest_pause_ms = self.shortest_pause_ms.min(pause_ms);
        if !self.previous_shortest_pause_ms.is_finite() {
            return;
        }
        let shortest_pause_ms = self.shortest_pause_ms.min(self.previous_shortest_pause_ms);
        let slowdown = shortest_pause_ms / rules.pass_ms(self.running().max(1), 0);
        self.slowdown = if slowdown < NORMAL_SLOWDOWN { 1.0 } else { slowdown.min(MAX_SLOWDOWN) };
    }
}

/// All instances' work on one endpoint.
#[derive(Debug, Default)]
struct TotalLoad {
    running: u32,
    memory_tokens: u64,
    decoding: TotalDecodingLoad,
}

impl TotalLoad {
    fn add(&mut self, load: &EndpointLoad) {
        self.running += u32::from(load.running);
        self.memory_tokens = self.memory_tokens.saturating_add(load.memory_tokens);
        self.decoding.add(&load.decoding);
    }

    fn remove(&mut self, load: &EndpointLoad) {
        self.running = self.running.saturating_sub(u32::from(load.running));
        self.memory_tokens = self.memory_tokens.saturating_sub(load.memory_tokens);
        self.decoding.remove(&load.decoding);
    }
}
