//! The seam between decisions and whatever drives them.
//!
//! A scheduler decides for one deployment: who is admitted, who waits, where and when each request
//! starts, and when it is given up. The daemon drives it from sockets, tests drive it from a list
//! of events; both call the same code. All methods are cheap and never block.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    CacheEvents, DataCentre, EndpointId, Incarnation, InstanceId, LoadDigest, LoadReport,
    RequestId, RequestSpec, Time, TokenRate, Tokens, config,
};

/// Decides about the requests of one deployment on one instance.
pub trait Scheduler: Send {
    /// Takes over new rules and the deployment's endpoints. Requests under way go on; endpoints
    /// no longer listed get nothing new.
    fn configure(
        &mut self,
        rules: &config::DeploymentRules,
        workspaces: &config::WorkspaceTable,
        endpoints: &[EndpointChange],
        now: Time,
    );

    /// Admits a request or refuses it at once. An admitted request later gets exactly one
    /// [`Decision::Fail`], or ends by an [`Event::Ended`] of the driver.
    fn offer(&mut self, req: Arc<RequestSpec>, now: Time) -> Admission;

    /// Decides all that can be decided now. The driver carries every decision out; it calls again
    /// after each event and at [`Scheduler::next_wakeup`].
    fn poll(&mut self, now: Time) -> Vec<Decision>;

    /// When [`Scheduler::poll`] has to be called even if no event comes.
    fn next_wakeup(&self, now: Time) -> Option<Time>;

    /// Takes note of what happened.
    fn observe(&mut self, event: Event, now: Time);

    /// This instance's own part of the load, for the others.
    fn digest(&mut self, now: Time) -> LoadDigest;
}

/// Whether a request is taken on.
#[derive(Debug, Clone, PartialEq)]
pub enum Admission {
    /// It will finish or fail by its deadline.
    Admitted,
    /// It was not run and won't be.
    Refused(Refusal),
}

/// Why and for how long a request is turned away.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When asking again is likely to succeed, for `Retry-After`.
    pub retry_after: Duration,
    /// What a refusal by prediction rests on.
    pub forecast: Option<Forecast>,
}

impl Refusal {
    /// A refusal that rests on no prediction.
    pub fn new(reason: RefusalReason, retry_after: Duration) -> Refusal {
        Refusal { reason, retry_after, forecast: None }
    }
}

/// A predicted first token and what it was computed from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Seconds of prefill of the prompt itself.
    pub prefill_s: f64,
    /// Seconds for what goes before it.
    pub prefill_ahead_s: f64,
    /// Seconds until its workspace's turn.
    pub fair_share_wait_s: f64,
    /// What the first two are multiplied by.
    pub margin: f64,
    /// Seconds until the first token has to be out.
    pub budget_s: f64,
    /// Prefill speed that it was computed with.
    pub rate: TokenRate,
    /// Whether any engine's speed was measured.
    pub is_measured: bool,
    /// Prefill that was sent to engines and goes before it.
    pub in_flight: Tokens,
    /// Prefill that waits here and at the other instances.
    pub queued: Tokens,
    /// Requests of this instance under way.
    pub in_flight_requests: usize,
    /// Age of the oldest word of another instance.
    pub max_peer_age: Duration,
}

/// The reasons for turning a request away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The predicted first token is past its bound.
    TooLate,
    /// The workspace is over its configured limit.
    OverLimit,
    /// The workspace holds its share of the waiting room and others need the rest.
    OverShare,
    /// The prompt needs more memory than all engines of the deployment have.
    TooLarge,
    /// No endpoint can serve it now.
    NoEndpoint,
    /// The request has crashed endpoints and isn't run again.
    Quarantined,
    /// The instance is stopping.
    Stopping,
    /// The log service is down and the call may not be repeated.
    LogUnavailable,
}

impl RefusalReason {
    /// The reason as it stands in error bodies, logs and metrics.
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

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send the request to endpoints.
    Start(Start),
    /// Tell the caller that the request has failed, at once; the scheduler has forgotten it. An
    /// attempt that is still under way is cancelled.
    Fail {
        /// The request.
        request: RequestId,
        /// What the caller hears.
        failure: Failure,
    },
    /// Cancel an attempt whose result is no longer wanted (a hedge that lost).
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
}

