//! Runs schedulers with simple model engines in virtual time and records what callers receive.

// Each test file uses only some of these items. The driver panics on any unexpected event.
#![allow(dead_code, unreachable_pub, missing_docs, clippy::unwrap_used)]

pub mod engine;
pub mod load;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use policy::{
    Admission, AnyScheduler, Decision, EndpointChange, Event, FailCause, Incarnation, Outcome,
    RefusalReason, RequestId, RequestSpec, Scheduler, Start, Time, Tokens, Workspace,
    config::{DeploymentRules, PolicyName, WorkspaceTable},
    scheduler::EndpointState,
};

use engine::{Engine, EngineEvent, Job, Key};

const STEP: Duration = Duration::from_millis(1);
/// Milliseconds between two digests of an instance and two reports of an engine, as in the daemon.
const DIGEST_INTERVAL_MS: u64 = 500;
const REPORT_INTERVAL_MS: u64 = 1000;

/// A request as its caller sends it.
#[derive(Clone)]
pub struct Call {
    pub spec: RequestSpec,
    pub output: f64,
    pub tag: &'static str,
}

/// What a call's caller received.
#[derive(Debug, Default, Clone)]
pub struct CallResult {
    pub tag: &'static str,
    pub workspace: String,
    pub arrived: Time,
    pub bound: Time,
    pub deadline: Time,
    pub refused: Option<RefusalReason>,
    pub first: Option<Time>,
    pub finished: Option<Time>,
    pub failed: Option<(Time, FailCause)>,
    pub starts: u32,
    /// When the last attempt started, and on which engine.
    pub sent: Option<(Time, usize)>,
}

impl CallResult {
    pub fn ttft(&self) -> Option<f64> {
        Some(self.first?.since(self.arrived).as_secs_f64())
    }

    pub fn in_time(&self) -> bool {
        let first = self.first.is_some_and(|first| first <= self.bound + Duration::from_millis(5));
        first && self.finished.is_some()
    }
}

/// A change to an engine, given by its index.
#[derive(Clone)]
pub enum Action {
    Die(usize),
    Restart(usize),
    Rate(usize, f64),
    Break(usize, bool),
    Leave(usize),
}

pub struct World {
    pub now: Time,
    pub engines: Vec<Engine>,
    pub instances: Vec<AnyScheduler>,
    pub received: BTreeMap<RequestId, CallResult>,
    pub sent: Vec<Start>,
    pub restart_prefill: f64,
    calls: BTreeMap<RequestId, Call>,
    actions: Vec<(Time, Action)>,
    rules: DeploymentRules,
    workspaces: WorkspaceTable,
}

