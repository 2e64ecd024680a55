//! Which configuration is in force: the fold of the stream on which operators publish.
//!
//! - **Load pattern.** Two operators change the configuration at once; an append's answer is lost
//!   and the change is sent again; an instance starts while the log is down, or after the log has
//!   dropped the change that is in force.
//! - **Without it.** The later of two changes silently undoes the first, a late duplicate brings
//!   an old state back, and instances disagree on what is in force.
//! - **Rule.** A change names the version it was made from. It is accepted only where that version
//!   is in force at its offset and its files pass every check; the version then rises by one.
//!   Every reader folds the same records to the same answer, and nobody's clock decides.
//! - **Grounds of the figures.** Stated at each constant.

mod diff;
mod fold;

pub use diff::{FieldChange, difference};
pub use fold::{
    AuditEntry, Change, Note, Publication, PublicationEntry, PublicationPart, Verdict, check_change,
};
