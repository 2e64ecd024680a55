//! The interface between a scheduler and its driver.
//!
//! A scheduler decides for one deployment which requests are admitted or queued, where and when
//! each request starts, and when it fails. The daemon drives it from sockets, tests drive it from a
//! list of events; both call the same code. All methods are cheap and never block.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    CacheEvents, DataCentre, EndpointId, Incarnation, InstanceId, LoadDigest, LoadReport,
    RequestId, RequestSpec, Time, TokenRate, Tokens, config,
};

/// Schedules the requests of one deployment on one instance.
pub trait Scheduler: Send {
    /// Replaces the rules and the deployment's endpoints. Running requests continue; endpoints that
    /// are no longer listed get no new requests.
    fn configure(
        &mut self,
        rules: &config::DeploymentRules,
        workspaces: &config::WorkspaceTable,
        endpoints: &[EndpointChange],
        now: Time,
    );

    /// Admits or refuses a request immediately. An admitted request ends either by exactly one
    /// [`Decision::Fail`] or by an [`Event::Ended`] from the driver.
    fn offer(&mut self, req: Arc<RequestSpec>, now: Time) -> Admission;

    /// Returns all decisions that are due. The driver carries out every decision, and calls this
    /// again after each event and at [`Scheduler::next_wakeup`].
    fn poll(&mut self, now: Time) -> Vec<Decision>;

    /// When [`Scheduler::poll`] must be called if no event arrives earlier.
    fn next_wakeup(&self, now: Time) -> Option<Time>;

    /// Records an event reported by the driver.
    fn observe(&mut self, event: Event, now: Time);

    /// This instance's share of the load, to be sent to the other instances.
    fn digest(&mut self, now: Time) -> LoadDigest;
}

/// Result of offering a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Admission {
    /// The request was accepted; it finishes or fails by its deadline.
    Admitted,
    /// The request was not run and won't be.
    Refused(Refusal),
}

/// Why a request is refused and when to retry.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// The cause.
    pub reason: RefusalReason,
    /// Time after which a retry is likely to succeed, for the `Retry-After` header.
    pub retry_after: Duration,
    /// The prediction that led to the refusal, if there was one.
    pub forecast: Option<Forecast>,
}

impl Refusal {
    /// Creates a refusal that isn't based on a prediction.
    pub fn new(reason: RefusalReason, retry_after: Duration) -> Refusal {
        Refusal { reason, retry_after, forecast: None }
    }
}

/// The predicted time of the first token and the values that it was computed from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Seconds to prefill the request's own prompt.
    pub prefill_s: f64,
    /// Seconds to prefill the prompts ahead of it.
    pub prefill_ahead_s: f64,
    /// Seconds until its workspace's turn under fair queueing.
    pub fair_share_wait_s: f64,
    /// Safety factor on the two prefill times.
    pub margin: f64,
    /// Seconds from now to the deadline of the first token.
    pub budget_s: f64,
    /// Prefill speed used in the computation.
    pub rate: TokenRate,
    /// Whether the prefill speed of at least one engine was measured.
    pub is_measured: bool,
    /// Prefill tokens ahead of the request that were already sent to engines.
    pub in_flight: Tokens,
    /// Prefill tokens queued on this and the other instances.
    pub queued: Tokens,
    /// Requests of this instance in flight.
    pub in_flight_requests: usize,
    /// Age of the oldest load digest among the other instances.
    pub max_peer_age: Duration,
}

/// Reasons for refusing a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The first token is predicted to miss its deadline.
    TooLate,
    /// The workspace is over its configured limit.
    OverLimit,
    /// The workspace uses its share of the queue and other workspaces need the rest.
    OverShare,
    /// The prompt needs more memory than all engines of the deployment have together.
    TooLarge,
    /// No endpoint can currently serve the request.
    NoEndpoint,
    /// The request crashed endpoints and isn't run again.
    Quarantined,
    /// The instance is stopping.
    Stopping,
    /// The log service is down, and the call requires a ledger claim because it may not be
    /// repeated.
    LogUnavailable,
}

impl RefusalReason {
    /// The reason as written in error bodies, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::TooLate => "too_late",
            RefusalReason::OverLimit => "over_limit",
            RefusalReason::OverShare => "over_share",
            RefusalReason::TooLarge => "too_large",
            RefusalReason::NoEndpoint => "no_endpoint",
            RefusalReason::Quarantined => "quarantined",
            RefusalReason::Stopping => "stopping",
            RefusalReason::LogUnavailable => "log_unavailable",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An action for the driver to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Start an attempt to run a request.
    Start(Start),
    /// Report a failed request to the caller immediately; the scheduler has removed it. An attempt
    /// that is still in flight is cancelled.
    Fail {
        /// Id of the request.
        request: RequestId,
        /// The failure to report.
        failure: Failure,
    },
    /// Cancel an attempt whose result is no longer needed, such as the slower one of a hedge.
    Cancel {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
}

/// One attempt to run a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    /// Id of the request.
    pub request: RequestId,
    /// Number of the attempt, from 1; identifies it in events.
    pub attempt: u32,
    /// Where the attempt runs. The call goes to the endpoint of the first shard; further shards
    /// only provide memory. Memory is reserved on all shards or none, in this order, before the
    /// call is sent.
    pub shards: Vec<Shard>,
    /// The request's priority on the engine.
    pub priority: Priority,
}