impl World {
    pub fn new(policy: PolicyName, instances: usize, engines: Vec<Engine>) -> World {
        let rules = serde_json::from_str(r#"{"group": "g", "kind": "engine"}"#).unwrap();
        World::with_rules(policy, instances, engines, rules, WorkspaceTable::new())
    }

    pub fn with_rules(
        policy: PolicyName,
        instances: usize,
        engines: Vec<Engine>,
        rules: DeploymentRules,
        workspaces: WorkspaceTable,
    ) -> World {
        let scheduler = |index: usize| {
            let name = format!("i{index}").parse().unwrap();
            AnyScheduler::new(policy, name, Incarnation(1), 7 + index as u64)
        };
        let mut world = World {
            now: Time::ZERO,
            engines,
            instances: (0..instances).map(scheduler).collect(),
            received: BTreeMap::new(),
            sent: Vec::new(),
            restart_prefill: 0.0,
            calls: BTreeMap::new(),
            actions: Vec::new(),
            rules,
            workspaces,
        };
        let changes: Vec<_> = (0..world.engines.len()).map(|e| world.change(e)).collect();
        for instance in &mut world.instances {
            instance.configure(&world.rules, &world.workspaces, &changes, Time::ZERO);
        }
        world
    }

    pub fn at(mut self, seconds: f64, action: Action) -> World {
        self.actions.push((Time((seconds * 1e6) as u64), action));
        self
    }

    /// Runs all calls until they have ended, or until two seconds after the last deadline.
    pub fn run(mut self, mut calls: Vec<Call>) -> World {
        calls.sort_by_key(|call| call.spec.arrived);
        let last = calls.iter().map(|call| call.spec.deadline).max().unwrap_or_default();
        let mut calls = calls.into_iter().peekable();
        while self.now < last + Duration::from_secs(2)
            && (calls.peek().is_some() || !self.calls.is_empty())
        {
            while let Some(call) = calls.next_if(|call| call.spec.arrived <= self.now) {
                self.offer(call);
            }
            self.step();
        }
        self
    }

    fn step(&mut self) {
        self.act();
        for index in 0..self.engines.len() {
            if self.engines[index].dead {
                continue;
            }
            for event in self.engines[index].step(STEP.as_secs_f64()) {
                self.engine_event(event);
            }
        }
        if (self.now.0 / 1000).is_multiple_of(REPORT_INTERVAL_MS) {
            self.report();
        }
        if (self.now.0 / 1000).is_multiple_of(DIGEST_INTERVAL_MS) {
            self.digest();
        }
        for instance in 0..self.instances.len() {
            self.poll(instance);
        }
        self.now = self.now + STEP;
    }

    fn offer(&mut self, call: Call) {
        let (request, spec) = (call.spec.id, call.spec.clone());
        let instance = self.instance_of(request);
        let decode = Duration::from_secs_f64(call.output / 50.0);
        let bound = Time(spec.deadline.0 - decode.as_micros() as u64);
        let mut received = CallResult {
            tag: call.tag,
            workspace: spec.workspace.to_string(),
            arrived: spec.arrived,
            bound: spec.first_token_by.unwrap_or(bound),
            deadline: spec.deadline,
            ..CallResult::default()
        };
        match self.instances[instance].offer(Arc::new(spec), self.now) {
            Admission::Admitted => {
                self.calls.insert(request, call);
            }
            Admission::Refused(refusal) => received.refused = Some(refusal.reason),
        }
        self.received.insert(request, received);
        self.poll(instance);
    }

    fn poll(&mut self, instance: usize) {
        for decision in self.instances[instance].poll(self.now) {
            match decision {
                Decision::Start(start) => self.start(instance, start),
                Decision::Cancel { request, attempt } => {
                    self.remove(Key { instance, request, attempt });
                }
                Decision::Fail { request, failure } => {
                    assert!(self.calls.remove(&request).is_some(), "{request} failed twice");
                    let failed = Some((self.now, failure.cause));
                    self.received.get_mut(&request).unwrap().failed = failed;
                    let attempt = self.received[&request].starts;
                    self.remove(Key { instance, request, attempt });
                }
            }
        }
    }

    fn start(&mut self, instance: usize, start: Start) {
        let key = Key { instance, request: start.request, attempt: start.attempt };
        let call = self.calls[&start.request].clone();
        let received = self.received.get_mut(&start.request).unwrap();
        received.starts = start.attempt;
        let first = self.engines.iter().position(|e| e.name == start.shards[0].endpoint.as_str());
        received.sent = first.map(|first| (self.now, first));
        let passed_on = received.first.is_some();
        self.sent.push(start.clone());
        let indices: Vec<usize> =
            start.shards.iter().map(|s| self.index(s.endpoint.as_str())).collect();
        let first = &self.engines[indices[0]];
        if first.dead || first.incarnation != start.shards[0].incarnation {
            return self.attempt_failed(key, FailCause::NotSent);
        }
        if first.broken {
            return self.attempt_failed(key, FailCause::EndpointError);
        }
        let free = |e: &Engine| e.memory.saturating_sub(e.held());
        let mut parts = indices.iter().zip(&start.shards);
        if indices.len() > 1 && parts.any(|(e, s)| free(&self.engines[*e]) < s.tokens.0) {
            return self.attempt_failed(key, FailCause::Rejected);
        }
        for (index, shard) in indices.iter().zip(&start.shards).skip(1) {
            self.engines[*index].reserved.push((key, shard.tokens.0));
        }
        self.engines[indices[0]].add(Job {
            key,
            priority: start.priority,
            memory: start.shards[0].tokens.0,
            prefill: call.spec.prompt.0 as f64,
            cached: 0.0,
            output: call.output,
            prefix: call.spec.prefix.clone(),
            running: false,
            first: false,
        });
        if passed_on {
            self.restart_prefill += call.spec.prompt.0 as f64;
        }
    }

    fn engine_event(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::First(key, cached) => {
                let received = self.received.get_mut(&key.request).unwrap();
                received.first.get_or_insert(self.now);
                let (request, attempt) = (key.request, key.attempt);
                let event = Event::FirstToken { request, attempt, cached: Some(cached) };
                self.instances[key.instance].observe(event, self.now);
            }
            EngineEvent::Done(key) => {
                let Some(call) = self.calls.remove(&key.request) else { return };
                self.received.get_mut(&key.request).unwrap().finished = Some(self.now);
                self.remove(key);
                let output = Tokens(call.output as u64);
                let outcome = Outcome::Finished { prompt: call.spec.prompt, output };
                let event = Event::Ended { request: key.request, outcome };
                self.instances[key.instance].observe(event, self.now);
            }
        }
    }

