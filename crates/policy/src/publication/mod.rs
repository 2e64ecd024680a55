//! Decides which configuration is in force, by folding the stream on which operators publish.
//!
//! - **Load pattern.** Two operators change the configuration concurrently; the reply to an append
//!   is lost and the change is sent again; an instance starts while the log is down, or after the
//!   log has dropped the record of the change that is in force.
//! - **Without it.** The later of two changes silently reverts the first, a late duplicate restores
//!   an old state, and instances disagree on what is in force.
//! - **Rule.** A change names its base version. It is accepted only if that version is in force at
//!   the change's offset and its files pass every check; the version then increases by one. Every
//!   reader folds the same records to the same result, independent of any local clock.
//! - **Grounds of the figures.** Stated at each constant.

mod diff;
mod fold;

pub use diff::{FieldChange, difference};
pub use fold::{
    AuditEntry, Change, Note, Publication, PublicationEntry, PublicationPart, Verdict, check_change,
};