/// An endpoint's share of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shard {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// The incarnation that was chosen. If the driver finds another one, it fails the attempt with
    /// [`FailCause::NotSent`].
    pub incarnation: Incarnation,
    /// Memory to reserve on the endpoint, in tokens.
    pub tokens: Tokens,
}

/// Priority of a request on an engine; higher numbers are served first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// Whether a failed request was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// The request was not run and won't be.
    No,
    /// The request was run.
    Yes,
    /// The request may have been run.
    Unknown,
}

/// Failure of an admitted request, as reported to the caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    /// The cause of the failure.
    pub cause: FailCause,
    /// Whether the request was run.
    pub ran: RunStatus,
    /// Time after which a retry is likely to succeed.
    pub retry_after: Duration,
}

/// Why an attempt or a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailCause {
    /// The deadline has passed or can no longer be met.
    Deadline,
    /// Speeds measured since the request's admission show that it can't meet its deadline for the
    /// first token.
    TooLate,
    /// Nothing was sent: the connection was refused, or the endpoint's incarnation has changed.
    NotSent,
    /// The endpoint rejected the request before running it (busy, leaving or out of memory).
    Rejected,
    /// The connection broke after data was sent.
    Broken,
    /// The endpoint sent nothing for longer than its progress timeout.
    Silent,
    /// The endpoint answered with an error.
    EndpointError,
    /// The answer was invalid for the attempt (of another request, duplicated, with a gap, or
    /// without an end mark).
    BadAnswer,
    /// The endpoint's process ended while the request ran there.
    EndpointDied,
    /// The request crashed endpoints and isn't run again.
    Quarantined,
    /// The queued request was shed to make room for workspaces below their share of the queue.
    Shed,
    /// The retry budget is exhausted.
    RetryBudget,
    /// No endpoint remains to run the request.
    NoEndpoint,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The caller received the complete answer.
    Finished {
        /// Prompt tokens as counted by the engine.
        prompt: Tokens,
        /// Generated tokens as counted by the engine.
        output: Tokens,
    },
    /// The caller disconnected.
    Cancelled,
    /// The driver ended the request at its deadline.
    Expired,
    /// The endpoint answered with a final error, which was passed to the caller.
    Answered,
}

/// An event reported by the driver.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The first token of an attempt arrived.
    FirstToken {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Prompt tokens found in the engine's cache, if the engine reports them.
        cached: Option<Tokens>,
    },
    /// More tokens of an attempt arrived since the last such event.
    Progress {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Number of tokens since the last such event.
        tokens: Tokens,
    },
    /// A request ended; the scheduler removes it.
    Ended {
        /// Id of the request.
        request: RequestId,
        /// How the request ended.
        outcome: Outcome,
    },
    /// An attempt failed. The scheduler responds with another [`Decision::Start`] or with
    /// [`Decision::Fail`].
    AttemptFailed {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// The cause.
        cause: FailCause,
        /// Tokens already sent to the caller; a further attempt resumes after them.
        passed_on: Tokens,
    },
    /// An endpoint reported its load.
    Load(LoadReport),
    /// An engine reported cache events.
    Cache(CacheEvents),
    /// Another instance sent its share of the load.
    Peer(LoadDigest),
    /// Another instance is dead or has a new incarnation; its share of the load is void.
    PeerRemoved {
        /// Id of the instance.
        instance: InstanceId,
        /// The incarnation that ended.
        incarnation: Incarnation,
    },
    /// An endpoint's address, incarnation or state changed.
    Endpoint(EndpointChange),
    /// A probe of an ejected or silent endpoint finished.
    Probe {
        /// Id of the endpoint.
        endpoint: EndpointId,
        /// Whether the endpoint answered in time.
        healthy: bool,
    },
}

/// Address, location and current state of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointChange {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// One-way network delay from this instance.
    pub distance: Duration,
    /// Its current incarnation; zero until one is known.
    pub incarnation: Incarnation,
    /// Whether it may get new requests.
    pub state: EndpointState,
}

/// Whether an endpoint may get new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// In service and available for new requests.
    Live,
    /// It finishes its running requests and gets no new ones.
    Leaving,
    /// It is dead.
    Dead,
}
