//! When a request has to have ended.

use std::{sync::Arc, time::Duration};

use policy::{FailCause, Failure, RunStatus, Time};

use crate::{
    error::CallError,
    filter::{Answer, Handler, Received, Work},
    server::connection::WRITE_GRACE,
    shared::Shared,
};

/// A request with its deadline.
#[derive(Debug)]
pub struct Timed {
    /// The request.
    pub received: Received,
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

impl<N: Handler<Timed>> Handler<Received> for Deadline<N> {
    async fn handle(&self, received: Received) -> Result<Answer, CallError> {
        let asked = received.head.deadline.or_else(|| route_timeout(&received.work));
        let span = received.route.rules.limits.deadline(asked);
        let deadline = received.record.arrived + span;
        if deadline <= self.shared.clock.now() {
            return Err(expired(RunStatus::No));
        }
        received.conn.cut_at(deadline + WRITE_GRACE);
        self.next.handle(Timed { received, deadline }).await
    }
}

/// What a caller hears whose request didn't end in time. It may come back at once: how soon asking
/// again would succeed, only the scheduler can tell.
pub(super) fn expired(ran: RunStatus) -> CallError {
    let retry_after = Duration::from_secs(1);
    Failure { cause: FailCause::Deadline, ran, retry_after }.into()
}

fn route_timeout(work: &Work) -> Option<Duration> {
    match work {
        Work::Model(_) => None,
        Work::Service(work) => work.rules.as_ref()?.timeout_ms.map(Duration::from_millis),
    }
}
