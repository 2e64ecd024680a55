//! Discrete-event simulation of a site: callers send requests, instances place them, and engines
//! prefill and decode them, all in virtual time.

use std::{cmp::Ordering, collections::BinaryHeap, time::Duration};

use policy::{
    DataCentre, EndpointId, FailCause, Fingerprint, Incarnation, InstanceId, Time,
    placement::{
        EndpointUpdate, JobId, Member, PlacementRefusal, PlacementRequest, update_interval,
    },
    routes::Homes,
};

use crate::{
    engine::{Engine, EngineEvent, PromptPart, RunId},
    load::{self, Call},
    outcome::CallResult,
    placer::{Placer, Trial, engine_id},
    spec::{RequestKind, SiteSpec},
};

/// One-way delay between an instance and an engine, in milliseconds.
const ONE_WAY_MS: f64 = 1.0;

/// Maximum number of times that a caller sends a refused request again.
const MAX_RESUBMISSIONS: u32 = 1;

/// Longest retry delay after which a refused caller still sends its request again, as a share of
/// the time left until its deadline.
const MAX_RETRY_AFTER_SHARE: f64 = 1.0 / 3.0;

/// Maximum number of runs of one request.
const MAX_RUNS_PER_CALL: usize = 2;

/// Time from the failure of a helper until the runs that depend on it fail, in milliseconds.
const HELPER_STALL_MS: f64 = 1_500.0;

/// Time from the failure of an engine until the instances remove it, in milliseconds.
const FAILURE_DETECTION_MS: f64 = 3_600.0;

/// Time for which the last answers may continue after callers stop sending, in milliseconds.
const DRAIN_MS: f64 = 20_000.0;

/// One run of a request on its engines.
#[derive(Debug, Clone)]
struct Run {
    call: usize,
    job: JobId,
    /// The engine that decodes the answer, followed by the helpers.
    engines: Vec<usize>,
    /// Parts of the prompt that aren't prefilled yet.
    pending_parts: usize,
    is_finished: bool,
}

/// Progress of a call over all its runs.
#[derive(Debug, Clone, Default)]
struct CallProgress {
    /// Engines that the call was sent to.
    tried: Vec<usize>,
    runs: usize,
    resubmissions: u32,
    events: u32,
    last_event_ms: Option<f64>,
    is_finished: bool,
}

#[derive(Debug)]
pub(crate) enum Event {
    /// Place the call with this index.
    PlaceCall(usize),
    SendRun(RunId),
    /// A part has reached the engine with this index.
    PartArrived(usize, PromptPart),
    /// The engine with this index has finished the pass with this number.
    PassFinished(usize, u64),
    StreamEventReceived(RunId, EngineEvent),
    /// Updates from one instance have reached another.
    UpdatesReceived {
        to: usize,
        from: usize,
        updates: Vec<EndpointUpdate>,
    },
    /// Send the periodic updates of the instance with this index.
    SendUpdates(usize),
    /// End the call if its caller has received no event since the one numbered `events`.
    CheckGapTimeout {
        call: usize,
        events: u32,
    },
    /// The engine with this index fails.
    EngineFailed(usize),
    /// A run has failed because of the engine with this index.
    RunFailed(RunId, usize),
    /// The instances remove the failed engine with this index.
    RemoveEngine(usize),
}

#[derive(Debug)]
struct ScheduledEvent {
    at_ms: f64,
    /// Order of scheduling, which breaks ties.
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    // Reversed, because `BinaryHeap` returns the greatest element first and the earliest event is
    // needed.
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        other.at_ms.total_cmp(&self.at_ms).then(other.sequence.cmp(&self.sequence))
    }
}

/// Simulates one trial and returns what each caller received, in the order of the calls' arrival.
pub fn simulate(spec: &SiteSpec, trial: impl Into<Trial>, seed: u64) -> Vec<CallResult> {
    let mut simulation = Simulation::new(spec, &trial.into(), seed);
    simulation.run();
    simulation.received
}

