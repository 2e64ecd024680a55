//! The protocols of the outside world: model engines, plain services, the log service, the weight
//! store and the list of instances. One trait each and one HTTP adapter each; another wire format
//! is one new file. `docs/PROTOCOLS.md` describes the messages.

pub mod body;
pub mod engine;
pub mod http;
pub mod instances;
pub mod log;
pub mod service;
pub mod weights;
