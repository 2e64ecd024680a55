//! Small stand-ins of the outside systems, for tests, demo and bench.

pub mod scenario;
