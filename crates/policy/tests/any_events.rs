//! For random events in any order, no request is lost and no limit is exceeded.

#![allow(clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use policy::{
    Admission, AnyScheduler, CallKind, Decision, EndpointChange, EndpointId, Event, FailCause,
    Fingerprint, Incarnation, LoadReport, Outcome, RequestId, RequestSpec, RunStatus, Scheduler,
    Shard, Time, Tokens,
    config::{DeploymentRules, PolicyName, WorkspaceTable},
    scheduler::EndpointState,
};
use quickcheck::{Arbitrary, Gen, quickcheck};

const ENDPOINTS: u8 = 4;
const MAX_WAITING: usize = 6;

#[derive(Debug, Clone)]
enum Step {
    Offer { workspace: u8, prompt: u64, span: u16, repeatable: bool },
    Wait(u16),
    FirstToken(u8),
    Finish(u8),
    HangUp(u8),
    FailAttempt { running: u8, cause: u8 },
    Report { endpoint: u8, used: u64 },
    Change { endpoint: u8, state: u8, newer: bool },
    Probe { endpoint: u8, healthy: bool },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let endpoint = u8::arbitrary(g) % ENDPOINTS;
        let running = u8::arbitrary(g);
        match u8::arbitrary(g) % 12 {
            0..=3 => Step::Offer {
                workspace: u8::arbitrary(g) % 3,
                prompt: *g.choose(&[10, 1_000, 30_000, 300_000, 900_000, 9_000_000]).unwrap(),
                span: u16::arbitrary(g),
                repeatable: bool::arbitrary(g),
            },
            4 => Step::Wait(u16::arbitrary(g) % 3_000),
            5 => Step::FirstToken(running),
            6 => Step::Finish(running),
            7 => Step::HangUp(running),
            8 => Step::FailAttempt { running, cause: u8::arbitrary(g) % 8 },
            9 => Step::Report { endpoint, used: u64::from(u16::arbitrary(g)) * 6 },
            10 => Step::Change { endpoint, state: u8::arbitrary(g) % 3, newer: bool::arbitrary(g) },
            _ => Step::Probe { endpoint, healthy: bool::arbitrary(g) },
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
struct EndpointIncarnation {
    endpoint: EndpointId,
    incarnation: Incarnation,
}

/// The driver's view of the scheduler; any broken guarantee panics.
struct Model {
    scheduler: AnyScheduler,
    now: Time,
    next: u64,
    /// Requests admitted and not ended, with their running attempt.
    open: BTreeMap<RequestId, Option<u32>>,
    /// Incarnations that each request may not be sent to again, those that were silent on it once,
    /// and the one that it was sent to last.
    excluded: BTreeMap<RequestId, Vec<EndpointIncarnation>>,
    silent_once: BTreeMap<RequestId, Vec<EndpointIncarnation>>,
    last_sent_to: BTreeMap<RequestId, EndpointIncarnation>,
    /// Requests that an endpoint may have started to run.
    may_have_run: BTreeSet<RequestId>,
    specs: BTreeMap<RequestId, Arc<RequestSpec>>,
    endpoints: Vec<EndpointChange>,
    is_adaptive: bool,
}

impl Model {
    fn new(policy: PolicyName) -> Model {
        let change = |n: u8| EndpointChange {
            endpoint: format!("e{n}").parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: "a".parse().unwrap(),
            distance: Duration::from_millis(1),
            incarnation: Incarnation(1),
            state: EndpointState::Live,
        };
        let endpoints: Vec<_> = (0..ENDPOINTS).map(change).collect();
        let mut scheduler = AnyScheduler::new(policy, "i1".parse().unwrap(), Incarnation(1), 1);
        let rules = format!(
            r#"{{"group": "g", "kind": "engine", "limits": {{"waiting": {MAX_WAITING}}}}}"#
        );
        let rules: DeploymentRules = serde_json::from_str(&rules).unwrap();
        scheduler.configure(&rules, &WorkspaceTable::new(), &endpoints, Time::ZERO);
        Model {
            scheduler,
            now: Time::ZERO,
            next: 0,
            open: BTreeMap::new(),
            excluded: BTreeMap::new(),
            silent_once: BTreeMap::new(),
            last_sent_to: BTreeMap::new(),
            may_have_run: BTreeSet::new(),
            specs: BTreeMap::new(),
            endpoints,
            is_adaptive: policy == PolicyName::Trefoilhall,
        }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Offer { workspace, prompt, span, repeatable } => {
                self.offer(*workspace, *prompt, *span, *repeatable);
            }
            Step::Wait(millis) => self.wait(Duration::from_millis(u64::from(*millis))),
            Step::FirstToken(pick) => {
                if let Some((request, attempt)) = self.running(*pick) {
                    self.observe(Event::FirstToken { request, attempt, cached: None });
                }
            }
            Step::Finish(pick) => {
                if let Some((request, _)) = self.running(*pick) {
                    let outcome = Outcome::Finished { prompt: Tokens(10), output: Tokens(10) };
                    self.end(request, outcome);
                }
            }
            Step::HangUp(pick) => {
                let request = self.open.keys().nth(usize::from(*pick) % self.open.len().max(1));
                if let Some(request) = request.copied() {
                    self.end(request, Outcome::Cancelled);
                }
            }
            Step::FailAttempt { running, cause } => self.fail_attempt(*running, *cause),
            Step::Report { endpoint, used } => self.report(*endpoint, *used),
            Step::Change { endpoint, state, newer } => self.change(*endpoint, *state, *newer),
            Step::Probe { endpoint, healthy } => {
                let endpoint = self.endpoints[usize::from(*endpoint)].endpoint.clone();
                self.observe(Event::Probe { endpoint, healthy: *healthy });
            }
        }
        self.poll();
    }

    fn offer(&mut self, workspace: u8, prompt: u64, span: u16, repeatable: bool) {
        self.next += 1;
        let id = RequestId(self.next);
        let spec = Arc::new(RequestSpec {
            id,
            workspace: format!("w{workspace}").parse().unwrap(),
            kind: CallKind::Service,
            prompt: Tokens(prompt),
            max_output: Tokens(20),
            arrived: self.now,
            deadline: self.now + Duration::from_millis(u64::from(span)),
            first_token_by: None,
            prefix: vec![prompt],
            fingerprint: Fingerprint(u128::from(prompt)),
            repeatable,
        });
        // A request dropped in favour of the new one is only reported by the next poll, so the new
        // one is counted first.
        if self.scheduler.offer(spec.clone(), self.now) == Admission::Admitted {
            self.open.insert(id, None);
            self.specs.insert(id, spec);
        }
    }

    fn poll(&mut self) {
        for decision in self.scheduler.poll(self.now) {
            match decision {
                Decision::Fail { request, failure } => {
                    let attempt = self.open.remove(&request).expect("a request ended twice");
                    let ran = attempt.is_some() || self.may_have_run.contains(&request);
                    assert!(
                        failure.ran != RunStatus::No || !ran,
                        "reported as not run, but it may have run"
                    );
                }
                Decision::Cancel { .. } => {}
                Decision::Start(start) => {
                    let attempt =
                        self.open.get_mut(&start.request).expect("an unknown request was started");
                    assert!(attempt.is_none(), "two concurrent attempts");
                    *attempt = Some(start.attempt);
                    self.check_shards(&start);
                }
            }
        }
        let never_sent = |request: &&RequestId| !self.last_sent_to.contains_key(*request);
        let waiting = self.open.keys().filter(never_sent).count();
        assert!(!self.is_adaptive || waiting <= MAX_WAITING, "{waiting} requests are waiting");
        let wakeup = self.scheduler.next_wakeup(self.now);
        assert!(self.open.is_empty() || wakeup.is_some(), "open requests without a wakeup");
        let due = self.open.keys().map(|request| self.specs[request].deadline).min();
        assert!(due.is_none_or(|due| due > self.now), "a request is past its deadline");
    }

    fn check_shards(&mut self, start: &policy::Start) {
        for shard in &start.shards {
            let known = self.endpoints.iter().find(|e| e.endpoint == shard.endpoint).unwrap();
            assert_eq!(known.state, EndpointState::Live, "sent to a leaving or dead endpoint");
            assert_eq!(known.incarnation, shard.incarnation, "sent to a former incarnation");
        }
        let Shard { endpoint, incarnation, .. } = start.shards[0].clone();
        let run_on = EndpointIncarnation { endpoint, incarnation };
        let excluded = self.excluded.entry(start.request).or_default();
        assert!(!self.is_adaptive || !excluded.contains(&run_on), "run twice on one incarnation");
        let repeatable = self.specs[&start.request].repeatable;
        assert!(
            repeatable || !self.may_have_run.contains(&start.request),
            "a non-repeatable request was repeated"
        );
        self.last_sent_to.insert(start.request, run_on);
    }

    fn fail_attempt(&mut self, pick: u8, cause: u8) {
        let Some((request, attempt)) = self.running(pick) else { return };
        let cause = [
            FailCause::NotSent,
            FailCause::Rejected,
            FailCause::Broken,
            FailCause::Silent,
            FailCause::EndpointError,
            FailCause::BadAnswer,
            FailCause::EndpointDied,
            FailCause::EndpointDied,
        ][usize::from(cause)];
        let run_on = self.last_sent_to[&request].clone();
        // The first silence of an incarnation may be the connection's fault, so the request may be
        // sent there once more.
        let silent_once = self.silent_once.entry(request).or_default();
        if cause == FailCause::Silent && !silent_once.contains(&run_on) {
            silent_once.push(run_on);
        } else if cause != FailCause::Rejected {
            self.excluded.entry(request).or_default().push(run_on);
        }
        if !matches!(cause, FailCause::Rejected | FailCause::NotSent) {
            self.may_have_run.insert(request);
        }
        *self.open.get_mut(&request).unwrap() = None;
        let passed_on = Tokens::ZERO;
        self.observe(Event::AttemptFailed { request, attempt, cause, passed_on });
    }

    fn report(&mut self, endpoint: u8, used: u64) {
        let known = &self.endpoints[usize::from(endpoint)];
        let report = LoadReport {
            endpoint: known.endpoint.clone(),
            incarnation: known.incarnation,
            taken: self.now,
            kv_total: Tokens(400_000),
            kv_used: Tokens(used),
            waiting_prefill: Tokens(used),
            running: 1,
            leaving: false,
        };
        self.observe(Event::Load(report));
    }

    fn change(&mut self, endpoint: u8, state: u8, newer: bool) {
        let known = &mut self.endpoints[usize::from(endpoint)];
        known.incarnation.0 += u64::from(newer);
        known.state = match state {
            0 => EndpointState::Live,
            1 => EndpointState::Leaving,
            _ => EndpointState::Dead,
        };
        let change = known.clone();
        self.observe(Event::Endpoint(change));
    }

    /// Advances time like a driver, which polls the scheduler whenever it asks for it.
    fn wait(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(next) = self.scheduler.next_wakeup(self.now).filter(|next| *next < end) {
            self.now = next.max(self.now + Duration::from_millis(1));
            self.poll();
        }
        self.now = self.now.max(end);
    }

    fn end(&mut self, request: RequestId, outcome: Outcome) {
        self.open.remove(&request);
        self.observe(Event::Ended { request, outcome });
    }

    fn observe(&mut self, event: Event) {
        self.scheduler.observe(event, self.now);
    }

    fn running(&self, pick: u8) -> Option<(RequestId, u32)> {
        let running: Vec<_> = self.open.iter().filter_map(|(r, a)| Some((*r, (*a)?))).collect();
        running.get(usize::from(pick) % running.len().max(1)).copied()
    }
}

fn run_steps(policy: PolicyName, steps: &[Step]) -> bool {
    let mut model = Model::new(policy);
    for step in steps {
        model.step(step);
    }
    model.wait(Duration::from_secs(100));
    model.poll();
    assert!(model.open.is_empty(), "lost: {:?}", model.open);
    true
}

quickcheck! {
    fn the_product_loses_no_request(steps: Vec<Step>) -> bool {
        run_steps(PolicyName::Trefoilhall, &steps)
    }

    fn round_robin_loses_no_request(steps: Vec<Step>) -> bool {
        run_steps(PolicyName::RoundRobin, &steps)
    }

    fn first_come_loses_no_request(steps: Vec<Step>) -> bool {
        run_steps(PolicyName::FirstComeFirstServed, &steps)
    }
}

/// Guards against a queue that holds one more request than its limit: two attempts fail while the
/// queue is full, and a new request is admitted nevertheless.
///
/// Found by the random tests above in a run without a fixed seed.
#[test]
fn failed_attempts_leave_the_waiting_room_bounded() {
    let offer =
        |workspace, prompt, span, repeatable| Step::Offer { workspace, prompt, span, repeatable };
    let change = |endpoint, state, newer| Step::Change { endpoint, state, newer };
    let steps = [
        change(1, 1, false),
        change(3, 1, false),
        offer(1, 9_000_000, 41_577, false),
        Step::Wait(129),
        offer(2, 9_000_000, 16_370, false),
        Step::Finish(19),
        offer(2, 30_000, 59_967, true),
        Step::FailAttempt { running: 246, cause: 0 },
        offer(1, 300_000, 57_680, true),
        change(0, 2, true),
        offer(0, 30_000, 23_283, false),
        Step::FailAttempt { running: 87, cause: 1 },
        offer(1, 9_000_000, 43_019, true),
        offer(1, 10, 35_735, true),
        offer(0, 900_000, 59_057, false),
        offer(0, 30_000, 37_008, true),
        offer(2, 30_000, 64_557, false),
        Step::Wait(241),
        offer(0, 30_000, 25_173, true),
    ];
    assert!(run_steps(PolicyName::Trefoilhall, &steps));
}
