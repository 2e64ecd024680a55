//! The command-line tool of operators, as a library so that its parts can be tested.

pub mod app;
pub mod bench;
pub mod cli;
pub mod command;
pub mod demo;
pub mod error;
pub mod experiment;
pub mod explain;
pub mod fleet;
pub mod instance;
pub mod options;
pub mod output;
