//! Baseline schedulers without a policy, for comparison with the product's own.
//!
//! They fulfil the contract of [`Scheduler`](crate::Scheduler): each admitted request ends or fails
//! by its deadline. Beyond that they admit everything and have no fair shares, priorities or retry
//! budgets.

mod first_come;
mod least_outstanding;
mod round_robin;
mod scheduler;

pub use first_come::FirstComeFirstServed;
pub use least_outstanding::LeastOutstanding;
pub use round_robin::RoundRobin;
pub use scheduler::{BaselineEndpoint, BaselineScheduler, EndpointPicker};