pub(crate) struct Simulation<'a> {
    pub(crate) spec: &'a SiteSpec,
    pub(crate) rng: fastrand::Rng,
    now_ms: f64,
    sequence: u64,
    queue: BinaryHeap<ScheduledEvent>,
    engines: Vec<Engine>,
    /// Number of the last pass that each engine started. A scheduled end of any other pass is
    /// ignored.
    pass_numbers: Vec<u64>,
    has_failed: Vec<bool>,
    /// Whether the instances have removed the failed engine.
    is_removed: Vec<bool>,
    members: Vec<Member>,
    pub(crate) placers: Vec<Placer>,
    instance_ids: Vec<InstanceId>,
    calls: Vec<Call>,
    progress: Vec<CallProgress>,
    received: Vec<CallResult>,
    runs: Vec<Run>,
}

impl<'a> Simulation<'a> {
    fn new(spec: &'a SiteSpec, trial: &Trial, seed: u64) -> Simulation<'a> {
        let calls = load::generate_calls(spec, seed);
        let member = |index| {
            Some(Member {
                endpoint: engine_id(index)?,
                incarnation: Incarnation(1),
                slots: spec.engine.slots.into(),
                leaving: false,
                data_centre: DataCentre::new("site").ok()?,
                region: None,
                cold_start: None,
            })
        };
        let members: Vec<Member> = (0..spec.engines).filter_map(member).collect();
        let placer = |i: usize| Placer::new(trial, &spec.engine, &members, seed ^ i as u64);
        let name = |i: usize| InstanceId::new(&format!("instance-{i}")).ok();
        let received = calls.iter().map(|call| CallResult {
            kind: call.kind,
            prompt: call.prompt,
            ..CallResult::default()
        });
        let mut simulation = Simulation {
            spec,
            rng: fastrand::Rng::with_seed(seed),
            now_ms: 0.0,
            sequence: 0,
            queue: BinaryHeap::new(),
            engines: (0..spec.engines).map(|_| Engine::new(spec.engine.clone())).collect(),
            pass_numbers: vec![0; spec.engines],
            has_failed: vec![false; spec.engines],
            is_removed: vec![false; spec.engines],
            placers: (0..spec.instances).map(placer).collect(),
            instance_ids: (0..spec.instances).filter_map(name).collect(),
            members,
            progress: vec![CallProgress::default(); calls.len()],
            received: received.collect(),
            runs: Vec::new(),
            calls,
        };
        for index in 0..simulation.calls.len() {
            simulation.schedule_at(simulation.calls[index].at_ms, Event::PlaceCall(index));
        }
        for instance in 0..spec.instances {
            // The first updates are spread over one interval, as of instances that started at
            // different times.
            let first_ms =
                update_interval(0).as_secs_f64() * 1000.0 * instance as f64 / spec.instances as f64;
            simulation.schedule_at(first_ms, Event::SendUpdates(instance));
        }
        for failure in &spec.deaths {
            simulation.schedule_at(failure.at_s * 1000.0, Event::EngineFailed(failure.engine));
        }
        simulation
    }

    fn schedule_at(&mut self, at_ms: f64, event: Event) {
        self.sequence += 1;
        self.queue.push(ScheduledEvent { at_ms, sequence: self.sequence, event });
    }

    pub(crate) fn schedule_after(&mut self, ms: f64, event: Event) {
        self.schedule_at(self.now_ms + ms, event);
    }

    fn time(&self) -> Time {
        Time((self.now_ms * 1000.0) as u64)
    }

    fn kind(&self, call: usize) -> &'a RequestKind {
        &self.spec.kinds[self.calls[call].kind]
    }

