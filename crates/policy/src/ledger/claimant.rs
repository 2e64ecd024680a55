//! The claimant's own side of a claim: claimed, then sending or abandoned, and never both.

use super::{Claim, ClaimId, KeyState, Ledger, Phase, Writer};
use crate::{Offset, Time};

/// How far the claimant has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
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
    step: Step,
    offset: Offset,
    deadline: Time,
    deduplicates: bool,
    maybe_ran: bool,
}

/// What a caller may be told once its claim is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum GivenUp {
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
        let (step, offset) = (Step::Waiting, Offset(0));
        Claimant { step, offset, deadline, deduplicates, maybe_ran: false }
    }

    /// How far it has come.
    pub fn step(&self) -> Step {
        self.step
    }

    /// The claim's place in the stream once it is won; the fencing number of the call.
    pub fn fencing(&self) -> Offset {
        self.offset
    }

    /// The latest moment at which the first byte may be sent.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Takes note of a ledger that holds the claim's batch, or of a later one.
    pub fn observe(&mut self, ledger: &Ledger, writer: &Writer, claim: &Claim, id: ClaimId) {
        if self.step != Step::Waiting || ledger.sequence(writer) < id.sequence {
            return;
        }
        match ledger.standing(&claim.key) {
            Some(standing) if holds(standing, writer, id) => {
                self.step = Step::Won;
                self.offset = standing.offset;
                self.maybe_ran = standing.maybe_ran;
            }
            // The batch counts and the claim isn't the valid one, and never will be: a claim is
            // valid from its place in the stream on, or not at all.
            _ => self.step = Step::Lost,
        }
    }

    /// Gives the claim up, unless it is being sent.
    ///
    /// Guards against a false "not run". Before the claim is read back, another one may stand
    /// before it in the stream and have run, so only a claim that was won proves that nothing ran.
    /// Where the endpoint deduplicates, an earlier attempt of unknown outcome may have run, and
    /// past the deadline another instance may have taken over.
    pub fn abandon(&mut self, now: Time) -> GivenUp {
        let taken_over = self.deduplicates && now >= self.deadline;
        match self.step {
            Step::Sending => return GivenUp::Sending,
            Step::Won if !self.maybe_ran && !taken_over => {
                self.step = Step::Abandoned;
                return GivenUp::NotRun;
            }
            Step::Waiting | Step::Won => self.step = Step::Abandoned,
            Step::Lost | Step::Abandoned => {}
        }
        GivenUp::Unknown
    }

    /// Asks for the right to send the first byte, right before it is sent.
    ///
    /// Guards against a claimant that was paused after it had won: when it wakes, its caller has
    /// long gone, and only the clock read here, after the pause, shows it. A later pause does no
    /// harm, because nobody else can win the claim.
    pub fn begin_sending(&mut self, now: Time) -> bool {
        if self.step != Step::Won || now >= self.deadline {
            return false;
        }
        self.step = Step::Sending;
        true
    }
}

fn holds(standing: &KeyState, writer: &Writer, id: ClaimId) -> bool {
    standing.is_held_by(writer, id) && standing.phase == Phase::Claimed
}
