//! Plays one run: callers send, instances place, engines read and write, all in virtual time.

use std::{cmp::Ordering, collections::BinaryHeap, time::Duration};

use policy::{
    EndpointId, FailCause, Fingerprint, Incarnation, InstanceId, Time,
    placement::{
        EndpointUpdate, JobId, Member, PlacementRefusal, PlacementRequest, update_interval,
    },
};

use crate::{
    engine::{Engine, EngineEvent, PromptPart, RunId},
    load::{self, Call},
    outcome::CallResult,
    placer::{Placer, Trial, engine_id},
    spec::{RequestKind, SiteSpec},
};

/// One-way milliseconds between an instance and an engine.
const WAY_MS: f64 = 1.0;

/// How often a caller that was refused asks again.
const RETURNS: u32 = 1;

/// The part of its time after which a caller that is told to come back no longer does.
const LATEST_RETURN: f64 = 1.0 / 3.0;

/// The most runs of one request.
const MAX_RUNS: usize = 2;

/// Milliseconds after an engine's death until what depended on it as a helper breaks off.
const STALL_MS: f64 = 1_500.0;

/// Milliseconds after an engine's death until instances have heard that it is gone.
const GONE_MS: f64 = 3_600.0;

/// Time over which the last answers may run on after callers stop.
const RUN_OUT_MS: f64 = 20_000.0;

/// One run of a request on its engines.
#[derive(Debug, Clone)]
struct Run {
    call: usize,
    job: JobId,
    engines: Vec<usize>,
    unread: usize,
    is_over: bool,
}

/// How far a call is.
#[derive(Debug, Clone, Default)]
struct Progress {
    tried: Vec<usize>,
    runs: usize,
    returns: u32,
    events: u32,
    last_event_ms: Option<f64>,
    is_over: bool,
}

#[derive(Debug)]
pub(crate) enum Event {
    Ask(usize),
    Send(RunId),
    Arrive(usize, PromptPart),
    Done(usize, u64),
    Heard(RunId, EngineEvent),
    Words {
        to: usize,
        from: usize,
        words: Vec<EndpointUpdate>,
    },
    Tell(usize),
    Impatient {
        call: usize,
        events: u32,
    },
    Die(usize),
    /// A run breaks off because of an engine.
    Break(RunId, usize),
    Gone(usize),
}

#[derive(Debug)]
struct Due {
    at: f64,
    order: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.order == other.order
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    // The heap gives the greatest first, and the earliest is wanted.
    fn cmp(&self, other: &Due) -> Ordering {
        other.at.total_cmp(&self.at).then(other.order.cmp(&self.order))
    }
}

/// Plays a run and tells what each caller received.
pub fn simulate(spec: &SiteSpec, trial: impl Into<Trial>, seed: u64) -> Vec<CallResult> {
    let mut world = World::new(spec, &trial.into(), seed);
    world.run();
    world.received
}

pub(crate) struct World<'a> {
    pub(crate) spec: &'a SiteSpec,
    pub(crate) rng: fastrand::Rng,
    now: f64,
    order: u64,
    heap: BinaryHeap<Due>,
    engines: Vec<Engine>,
    /// Counts an engine's activities, so that one that was cut short doesn't end.
    epochs: Vec<u64>,
    is_dead: Vec<bool>,
    /// Instances have heard that it is.
    is_gone: Vec<bool>,
    members: Vec<Member>,
    pub(crate) placers: Vec<Placer>,
    names: Vec<InstanceId>,
    calls: Vec<Call>,
    progress: Vec<Progress>,
    received: Vec<CallResult>,
    runs: Vec<Run>,
}