    fn run(&mut self) {
        let end_ms = self.spec.seconds * 1000.0 + DRAIN_MS;
        while let Some(ScheduledEvent { at_ms, event, .. }) = self.queue.pop() {
            if at_ms > end_ms {
                return;
            }
            self.now_ms = at_ms;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::PlaceCall(call) => self.place_call(call),
            Event::SendRun(run) => self.send_run(run),
            Event::PartArrived(engine, part) => self.receive_part(engine, part),
            Event::PassFinished(engine, pass_number) => self.finish_pass(engine, pass_number),
            Event::StreamEventReceived(run, engine_event) => {
                self.receive_stream_event(run, engine_event)
            }
            Event::UpdatesReceived { to, from, updates } => {
                let (name, now) = (self.instance_ids[from].clone(), self.time());
                self.placers[to].apply_updates(&name, &updates, now);
            }
            Event::SendUpdates(instance) => {
                self.send_periodic_updates(instance);
            }
            Event::CheckGapTimeout { call, events } => self.check_gap_timeout(call, events),
            Event::EngineFailed(engine) => self.fail_engine(engine),
            Event::RunFailed(run, engine) => self.fail_run(run, engine),
            Event::RemoveEngine(engine) => self.remove_engine(engine),
        }
    }

    /// Places a call or refuses it, depending on its instance's policy.
    fn place_call(&mut self, index: usize) {
        let call = self.calls[index];
        let kind = self.kind(index);
        let spent_ms = self.now_ms - call.at_ms;
        let progress = &self.progress[index];
        if progress.is_finished {
            return;
        }
        let tried = progress.tried.iter().filter_map(|engine| engine_id(*engine));
        let request = PlacementRequest {
            prompt_tokens: call.prompt,
            max_output_tokens: u64::from(call.events * self.spec.engine.stride),
            goal_ms: (kind.goal_ms - spent_ms).max(0.0),
            max_pause_ms: kind.pause_ms,
            remaining_ms: kind.deadline_ms - spent_ms,
            priority: 1,
            fingerprint: Fingerprint(index as u128),
            parts: Default::default(),
            is_hedge: false,
            is_late: false,
            tried: tried.map(|endpoint| (endpoint, Incarnation(1))).collect(),
            homes: Homes::everywhere(),
        };
        let now = self.time();
        match self.placers[call.instance].place(&request, now) {
            Ok(placement) => {
                let helpers = placement.helpers.iter().map(|helper| &helper.endpoint);
                let all = std::iter::once(&placement.endpoint).chain(helpers);
                let position =
                    |id: &EndpointId| self.members.iter().position(|m| m.endpoint == *id);
                let engines: Vec<usize> = all.filter_map(position).collect();
                let pending_parts = engines.len();
                let job = placement.job;
                self.runs.push(Run {
                    call: index,
                    job,
                    engines,
                    pending_parts,
                    is_finished: false,
                });
                let received = &mut self.received[index];
                received.predicted_ms = placement.predicted_ms;
                received.held_ms = placement.hold.as_secs_f64() * 1000.0;
                if self.progress[index].runs == 0 {
                    self.schedule_after(
                        gap_timeout_ms(kind),
                        Event::CheckGapTimeout { call: index, events: 0 },
                    );
                }
                self.progress[index].runs += 1;
                self.send_updates(call.instance, false);
                let hold_ms = placement.hold.as_secs_f64() * 1000.0;
                self.schedule_after(hold_ms, Event::SendRun(self.runs.len() - 1));
            }
            Err(refusal) => self.refuse(index, refusal),
        }
    }

    fn refuse(&mut self, index: usize, refusal: PlacementRefusal) {
        let kind = self.kind(index);
        let spent_ms = self.now_ms - self.calls[index].at_ms;
        let after_ms = match refusal {
            PlacementRefusal::TooLate(by) | PlacementRefusal::Crowded(by) => {
                by.as_secs_f64() * 1000.0
            }
            _ => 400.0,
        };
        let progress = &mut self.progress[index];
        let is_resubmitted = progress.resubmissions < MAX_RESUBMISSIONS
            && after_ms <= (kind.deadline_ms - spent_ms) * MAX_RETRY_AFTER_SHARE
            && progress.runs == 0;
        if is_resubmitted {
            progress.resubmissions += 1;
            self.schedule_after(after_ms, Event::PlaceCall(index));
            return;
        }
        progress.is_finished = true;
        self.received[index].is_refused = true;
    }

