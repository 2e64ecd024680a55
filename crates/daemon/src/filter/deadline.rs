//! Sets the deadline of a request.

use std::{sync::Arc, time::Duration};

use policy::{FailCause, Failure, RunStatus, Time};

use crate::{
    error::CallError,
    filter::{Answer, CallDetails, Handler, ReceivedRequest},
    server::connection::WRITE_GRACE_PERIOD,
    shared::Shared,
};

/// A received request together with its deadline.
#[derive(Debug)]
pub struct RequestWithDeadline {
    /// The request with its body.
    pub received: ReceivedRequest,
    /// When the last byte of the answer is due.
    pub deadline: Time,
}

/// The filter that sets the deadline: the caller's `x-deadline-ms`, else the timeout of the route,
/// else the deployment's default, up to the deployment's maximum.
pub struct Deadline<N> {
    shared: Arc<Shared>,
    next: N,
}

impl<N> Deadline<N> {
    /// Creates the filter in front of `next`.
    pub fn new(shared: Arc<Shared>, next: N) -> Self {
        Deadline { shared, next }
    }
}

impl<N: Handler<RequestWithDeadline>> Handler<ReceivedRequest> for Deadline<N> {
    async fn handle(&self, received: ReceivedRequest) -> Result<Answer, CallError> {
        let requested = received.headers.deadline.or_else(|| route_timeout(&received.details));
        let time_allowed = received.route.rules.limits.deadline(requested);
        let deadline = received.record.arrived + time_allowed;
        if deadline <= self.shared.clock.now() {
            return Err(deadline_error(RunStatus::No));
        }
        received.conn.set_cut_time(deadline + WRITE_GRACE_PERIOD);
        self.next.handle(RequestWithDeadline { received, deadline }).await
    }
}

/// The error for a request that missed its deadline. `Retry-After` is the minimum, because only the
/// scheduler could predict when a retry would succeed.
pub(super) fn deadline_error(ran: RunStatus) -> CallError {
    let retry_after = Duration::from_secs(1);
    Failure { cause: FailCause::Deadline, ran, retry_after }.into()
}

fn route_timeout(details: &CallDetails) -> Option<Duration> {
    match details {
        CallDetails::Model(_) => None,
        CallDetails::Service(details) => {
            details.rules.as_ref()?.timeout_ms.map(Duration::from_millis)
        }
    }
}
