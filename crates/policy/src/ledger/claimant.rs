//! The claimant's own side of a claim: claimed, then sending or abandoned, and never both.

use super::{Claim, ClaimId, KeyState, Ledger, Phase, Writer};
use crate::{Offset, Time};

/// How far the claimant has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClaimantState {
    /// The claim waits to be appended or to be read back.
    Waiting,
    /// It was read back as the valid one.
    Won,
    /// Another claim is the valid one, or this one never counts.
    Lost,
    /// The first byte may be on its way to the endpoint.
    Sending,
    /// Given up before any byte was sent.
    Abandoned,
}

/// One claim in its claimant's memory. It lives under one lock, so that a caller that gives up and
/// a task that is about to send can't both have their way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Claimant {
    state: ClaimantState,
    fencing_number: Offset,
    deadline: Time,
    deduplicates: bool,
    maybe_ran: bool,
}

/// What a caller may be told once its claim is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AbandonOutcome {
    /// The call did not run, and no claim made before now will run it.
    NotRun,
    /// This claim didn't run it; another one may have, or may yet.
    Unknown,
    /// Too late: the first byte may be on its way.
    Sending,
}

impl Claimant {
    /// A claim that waits; nothing is sent after `deadline`. `deduplicates` as in [`Claim`].
    pub fn new(deadline: Time, deduplicates: bool) -> Self {
        let (state, fencing_number) = (ClaimantState::Waiting, Offset(0));
        Claimant { state, fencing_number, deadline, deduplicates, maybe_ran: false }
    }

    /// How far it has come.
    pub fn state(&self) -> ClaimantState {
        self.state
    }

    /// The claim's place in the stream once it is won; the fencing number of the call.
    pub fn fencing_number(&self) -> Offset {
        self.fencing_number
    }

    /// The latest moment at which the first byte may be sent.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Takes note of a ledger that holds the claim's batch, or of a later one.
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
            // The batch counts and the claim isn't the valid one, and never will be: a claim is
            // valid from its place in the stream on, or not at all.
            _ => self.state = ClaimantState::Lost,
        }
    }

    /// Gives the claim up, unless it is being sent.
    ///
    /// Guards against a false "not run". Before the claim is read back, another one may stand
    /// before it in the stream and have run, so only a claim that was won proves that nothing ran.
    /// Where the endpoint deduplicates, an earlier attempt of unknown outcome may have run, and
    /// past the deadline another instance may have taken over.
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

    /// Asks for the right to send the first byte, right before it is sent.
    ///
    /// Guards against a claimant that was paused after it had won: when it wakes, its caller has
    /// long gone, and only the clock read here, after the pause, shows it. A later pause does no
    /// harm, because nobody else can win the claim.
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
