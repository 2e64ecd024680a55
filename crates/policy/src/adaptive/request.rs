//! State of an admitted request.

use std::sync::Arc;

use crate::{EndpointId, FailCause, Incarnation, RequestId, RequestSpec, Shard, Time, Tokens};

use super::{
    band::Band,
    queue::{Waiting, WorkspaceIndex},
    workspaces::MULTI_ENGINE_QUEUE,
};

/// An admitted request that hasn't ended.
#[derive(Debug)]
pub(super) struct RequestEntry {
    pub(super) req: Arc<RequestSpec>,
    pub(super) workspace: WorkspaceIndex,
    pub(super) band: Band,
    /// Index of its queue: its band, or [`MULTI_ENGINE_QUEUE`].
    pub(super) queue_index: usize,
    /// Prompt tokens that are expected in no engine's cache.
    pub(super) uncached: f64,
    /// Weighted tokens that its workspace is charged for.
    pub(super) cost: f64,
    /// Deadline of the first token, or of the next one after a retry.
    pub(super) first_token_by: Time,
    /// When the scheduler has to check it even without an event.
    pub(super) expires_at: Time,
    pub(super) state: RequestState,
    /// Number of attempts, including a running one.
    pub(super) attempts: u32,
    /// Number of failed attempts that count towards the limit.
    pub(super) failures: u32,
    /// Incarnations that it isn't sent to again.
    pub(super) excluded: Vec<EndpointIncarnation>,
    /// Incarnations that were silent on this request once; see [`RequestEntry::exclude`].
    pub(super) silent_once: Vec<EndpointIncarnation>,
    /// Whether an endpoint may have started to run it.
    pub(super) may_have_run: bool,
    /// Tokens already delivered to the caller.
    pub(super) passed_on: Tokens,
    /// Predicted seconds from arrival to first token, as of admission.
    pub(super) predicted: f64,
    /// The part of `predicted` that is the wait in its workspace's queue.
    pub(super) workspace_wait: f64,
    pub(super) basis: AdmissionBasis,
}

/// Why a request was admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AdmissionBasis {
    /// The prediction meets the first-token deadline.
    Prediction,
    /// The prediction doesn't meet the deadline, but no engine's speed has been measured. The
    /// request waits for a measurement, or is the one request that is tried to get one.
    Unmeasured,
    /// The prediction doesn't meet the deadline, but the measured speeds may be wrong.
    Trial,
}

impl AdmissionBasis {
    /// Whether the request is sent although its prediction doesn't meet the deadline; `is_measured`
    /// if the speed of any engine is measured.
    pub(super) fn overrides_prediction(self, is_measured: bool) -> bool {
        match self {
            AdmissionBasis::Prediction => false,
            AdmissionBasis::Unmeasured => !is_measured,
            AdmissionBasis::Trial => true,
        }
    }
}

/// What an admitted request is doing.
#[derive(Debug)]
pub(super) enum RequestState {
    /// Waiting in its queue.
    Waiting,
    /// Backing off until this time.
    BackingOff(Time),
    /// Running on an endpoint.
    Running(Attempt),
}

/// One incarnation of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct EndpointIncarnation {
    pub(super) endpoint: EndpointId,
    pub(super) incarnation: Incarnation,
}

/// A running attempt.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) shards: Vec<Shard>,
    pub(super) sent_at: Time,
    /// Predicted seconds from `sent_at` to the first token.
    pub(super) predicted: f64,
    /// Prompt tokens that were expected in the engine's cache.
    pub(super) cached: Tokens,
    /// Prompt tokens ahead of it on the engine when it was sent.
    pub(super) ahead: f64,
    /// The endpoint's `short_prefilled` when it was sent.
    pub(super) short_prefilled: f64,
    /// Whether it is a short prompt on an engine that prefills a long one.
    pub(super) shares_with_long_prefill: bool,
    /// Prompt tokens to prefill.
    pub(super) prefill: f64,
    pub(super) first_token_at: Option<Time>,
}

impl RequestEntry {
    pub(super) fn waiting(&self) -> Waiting {
        Waiting { first_token_by: self.first_token_by, request: self.req.id }
    }

    pub(super) fn prompt(&self) -> f64 {
        self.req.prompt.0 as f64
    }

    pub(super) fn footprint(&self) -> f64 {
        self.req.footprint().0 as f64
    }

    /// The running attempt.
    pub(super) fn attempt(&self) -> Option<&Attempt> {
        match &self.state {
            RequestState::Running(attempt) => Some(attempt),
            RequestState::Waiting | RequestState::BackingOff(_) => None,
        }
    }

    /// The shard that runs the current attempt.
    pub(super) fn runs_on(&self) -> Option<&Shard> {
        self.attempt()?.shards.first()
    }

    pub(super) fn needs_several(&self) -> bool {
        self.queue_index == MULTI_ENGINE_QUEUE
    }

    /// Records that an incarnation has had this request, so that it doesn't get it again.
    ///
    /// The first silence doesn't count, because a single open connection can go silent for good
    /// while the endpoint works and accepts new connections. At a site with one engine, the caller
    /// would otherwise lose an answer that the engine can still give. A second silence counts, so
    /// that a request isn't sent to a silent endpoint again and again.
    pub(super) fn exclude(&mut self, incarnation: EndpointIncarnation, cause: FailCause) {
        if cause == FailCause::Silent && !self.silent_once.contains(&incarnation) {
            self.silent_once.push(incarnation);
        } else {
            self.excluded.push(incarnation);
        }
    }

    pub(super) fn may_run_on(&self, endpoint: &EndpointId, incarnation: Incarnation) -> bool {
        !self
            .excluded
            .iter()
            .any(|other| other.endpoint == *endpoint && other.incarnation == incarnation)
    }
}

/// A time at which a request has to be checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RequestTimer {
    pub(super) at: Time,
    pub(super) request: RequestId,
}
