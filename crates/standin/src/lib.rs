//! Small stand-ins of the outside systems, for tests, demo and bench. Each runs inside the calling
//! process on a loopback port, and each is as faulty as a test asks it to be.

pub mod client;
pub mod engine;
mod http;
pub mod log;
pub mod scenario;
pub mod weights;

pub use engine::{Engine, EngineConfig, EngineStats, expected_answer};
pub use log::{AppendFault, LogConfig, LogService, Outage};
pub use weights::{WeightConfig, WeightStore};