    fn send_run(&mut self, id: RunId) {
        let run = self.runs[id].clone();
        if run.is_finished {
            return;
        }
        let instance = self.calls[run.call].instance;
        let now = self.time();
        if !self.placers[instance].is_still_valid(run.job, now) {
            self.end_run(id, Some(FailCause::Deadline));
            self.progress[run.call].runs -= 1;
            return self.place_call(run.call);
        }
        let call = self.calls[run.call];
        let parts = run.engines.len() as f64;
        self.progress[run.call].tried.push(run.engines[0]);
        if let Some(head) = engine_id(run.engines[0]) {
            let round_trip = Duration::from_secs_f64(2.0 * ONE_WAY_MS / 1000.0);
            self.placers[instance].record_connect_time(&head, round_trip);
        }
        for (index, engine) in run.engines.iter().enumerate() {
            let part = PromptPart {
                run: id,
                ms: self.spec.engine.prefill_ms(call.prompt) / parts,
                tokens: call.prompt as f64 / parts,
                is_split: run.engines.len() > 1,
                is_head: index == 0,
            };
            self.schedule_after(ONE_WAY_MS, Event::PartArrived(*engine, part));
        }
    }

    fn receive_part(&mut self, engine: usize, part: PromptPart) {
        if self.runs[part.run].is_finished {
            return;
        }
        if self.has_failed[engine] {
            let stall_ms = if part.is_head { 0.0 } else { HELPER_STALL_MS };
            return self.schedule_after(stall_ms, Event::RunFailed(part.run, engine));
        }
        if !part.is_head && self.engines[engine].is_helper_limit_reached() {
            return self.schedule_after(ONE_WAY_MS, Event::RunFailed(part.run, engine));
        }
        self.engines[engine].enqueue(part);
        self.start_pass(engine);
    }

    fn start_pass(&mut self, engine: usize) {
        if self.engines[engine].is_idle()
            && let Some(ms) = self.engines[engine].start_pass()
        {
            self.pass_numbers[engine] += 1;
            self.schedule_after(ms, Event::PassFinished(engine, self.pass_numbers[engine]));
        }
    }

    fn finish_pass(&mut self, engine: usize, pass_number: u64) {
        if self.has_failed[engine] || self.pass_numbers[engine] != pass_number {
            return;
        }
        for engine_event in self.engines[engine].finish_pass() {
            match engine_event {
                EngineEvent::Prefilled(run) => self.finish_part(run),
                EngineEvent::StreamEvent(run) | EngineEvent::LastStreamEvent(run) => {
                    self.schedule_after(ONE_WAY_MS, Event::StreamEventReceived(run, engine_event));
                }
            }
        }
        self.start_pass(engine);
    }

    /// Records the prefill of a part. After the last part, the run starts to decode.
    fn finish_part(&mut self, id: RunId) {
        let run = &mut self.runs[id];
        run.pending_parts = run.pending_parts.saturating_sub(1);
        if run.pending_parts > 0 || run.is_finished {
            return;
        }
        let head = run.engines[0];
        let call = self.calls[run.call];
        let remaining = call.events.saturating_sub(self.progress[run.call].events).max(1);
        self.engines[head].start_decoding(id, remaining, call.prompt);
        let first_ms = self.engines[head].first_event_ms();
        self.schedule_after(
            first_ms + ONE_WAY_MS,
            Event::StreamEventReceived(id, EngineEvent::StreamEvent(id)),
        );
        self.start_pass(head);
    }

