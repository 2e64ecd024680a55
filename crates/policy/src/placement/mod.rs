//! Placement of requests on the endpoints of one group, and the split of long prompts over several
//! engines.
//!
//! **Load pattern.** Short questions are decoded on every engine while prompts of up to a million
//! tokens arrive in bursts. Several instances place work at the same time, and each sees the
//! others' latest placements only some milliseconds later.
//!
//! **Without it.** Prefilling a long prompt on one engine stops all requests that decode there for
//! seconds. A long prompt that queues for a single engine misses its goal although most engines are
//! idle.
//!
//! **Rule.** The cost of a placement is what callers lose by it: the probability that the request
//! itself is late, plus that of every request whose pauses grow because of its prefill. A prompt is
//! split into as many equal parts as minimise this cost. Short prompts are placed together with
//! other decoding requests, so that the remaining engines stay free for long prompts; no engine is
//! reserved, and the boundary shifts with every arrival. A long prompt is held until its engines
//! have prefilled the earlier parts ([`prefill`]). A request that costs others more than it is
//! worth is refused.
//!
//! **Grounds.** Decoding twelve requests takes hardly longer than decoding one (a step takes 0.925
//! ms plus 0.005 ms per request), while prefill stops every request on the engine, so placing
//! decoding requests together is nearly free. The measurements are in
//! `docs/decisions/arrangement.md`.

mod announce;
mod backoff;
mod choose;
pub(crate) mod decaying;
mod decoding;
mod ended_runs;
mod failures;
mod leaving;
mod overdue;
mod pauses;
mod prefill;
mod request;
mod rest;
mod rules;
mod running_mean;
mod server;
mod short_pool;
mod slots;
mod split;
mod stated_slots;
mod unanswered;
mod unreported;
mod updates;
mod validity;
mod wire;

use std::time::Duration;

use fastrand::Rng;
use indexmap::{IndexMap, IndexSet};

pub(crate) use decaying::DecayingSum;
pub use decoding::DecodingLoad;
pub use ended_runs::CHECK_INTERVAL;
pub use leaving::{LEAVING_TTL, LeavingReport};
pub use prefill::PartKey;
pub use request::{Helper, Job, JobCost, JobId, Placement, PlacementRefusal, PlacementRequest};
pub use rules::{PlacementRules, PlacementStrategy};
pub use stated_slots::StatedSlots;
pub use updates::{EndpointLoad, EndpointUpdate, PartUpdate, update_interval};

use crate::{
    DataCentre, EndpointId, EndpointTag, FailCause, Incarnation, InstanceId, Region, Time,
    announcements::Announcements,
    contention::MemoryShare,
    drain::DrainedDataCentres,
    health::{Health, HealthState},
    instances::Instances,
    quarantine::{Quarantine, SOUND_AFTER},
    rendezvous,
    routes::EngineRules,
    shared_limit::SharedLimit,
    waiting::Class,
    warm_up::ColdStart,
};

use choose::PlacementPlan;
use decoding::whole_ms;
use ended_runs::EndedRuns;
use server::Server;
use short_pool::{PoolDemand, ShortPool};
use stated_slots::SlotCap;

/// Interval between two assessments of the endpoints' health. Bounds what a failing endpoint still
/// receives.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How many times longer a busy engine takes than its rules predict: it prefills other prompts
/// meanwhile, but most answers are shorter than their maximum.
const BUSY_SLOWDOWN: f64 = 1.15;

/// Milliseconds until a busy engine starts on a request: a few passes.
const START_DELAY_MS: f64 = 300.0;

/// How much later than the peer's next periodic update its report of a first event is expected at
/// most: one pass plus the network delay.
const UPDATE_DELAY_MARGIN: Duration = Duration::from_millis(50);

/// Milliseconds for which an answer holds its slot, before any has ended.
const DEFAULT_HELD_MS: f64 = 1_500.0;

