//! Common parts of the baselines: a table of requests, a queue, and a bounded number of retries.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use indexmap::IndexMap;

use crate::{
    Admission, Decision, EndpointChange, EndpointId, Event, FailCause, Failure, Incarnation,
    InstanceId, LoadDigest, Priority, RequestId, RequestSpec, RunStatus, Scheduler, Shard, Start,
    Time, Tokens, config, scheduler::EndpointState,
};

/// Maximum attempts for one request. High enough for a retry storm to develop, as it does in
/// practice when every layer retries a few times; bounded, as every loop is.
const MAX_ATTEMPTS: u32 = 10;

/// Retry-after value sent to callers. It is constant, as the baselines predict nothing.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A rule that chooses an endpoint.
pub trait EndpointPicker: Default + Send {
    /// Returns the index of the chosen endpoint, or none to keep the request waiting.
    fn pick(&mut self, endpoints: &[BaselineEndpoint]) -> Option<usize>;
}

/// An endpoint that may receive requests.
#[derive(Debug, Clone)]
pub struct BaselineEndpoint {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Its present incarnation.
    pub incarnation: Incarnation,
    /// Requests of this instance running there.
    pub running: u32,
    /// Its total KV cache memory; zero until reported.
    pub memory: Tokens,
}

#[derive(Debug)]
struct RequestEntry {
    req: Arc<RequestSpec>,
    attempt: u32,
    /// Endpoint of the running attempt.
    endpoint: Option<EndpointId>,
}

/// A scheduler that sends each request to the endpoint that `P` chooses, and applies no other rule.
#[derive(Debug)]
pub struct BaselineScheduler<P> {
    instance: InstanceId,
    incarnation: Incarnation,
    sequence: u64,
    picker: P,
    endpoints: Vec<BaselineEndpoint>,
    requests: IndexMap<RequestId, RequestEntry>,
    deadlines: BTreeSet<DueRequest>,
    queue: VecDeque<RequestId>,
    failed: Vec<Decision>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueRequest {
    at: Time,
    request: RequestId,
}

impl<P: EndpointPicker> BaselineScheduler<P> {
    /// Creates a scheduler without endpoints for one incarnation of `instance`.
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        BaselineScheduler {
            instance,
            incarnation,
            sequence: 0,
            picker: P::default(),
            endpoints: Vec::new(),
            requests: IndexMap::new(),
            deadlines: BTreeSet::new(),
            queue: VecDeque::new(),
            failed: Vec::new(),
        }
    }

    fn apply_change(&mut self, change: &EndpointChange) {
        let known = self.endpoints.iter().position(|target| target.endpoint == change.endpoint);
        match (known, change.state) {
            (Some(index), EndpointState::Live) => {
                self.endpoints[index].incarnation = change.incarnation;
            }
            (None, EndpointState::Live) => self.endpoints.push(BaselineEndpoint {
                endpoint: change.endpoint.clone(),
                incarnation: change.incarnation,
                running: 0,
                memory: Tokens::ZERO,
            }),
            (Some(index), _) => {
                self.endpoints.remove(index);
            }
            (None, _) => {}
        }
    }

    fn try_start(&mut self, request: RequestId) -> Option<Decision> {
        let entry = self.requests.get_mut(&request)?;
        let index = self.picker.pick(&self.endpoints)?;
        entry.attempt += 1;
        entry.endpoint = Some(self.endpoints[index].endpoint.clone());
        self.endpoints[index].running += 1;
        Some(Decision::Start(Start {
            request,
            attempt: entry.attempt,
            shards: spread(&self.endpoints, index, entry.req.footprint()),
            priority: Priority::default(),
        }))
    }

    fn leave_endpoint(&mut self, request: RequestId) {
        let Some(endpoint) =
            self.requests.get_mut(&request).and_then(|entry| entry.endpoint.take())
        else {
            return;
        };
        if let Some(target) = self.endpoints.iter_mut().find(|target| target.endpoint == endpoint) {
            target.running = target.running.saturating_sub(1);
        }
    }

    fn forget(&mut self, request: RequestId) {
        self.leave_endpoint(request);
        if let Some(entry) = self.requests.swap_remove(&request) {
            self.deadlines.remove(&DueRequest { at: entry.req.deadline, request });
        }
    }

