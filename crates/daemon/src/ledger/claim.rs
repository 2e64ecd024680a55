//! Handle to the exclusive right to run one call, held by the task that sends it.

use std::fmt;

use policy::{
    Offset, RunStatus,
    ledger::{AbandonOutcome, Answer, CallKey, Entry},
};
use protocols::log::Log;

use super::{Ledger, wake_all};
use crate::endpoint::lock;

/// The exclusive right to run one call. It ends by [`RunClaim::complete`],
/// [`RunClaim::mark_unknown`] or [`RunClaim::abandon`]; dropping it is the same as abandoning it.
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

    /// The claim's offset in the stream, for endpoints that check fencing numbers.
    pub fn fencing_number(&self) -> Offset {
        let ledger = self.ledger.as_ref();
        ledger.map_or(Offset(0), |ledger| lock(&ledger.core.state).fencing_number(&self.key))
    }

    /// Requests permission to send the first byte; must be called immediately before sending. It is
    /// called after the connection is established, because a refused connection proves that nothing
    /// was sent.
    pub fn try_begin_sending(&self) -> bool {
        let Some(ledger) = &self.ledger else { return false };
        let now = ledger.core.clock.now();
        lock(&ledger.core.state).try_begin_sending(&self.key, now)
    }

    /// Records that the call ran and was answered.
    pub fn complete(mut self, answer: Answer) {
        self.finish(|key, claim| Entry::Done { key, claim, answer });
    }

    /// Records that something was sent and no complete answer arrived.
    pub fn mark_unknown(mut self) {
        self.finish(|key, claim| Entry::Unknown { key, claim });
    }

    /// Abandons the call. Returns what can truthfully be reported to the caller.
    pub fn abandon(mut self) -> RunStatus {
        match self.release() {
            Some(AbandonOutcome::NotRun) => RunStatus::No,
            _ => RunStatus::Unknown,
        }
    }

    /// Drops the handle without an effect, because the claim has already ended.
    pub(super) fn disarm(mut self) {
        self.ledger = None;
    }

    fn release(&mut self) -> Option<AbandonOutcome> {
        let ledger = self.ledger.take()?;
        let now = ledger.core.clock.now();
        let (outcome, waiters) = lock(&ledger.core.state).abandon(&self.key, now);
        wake_all(&waiters);
        ledger.core.wake_tx.try_send(()).ok();
        Some(outcome)
    }

    fn finish(&mut self, entry: impl FnOnce(CallKey, policy::ledger::ClaimId) -> Entry) {
        let Some(ledger) = self.ledger.take() else { return };
        lock(&ledger.core.state).finish(&self.key, entry);
        ledger.core.wake_tx.try_send(()).ok();
    }
}

impl<L: Log> Drop for RunClaim<L> {
    /// A caller that disconnects drops its call at any stage. Before the first byte the claim is
    /// abandoned, so that the call can be repeated; after it the outcome is unknown.
    fn drop(&mut self) {
        self.release();
    }
}