/// Half-life of the share of long prompts and of the queueing statistics: bursts begin and end
/// within seconds.
const BURST_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// The longest predicted duration. Callers state token counts without a bound, and sums of
/// predictions must not overflow.
const MAX_PREDICTION: Duration = Duration::from_secs(24 * 60 * 60);

/// A prediction of `ms` milliseconds, at most [`MAX_PREDICTION`].
fn predicted_duration(ms: f64) -> Duration {
    let max_ms = MAX_PREDICTION.as_secs_f64() * 1000.0;
    // `min` and `max` return the bound for a prediction that isn't a number.
    Duration::from_secs_f64(ms.min(max_ms).max(0.0) / 1000.0)
}

/// How far a choice departs from the best endpoints.
#[derive(Debug, Clone, Copy)]
struct Spread {
    /// Number of the best endpoints to skip.
    skipped: usize,
    /// Orders endpoints that look alike; none for the order in which they are listed.
    order: Option<u64>,
}

impl Spread {
    /// Position of an endpoint among those that look alike.
    fn rank(self, index: usize) -> u64 {
        self.order.map_or(index as u64, |order| rendezvous::mix(index as u64, order))
    }
}

/// The endpoints among which one is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pool {
    /// Those that aren't warming up.
    Warm,
    /// Also cold ones that may get a request now.
    All,
}

/// An endpoint of the group, as configured or registered.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Its name.
    pub endpoint: EndpointId,
    /// Its current incarnation.
    pub incarnation: Incarnation,
    /// Requests that it runs concurrently.
    pub slots: StatedSlots,
    /// Whether it finishes its running requests and accepts no new ones.
    pub leaving: bool,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The region of its data centre, if known.
    pub region: Option<Region>,
    /// Its latest cold start, if it may not be over.
    pub cold_start: Option<ColdStart>,
}

/// Places the requests of one endpoint group, from the view of one instance.
#[derive(Debug)]
pub struct GroupScheduler {
    rules: Option<EngineRules>,
    /// Share of memory from which on the group is scheduled for contention; none if it never is.
    contended_from: Option<MemoryShare>,
    placement: PlacementRules,
    servers: IndexMap<EndpointId, Server>,
    slot_cap: SlotCap,
    /// Data centres whose endpoints get no new requests.
    drained: DrainedDataCentres,
    /// Requests a second that a cold endpoint may get from all instances together; none where
    /// endpoints of this group need no warm-up.
    cold_limit_per_s: Option<f64>,
    /// The instances that share this limit; none before any of them is known.
    instances: Option<Instances>,
    /// Instances that have sent updates.
    peers: IndexSet<InstanceId>,
    /// Indices into `servers` by tag.
    tags: IndexMap<EndpointTag, usize>,
    jobs: IndexMap<JobId, Job>,
    next_job: u64,
    health: Health,
    quarantine: Quarantine,
    ended_runs: EndedRuns,
    limit_news: Announcements<EndpointId>,
    leaving_news: Announcements<EndpointId>,
    /// Whether any endpoint has an unconfirmed failure.
    has_unconfirmed_failures: bool,
    health_assessed_at: Time,
    rng: Rng,
    /// Recent prefill time, in milliseconds, of prompts too long to be prefilled on engines that
    /// decode; its rate gives the share of engines that they need.
    long_share: decaying::DecayingSum,
    pause_goals: pauses::PauseGoals,
    slot_usage: slots::SlotUsage,
    short_pool: ShortPool,
    unreported: unreported::UnreportedPlacements,
}

impl GroupScheduler {
    /// A scheduler without endpoints; `seed` initialises its random generator.
    pub fn new(seed: u64) -> GroupScheduler {
        GroupScheduler::with_rules(PlacementRules::default(), seed)
    }