    /// Handles an event of an answer that reaches the instance.
    fn receive_stream_event(&mut self, id: RunId, engine_event: EngineEvent) {
        let Run { call: index, job, is_finished, .. } = self.runs[id];
        if is_finished {
            return;
        }
        let (now, instance) = (self.time(), self.calls[index].instance);
        let progress = &mut self.progress[index];
        progress.events += 1;
        let events = progress.events;
        let received = &mut self.received[index];
        match progress.last_event_ms.replace(self.now_ms) {
            Some(last_ms) => {
                let pause_ms = self.now_ms - last_ms;
                received.pause_ms = received.pause_ms.max(pause_ms);
                let pause = Duration::from_secs_f64(pause_ms / 1000.0);
                self.placers[instance].record_pause(job, pause, now);
            }
            None => {
                received.first_ms = Some(self.now_ms - self.calls[index].at_ms);
                self.placers[instance].record_first_event(job, now);
            }
        }
        if matches!(engine_event, EngineEvent::LastStreamEvent(_)) {
            self.received[index].is_complete = true;
            self.progress[index].is_finished = true;
            return self.end_run(id, None);
        }
        let timeout_ms = gap_timeout_ms(self.kind(index));
        self.schedule_after(timeout_ms, Event::CheckGapTimeout { call: index, events });
    }

    /// Ends a call whose caller has received no event since the one numbered `events`, and
    /// therefore disconnects.
    fn check_gap_timeout(&mut self, index: usize, events: u32) {
        let progress = &mut self.progress[index];
        if progress.is_finished || progress.events != events {
            return;
        }
        progress.is_finished = true;
        let last = self.runs.iter().rposition(|run| run.call == index && !run.is_finished);
        if let Some(last) = last {
            self.end_run(last, Some(FailCause::Deadline));
        }
    }

    fn end_run(&mut self, id: RunId, failed: Option<FailCause>) {
        let Run { call, job, ref engines, .. } = self.runs[id];
        let engines = engines.clone();
        self.runs[id].is_finished = true;
        for engine in engines {
            self.engines[engine].cancel(id);
        }
        let (now, instance) = (self.time(), self.calls[call].instance);
        self.placers[instance].finish(job, failed, now);
    }

    fn fail_engine(&mut self, engine: usize) {
        self.has_failed[engine] = true;
        let affected_runs = self.runs.iter().enumerate().filter(|(_, run)| !run.is_finished);
        let affected_runs: Vec<_> = affected_runs
            .filter_map(|(id, run)| Some((id, run.engines.iter().position(|e| *e == engine)?)))
            .collect();
        for (id, engine_index) in affected_runs {
            let stall_ms = if engine_index == 0 { ONE_WAY_MS } else { HELPER_STALL_MS };
            self.schedule_after(stall_ms, Event::RunFailed(id, engine));
        }
        self.schedule_after(FAILURE_DETECTION_MS, Event::RemoveEngine(engine));
    }

    /// Ends a failed run, and places its call again if it has runs left.
    fn fail_run(&mut self, id: RunId, engine: usize) {
        let run = &self.runs[id];
        if run.is_finished {
            return;
        }
        let (call, is_head) = (run.call, run.engines[0] == engine);
        if is_head {
            self.end_run(id, Some(FailCause::Broken));
        } else {
            let (now, instance) = (self.time(), self.calls[call].instance);
            if let Some(id) = engine_id(engine) {
                self.placers[instance].record_helper_refusal(&id, now);
            }
            self.end_run(id, Some(FailCause::Rejected));
        }
        if self.progress[call].runs < MAX_RUNS_PER_CALL {
            self.place_call(call);
        } else {
            self.progress[call].is_finished = true;
        }
    }

    fn remove_engine(&mut self, engine: usize) {
        self.is_removed[engine] = true;
        let members = self.members.iter().zip(&self.is_removed);
        let remaining: Vec<Member> = members
            .filter(|(_, is_removed)| !**is_removed)
            .map(|(member, _)| member.clone())
            .collect();
        let now = self.time();
        for placer in &mut self.placers {
            placer.set_members(remaining.clone(), now);
        }
    }
}

/// Time without an event after which a caller disconnects, in milliseconds, as observed at the
/// sites.
fn gap_timeout_ms(kind: &RequestKind) -> f64 {
    (4.0 * kind.goal_ms).max(8.0 * kind.pause_ms).max(2_000.0)
}
