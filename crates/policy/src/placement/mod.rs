//! Where each request of one endpoint group goes, and over how many engines its prompt is read.
//!
//! **Load pattern.** Short questions are written on every engine while dossiers of a million tokens
//! come in bursts; several instances place work without seeing each other's last milliseconds.
//!
//! **Without it.** A dossier read beside writers is one pause of seconds for each of them, and a
//! dossier that waits for its turn on one engine misses its goal, although most engines idle.
//!
//! **Rule.** The cost of a place is what callers lose by it: the request's own chance to be late,
//! and that of everybody whose pause grows by its reading. A prompt is split into as many even
//! parts as makes this least. Short ones gather where others write, so that the remaining engines
//! stay free for long ones; nothing is set aside, and the border moves with each arrival. A long
//! prompt is held until its engines have read what came before it ([`reading`]), and whatever costs
//! others more than it is worth is refused.
//!
//! **Grounds.** Writing costs hardly more for twelve requests than for one (a step takes 0.925 ms
//! and 0.005 ms a request), while reading stops everybody, so gathering writers is nearly free.
//! The figures stand in `docs/decisions/arrangement.md`.

mod backoff;
mod choose;
mod decaying;
mod decoding;
mod overdue;
mod pauses;
mod prefill;
mod request;
mod rules;
mod running_mean;
mod server;
mod slots;
mod split;
mod unanswered;
mod unreported;
mod updates;
mod wire;

use std::time::Duration;

use fastrand::Rng;
use indexmap::{IndexMap, IndexSet};

pub use decoding::DecodingLoad;
pub use prefill::PartKey;
pub use request::{Helper, Job, JobId, Placement, PlacementRefusal, PlacementRequest};
pub use rules::{PlacementRules, PlacementStrategy};
pub use updates::{EndpointLoad, EndpointUpdate, PartUpdate, update_interval};

use crate::{
    EndpointId, EndpointTag, FailCause, Fingerprint, Incarnation, InstanceId, Time,
    health::Health,
    quarantine::{Quarantine, QuarantineState},
    routes::EngineRules,
};

use decoding::whole_ms;
use server::Server;

/// Time between two judgements of the endpoints' health: a broken endpoint gets no more than what
/// comes meanwhile.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How many times longer than its figures a busy engine takes: it reads others' prompts meanwhile, while
/// most answers are shorter than they may be.
const BUSY_SLOWDOWN: f64 = 1.15;

/// Milliseconds until a busy engine begins: a few passes.
const START_DELAY_MS: f64 = 300.0;

/// How much later than a peer's next word its news of a first event is expected at most: a pass, and its way.
const UPDATE_DELAY_MARGIN: Duration = Duration::from_millis(50);

/// Half-life of the share of long prompts: a burst begins and ends within seconds.
const BURST_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// An endpoint as the instance learned of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it finishes what it has and gets nothing new.
    pub leaving: bool,
}

/// Places the requests of one endpoint group, as one instance sees it.
#[derive(Debug)]
pub struct GroupScheduler {
    rules: Option<EngineRules>,
    placement: PlacementRules,
    servers: IndexMap<EndpointId, Server>,
    /// Instances that told of work.
    peers: IndexSet<InstanceId>,
    /// The servers' places by tag.
    tags: IndexMap<EndpointTag, usize>,
    jobs: IndexMap<JobId, Job>,
    next_job: u64,
    health: Health,
    quarantine: Quarantine,
    health_assessed_at: Time,
    rng: Rng,
    /// Share of the engines' time that prompts too long to be read beside writers have taken of
    /// late.
    long_share: decaying::DecayingSum,
    pause_goals: pauses::PauseGoals,
    slot_usage: slots::SlotUsage,
    unreported: unreported::UnreportedPlacements,
}

impl GroupScheduler {
    /// Knows no endpoint yet; `seed` starts its generator.
    pub fn new(seed: u64) -> GroupScheduler {
        GroupScheduler::with_rules(PlacementRules::default(), seed)
    }

    /// The same, with other rules than the usual ones.
    pub fn with_rules(placement: PlacementRules, seed: u64) -> GroupScheduler {
        GroupScheduler {
            rules: None,
            placement,
            servers: IndexMap::new(),
            peers: IndexSet::new(),
            tags: IndexMap::new(),
            jobs: IndexMap::new(),
            next_job: 0,
            health: Health::new(),
            quarantine: Quarantine::new(),
            health_assessed_at: Time::ZERO,
            rng: Rng::with_seed(seed),
            long_share: decaying::DecayingSum::new(BURST_HALF_LIFE),
            pause_goals: pauses::PauseGoals::default(),
            slot_usage: slots::SlotUsage::default(),
            unreported: unreported::UnreportedPlacements::default(),
        }
    }

    /// Takes over the group's rules.
    pub fn set_rules(&mut self, rules: Option<EngineRules>) {
        self.rules = rules;
    }

