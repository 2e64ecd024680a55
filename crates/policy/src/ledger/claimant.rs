//! The claimant's local state machine for one claim. A claim is either sent or abandoned, never
//! both.

use super::{Claim, ClaimId, KeyState, Ledger, Phase, Writer};
use crate::{Offset, Time};

/// State of a claim at its claimant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClaimantState {
    /// The claim has not been read back from the log yet.
    Waiting,
    /// The claim was read back from the log as the valid one for its key.
    Won,
    /// Another claim is valid for the key, or this one was rejected by the fold. Final.
    Lost,
    /// The first byte may have been sent to the endpoint.
    Sending,
    /// The claim was abandoned before any byte was sent. Final.
    Abandoned,
}

/// One claim in the memory of its claimant. The caller that abandons the call and the task that
/// sends it access it under the same lock, so that only one of the two transitions can succeed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Claimant {
    state: ClaimantState,
    fencing_number: Offset,
    deadline: Time,
    deduplicates: bool,
    maybe_ran: bool,
}

/// What can truthfully be reported to the caller when its claim is abandoned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AbandonOutcome {
    /// The call did not run, and no claim made so far will run it.
    NotRun,
    /// This claim did not run the call, but another claim may have run it or may still run it.
    Unknown,
    /// Abandoning failed: the first byte may have been sent.
    Sending,
}

impl Claimant {
    /// Creates a waiting claim. No byte is sent after `deadline`. For `deduplicates` see [`Claim`].
    pub fn new(deadline: Time, deduplicates: bool) -> Self {
        let (state, fencing_number) = (ClaimantState::Waiting, Offset(0));
        Claimant { state, fencing_number, deadline, deduplicates, maybe_ran: false }
    }

    /// The claim's current state.
    pub fn state(&self) -> ClaimantState {
        self.state
    }

    /// Fencing number of the call: the claim's offset in the stream, or zero until the claim is
    /// won.
    pub fn fencing_number(&self) -> Offset {
        self.fencing_number
    }

    /// The time after which the first byte must not be sent.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Settles a waiting claim as won or lost, once `ledger` includes the batch that contains it.
    pub fn observe(&mut self, ledger: &Ledger, writer: &Writer, claim: &Claim, id: ClaimId) {
        if self.state != ClaimantState::Waiting || ledger.sequence(writer) < id.sequence {
            return;
        }
        match ledger.key_state(&claim.key) {
            Some(key_state) if is_valid_claim(key_state, writer, id) => {
                self.state = ClaimantState::Won;
                self.fencing_number = key_state.offset;
                self.maybe_ran = key_state.maybe_ran;
            }
            // The batch was applied and the claim isn't the valid one. It can't become valid later:
            // the fold decides on a claim once, at the claim's offset.
            _ => self.state = ClaimantState::Lost,
        }
    }

    /// Abandons the claim unless sending has begun.
    ///
    /// Guards against a false "not run". Until the claim is read back, an earlier claim in the
    /// stream may exist and may have run the call, so only a won claim proves that nothing ran. If
    /// the endpoint deduplicates, an earlier attempt with an unknown outcome may have run, and
    /// after the deadline another instance may have taken the claim over.
    pub fn abandon(&mut self, now: Time) -> AbandonOutcome {
        let taken_over = self.deduplicates && now >= self.deadline;
        match self.state {
            ClaimantState::Sending => return AbandonOutcome::Sending,
            ClaimantState::Won if !self.maybe_ran && !taken_over => {
                self.state = ClaimantState::Abandoned;
                return AbandonOutcome::NotRun;
            }
            ClaimantState::Waiting | ClaimantState::Won => self.state = ClaimantState::Abandoned,
            ClaimantState::Lost | ClaimantState::Abandoned => {}
        }
        AbandonOutcome::Unknown
    }

    /// Requests permission to send the first byte; must be called immediately before sending.
    ///
    /// Guards against a claimant that was paused after it won the claim: when it resumes, its
    /// caller may be gone, and only a clock read after the pause can detect this. A pause after
    /// this check is harmless, because no other instance can win the claim.
    pub fn try_begin_sending(&mut self, now: Time) -> bool {
        if self.state != ClaimantState::Won || now >= self.deadline {
            return false;
        }
        self.state = ClaimantState::Sending;
        true
    }
}

fn is_valid_claim(key_state: &KeyState, writer: &Writer, id: ClaimId) -> bool {
    key_state.is_held_by(writer, id) && key_state.phase == Phase::Claimed
}