/// One attempt to run a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    /// The request.
    pub request: RequestId,
    /// Counts from 1; names the attempt in every event about it.
    pub attempt: u32,
    /// Where it runs. The first shard's endpoint gets the call; further shards only lend memory,
    /// reserved all or none, in this order, before the call is sent.
    pub shards: Vec<Shard>,
    /// Its priority on the engine.
    pub priority: Priority,
}

/// One endpoint's part in an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shard {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The life of the endpoint that was chosen. The driver fails the attempt as
    /// [`FailCause::NotSent`] where it meets another.
    pub incarnation: Incarnation,
    /// Memory to be reserved there.
    pub tokens: Tokens,
}

/// An engine's priority for a request; the engine serves higher numbers first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// Whether a request that failed was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// It was not run and won't be.
    No,
    /// It was run.
    Yes,
    /// Nobody can tell.
    Unknown,
}

/// What a caller hears of an admitted request that failed.
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    /// Why it failed.
    pub cause: FailCause,
    /// Whether it was run.
    pub ran: RunStatus,
    /// When asking again is likely to succeed.
    pub retry_after: Duration,
}

/// Why an attempt or a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailCause {
    /// The deadline has passed or can't be met any more.
    Deadline,
    /// Speeds measured since its admission show that it can't meet its bound.
    TooLate,
    /// Nothing was sent: the connection was refused, or the endpoint has another incarnation.
    NotSent,
    /// The endpoint refused before running (busy, leaving, out of memory).
    Rejected,
    /// The connection broke after something was sent.
    Broken,
    /// The endpoint has been silent longer than its progress deadline.
    Silent,
    /// The endpoint answered with an error of its own.
    EndpointError,
    /// The answer didn't fit the attempt (crossed, repeated, with a gap, no end mark).
    BadAnswer,
    /// The endpoint's process died while the request ran there.
    EndpointDied,
    /// Endpoints died of the request; it isn't run again.
    Quarantined,
    /// It waited and was given up so that workspaces below their share find room to wait.
    Shed,
    /// The retry budget is spent.
    RetryBudget,
    /// No endpoint is left.
    NoEndpoint,
}

/// How an attempt or a request ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The caller has the whole answer.
    Finished {
        /// Prompt tokens as counted by the engine.
        prompt: Tokens,
        /// Tokens generated.
        output: Tokens,
    },
    /// The caller hung up.
    Cancelled,
    /// The driver gave up at the deadline.
    Expired,
    /// The endpoint answered with an error that is final and the caller got it.
    Answered,
}

/// What happened, as told by the driver.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The first token of an attempt came.
    FirstToken {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// Prompt tokens that the engine had cached, where it says so.
        cached: Option<Tokens>,
    },
    /// Tokens were generated since the last such event.
    Progress {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// How many.
        tokens: Tokens,
    },
    /// The request ended; the scheduler forgets it.
    Ended {
        /// The request.
        request: RequestId,
        /// How.
        outcome: Outcome,
    },
    /// An attempt failed. The scheduler answers with another [`Decision::Start`] or with
    /// [`Decision::Fail`].
    AttemptFailed {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// Why.
        cause: FailCause,
        /// Tokens already passed on to the caller; a further attempt resumes after them.
        passed_on: Tokens,
    },
    /// An endpoint reported its load.
    Load(LoadReport),
    /// An engine reported cache events.
    Cache(CacheEvents),
    /// Another instance told its part of the load.
    Peer(LoadDigest),
    /// Another instance is gone or has a new incarnation; its part of the load is void.
    PeerRemoved {
        /// The instance.
        instance: InstanceId,
        /// The life that ended.
        incarnation: Incarnation,
    },
    /// Something changed about an endpoint.
    Endpoint(EndpointChange),
    /// A probe of an ejected or silent endpoint ended.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it answered in time.
        healthy: bool,
    },
}

/// An endpoint's place and state, as known at this moment.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointChange {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// One-way delay from this instance.
    pub distance: Duration,
    /// Its present life; zero where nothing was heard of it yet.
    pub incarnation: Incarnation,
    /// Whether it may get work.
    pub state: EndpointState,
}

/// Whether an endpoint may get work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// It may get work.
    Live,
    /// It finishes what it has and gets nothing new.
    Leaving,
    /// It is gone.
    Dead,
}
