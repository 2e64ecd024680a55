//! Simulates a site of LLM engines, instances and callers in virtual time, without a network or a
//! clock.
//!
//! The instances run the daemon's own `policy::placement`. The engines are emulated with the
//! figures that operators publish ([`engine`]), callers and their bursts are generated from a seed
//! ([`load`]), and updates between instances take time and may be lost ([`simulation`]). What
//! callers receive is evaluated in [`outcome`]. `trefoilhall experiment` runs a simulation from a
//! file ([`spec`]); `docs/BENCH.md` compares the results with the sites' own figures.

pub mod engine;
pub mod load;
pub mod outcome;
pub mod placer;
pub mod simulation;
pub mod spec;
mod update_delivery;

pub use outcome::{CallResult, KindSummary};
pub use placer::{Placer, PlacerName, Trial};
pub use simulation::simulate;
pub use spec::SiteSpec;