impl<'a> World<'a> {
    fn new(spec: &'a SiteSpec, trial: &Trial, seed: u64) -> World<'a> {
        let calls = load::calls(spec, seed);
        let member = |index| {
            engine_id(index).map(|endpoint| Member {
                endpoint,
                incarnation: Incarnation(1),
                slots: spec.engine.slots,
                leaving: false,
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
        let mut world = World {
            spec,
            rng: fastrand::Rng::with_seed(seed),
            now: 0.0,
            order: 0,
            heap: BinaryHeap::new(),
            engines: (0..spec.engines).map(|_| Engine::new(spec.engine.clone())).collect(),
            epochs: vec![0; spec.engines],
            is_dead: vec![false; spec.engines],
            is_gone: vec![false; spec.engines],
            placers: (0..spec.instances).map(placer).collect(),
            names: (0..spec.instances).filter_map(name).collect(),
            members,
            progress: vec![Progress::default(); calls.len()],
            received: received.collect(),
            runs: Vec::new(),
            calls,
        };
        for index in 0..world.calls.len() {
            world.at(world.calls[index].at_ms, Event::Ask(index));
        }
        for instance in 0..spec.instances {
            // Instances started at different times.
            let first =
                update_interval(0).as_secs_f64() * 1000.0 * instance as f64 / spec.instances as f64;
            world.at(first, Event::Tell(instance));
        }
        for death in &spec.deaths {
            world.at(death.at_s * 1000.0, Event::Die(death.engine));
        }
        world
    }

    fn at(&mut self, at: f64, event: Event) {
        self.order += 1;
        self.heap.push(Due { at, order: self.order, event });
    }

    pub(crate) fn after(&mut self, ms: f64, event: Event) {
        self.at(self.now + ms, event);
    }

    fn time(&self) -> Time {
        Time((self.now * 1000.0) as u64)
    }

    fn kind(&self, call: usize) -> &'a RequestKind {
        &self.spec.kinds[self.calls[call].kind]
    }

    fn run(&mut self) {
        let end = self.spec.seconds * 1000.0 + RUN_OUT_MS;
        while let Some(Due { at, event, .. }) = self.heap.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Ask(call) => self.ask(call),
            Event::Send(run) => self.send(run),
            Event::Arrive(engine, part) => self.arrive(engine, part),
            Event::Done(engine, epoch) => self.done(engine, epoch),
            Event::Heard(run, happened) => self.heard(run, happened),
            Event::Words { to, from, words } => {
                let (name, now) = (self.names[from].clone(), self.time());
                self.placers[to].apply_updates(&name, &words, now);
            }
            Event::Tell(instance) => {
                self.take_turn(instance);
            }
            Event::Impatient { call, events } => self.impatient(call, events),
            Event::Die(engine) => self.die(engine),
            Event::Break(run, engine) => self.broke(run, engine),
            Event::Gone(engine) => self.gone(engine),
        }
    }

    /// Places a call, or refuses it.
    fn ask(&mut self, index: usize) {
        let call = self.calls[index];
        let kind = self.kind(index);
        let spent = self.now - call.at_ms;
        let progress = &self.progress[index];
        if progress.is_over {
            return;
        }
        let tried = progress.tried.iter().filter_map(|engine| engine_id(*engine));
        let ask = PlacementRequest {
            prompt_tokens: call.prompt,
            max_output_tokens: u64::from(call.events * self.spec.engine.stride),
            goal_ms: (kind.goal_ms - spent).max(0.0),
            max_pause_ms: kind.pause_ms,
            remaining_ms: kind.deadline_ms - spent,
            priority: 1,
            fingerprint: Fingerprint(index as u128),
            is_hedge: false,
            tried: tried.map(|endpoint| (endpoint, Incarnation(1))).collect(),
        };
        let now = self.time();
        match self.placers[call.instance].place(&ask, now) {
            Ok(placement) => {
                let helpers = placement.helpers.iter().map(|helper| &helper.endpoint);
                let all = std::iter::once(&placement.endpoint).chain(helpers);
                let position =
                    |id: &EndpointId| self.members.iter().position(|m| m.endpoint == *id);
                let engines: Vec<usize> = all.filter_map(position).collect();
                let unread = engines.len();
                let job = placement.job;
                self.runs.push(Run { call: index, job, engines, unread, is_over: false });
                let received = &mut self.received[index];
                received.foretold_ms = placement.predicted_ms;
                received.held_ms = placement.hold.as_secs_f64() * 1000.0;
                if self.progress[index].runs == 0 {
                    self.after(patience(kind), Event::Impatient { call: index, events: 0 });
                }
                self.progress[index].runs += 1;
                self.tell(call.instance, false);
                let hold_ms = placement.hold.as_secs_f64() * 1000.0;
                self.after(hold_ms, Event::Send(self.runs.len() - 1));
            }
            Err(refused) => self.refuse(index, refused),
        }
    }

    fn refuse(&mut self, index: usize, refused: PlacementRefusal) {
        let kind = self.kind(index);
        let spent = self.now - self.calls[index].at_ms;
        let after_ms = match refused {
            PlacementRefusal::TooLate(by) | PlacementRefusal::Crowded(by) => {
                by.as_secs_f64() * 1000.0
            }
            _ => 400.0,
        };
        let progress = &mut self.progress[index];
        let comes_back = progress.returns < RETURNS
            && after_ms <= (kind.deadline_ms - spent) * LATEST_RETURN
            && progress.runs == 0;
        if comes_back {
            progress.returns += 1;
            self.after(after_ms, Event::Ask(index));
            return;
        }
        progress.is_over = true;
        self.received[index].is_refused = true;
    }

    fn send(&mut self, id: RunId) {
        let run = self.runs[id].clone();
        if run.is_over {
            return;
        }
        let instance = self.calls[run.call].instance;
        let now = self.time();
        if !self.placers[instance].stands(run.job, now) {
            self.over(id, Some(FailCause::Deadline));
            self.progress[run.call].runs -= 1;
            return self.ask(run.call);
        }
        let call = self.calls[run.call];
        let parts = run.engines.len() as f64;
        self.progress[run.call].tried.push(run.engines[0]);
        if let Some(head) = engine_id(run.engines[0]) {
            let round_trip = Duration::from_secs_f64(2.0 * WAY_MS / 1000.0);
            self.placers[instance].connected(&head, round_trip);
        }
        for (place, engine) in run.engines.iter().enumerate() {
            let part = PromptPart {
                run: id,
                ms: self.spec.engine.prefill_ms(call.prompt) / parts,
                tokens: call.prompt as f64 / parts,
                is_split: run.engines.len() > 1,
                is_head: place == 0,
            };
            self.after(WAY_MS, Event::Arrive(*engine, part));
        }
    }

    fn arrive(&mut self, engine: usize, part: PromptPart) {
        if self.runs[part.run].is_over {
            return;
        }
        if self.is_dead[engine] {
            let stall_ms = if part.is_head { 0.0 } else { STALL_MS };
            return self.after(stall_ms, Event::Break(part.run, engine));
        }
        if !part.is_head && self.engines[engine].helps_enough() {
            return self.after(WAY_MS, Event::Break(part.run, engine));
        }
        self.engines[engine].arrive(part);
        self.wake(engine);
    }

    fn wake(&mut self, engine: usize) {
        if self.engines[engine].is_idle()
            && let Some(ms) = self.engines[engine].begin()
        {
            self.epochs[engine] += 1;
            self.after(ms, Event::Done(engine, self.epochs[engine]));
        }
    }

    fn done(&mut self, engine: usize, epoch: u64) {
        if self.is_dead[engine] || self.epochs[engine] != epoch {
            return;
        }
        for happened in self.engines[engine].finish() {
            match happened {
                EngineEvent::Read(run) => self.read(run),
                EngineEvent::Event(run) | EngineEvent::Last(run) => {
                    self.after(WAY_MS, Event::Heard(run, happened));
                }
            }
        }
        self.wake(engine);
    }

    /// A part has been read; with the last one the answer begins.
    fn read(&mut self, id: RunId) {
        let run = &mut self.runs[id];
        run.unread = run.unread.saturating_sub(1);
        if run.unread > 0 || run.is_over {
            return;
        }
        let head = run.engines[0];
        let call = self.calls[run.call];
        let left = call.events.saturating_sub(self.progress[run.call].events).max(1);
        self.engines[head].write(id, left, call.prompt);
        let first_ms = self.engines[head].first_event_ms();
        self.after(first_ms + WAY_MS, Event::Heard(id, EngineEvent::Event(id)));
        self.wake(head);
    }

    /// An event reaches the instance.
    fn heard(&mut self, id: RunId, happened: EngineEvent) {
        let Run { call: index, job, is_over, .. } = self.runs[id];
        if is_over {
            return;
        }
        let (now, instance) = (self.time(), self.calls[index].instance);
        let progress = &mut self.progress[index];
        progress.events += 1;
        let events = progress.events;
        let received = &mut self.received[index];
        match progress.last_event_ms.replace(self.now) {
            Some(last) => {
                let pause_ms = self.now - last;
                received.pause_ms = received.pause_ms.max(pause_ms);
                let pause = Duration::from_secs_f64(pause_ms / 1000.0);
                self.placers[instance].paused(job, pause, now);
            }
            None => {
                received.first_ms = Some(self.now - self.calls[index].at_ms);
                self.placers[instance].began(job, now);
            }
        }
        if matches!(happened, EngineEvent::Last(_)) {
            self.received[index].is_whole = true;
            self.progress[index].is_over = true;
            return self.over(id, None);
        }
        let patience_ms = patience(self.kind(index));
        self.after(patience_ms, Event::Impatient { call: index, events });
    }

    /// A caller that has had no event since leaves.
    fn impatient(&mut self, index: usize, events: u32) {
        let progress = &mut self.progress[index];
        if progress.is_over || progress.events != events {
            return;
        }
        progress.is_over = true;
        let last = self.runs.iter().rposition(|run| run.call == index && !run.is_over);
        if let Some(last) = last {
            self.over(last, Some(FailCause::Deadline));
        }
    }

    fn over(&mut self, id: RunId, failed: Option<FailCause>) {
        let Run { call, job, ref engines, .. } = self.runs[id];
        let engines = engines.clone();
        self.runs[id].is_over = true;
        for engine in engines {
            self.engines[engine].cancel(id);
        }
        let (now, instance) = (self.time(), self.calls[call].instance);
        self.placers[instance].ended(job, failed, now);
    }

    fn die(&mut self, engine: usize) {
        self.is_dead[engine] = true;
        let hit = self.runs.iter().enumerate().filter(|(_, run)| !run.is_over);
        let hit: Vec<_> = hit
            .filter_map(|(id, run)| Some((id, run.engines.iter().position(|e| *e == engine)?)))
            .collect();
        for (id, place) in hit {
            let stall_ms = if place == 0 { WAY_MS } else { STALL_MS };
            self.after(stall_ms, Event::Break(id, engine));
        }
        self.after(GONE_MS, Event::Gone(engine));
    }

    /// A run broke off; the call goes on elsewhere if it may.
    fn broke(&mut self, id: RunId, engine: usize) {
        let run = &self.runs[id];
        if run.is_over {
            return;
        }
        let (call, is_head) = (run.call, run.engines[0] == engine);
        if is_head {
            self.over(id, Some(FailCause::Broken));
        } else {
            let (now, instance) = (self.time(), self.calls[call].instance);
            if let Some(id) = engine_id(engine) {
                self.placers[instance].at_fault(&id, now);
            }
            self.over(id, Some(FailCause::Rejected));
        }
        if self.progress[call].runs < MAX_RUNS {
            self.ask(call);
        } else {
            self.progress[call].is_over = true;
        }
    }

    fn gone(&mut self, engine: usize) {
        self.is_gone[engine] = true;
        let each = self.members.iter().zip(&self.is_gone);
        let left: Vec<Member> =
            each.filter(|(_, is_gone)| !**is_gone).map(|(member, _)| member.clone()).collect();
        let now = self.time();
        for placer in &mut self.placers {
            placer.set_members(left.clone(), now);
        }
    }
}

/// Milliseconds without an event after which a caller leaves, as the sites' callers do.
fn patience(kind: &RequestKind) -> f64 {
    (4.0 * kind.goal_ms).max(8.0 * kind.pause_ms).max(2_000.0)
}
