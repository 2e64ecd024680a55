//! What a call does next, by what is known of its key.

use policy::ledger::{Answer, KeyState, Ledger, Phase};
use smol::channel::Receiver;

use super::{ClaimOutcome, ClaimRequest};

/// What a call does next.
pub(super) enum NextStep {
    Finish(OutcomeWithoutRun),
    /// Another call with its key is under way.
    Wait(Receiver<()>),
    /// The stream hasn't been read to its end yet.
    Read(Receiver<()>),
    /// Its own claim has been put in the queue.
    Claim(Receiver<()>),
}

/// How a call ends without running.
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
    fn from(ended: OutcomeWithoutRun) -> Self {
        match ended {
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

/// What a known key means for a call.
pub(super) enum KeyDecision {
    Claim(u32),
    Wait,
    Finish(OutcomeWithoutRun),
}

/// Judges a call by what its key's stream says.
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
        // A caller of this key has heard "not run", and only a call that came after that may make
        // it untrue.
        let spent = waited && key_state.phase == Phase::NotRun;
        return if spent {
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
