//! A request that occupies an endpoint or a peer, and how its end is reported.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use policy::{
    EndpointId, FailCause, Incarnation, InstanceId, Workspace,
    placement::{JobId, Placement},
};

use super::{attempt::EndpointResponse, reservations::Reservations};
use crate::{
    clock::Clock,
    dialect::Dialect,
    lock,
    state::{Group, Groups},
};

/// A response together with the run that produces it.
pub(super) struct ActiveResponse<D: Dialect> {
    pub(super) response: EndpointResponse,
    pub(super) run: Run<D>,
}

impl<D: Dialect> ActiveResponse<D> {
    /// Closes the connection and returns the run, which still has to be ended.
    pub(super) fn into_run(self) -> Run<D> {
        self.run
    }
}

/// Where a request runs, as far as this instance sees.
pub(super) enum Run<D: Dialect> {
    Endpoint(EndpointRun<D>),
    Peer(PeerRun),
}

impl<D: Dialect> Run<D> {
    /// Name of the endpoint or the peer.
    pub(super) fn name(&self) -> &str {
        match self {
            Run::Endpoint(run) => run.endpoint.as_str(),
            Run::Peer(run) => run.peer.as_str(),
        }
    }

    /// Reports the first event to the scheduler.
    pub(super) fn first_event_received(&self) {
        if let Run::Endpoint(run) = self {
            lock(&run.group.scheduler).record_first_event(run.job, run.clock.now());
        }
    }

    /// Reports a pause between two events to the scheduler.
    pub(super) fn record_pause(&self, pause: Duration) {
        if let Run::Endpoint(run) = self {
            lock(&run.group.scheduler).record_pause(run.job, pause, run.clock.now());
        }
    }

    /// Ends the run, with the cause if it failed.
    pub(super) fn end(self, failed: Option<FailCause>) {
        match self {
            Run::Endpoint(run) => run.end(failed),
            Run::Peer(run) => drop(run),
        }
    }
}

/// A request that was passed on to a peer. Dropping it ends it.
pub(super) struct PeerRun {
    groups: Arc<Groups>,
    pub(super) peer: InstanceId,
    /// Number of endpoints that the peer may ask.
    pub(super) attempts: u32,
}

impl PeerRun {
    /// Counts a request that is about to be passed on.
    pub(super) fn new(groups: &Arc<Groups>, peer: InstanceId, attempts: u32) -> PeerRun {
        groups.peers().record_start(&peer);
        PeerRun { groups: groups.clone(), peer, attempts }
    }
}

impl Drop for PeerRun {
    fn drop(&mut self) {
        self.groups.peers().record_end(&self.peer);
    }
}

/// A request's place on an endpoint, with the reservations it holds on helpers. Both are released
/// when the run is ended or dropped.
pub(super) struct EndpointRun<D: Dialect> {
    group: Arc<Group>,
    clock: Clock,
    job: JobId,
    /// Charged for the time of the slot.
    workspace: Option<Workspace>,
    pub(super) endpoint: EndpointId,
    pub(super) incarnation: Incarnation,
    reservations: Option<Reservations<D>>,
    is_ended: bool,
}

impl<D: Dialect> EndpointRun<D> {
    /// Creates the run of a placed request.
    pub(super) fn new(
        group: &Arc<Group>,
        clock: Clock,
        placement: &Placement,
        workspace: Option<&Workspace>,
    ) -> EndpointRun<D> {
        EndpointRun {
            group: group.clone(),
            clock,
            job: placement.job,
            workspace: workspace.cloned(),
            endpoint: placement.endpoint.clone(),
            incarnation: placement.incarnation,
            reservations: None,
            is_ended: false,
        }
    }

    /// Holds reservations on helpers until the run has ended.
    pub(super) fn keep_reservations(&mut self, reservations: Reservations<D>) {
        self.reservations = Some(reservations);
    }

    /// Releases the reservations early: the endpoint has finished the request, while the rest of
    /// its response may still be in transit.
    pub(super) fn release_reservations(&mut self) {
        self.reservations = None;
    }

    /// Reports the limit that the endpoint names to the scheduler; true if it has changed.
    pub(super) fn record_named_limit(&self, per_s: Option<f64>) -> bool {
        lock(&self.group.scheduler).record_named_limit(self.job, per_s, self.clock.now())
    }

    /// Records that the endpoint says it is leaving. Returns whether that wasn't known.
    pub(super) fn record_leaving(&self) -> bool {
        lock(&self.group.scheduler).record_leaving(self.job, self.clock.now())
    }

    /// Records the rest that the endpoint asks for. Returns whether it is longer than was known.
    pub(super) fn record_rest(&self, rest: Duration) -> bool {
        lock(&self.group.scheduler).record_rest(self.job, rest, self.clock.now())
    }

    /// Ends the run, with the cause if it failed.
    pub(super) fn end(mut self, failed: Option<FailCause>) {
        self.finish(failed);
    }

    fn finish(&mut self, failed: Option<FailCause>) {
        if !std::mem::replace(&mut self.is_ended, true) {
            self.group.finish(self.workspace.as_ref(), self.job, failed, self.clock.now());
        }
    }
}

impl<D: Dialect> Drop for EndpointRun<D> {
    fn drop(&mut self) {
        // The caller closed the connection, which says nothing about the endpoint.
        self.finish(Some(FailCause::Deadline));
    }
}

/// Whether a status tells the caller that the request hasn't run. Without the header that declares
/// this, an endpoint's status alone is no proof.
pub(super) fn implies_not_run(status: StatusCode) -> bool {
    [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ]
    .contains(&status)
}
