//! The scenario language: a user-readable account of a failure that runs against real processes.
//!
//! A scenario is a list of lines. It names what stands in the site, says what happens when, and
//! what must hold in the end. `docs/SCENARIOS.md` is the reference.

pub mod ast;
pub mod parse;
pub mod run;

pub use ast::{Action, Actor, ActorKind, Expectation, Link, Scenario, Send, Step};
pub use parse::{Finding, parse};
pub use run::{Report, RunError, run};