    fn attempt_failed(&mut self, key: Key, cause: FailCause) {
        let passed_on = Tokens(u64::from(self.received[&key.request].first.is_some()));
        let (request, attempt) = (key.request, key.attempt);
        let event = Event::AttemptFailed { request, attempt, cause, passed_on };
        self.instances[key.instance].observe(event, self.now);
    }

    fn report(&mut self) {
        for index in 0..self.engines.len() {
            let report = self.engines[index].report(self.now);
            if let Some(report) = report.filter(|_| !self.engines[index].dead) {
                self.broadcast(&Event::Load(report));
            }
        }
    }

    fn digest(&mut self) {
        for from in 0..self.instances.len() {
            let digest = self.instances[from].digest(self.now);
            for to in (0..self.instances.len()).filter(|to| *to != from) {
                self.instances[to].observe(Event::Peer(digest.clone()), self.now);
            }
        }
    }

    fn act(&mut self) {
        let due: Vec<_> = self.actions.extract_if(.., |(at, _)| *at <= self.now).collect();
        for (_, action) in due {
            match action {
                Action::Rate(engine, rate) => self.engines[engine].rate = rate,
                Action::Break(engine, broken) => self.engines[engine].broken = broken,
                Action::Die(engine) => self.die(engine),
                Action::Restart(engine) => {
                    self.engines[engine].dead = false;
                    self.engines[engine].incarnation.0 += 1;
                    self.broadcast(&Event::Endpoint(self.change(engine)));
                }
                Action::Leave(engine) => {
                    let state = EndpointState::Leaving;
                    let change = EndpointChange { state, ..self.change(engine) };
                    self.broadcast(&Event::Endpoint(change));
                }
            }
        }
    }

    fn die(&mut self, engine: usize) {
        self.engines[engine].dead = true;
        self.broadcast(&Event::Endpoint(self.change(engine)));
        let lost = std::mem::take(&mut self.engines[engine].jobs);
        let reserved = std::mem::take(&mut self.engines[engine].reserved);
        let keys: Vec<Key> =
            lost.iter().map(|job| job.key).chain(reserved.iter().map(|(key, _)| *key)).collect();
        for key in keys {
            self.remove(key);
            self.attempt_failed(key, FailCause::EndpointDied);
        }
    }

    fn broadcast(&mut self, event: &Event) {
        for instance in &mut self.instances {
            instance.observe(event.clone(), self.now);
        }
    }

    fn remove(&mut self, key: Key) {
        self.engines.iter_mut().for_each(|engine| engine.remove(key));
    }

    fn instance_of(&self, request: RequestId) -> usize {
        request.0 as usize % self.instances.len()
    }

    fn index(&self, name: &str) -> usize {
        self.engines.iter().position(|engine| engine.name == name).unwrap()
    }

    fn change(&self, engine: usize) -> EndpointChange {
        let engine = &self.engines[engine];
        EndpointChange {
            endpoint: engine.name.parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: "a".parse().unwrap(),
            distance: Duration::ZERO,
            incarnation: engine.incarnation,
            state: if engine.dead { EndpointState::Dead } else { EndpointState::Live },
        }
    }
}

pub fn workspace(name: &str) -> Workspace {
    name.parse().unwrap()
}
