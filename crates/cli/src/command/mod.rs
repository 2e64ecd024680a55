//! The commands, one file each.

pub mod audit;
pub mod check;
pub mod drain;
pub mod publish;
pub mod status;
