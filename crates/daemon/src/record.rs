//! One request's entry in the log and the metrics, written when the last part of it has ended.

use std::sync::{Arc, Mutex};

use policy::{Deployment, EndpointId, FailCause, RequestId, RunStatus, Time, Tokens, Workspace};

use crate::{clock::Clock, endpoint::lock, metrics::Metrics};

/// What is known of a request by now.
#[derive(Debug, Clone)]
pub struct RequestSummary {
    /// The request's id as the caller sees it.
    pub request_id: String,
    /// Whose it is, once known.
    pub workspace: Option<Workspace>,
    /// Where it belongs, once known.
    pub deployment: Option<Deployment>,
    /// Its estimated prompt, or the engine's count once that is known.
    pub prompt: Tokens,
    /// Tokens passed on.
    pub output: Tokens,
    /// Attempts begun.
    pub attempts: u32,
    /// Where the last attempt ran.
    pub endpoint: Option<EndpointId>,
    /// Why the last failed attempt failed.
    pub last_failure: Option<FailCause>,
    /// When the first token came.
    pub first_token: Option<Time>,
    /// HTTP status of the answer; zero where the caller hung up before there was one.
    pub status: u16,
    /// `finished`, or the error's code.
    pub outcome: &'static str,
    /// Whether it was run.
    pub ran: RunStatus,
}

/// Follows one request. It is shared by all that work on the request; the last of them to let go
/// of it writes the entry.
#[derive(Debug)]
pub struct CallRecord {
    /// The request's number in this instance's life.
    pub id: RequestId,
    /// When its head had come in.
    pub arrived: Time,
    clock: Clock,
    metrics: Arc<Metrics>,
    summary: Mutex<RequestSummary>,
    _open: Arc<()>,
}

impl CallRecord {
    /// The record of a request that came in just now. It holds `open` for as long as the request
    /// is under way.
    pub fn new(
        id: RequestId,
        request_id: String,
        clock: Clock,
        metrics: Arc<Metrics>,
        open: Arc<()>,
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
        CallRecord { id, arrived, clock, metrics, summary: Mutex::new(summary), _open: open }
    }

    /// The request's id as the caller sees it.
    pub fn request_id(&self) -> String {
        lock(&self.summary).request_id.clone()
    }

    /// Adds to what is known.
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
