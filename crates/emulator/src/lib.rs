//! Plays a site of model engines, instances and callers in virtual time, without network or clock.
//!
//! The instances run the daemon's own `policy::placement`; the engines are emulated by the figures that
//! operators publish ([`engine`]), callers and their bursts are drawn from a seed ([`load`]), and
//! words between instances take time and may be lost ([`simulation`]). What callers receive is judged in
//! [`outcome`]. `trefoilhall experiment` runs it from a file ([`spec`]); `docs/BENCH.md` tells how near
//! it comes to the sites' own figures.

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
