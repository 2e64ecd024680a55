//! When a request has to have ended.

use std::{sync::Arc, time::Duration};

use policy::{FailCause, Failure, RunStatus, Time};

use crate::{
    error::CallError,
    filter::{Answer, CallDetails, Handler, ReceivedRequest},
    server::connection::WRITE_GRACE_PERIOD,
    shared::Shared,
};

/// A request with its deadline.
#[derive(Debug)]
pub struct RequestWithDeadline {
    /// The request.
    pub received: ReceivedRequest,
    /// When it has to have ended.
    pub deadline: Time,
}

/// Sets the deadline: what the caller asks for, else what the route or the deployment says.
pub struct Deadline<N> {
    shared: Arc<Shared>,
    next: N,
}

impl<N> Deadline<N> {
    /// Passes on to `next`.
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

/// What a caller hears whose request didn't end in time. It may come back at once: how soon asking
/// again would succeed, only the scheduler can tell.
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
