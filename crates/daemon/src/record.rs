//! A request's log entry and metrics, written when the last task that works on it has ended.

use std::sync::{Arc, Mutex};

use policy::{Deployment, EndpointId, FailCause, RequestId, RunStatus, Time, Tokens, Workspace};

use crate::{clock::Clock, endpoint::lock, metrics::Metrics};

/// The data of a request's log entry, filled in as the request proceeds.
#[derive(Debug, Clone)]
pub struct RequestSummary {
    /// The value of `x-request-id`, the caller's or a generated one.
    pub request_id: String,
    /// The caller's workspace, once identified.
    pub workspace: Option<Workspace>,
    /// The deployment that serves the request, once known.
    pub deployment: Option<Deployment>,
    /// The prompt's estimated length; zero for plain services.
    pub prompt: Tokens,
    /// Number of tokens received from engines, each counted once.
    pub output: Tokens,
    /// Number of runs started on endpoints.
    pub attempts: u32,
    /// The endpoint of the last attempt.
    pub endpoint: Option<EndpointId>,
    /// The cause of the last failed attempt.
    pub last_failure: Option<FailCause>,
    /// When the first token arrived.
    pub first_token: Option<Time>,
    /// HTTP status of the answer; zero if the caller hung up before there was one.
    pub status: u16,
    /// `finished`, another end such as `hung_up`, or the code of the error.
    pub outcome: &'static str,
    /// Whether the request ran on an endpoint.
    pub ran: RunStatus,
}

/// Collects the data of one request. All tasks that work on the request share the record; dropping
/// the last reference writes the log entry and the metrics.
#[derive(Debug)]
pub struct CallRecord {
    /// The request's number, unique within this incarnation of the instance.
    pub id: RequestId,
    /// When the head had been received.
    pub arrived: Time,
    clock: Clock,
    metrics: Arc<Metrics>,
    summary: Mutex<RequestSummary>,
    _in_flight_token: Arc<()>,
}

impl CallRecord {
    /// The record of a request that has just arrived. It keeps `in_flight_token` until the request
    /// has ended, so that the instance can count its requests in flight.
    pub fn new(
        id: RequestId,
        request_id: String,
        clock: Clock,
        metrics: Arc<Metrics>,
        in_flight_token: Arc<()>,
    ) -> Self {
        metrics.requests_in_flight.add(1, &[]);
        let summary = RequestSummary {
            request_id,
            workspace: None,
            deployment: None,
            prompt: Tokens::ZERO,
            output: Tokens::ZERO,
            attempts: 0,
            endpoint: None,
            last_failure: None,
            first_token: None,
            status: 0,
            outcome: "hung_up",
            ran: RunStatus::No,
        };
        let arrived = clock.now();
        CallRecord {
            id,
            arrived,
            clock,
            metrics,
            summary: Mutex::new(summary),
            _in_flight_token: in_flight_token,
        }
    }

    /// The value of `x-request-id`.
    pub fn request_id(&self) -> String {
        lock(&self.summary).request_id.clone()
    }

    /// Updates the data under the record's lock.
    pub fn update(&self, change: impl FnOnce(&mut RequestSummary)) {
        change(&mut lock(&self.summary));
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        let summary = lock(&self.summary).clone();
        let total = self.clock.now().since(self.arrived);
        let first = summary.first_token.map(|time| time.since(self.arrived));
        self.metrics.requests_in_flight.add(-1, &[]);
        self.metrics.record_request(&summary, first, total);
        log::info!(
            id = summary.request_id.as_str(),
            workspace = summary.workspace.as_ref().map_or("-", Workspace::as_str),
            deployment = summary.deployment.as_ref().map_or("-", Deployment::as_str),
            status = summary.status,
            outcome = summary.outcome,
            ran:? = summary.ran,
            prompt = summary.prompt.0,
            output = summary.output.0,
            attempts = summary.attempts,
            endpoint = summary.endpoint.as_ref().map_or("-", EndpointId::as_str),
            first_token_ms = first.map_or(-1.0, |first| first.as_secs_f64() * 1000.0),
            total_ms = total.as_secs_f64() * 1000.0;
            "request"
        );
    }
}
