//! The daemon as a library, so that the demo can run several instances in one process.
//! `docs/ARCHITECTURE.md` describes the path of a request.

pub mod folder;
pub mod peer;
pub mod settings;
