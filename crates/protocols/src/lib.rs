//! Clients of the external systems: model engines, plain services, the log service, the weight
//! store and the list of instances. Each has a trait and an HTTP adapter, so that another wire
//! format can be added as a further adapter. `docs/PROTOCOLS.md` describes the messages.

pub mod body;
pub mod engine;
pub mod http;
pub mod instances;
pub mod log;
pub mod service;
pub mod weights;