    fn fail(&mut self, request: RequestId, cause: FailCause, ran: RunStatus) {
        self.forget(request);
        let failure = Failure { cause, ran, retry_after: RETRY_AFTER };
        self.failed.push(Decision::Fail { request, failure });
    }

    fn attempt_failed(&mut self, request: RequestId, attempt: u32, cause: FailCause) {
        let Some(entry) = self.requests.get(&request) else { return };
        if entry.endpoint.is_none() || entry.attempt != attempt {
            return;
        }
        let not_run = matches!(cause, FailCause::NotSent | FailCause::Rejected);
        let may_retry = entry.req.repeatable || not_run;
        if may_retry && entry.attempt < MAX_ATTEMPTS {
            self.leave_endpoint(request);
            self.queue.push_back(request);
            return;
        }
        let ran = if not_run && attempt == 1 { RunStatus::No } else { RunStatus::Unknown };
        self.fail(request, cause, ran);
    }

    fn expire(&mut self, now: Time) {
        while let Some(due) = self.deadlines.first() {
            if due.at > now {
                return;
            }
            let request = due.request;
            let sent = self.requests.get(&request).is_some_and(|entry| entry.attempt > 0);
            let ran = if sent { RunStatus::Unknown } else { RunStatus::No };
            self.fail(request, FailCause::Deadline, ran);
        }
    }
}

impl<P: EndpointPicker> Scheduler for BaselineScheduler<P> {
    fn configure(
        &mut self,
        _rules: &config::DeploymentRules,
        _workspaces: &config::WorkspaceTable,
        endpoints: &[EndpointChange],
        _now: Time,
    ) {
        self.endpoints.retain(|target| endpoints.iter().any(|e| e.endpoint == target.endpoint));
        for change in endpoints {
            self.apply_change(change);
        }
    }

    fn offer(&mut self, req: Arc<RequestSpec>, _now: Time) -> Admission {
        let request = req.id;
        self.deadlines.insert(DueRequest { at: req.deadline, request });
        self.requests.insert(request, RequestEntry { req, attempt: 0, endpoint: None });
        self.queue.push_back(request);
        Admission::Admitted
    }

    fn poll(&mut self, now: Time) -> Vec<Decision> {
        self.expire(now);
        let mut decisions = std::mem::take(&mut self.failed);
        while let Some(request) = self.queue.front().copied() {
            let is_removed = !self.requests.contains_key(&request);
            let start = self.try_start(request);
            if start.is_none() && !is_removed {
                break;
            }
            self.queue.pop_front();
            decisions.extend(start);
        }
        decisions
    }

    fn next_wakeup(&self, now: Time) -> Option<Time> {
        if !self.failed.is_empty() {
            return Some(now);
        }
        self.deadlines.first().map(|due| due.at)
    }

    fn observe(&mut self, event: Event, _now: Time) {
        match event {
            Event::Ended { request, .. } => self.forget(request),
            Event::AttemptFailed { request, attempt, cause, .. } => {
                self.attempt_failed(request, attempt, cause);
            }
            Event::Endpoint(change) => self.apply_change(&change),
            Event::Load(report) => {
                let target = self.endpoints.iter_mut().find(|s| s.endpoint == report.endpoint);
                if let Some(target) = target {
                    target.memory = report.kv_total;
                }
            }
            Event::FirstToken { .. }
            | Event::Progress { .. }
            | Event::Cache(_)
            | Event::Peer(_)
            | Event::PeerRemoved { .. }
            | Event::Probe { .. } => {}
        }
    }

    fn digest(&mut self, _now: Time) -> LoadDigest {
        self.sequence += 1;
        LoadDigest::idle(self.instance.clone(), self.incarnation, self.sequence)
    }
}

/// The chosen endpoint, and as many of those after it as the footprint needs.
fn spread(endpoints: &[BaselineEndpoint], first: usize, footprint: Tokens) -> Vec<Shard> {
    let mut remaining = footprint;
    let mut shards = Vec::new();
    for target in endpoints.iter().cycle().skip(first).take(endpoints.len()) {
        let fits = target.memory == Tokens::ZERO || target.memory >= remaining;
        let tokens = if fits { remaining } else { target.memory };
        remaining -= tokens;
        shards.push(Shard {
            endpoint: target.endpoint.clone(),
            incarnation: target.incarnation,
            tokens,
        });
        if remaining == Tokens::ZERO {
            break;
        }
    }
    shards
}
