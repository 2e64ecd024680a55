//! What a call does next, by what is known of its key.

use policy::ledger::{Answer, KeyState, Ledger, Phase};
use smol::channel::Receiver;

use super::{ClaimOutcome, ClaimRequest};

/// What a call does next.
pub(super) enum Next {
    Ended(Ended),
    /// Another call with its key is under way.
    Wait(Receiver<()>),
    /// The stream hasn't been read to its end yet.
    Read(Receiver<()>),
    /// Its own claim has been put in the queue.
    Claim(Receiver<()>),
}

/// How a call ends without running.
pub(super) enum Ended {
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

impl<L: protocols::log::Log> From<Ended> for ClaimOutcome<L> {
    fn from(ended: Ended) -> Self {
        match ended {
            Ended::Answer(answer) => ClaimOutcome::Answer(answer),
            Ended::Unknown => ClaimOutcome::Unknown,
            Ended::BodyDiffers => ClaimOutcome::BodyDiffers,
            Ended::NotRun => ClaimOutcome::NotRun,
            Ended::LogDown => ClaimOutcome::LogDown,
            Ended::Behind => ClaimOutcome::Behind,
            Ended::Full => ClaimOutcome::Full,
            Ended::KeyTooOld => ClaimOutcome::KeyTooOld,
            Ended::KeyFromTheFuture => ClaimOutcome::KeyFromTheFuture,
        }
    }
}

/// What a known key means for a call.
pub(super) enum Judged {
    Claim(u32),
    Wait,
    Ended(Ended),
}

/// Judges a call by what its key's stream says.
pub(super) fn judge(
    key_state: &KeyState,
    ledger: &Ledger,
    req: &ClaimRequest,
    waited: bool,
) -> Judged {
    if key_state.fingerprint != req.fingerprint {
        return Judged::Ended(Ended::BodyDiffers);
    }
    if let Phase::Done(answer) = &key_state.phase {
        return Judged::Ended(Ended::Answer(answer.clone()));
    }
    if let Some(attempt) = key_state.next_attempt(req.deduplicates, ledger.now_ms()) {
        // A caller of this key has heard "not run", and only a call that came after that may make
        // it untrue.
        let spent = waited && key_state.phase == Phase::NotRun;
        return if spent { Judged::Ended(Ended::NotRun) } else { Judged::Claim(attempt) };
    }
    match key_state.phase {
        Phase::Unknown => Judged::Ended(Ended::Unknown),
        _ => Judged::Wait,
    }
}