    /// The same with non-default placement rules.
    pub fn with_rules(placement: PlacementRules, seed: u64) -> GroupScheduler {
        GroupScheduler {
            rules: None,
            contended_from: None,
            placement,
            servers: IndexMap::new(),
            slot_cap: SlotCap::default(),
            drained: DrainedDataCentres::default(),
            cold_limit_per_s: None,
            instances: None,
            peers: IndexSet::new(),
            tags: IndexMap::new(),
            jobs: IndexMap::new(),
            next_job: 0,
            health: Health::new(),
            quarantine: Quarantine::without_isolation(),
            ended_runs: EndedRuns::default(),
            limit_news: Announcements::default(),
            leaving_news: Announcements::default(),
            has_unconfirmed_failures: false,
            health_assessed_at: Time::ZERO,
            rng: Rng::with_seed(seed),
            long_share: decaying::DecayingSum::new(BURST_HALF_LIFE),
            pause_goals: pauses::PauseGoals::default(),
            slot_usage: slots::SlotUsage::default(),
            short_pool: ShortPool::default(),
            unreported: unreported::UnreportedPlacements::default(),
        }
    }

    /// Replaces the engine rules; a group without them is one of plain services.
    pub fn set_rules(&mut self, rules: Option<EngineRules>) {
        if self.rules != rules {
            self.servers.values_mut().for_each(Server::forget_rules);
        }
        self.rules = rules;
    }

    /// Sets the share of memory from which on the group is scheduled for contention; none if it
    /// never is. See [`crate::contention`].
    pub fn set_contention(&mut self, from: Option<MemoryShare>) {
        self.contended_from = from;
    }

    /// Whether the group is scheduled for contention.
    pub fn is_contended(&self) -> bool {
        self.contended_from
            .zip(self.rules.as_ref())
            .is_some_and(|(from, rules)| from.is_reached(rules))
    }

    /// What a prompt of this length competes for.
    pub fn class(&self, prompt_tokens: u64) -> Class {
        let prefill_ms = self.rules.as_ref().map_or(0.0, |rules| rules.prefill_ms(prompt_tokens));
        match self.placement.rank(prefill_ms, self.short_prefill_ms()) {
            rules::SHORT_RANK => Class::Short,
            rules::MIDDLE_RANK => Class::Middle,
            _ => Class::Long,
        }
    }

    /// Replaces the group's endpoints. Nothing is carried over to a new incarnation.
    pub fn set_members(&mut self, members: Vec<Member>, now: Time) {
        let mut old = std::mem::take(&mut self.servers);
        self.slot_cap = SlotCap::of(&members);
        self.health.configure(members.iter().map(|member| &member.endpoint));
        for member in members {
            let kept = old
                .get(&member.endpoint)
                .is_some_and(|server| server.member.incarnation == member.incarnation)
                .then(|| old.swap_remove(&member.endpoint))
                .flatten();
            let mut server = match kept {
                Some(mut server) => {
                    server.warm_up.record_start(member.cold_start, now);
                    if server.member.leaving && !member.leaving {
                        server.said_leaving_at = None;
                    }
                    server.member = member;
                    server
                }
                None => {
                    self.health.reset(&member.endpoint);
                    Server::new(member, now)
                }
            };
            server.is_drained = self.drained.contains(&server.member.data_centre);
            self.servers.insert(server.member.endpoint.clone(), server);
        }
        for server in old.values().filter(|server| !server.is_leaving()) {
            self.record_lapse(&server.member, now);
        }
        self.short_pool.set_endpoints(self.servers.keys());
        self.tags = self.servers.keys().enumerate().map(|(i, id)| (id.into(), i)).collect();
        if !self.servers.is_empty() {
            self.unreported.record_start(now);
        }
    }

    /// Replaces the data centres whose endpoints get no new requests. What runs there goes on.
    pub fn set_drained(&mut self, drained: &DrainedDataCentres) {
        self.drained = drained.clone();
        for server in self.servers.values_mut() {
            server.is_drained = drained.contains(&server.member.data_centre);
        }
    }

    /// Sets how many requests a second a cold endpoint may get from all instances together; none
    /// where endpoints of this group need no warm-up.
    pub fn set_cold_limit(&mut self, per_s: Option<f64>) {
        self.cold_limit_per_s = per_s;
    }

