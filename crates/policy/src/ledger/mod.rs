//! At-most-once execution of calls that may not be repeated.
//!
//! - **Load pattern.** A caller that gets no answer retries its call on whichever instance the load
//!   balancer picks. Meanwhile the first instance may be paused, partitioned, or waiting for a
//!   reply of the log that was lost after the append took effect.
//! - **Without it.** With a lease, the lease expires while its holder is paused, and the holder
//!   resumes and still runs the call: two registrations. A check followed by a run has the same
//!   race. `tests/ledger_model.rs` shows a trace of both.
//! - **Rule.** An instance appends a claim and reads it back. The first valid claim of a key in
//!   offset order wins, on every reader alike, and doesn't expire by itself. Only the claimant may
//!   void it, by [`Entry::NotRun`], after abandoning the claim in its own memory. Only where the
//!   endpoint deduplicates may another instance take a claim over. If bytes were sent and no answer
//!   arrived, the outcome is unknown and stays so unless the answer still arrives.
//! - **Grounds of the figures.** Stated at each constant; `docs/decisions/ledger.md` contains the
//!   measurements.

mod claimant;
mod fold;
mod key;
mod record;

pub use claimant::{AbandonOutcome, Claimant, ClaimantState};
pub use fold::{KeyState, Ledger, MAX_RETAINED_BODY_BYTES, Phase, RetentionWindow};
pub use key::{CallKey, KeyAge, KeyError, MAX_KEY_BYTES};
pub use record::{Answer, Batch, Claim, ClaimId, Entry, LedgerPart, MAX_ANSWER_BODY_BYTES, Writer};
