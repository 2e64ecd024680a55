//! A request on an endpoint, and what its end says.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use policy::{
    EndpointId, FailCause,
    arrange::{JobId, Placement},
};

use super::{attempt::Upstream, memory::Reservations};
use crate::{clock::Clock, dialect::Dialect, lock, state::Group};

/// A request that an endpoint answers.
pub(super) struct Live<D: Dialect> {
    pub(super) upstream: Upstream,
    pub(super) run: Run,
    /// Held until the run has ended.
    pub(super) _memory: Reservations<D>,
}

/// A request's place. Dropping it gives the place back.
pub(super) struct Run {
    group: Arc<Group>,
    clock: Clock,
    job: JobId,
    pub(super) endpoint: EndpointId,
    ended: bool,
}

impl Run {
    /// The run of a request that was placed.
    pub(super) fn new(group: &Arc<Group>, clock: Clock, placement: &Placement) -> Run {
        let endpoint = placement.endpoint.clone();
        Run { group: group.clone(), clock, job: placement.job, endpoint, ended: false }
    }

    /// The first byte came.
    pub(super) fn began(&self) {
        lock(&self.group.arranger).began(self.job, self.clock.now());
    }

    /// There was a pause between two events.
    pub(super) fn paused(&self, pause: Duration) {
        lock(&self.group.arranger).paused(self.job, pause, self.clock.now());
    }

    /// The run ended.
    pub(super) fn end(mut self, failed: Option<FailCause>) {
        self.tell(failed);
    }

    fn tell(&mut self, failed: Option<FailCause>) {
        if !std::mem::replace(&mut self.ended, true) {
            lock(&self.group.arranger).ended(self.job, failed, self.clock.now());
        }
    }
}

impl Drop for Run {
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
