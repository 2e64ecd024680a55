//! Schedulers without any policy, kept to measure the product's own against.
//!
//! They keep the contract of [`Scheduler`](crate::Scheduler): each admitted request ends or fails
//! by its deadline. Beyond that they admit everything, know no shares, no priorities and no retry
//! budget.

mod first_come;
mod least_outstanding;
mod round_robin;
mod scheduler;

pub use first_come::FirstComeFirstServed;
pub use least_outstanding::LeastOutstanding;
pub use round_robin::RoundRobin;
pub use scheduler::{BaselineEndpoint, BaselineScheduler, EndpointPicker};
