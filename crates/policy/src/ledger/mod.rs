//! Calls that may not be repeated run at most once.
//!
//! - **Load pattern.** A caller that hears nothing sends its call again, to whichever instance the
//!   balancer picks, while the first instance may be paused, cut off, or waiting for an answer of
//!   the log that was lost after the append took effect.
//! - **Without it.** A lease lapses while its holder is paused, and the holder wakes up still
//!   believing in it: two registrations. The same happens with "look whether it ran, then run
//!   it". `tests/ledger_model.rs` shows both with a trace.
//! - **Rule.** An instance appends a claim and reads it back; the first valid claim of a key in
//!   offset order wins, on every reader alike, and never lapses. Only the claimant may void it, by
//!   [`Entry::NotRun`], after it has given the claim up in its own memory. Bytes sent and no
//!   answer means that the outcome is unknown, and it stays so.
//! - **Grounds of the figures.** Stated at each constant; `docs/decisions/ledger.md` holds the
//!   measurements.

mod claimant;
mod fold;
mod key;
mod record;

pub use claimant::{AbandonOutcome, Claimant, ClaimantState};
pub use fold::{KeyState, Ledger, MAX_RETAINED_BODY_BYTES, Phase, RetentionWindow};
pub use key::{CallKey, KeyAge, KeyError, MAX_KEY_BYTES};
pub use record::{Answer, Batch, Claim, ClaimId, Entry, LedgerPart, MAX_ANSWER_BODY_BYTES, Writer};
