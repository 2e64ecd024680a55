//! What is kept of one admitted request.

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
    /// The lane it waits in: its band's, or [`SPREAD`].
    pub(super) queue_index: usize,
    /// Prompt tokens that no engine is expected to have cached.
    pub(super) uncached: f64,
    /// Weighted tokens, for shares.
    pub(super) cost: f64,
    /// By when the next first token has to be out.
    pub(super) first_token_by: Time,
    /// When it has to be looked at even if nothing happens.
    pub(super) expires_at: Time,
    pub(super) state: RequestState,
    /// Attempts so far.
    pub(super) attempts: u32,
    /// Attempts that failed in a way that counts against the bound on attempts.
    pub(super) failures: u32,
    /// Where it isn't sent again.
    pub(super) excluded: Vec<EndpointIncarnation>,
    /// Lives that fell silent once on this request; see [`Entry::note_tried`].
    pub(super) silent_once: Vec<EndpointIncarnation>,
    /// Whether an endpoint may have begun to run it.
    pub(super) may_have_run: bool,
    /// Tokens that the caller has.
    pub(super) passed_on: Tokens,
    /// Seconds from arrival to first token, as predicted on admission.
    pub(super) predicted: f64,
    /// The part of it that is the wait for its own workspace's turn.
    pub(super) workspace_wait: f64,
    pub(super) basis: AdmissionBasis,
}

/// What an admission rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AdmissionBasis {
    /// A prediction that keeps the bound.
    Prediction,
    /// The prediction said no by speeds that nobody has measured. It waits until they are, or is
    /// the one request that tries them.
    Unmeasured,
    /// The prediction said no by measured speeds, which may be wrong.
    Trial,
}

impl AdmissionBasis {
    /// Whether it goes to an engine although the prediction says no; `is_measured` where any
    /// engine's speed is.
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
    /// It waits in its lane.
    Waiting,
    /// It waits out a backoff.
    BackingOff(Time),
    /// An attempt is under way.
    Running(Attempt),
}

/// A life of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct EndpointIncarnation {
    pub(super) endpoint: EndpointId,
    pub(super) incarnation: Incarnation,
}

/// An attempt under way.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) shards: Vec<Shard>,
    pub(super) sent: Time,
    /// Seconds from then to the first token, as predicted.
    pub(super) predicted: f64,
    /// Prompt tokens that the engine was expected to have cached.
    pub(super) cached: Tokens,
    /// Work that stood before it there.
    pub(super) ahead: f64,
    /// The endpoint's count of short tokens done when it was sent.
    pub(super) short_done: f64,
    /// Whether it is a short prompt that was sent to an engine with a long one.
    pub(super) beside_long: bool,
    /// Prompt tokens that have to be prefilled.
    pub(super) prefill: f64,
    pub(super) first_token: Option<Time>,
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

    /// The attempt under way.
    pub(super) fn attempt(&self) -> Option<&Attempt> {
        match &self.state {
            RequestState::Running(attempt) => Some(attempt),
            RequestState::Waiting | RequestState::BackingOff(_) => None,
        }
    }

    /// The shard that runs it, while an attempt is under way.
    pub(super) fn runs_on(&self) -> Option<&Shard> {
        self.attempt()?.shards.first()
    }

    pub(super) fn needs_several(&self) -> bool {
        self.queue_index == MULTI_ENGINE_QUEUE
    }

    /// Takes note of a life that has had this request, so that it doesn't get it again.
    ///
    /// The first silence doesn't count: an open connection can go silent for good while the
    /// endpoint works and new connections reach it. At a site with one engine the caller would
    /// otherwise lose an answer that the engine still makes. A second silence does count, so a
    /// request can't go round a silent endpoint.
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

/// A request and a time at which something is to be done about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RequestTimer {
    pub(super) at: Time,
    pub(super) request: RequestId,
}
