//! Small stand-ins of the outside systems, for tests, demo and bench. Each runs inside the calling
//! process on a loopback port, and each is as faulty as a test asks it to be.

pub mod address;
pub mod client;
pub mod engine;
mod http;
pub mod instances;
pub mod log;
pub mod proxy;
pub mod scenario;
pub mod service;
pub mod weights;

pub use address::free_address;
pub use engine::{Engine, EngineConfig, EngineStats, expected_answer};
pub use instances::ListService;
pub use log::{AppendFault, LogConfig, LogService, Outage};
pub use proxy::{Direction, FaultProxy, Mode};
pub use service::{Service, ServiceConfig, ServiceFault};
pub use weights::{WeightConfig, WeightStore};
