//! Calls that may not be repeated. They are refused here, truthfully as not run, until the ledger
//! stands in this place.

use std::time::Duration;

use policy::{Outcome, Refusal, RefusalReason};

use crate::{
    error::CallError,
    filter::{Admitted, Answer, Handler, Work},
};

/// When to come back.
const COME_BACK: Duration = Duration::from_secs(5);

/// Guards calls that may not be repeated.
pub struct Once<N> {
    next: N,
}

impl<N> Once<N> {
    /// Passes on to `next`.
    pub fn new(next: N) -> Self {
        Once { next }
    }
}

impl<N: Handler<Admitted>> Handler<Admitted> for Once<N> {
    async fn handle(&self, admitted: Admitted) -> Result<Answer, CallError> {
        let Work::Service(work) = &admitted.timed.received.work else {
            return self.next.handle(admitted).await;
        };
        if work.repeatable() {
            return self.next.handle(admitted).await;
        }
        admitted.ticket.end(Outcome::Cancelled);
        let refusal = Refusal { reason: RefusalReason::LogUnavailable, retry_after: COME_BACK };
        Err(refusal.into())
    }
}