    /// Replaces the instances that share the limit of cold endpoints.
    pub fn set_instances(&mut self, instances: Instances) {
        self.instances = Some(instances);
        self.servers.values().for_each(Server::forget_rank);
    }

    /// Number of endpoints that accept new requests.
    pub fn usable_endpoints(&self) -> usize {
        self.servers.values().filter(|server| server.accepts_requests()).count()
    }

    /// Whether the engines' figures are known, by which durations are predicted.
    pub fn has_engine_rules(&self) -> bool {
        self.rules.is_some()
    }

    /// Typical total duration of a request, with a margin for a busy engine. Requests that decode
    /// alongside are assumed to have a similar context, but no longer than the group's usual one:
    /// short requests are placed with short ones.
    pub fn typical_duration(&self, prompt_tokens: u64, output_tokens: u64) -> Duration {
        let Some(rules) = &self.rules else { return Duration::ZERO };
        let passes = output_tokens.div_ceil(u64::from(rules.stride.max(1))) as f64;
        let context = rules.usual_context.min(prompt_tokens.saturating_add(output_tokens / 2));
        let decode_passes_ms = passes * rules.pass_ms(rules.slots, context);
        let ms =
            BUSY_SLOWDOWN * (rules.prefill_ms(prompt_tokens) + decode_passes_ms) + START_DELAY_MS;
        predicted_duration(ms)
    }

    /// Chooses endpoints for a request and records it as placed there.
    ///
    /// # Errors
    ///
    /// If no endpoint may run it, if it is quarantined, or if serving it would be too late or too
    /// costly for others.
    pub fn place(
        &mut self,
        request: &PlacementRequest,
        now: Time,
    ) -> Result<Placement, PlacementRefusal> {
        self.assess_health(now);
        let refusal = self.quarantine.refusal(request.fingerprint, self.instances.as_ref(), now);
        if let Some(left) = refusal.max(self.part_refusal(&request.parts, None, now)) {
            return Err(PlacementRefusal::Quarantined(left));
        }
        self.pause_goals.record(whole_ms(request.max_pause_ms), now);
        let spread = self.draw_spread(now);
        if let Some(rules) = &self.rules {
            // First events are reported with the peer's next periodic update.
            let update_delay = self.update_delay();
            for server in self.servers.values_mut() {
                server.refresh(rules, update_delay, now);
            }
            if rules.prefill_ms(request.prompt_tokens) > self.short_prefill_ms() {
                overdue::update_risks(
                    &mut self.servers,
                    self.placement.overdue_ms,
                    update_delay,
                    now,
                );
            }
        }
        self.update_short_pool(now);
        let warm = self.choose(request, Pool::Warm, spread, now);
        let waits_for_slot = warm.as_ref().and_then(|plan| plan.waits_for_slot);
        if let Some(waits_for_slot) = waits_for_slot {
            self.slot_usage.record_request(!waits_for_slot, now);
        }
        let plan = match self.accept(warm, request, now) {
            // Cold endpoints are slow and take few requests, so they come last.
            Err(_) if self.has_cold(now) => {
                let plan = self.choose(request, Pool::All, spread, now);
                self.accept(plan, request, now)
            }
            decision => decision,
        };
        Ok(self.commit(plan?, request, now))
    }

    /// Computes the engines that are kept for short prompts, in a contended group.
    fn update_short_pool(&mut self, now: Time) {
        let Some(rules) = self.rules.as_ref().filter(|_| self.is_contended()) else {
            return self.short_pool.clear();
        };
        let shortest = self.pause_goals.shortest();
        // A short prompt's weight is about one, so the sum of weights stands for their number.
        let weight = |server: &Server| server.decoding_weight(|goal| f64::from(goal) <= shortest);
        let demand = PoolDemand {
            slots: rules.slots,
            held_ms: self.slot_usage.held_ms().unwrap_or(DEFAULT_HELD_MS),
            held_slots: self.servers.values().map(weight).sum(),
            long_engines: self.long_share.rate(now) / 1000.0,
            heard_share: self.instances.as_ref().map_or(1.0, Instances::heard_share),
        };
        let (servers, health) = (&self.servers, &self.health);
        let is_usable = |index: usize| {
            let server = &servers[index];
            server.may_be_sent_to(now)
                && health.state(&server.member.endpoint, now) != HealthState::Ejected
        };
        self.short_pool.update(&demand, is_usable, now);
    }

