//! Decides the next step of a call by the state of its key.

use policy::ledger::{Answer, KeyState, Ledger, Phase};
use smol::channel::Receiver;

use super::{ClaimOutcome, ClaimRequest};

/// The next step of a call.
pub(super) enum NextStep {
    Finish(OutcomeWithoutRun),
    /// Another call with the same key is in flight.
    WaitForKey(Receiver<()>),
    /// The stream hasn't been read to its end yet.
    WaitForStreamEnd(Receiver<()>),
    /// The call's own claim has been queued.
    WaitForClaim(Receiver<()>),
}

/// Outcome of a call that ends without running here. The variants are described at
/// [`ClaimOutcome`].
pub(super) enum OutcomeWithoutRun {
    Answer(Answer),
    Unknown,
    BodyDiffers,
    NotRun,
    LogDown,
    Behind,
    Full,
    KeyTooOld,
    KeyFromTheFuture,
}

impl<L: protocols::log::Log> From<OutcomeWithoutRun> for ClaimOutcome<L> {
    fn from(outcome: OutcomeWithoutRun) -> Self {
        match outcome {
            OutcomeWithoutRun::Answer(answer) => ClaimOutcome::Answer(answer),
            OutcomeWithoutRun::Unknown => ClaimOutcome::Unknown,
            OutcomeWithoutRun::BodyDiffers => ClaimOutcome::BodyDiffers,
            OutcomeWithoutRun::NotRun => ClaimOutcome::NotRun,
            OutcomeWithoutRun::LogDown => ClaimOutcome::LogDown,
            OutcomeWithoutRun::Behind => ClaimOutcome::Behind,
            OutcomeWithoutRun::Full => ClaimOutcome::Full,
            OutcomeWithoutRun::KeyTooOld => ClaimOutcome::KeyTooOld,
            OutcomeWithoutRun::KeyFromTheFuture => ClaimOutcome::KeyFromTheFuture,
        }
    }
}

/// What a call must do if its key is in the ledger.
pub(super) enum KeyDecision {
    Claim(u32),
    Wait,
    Finish(OutcomeWithoutRun),
}

/// Decides on a call whose key is in the ledger. `waited` means that the call arrived before the
/// present state of the key.
pub(super) fn decide_by_key_state(
    key_state: &KeyState,
    ledger: &Ledger,
    req: &ClaimRequest,
    waited: bool,
) -> KeyDecision {
    if key_state.fingerprint != req.fingerprint {
        return KeyDecision::Finish(OutcomeWithoutRun::BodyDiffers);
    }
    if let Phase::Done(answer) = &key_state.phase {
        return KeyDecision::Finish(OutcomeWithoutRun::Answer(answer.clone()));
    }
    if let Some(attempt) = key_state.next_attempt(req.deduplicates, ledger.now_ms()) {
        // A caller with this key was told "not run". Only a call that arrived after that reply may
        // run, or the reply would become false.
        let must_not_run = waited && key_state.phase == Phase::NotRun;
        return if must_not_run {
            KeyDecision::Finish(OutcomeWithoutRun::NotRun)
        } else {
            KeyDecision::Claim(attempt)
        };
    }
    match key_state.phase {
        Phase::Unknown => KeyDecision::Finish(OutcomeWithoutRun::Unknown),
        _ => KeyDecision::Wait,
    }
}
