//! A request that occupies an endpoint, and how its end is reported to the scheduler.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use policy::{
    EndpointId, FailCause, Incarnation,
    placement::{JobId, Placement},
};

use super::{attempt::EndpointResponse, reservations::Reservations};
use crate::{clock::Clock, dialect::Dialect, lock, state::Group};

/// An endpoint's response together with the run that produces it.
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

/// A request's place on an endpoint, with the reservations it holds on helpers. Both are released
/// when the run is ended or dropped.
pub(super) struct Run<D: Dialect> {
    group: Arc<Group>,
    clock: Clock,
    job: JobId,
    pub(super) endpoint: EndpointId,
    pub(super) incarnation: Incarnation,
    reservations: Option<Reservations<D>>,
    is_ended: bool,
}

impl<D: Dialect> Run<D> {
    /// Creates the run of a placed request.
    pub(super) fn new(group: &Arc<Group>, clock: Clock, placement: &Placement) -> Run<D> {
        Run {
            group: group.clone(),
            clock,
            job: placement.job,
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

    /// Reports the first event to the scheduler.
    pub(super) fn first_event_received(&self) {
        lock(&self.group.scheduler).record_first_event(self.job, self.clock.now());
    }

    /// Reports a pause between two events to the scheduler.
    pub(super) fn record_pause(&self, pause: Duration) {
        lock(&self.group.scheduler).record_pause(self.job, pause, self.clock.now());
    }

    /// Reports the limit that the endpoint names to the scheduler; true if it has changed.
    pub(super) fn record_named_limit(&self, per_s: Option<f64>) -> bool {
        lock(&self.group.scheduler).record_named_limit(self.job, per_s, self.clock.now())
    }

    /// Ends the run, with the cause if it failed.
    pub(super) fn end(mut self, failed: Option<FailCause>) {
        self.finish(failed);
    }

    fn finish(&mut self, failed: Option<FailCause>) {
        if !std::mem::replace(&mut self.is_ended, true) {
            lock(&self.group.scheduler).finish(self.job, failed, self.clock.now());
        }
    }
}

impl<D: Dialect> Drop for Run<D> {
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