    fn choose(
        &self,
        request: &PlacementRequest,
        pool: Pool,
        spread: Spread,
        now: Time,
    ) -> Option<PlacementPlan> {
        match &self.rules {
            Some(rules) => self.choose_engine(rules, request, pool, spread, now),
            None => self.choose_least_loaded(request, pool, spread, now),
        }
    }

    /// Refuses a plan that is too late or too costly for others.
    fn accept(
        &self,
        plan: Option<PlacementPlan>,
        request: &PlacementRequest,
        now: Time,
    ) -> Result<PlacementPlan, PlacementRefusal> {
        let plan = plan.ok_or_else(|| self.no_endpoint(request, now))?;
        // In a contended group short prompts gather on few engines, so that finding no free slot
        // there doesn't show that all slots are taken.
        let is_overloaded = !self.is_contended() && self.slot_usage.is_overloaded(now);
        let excess_ms = plan.excess_ms(request, &self.placement, is_overloaded);
        if excess_ms > 0.0 {
            return Err(PlacementRefusal::TooLate(predicted_duration(excess_ms)));
        }
        if plan.costs_others_too_much(request, &self.placement) {
            return Err(PlacementRefusal::Crowded(choose::CROWDED_RETRY_DELAY));
        }
        Ok(plan)
    }

    /// Why no endpoint may run the request.
    fn no_endpoint(&self, request: &PlacementRequest, now: Time) -> PlacementRefusal {
        let is_present = |server: &&Server| {
            !server.is_leaving() && request.homes.allows(server.member.region.as_ref())
        };
        let present: Vec<&Server> = self.servers.values().filter(is_present).collect();
        if present.is_empty() {
            return PlacementRefusal::NoEndpoint;
        }
        if present.iter().all(|server| server.is_drained) {
            return PlacementRefusal::Drained;
        }
        if let Some(refusal) = self.all_rest(request, now) {
            return refusal;
        }
        let in_use = || present.iter().filter(|server| !server.is_drained);
        let wait = in_use().map(|server| self.time_until_allowed(server, now)).min();
        match wait {
            Some(wait) if !wait.is_zero() => match in_use().all(|server| self.is_cold(server, now))
            {
                true => PlacementRefusal::WarmingUp(wait),
                false => PlacementRefusal::Limited(wait),
            },
            _ => PlacementRefusal::NoEndpoint,
        }
    }

    fn has_cold(&self, now: Time) -> bool {
        self.servers.values().any(|server| self.is_cold(server, now))
    }

    /// Whether an endpoint is warming up and takes few requests meanwhile.
    fn is_cold(&self, server: &Server, now: Time) -> bool {
        self.cold_limit_per_s.is_some() && server.warm_up.is_cold(now)
    }

    /// The limits on an endpoint's requests that all instances share.
    fn shared_limits(&self, server: &Server, now: Time) -> impl Iterator<Item = SharedLimit> {
        let cold = self.cold_limit_per_s.filter(|_| self.is_cold(server, now));
        let named = server.named_limit.per_s();
        cold.map(SharedLimit::of_cold).into_iter().chain(named.map(SharedLimit::of_named))
    }

    /// How long until this instance may send a request to an endpoint under its limits; zero if it
    /// may now.
    fn time_until_allowed(&self, server: &Server, now: Time) -> Duration {
        let wait = |SharedLimit { requests, window }: SharedLimit| {
            let quota = self
                .instances
                .as_ref()
                .map_or(0, |instances| instances.quota(requests, server.rank_among(instances)));
            server.sent.time_until_allowed(quota, window, now)
        };
        self.shared_limits(server, now).map(wait).max().unwrap_or_default()
    }

