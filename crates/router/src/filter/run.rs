//! A request on an endpoint, and what its end says.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use policy::{
    EndpointId, FailCause,
    placement::{JobId, Placement},
};

use super::{attempt::Upstream, memory::Reservations};
use crate::{clock::Clock, dialect::Dialect, lock, state::Group};

/// A request that an endpoint answers.
pub(super) struct Live<D: Dialect> {
    pub(super) upstream: Upstream,
    pub(super) run: Run<D>,
}

impl<D: Dialect> Live<D> {
    /// Closes the connection, and leaves what has to be ended.
    pub(super) fn into_run(self) -> Run<D> {
        self.run
    }
}

/// A request's place, with the memory that it needs on other endpoints. Ending or dropping it gives
/// both back.
pub(super) struct Run<D: Dialect> {
    group: Arc<Group>,
    clock: Clock,
    job: JobId,
    pub(super) endpoint: EndpointId,
    memory: Option<Reservations<D>>,
    ended: bool,
}

impl<D: Dialect> Run<D> {
    /// The run of a request that was placed.
    pub(super) fn new(group: &Arc<Group>, clock: Clock, placement: &Placement) -> Run<D> {
        Run {
            group: group.clone(),
            clock,
            job: placement.job,
            endpoint: placement.endpoint.clone(),
            memory: None,
            ended: false,
        }
    }

    /// Keeps memory on other endpoints until the run has ended.
    pub(super) fn hold(&mut self, memory: Reservations<D>) {
        self.memory = Some(memory);
    }

    /// The endpoint is done with the request, while its answer may still be on the way.
    pub(super) fn release_memory(&mut self) {
        self.memory = None;
    }

    /// The first byte came.
    pub(super) fn began(&self) {
        lock(&self.group.scheduler).record_first_event(self.job, self.clock.now());
    }

    /// There was a pause between two events.
    pub(super) fn paused(&self, pause: Duration) {
        lock(&self.group.scheduler).record_pause(self.job, pause, self.clock.now());
    }

    /// The run ended.
    pub(super) fn end(mut self, failed: Option<FailCause>) {
        self.tell(failed);
    }

    fn tell(&mut self, failed: Option<FailCause>) {
        if !std::mem::replace(&mut self.ended, true) {
            lock(&self.group.scheduler).finish(self.job, failed, self.clock.now());
        }
    }
}

impl<D: Dialect> Drop for Run<D> {
    fn drop(&mut self) {
        // The caller left, which says nothing about the endpoint.
        self.tell(Some(FailCause::Deadline));
    }
}

/// Whether a status promises that the request hasn't run. An endpoint that says so without its
/// mark for it isn't to be believed.
pub(super) fn is_promise(status: StatusCode) -> bool {
    [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ]
    .contains(&status)
}
