//! The right to run one call, held by whoever sends it.

use std::fmt;

use policy::{
    Offset, RunStatus,
    ledger::{AbandonOutcome, Answer, CallKey, Entry},
};
use protocols::log::Log;

use super::{Ledger, wake_all};
use crate::endpoint::lock;

/// The right to run one call. It ends by [`RunClaim::complete`], [`RunClaim::mark_unknown`] or
/// [`RunClaim::abandon`]; dropping it tells the others what can still be told truthfully.
pub struct RunClaim<L: Log> {
    ledger: Option<Ledger<L>>,
    key: CallKey,
}

impl<L: Log> fmt::Debug for RunClaim<L> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RunClaim({})", self.key)
    }
}

impl<L: Log> RunClaim<L> {
    pub(super) fn new(ledger: Ledger<L>, key: CallKey) -> Self {
        RunClaim { ledger: Some(ledger), key }
    }

    /// The claim's place in the stream, for endpoints that check fencing numbers.
    pub fn fencing_number(&self) -> Offset {
        let ledger = self.ledger.as_ref();
        ledger.map_or(Offset(0), |ledger| lock(&ledger.core.state).fencing_number(&self.key))
    }

    /// Asks for the right to send the first byte, right before it is sent. It is
    /// asked for once a connection stands, because a refused one proves that nothing was sent.
    pub fn try_begin_sending(&self) -> bool {
        let Some(ledger) = &self.ledger else { return false };
        let now = ledger.core.clock.now();
        lock(&ledger.core.state).try_begin_sending(&self.key, now)
    }

    /// The call ran and was answered.
    pub fn complete(mut self, answer: Answer) {
        self.finish(|key, claim| Entry::Done { key, claim, answer });
    }

    /// Something was sent and no whole answer came.
    pub fn mark_unknown(mut self) {
        self.finish(|key, claim| Entry::Unknown { key, claim });
    }

    /// Gives the call up. What the caller may be told of it.
    pub fn abandon(mut self) -> RunStatus {
        match self.give_up() {
            Some(AbandonOutcome::NotRun) => RunStatus::No,
            _ => RunStatus::Unknown,
        }
    }

    /// The claim has ended without this handle.
    pub(super) fn disarm(mut self) {
        self.ledger = None;
    }

    fn give_up(&mut self) -> Option<AbandonOutcome> {
        let ledger = self.ledger.take()?;
        let now = ledger.core.clock.now();
        let (given_up, waiters) = lock(&ledger.core.state).give_up(&self.key, now);
        wake_all(&waiters);
        ledger.core.wake_tx.try_send(()).ok();
        Some(given_up)
    }

    fn finish(&mut self, entry: impl FnOnce(CallKey, policy::ledger::ClaimId) -> Entry) {
        let Some(ledger) = self.ledger.take() else { return };
        lock(&ledger.core.state).finish(&self.key, entry);
        ledger.core.wake_tx.try_send(()).ok();
    }
}

impl<L: Log> Drop for RunClaim<L> {
    /// A caller that hangs up drops its call wherever it stands. Before the first byte the claim
    /// is given up, so that the call can be sent again; after it the outcome is unknown.
    fn drop(&mut self) {
        self.give_up();
    }
}