    /// How long after a first event at another instance its report is expected at the latest.
    ///
    /// Guards against engines that look stalled in a large site because most instances haven't
    /// placed anything yet: all live ones determine the interval of the updates.
    fn update_delay(&self) -> Duration {
        let live = self.instances.as_ref().map_or(0, Instances::live_others);
        updates::update_interval(self.peers.len().max(live)) + UPDATE_DELAY_MARGIN
    }

    /// Draws how far this choice departs from the best endpoints, because other instances may just
    /// have chosen them.
    fn draw_spread(&mut self, now: Time) -> Spread {
        if self.unreported.is_starting(now) {
            return Spread {
                skipped: self.rng.usize(0..=self.servers.len()),
                order: Some(self.rng.u64(..)),
            };
        }
        let unheard = self.instances.as_ref().map_or(0.0, Instances::spread);
        let is_drawn = unheard > 0.0 && self.rng.f64() < unheard;
        let order = is_drawn.then(|| self.rng.u64(..));
        let unreported = self.unreported.estimate(now) + self.rng.f64();
        let width = unreported + unheard * self.servers.len() as f64;
        Spread { skipped: self.rng.usize(0..=width as usize), order }
    }

    /// Records how long it took to connect to an endpoint.
    pub fn record_connect_time(&mut self, endpoint: &EndpointId, took: Duration) {
        let ms = took.as_secs_f64() * 1000.0;
        self.unreported.record_round_trip(ms);
        if let Some(server) = self.servers.get_mut(endpoint) {
            server.record_round_trip(ms);
        }
        self.confirm_failures(endpoint);
    }

    /// Records the first byte of an answer.
    pub fn record_first_event(&mut self, job: JobId, now: Time) {
        let Some(job) = self.jobs.get_mut(&job) else { return };
        if job.first_event_at.is_some() {
            return;
        }
        job.first_event_at = Some(now);
        self.ended_runs.record_answer(job.death_id(), job.placed_at);
        let taken = now.since(job.placed_at);
        let predicted = predicted_duration(job.predicted_ms);
        // The answer has begun, so all parts have been prefilled, whatever was predicted.
        for endpoint in job.endpoints() {
            if let Some(server) = self.servers.get_mut(endpoint) {
                server.remove_own_part(job.key, true, now);
            }
        }
        self.health.record_answer(&job.endpoint, taken, predicted);
        if let Some(server) = self.servers.get_mut(&job.endpoint) {
            server.clear_peer_failures();
            server.unsent_answer = true;
            if let Some(rules) = &self.rules {
                server.record_pass_start(rules, now);
            }
        }
    }

    /// Records the time between two events of an answer.
    pub fn record_pause(&mut self, job: JobId, pause: Duration, now: Time) {
        let Some(job) = self.jobs.get(&job) else { return };
        if job.first_event_at.is_some_and(|at| now.since(at) >= SOUND_AFTER) {
            self.quarantine.record_sound_run(&job.parts, now);
        }
        let Some(rules) = &self.rules else { return };
        if let Some(server) = self.servers.get_mut(&job.endpoint) {
            server.record_pause(pause.as_secs_f64() * 1000.0, rules, now);
            server.record_pass_start(rules, now);
        }
    }

    /// What a placed request takes of its engines, until now; none if the group isn't scheduled for
    /// contention.
    pub fn cost(&self, job: JobId, now: Time) -> Option<JobCost> {
        let rules = self.rules.as_ref().filter(|_| self.is_contended())?;
        self.jobs.get(&job).map(|job| job.cost(rules, now))
    }

