//! One deployment's scheduler behind its own lock, driven by requests, events and a timer.

use std::{
    sync::{Arc, Mutex, Weak},
    time::Duration,
};

use futures_lite::FutureExt;
use indexmap::IndexMap;
use policy::{
    Admission, Decision, Deployment, EndpointChange, Event, LoadDigest, Refusal, RequestId,
    RequestSpec, Scheduler, Time,
    config::{DeploymentRules, WorkspaceTable},
};
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
};

use crate::{clock::Clock, endpoint::lock};

/// Maximum number of decisions queued for one request's driver. A request has one attempt in
/// flight, and each needs a start, a cancellation and perhaps the end; more than this is a bug of
/// the scheduler.
const MAX_QUEUED_DECISIONS: usize = 16;

/// Maximum interval between two polls of the scheduler. It bounds the delay of a caller if the
/// scheduler fails to request a wake-up.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// One deployment's scheduler and the channels to the drivers of its requests.
#[derive(Debug)]
pub struct DeploymentState<S> {
    /// The deployment's name in the configuration.
    pub name: Deployment,
    clock: Clock,
    inner: Mutex<Inner<S>>,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
}

#[derive(Debug)]
struct Inner<S> {
    scheduler: S,
    decision_txs: IndexMap<RequestId, Sender<Decision>>,
}

impl<S: Scheduler + 'static> DeploymentState<S> {
    /// A deployment whose requests `scheduler` decides about.
    pub fn new(name: Deployment, scheduler: S, clock: Clock) -> Arc<Self> {
        let (wake_tx, wake_rx) = bounded(1);
        let inner = Mutex::new(Inner { scheduler, decision_txs: IndexMap::new() });
        Arc::new(DeploymentState { name, clock, inner, wake_tx, wake_rx })
    }

    /// Applies a new configuration.
    pub fn configure(
        &self,
        rules: &DeploymentRules,
        workspaces: &WorkspaceTable,
        endpoints: &[EndpointChange],
    ) {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        inner.scheduler.configure(rules, workspaces, endpoints, now);
        inner.poll_and_deliver(now);
        self.wake_tx.try_send(()).ok();
    }

    /// Offers a request to the scheduler. If it is admitted, its decisions arrive on the channel.
    ///
    /// # Errors
    ///
    /// Returns the scheduler's refusal.
    pub fn offer(&self, spec: Arc<RequestSpec>) -> Result<Receiver<Decision>, Refusal> {
        let now = self.clock.now();
        let id = spec.id;
        let mut inner = lock(&self.inner);
        if let Admission::Refused(refusal) = inner.scheduler.offer(spec, now) {
            return Err(refusal);
        }
        let (tx, rx) = bounded(MAX_QUEUED_DECISIONS);
        inner.decision_txs.insert(id, tx);
        inner.poll_and_deliver(now);
        // The timer has to take the new request's wake-up into account.
        self.wake_tx.try_send(()).ok();
        Ok(rx)
    }

    /// Reports an event to the scheduler.
    pub fn observe(&self, event: Event) {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        if let Event::Ended { request, .. } = &event {
            inner.decision_txs.swap_remove(request);
        }
        inner.scheduler.observe(event, now);
        inner.poll_and_deliver(now);
        self.wake_tx.try_send(()).ok();
    }

    /// Summary of the load that this instance causes.
    pub fn digest(&self) -> LoadDigest {
        lock(&self.inner).scheduler.digest(self.clock.now())
    }

    /// Number of requests that have been admitted and haven't ended.
    pub fn in_flight_requests(&self) -> usize {
        lock(&self.inner).decision_txs.len()
    }

    /// Polls the scheduler at the times it requests, until the deployment is dropped.
    pub async fn run(this: Weak<Self>) {
        loop {
            let Some(state) = this.upgrade() else { return };
            let delay = state.poll();
            let wake_rx = state.wake_rx.clone();
            drop(state);
            let timer = async {
                Timer::after(delay).await;
            };
            let wake_up = async {
                wake_rx.recv().await.ok();
            };
            timer.or(wake_up).await;
        }
    }

    fn poll(&self) -> Duration {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        inner.poll_and_deliver(now);
        let wakeup = inner.scheduler.next_wakeup(now).unwrap_or(Time::MAX);
        // At least a millisecond, so that a wake-up in the past can't cause a busy loop.
        wakeup.since(now).clamp(Duration::from_millis(1), MAX_POLL_INTERVAL)
    }
}

impl<S: Scheduler> Inner<S> {
    fn poll_and_deliver(&mut self, now: Time) {
        for decision in self.scheduler.poll(now) {
            self.deliver(decision);
        }
    }

    fn deliver(&mut self, decision: Decision) {
        let request = match &decision {
            Decision::Start(start) => start.request,
            Decision::Fail { request, .. } | Decision::Cancel { request, .. } => *request,
        };
        let is_last = matches!(decision, Decision::Fail { .. });
        if let Some(tx) = self.decision_txs.get(&request)
            && tx.try_send(decision).is_err()
        {
            log::warn!(request = request.0; "decision_lost");
        }
        if is_last {
            self.decision_txs.swap_remove(&request);
        }
    }
}