    /// Takes over the group's endpoints. One with a new life starts with nothing known of it.
    pub fn set_members(&mut self, members: Vec<Member>, now: Time) {
        let mut old = std::mem::take(&mut self.servers);
        self.health.configure(members.iter().map(|member| &member.endpoint));
        for member in members {
            let kept = old.swap_remove(&member.endpoint);
            let kept = kept.filter(|server| server.member.incarnation == member.incarnation);
            let server = match kept {
                Some(mut server) => {
                    server.member = member;
                    server
                }
                None => {
                    self.health.reset(&member.endpoint);
                    Server::new(member, now)
                }
            };
            self.servers.insert(server.member.endpoint.clone(), server);
        }
        self.tags = self.servers.keys().enumerate().map(|(i, id)| (id.into(), i)).collect();
        if !self.servers.is_empty() {
            self.unreported.record_start(now);
        }
    }

    /// Endpoints that may get work.
    pub fn usable_endpoints(&self) -> usize {
        self.servers.values().filter(|server| !server.member.leaving).count()
    }

    /// How long a request usually takes to its end, with room for a busy engine. Those who write beside it
    /// are taken to be like it, but no longer than usual: questions stand among questions.
    pub fn typical_duration(&self, prompt: u64, output: u64) -> Duration {
        let Some(rules) = &self.rules else { return Duration::ZERO };
        let passes = output.div_ceil(u64::from(rules.stride.max(1))) as f64;
        let context = rules.usual_context.min(prompt + output / 2);
        let decode_passes_ms = passes * rules.pass_ms(rules.slots, context);
        let ms = BUSY_SLOWDOWN * (rules.read_ms(prompt) + decode_passes_ms) + START_DELAY_MS;
        Duration::from_secs_f64(ms / 1000.0)
    }

    /// Finds a place for a request, and counts it as sent there.
    ///
    /// # Errors
    ///
    /// Where no endpoint may run it.
    pub fn place(
        &mut self,
        request: &PlacementRequest,
        now: Time,
    ) -> Result<Placement, PlacementRefusal> {
        self.assess_health(now);
        if let QuarantineState::Refused(left) = self.quarantine.state(request.fingerprint, now) {
            return Err(PlacementRefusal::Quarantined(left));
        }
        self.pause_goals.record(whole_ms(request.max_pause_ms), now);
        let skipped = self.draw_skipped(now);
        if let Some(rules) = &self.rules {
            // Word of a first event goes with the teller's next one.
            let update_delay = updates::update_interval(self.peers.len()) + UPDATE_DELAY_MARGIN;
            for server in self.servers.values_mut() {
                server.refresh(rules, update_delay, now);
            }
            if rules.read_ms(request.prompt_tokens) > self.short_prefill_ms() {
                overdue::update_risks(
                    &mut self.servers,
                    self.placement.overdue_ms,
                    update_delay,
                    now,
                );
            }
        }
        let plan = match &self.rules {
            Some(rules) => self.choose_engine(rules, request, skipped, now),
            None => self.choose_least_loaded(request, now),
        };
        let plan = plan.ok_or(PlacementRefusal::NoEndpoint)?;
        if let Some(waits_for_slot) = plan.waits_for_slot {
            self.slot_usage.record_request(!waits_for_slot, now);
        }
        let excess_ms =
            plan.excess_ms(request, &self.placement, self.slot_usage.is_overloaded(now));
        if excess_ms > 0.0 {
            return Err(PlacementRefusal::TooLate(Duration::from_secs_f64(excess_ms / 1000.0)));
        }
        if plan.costs_others_too_much(request, &self.placement) {
            return Err(PlacementRefusal::Crowded(choose::CROWDED_RETRY_DELAY));
        }
        Ok(self.commit(plan, request, now))
    }

    /// How many of the best places are passed over, as others may just have taken them.
    fn draw_skipped(&mut self, now: Time) -> usize {
        if self.unreported.is_starting(now) {
            return self.rng.usize(0..=self.servers.len());
        }
        let unreported = self.unreported.estimate(now) + self.rng.f64();
        self.rng.usize(0..=unreported as usize)
    }

    /// A connection to an endpoint took so long to be made.
    pub fn record_connect_time(&mut self, endpoint: &EndpointId, took: Duration) {
        let ms = took.as_secs_f64() * 1000.0;
        self.unreported.record_round_trip(ms);
        if let Some(server) = self.servers.get_mut(endpoint) {
            server.record_round_trip(ms);
        }
    }