    /// Removes a request that ended on its endpoint, successfully or not.
    pub fn finish(&mut self, job: JobId, failed: Option<FailCause>, now: Time) {
        let Some(job) = self.jobs.swap_remove(&job) else { return };
        for endpoint in job.endpoints() {
            if let Some(server) = self.servers.get_mut(endpoint) {
                server.remove_job(&job, endpoint == &job.endpoint, now);
            }
        }
        match failed {
            None => {
                self.quarantine.record_completion(job.fingerprint, now);
                self.quarantine.record_sound_run(&job.parts, now);
                self.ended_runs.record_answer(job.death_id(), job.placed_at);
                match job.first_event_at {
                    Some(began) => {
                        let decode_ms = now.since(began).as_secs_f64() * 1000.0;
                        self.slot_usage.record_held(job.part_prefill_ms + decode_ms);
                    }
                    None => {
                        let span = now.since(job.placed_at);
                        self.health.record_answer(&job.endpoint, span, span);
                    }
                }
                if let Some(server) = self.servers.get_mut(&job.endpoint) {
                    server.clear_peer_failures();
                    server.unsent_answer = true;
                }
            }
            Some(cause) => self.record_failure(&job, cause, now),
        }
    }

    /// Records that a request was refused because this endpoint didn't prefill its part of it.
    pub fn record_helper_refusal(&mut self, endpoint: &EndpointId, now: Time) {
        if let Some(server) = self.servers.get_mut(endpoint) {
            server.refused_to_help(now);
            server.unsent_refusal = true;
        }
    }

    /// Records that a request was handed to its endpoint.
    pub fn mark_sent(&mut self, job: JobId) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.is_sent = true;
        }
    }

    /// Takes the pending updates about this instance's work; see [`updates`]. `is_due` also
    /// includes what is only sent periodically.
    pub fn take_updates(&mut self, is_due: bool) -> Vec<EndpointUpdate> {
        updates::take_updates(&mut self.servers, is_due)
    }

    /// Applies the updates that another instance sent about its work.
    pub fn apply_updates(&mut self, peer: &InstanceId, updates: &[EndpointUpdate], now: Time) {
        if !self.peers.contains(peer) {
            self.peers.insert(peer.clone());
        }
        let rules = self.rules.as_ref();
        updates::apply_updates(
            &mut self.servers,
            &self.tags,
            &mut self.health,
            rules,
            peer,
            updates,
            now,
        );
        for pause_ms in updates.iter().flat_map(|update| update.load.decoding.pause_goals_ms()) {
            self.pause_goals.record(pause_ms, now);
        }
        let heads = updates.iter().flat_map(|update| &update.placed).filter(|part| part.is_head);
        let short_prefill_ms = self.short_prefill_ms();
        let is_short =
            |part: &&PartUpdate| !part.is_split && f64::from(part.prefill_ms) <= short_prefill_ms;
        self.short_pool.record_placed(heads.clone().filter(is_short).count(), now);
        self.unreported.record(heads.count(), now);
        self.long_share.add(updates::long_prefill_ms(updates, self.short_prefill_ms()), now);
    }

    /// Removes another instance that has failed or left, and its work.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        if !self.peers.swap_remove(peer) {
            return;
        }
        for server in self.servers.values_mut() {
            server.remove_peer(peer);
        }
    }

    /// Milliseconds of prefill up to which a prompt is short: it may be prefilled whole on an
    /// engine that decodes.
    fn short_prefill_ms(&self) -> f64 {
        self.placement.short_share * self.pause_goals.shortest()
    }

    fn assess_health(&mut self, now: Time) {
        if now.since(self.health_assessed_at) < HEALTH_CHECK_INTERVAL {
            return;
        }
        self.health_assessed_at = now;
        let needed = self.servers.len().div_ceil(2);
        self.health.assess(needed, now, &mut self.rng);
        self.quarantine.expire(now);
        self.ended_runs.expire(now);
        self.expire_leaving(now);
        // The next regular request serves as the probe, because an endpoint's own health report may
        // be wrong.
        for endpoint in self.health.due_probes(now) {
            if let Some(server) = self.servers.get_mut(&endpoint) {
                server.is_next_probe = true;
            }
        }
    }
}