    /// The first byte of an answer came.
    pub fn record_first_event(&mut self, job: JobId, now: Time) {
        let Some(job) = self.jobs.get_mut(&job) else { return };
        if job.first_event_at.is_some() {
            return;
        }
        job.first_event_at = Some(now);
        let taken = now.since(job.placed_at);
        let predicted = Duration::from_secs_f64(job.predicted_ms.max(0.0) / 1000.0);
        // Whatever was foretold, all of its parts have been read.
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

    /// A pause between two events of an answer.
    pub fn record_pause(&mut self, job: JobId, pause: Duration, now: Time) {
        let Some(job) = self.jobs.get(&job) else { return };
        let Some(rules) = &self.rules else { return };
        if let Some(server) = self.servers.get_mut(&job.endpoint) {
            server.record_pause(pause.as_secs_f64() * 1000.0, rules, now);
            server.record_pass_start(rules, now);
        }
    }

    /// A request ended on its endpoint, whole or not.
    pub fn finish(&mut self, job: JobId, failed: Option<FailCause>, now: Time) {
        let Some(job) = self.jobs.swap_remove(&job) else { return };
        for endpoint in job.endpoints() {
            if let Some(server) = self.servers.get_mut(endpoint) {
                server.remove_job(&job, endpoint == &job.endpoint, now);
            }
        }
        match failed {
            None => {
                self.quarantine.completed(job.fingerprint);
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
            Some(cause) => {
                self.quarantine.stopped(job.fingerprint);
                let cause = counted_cause(cause);
                self.health.record_failure(&job.endpoint, cause);
                if let Some(server) = self.servers.get_mut(&job.endpoint) {
                    server.unsent_failure |= is_endpoint_failure(cause);
                }
            }
        }
    }

    /// A request was refused for the sake of an endpoint that was to read a part of it.
    pub fn record_helper_refusal(&mut self, endpoint: &EndpointId, now: Time) {
        if let Some(server) = self.servers.get_mut(endpoint) {
            server.refused_to_help(now);
            server.unsent_refusal = true;
        }
    }

    /// An endpoint's life ended while requests ran there; all that began to run are suspects.
    pub fn record_death(&mut self, endpoint: &EndpointId, now: Time) {
        let ran = self.jobs.values().filter(|job| job.endpoint == *endpoint && job.is_sent);
        let present: Vec<Fingerprint> = ran.map(|job| job.fingerprint).collect();
        if !present.is_empty() {
            self.quarantine.died(endpoint, &present, now);
        }
    }

    /// Whether a request that was held may still be sent as it was placed: none of its endpoints has
    /// begun to leave or has a new life since, and no other instance placed a long prompt on the same
    /// engines in the same moment.
    ///
    /// Guards against two instances that choose the same idle engines before each hears of the other:
    /// one of the prompts would wait for the other's parts, which it wasn't foretold. Both see the same
    /// two keys, so exactly one of them looks for another place.
    pub fn is_still_valid(&self, job: JobId, now: Time) -> bool {
        let Some(job) = self.jobs.get(&job) else { return false };
        job.endpoints().zip(&job.incarnations).all(|(endpoint, incarnation)| {
            let server = self.servers.get(endpoint);
            server.is_some_and(|server| {
                !server.member.leaving
                    && server.member.incarnation == *incarnation
                    && !self.is_displaced(server, job, now)
            })
        })
    }

    /// Whether a prompt with a higher claim makes the job's part on this engine late.
    fn is_displaced(&self, server: &Server, job: &Job, now: Time) -> bool {
        let Some(rules) = &self.rules else { return false };
        let expected_at = server::millis(job.placed_at) + job.prefilled_in_ms;
        let completions = server.completions(rules, now);
        let mine = completions.iter().find(|completion| completion.part.key == job.key);
        mine.is_some_and(|mine| mine.done_at > expected_at + self.placement.collision_ms)
            && completions
                .iter()
                .any(|completion| completion.part.is_split && completion.part.key < job.key)
    }

    /// A request was handed to its endpoint.
    pub fn mark_sent(&mut self, job: JobId) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.is_sent = true;
        }
    }

    /// What others have to hear of this instance's work; see [`updates`].
    pub fn take_updates(&mut self, is_due: bool) -> Vec<EndpointUpdate> {
        updates::take_updates(&mut self.servers, is_due)
    }

    /// What another instance has under way.
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
        self.unreported.record(heads.count(), now);
        self.long_share.add(updates::long_prefill_ms(updates, self.short_prefill_ms()), now);
    }

    /// Another instance is gone, and what it had under way with it.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        self.peers.swap_remove(peer);
        for server in self.servers.values_mut() {
            server.remove_peer(peer);
        }
    }

    /// The quarantine, for what instances tell each other of it.
    pub fn quarantine(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// Milliseconds of reading up to which a prompt goes beside writers whole.
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
        // A request that comes anyway is the probe: what endpoints say of their own health need
        // not be true.
        for endpoint in self.health.due_probes(now) {
            if let Some(server) = self.servers.get_mut(&endpoint) {
                server.is_next_probe = true;
            }
        }
    }
}

/// A silence that ends a run here was longer than another endpoint took to answer, so it counts
/// like a failure. Health alone would not count it, because connections may fall silent while
/// their endpoint lives; here each run has a fresh one.
fn counted_cause(cause: FailCause) -> FailCause {
    match cause {
        FailCause::Silent => FailCause::Broken,
        other => other,
    }
}

/// Whether a failure speaks against its endpoint, whoever met it.
fn is_endpoint_failure(cause: FailCause) -> bool {
    matches!(
        cause,
        FailCause::NotSent
            | FailCause::Broken
            | FailCause::EndpointError
            | FailCause::BadAnswer
            | FailCause::EndpointDied
    )
}
