//! The weight store. It is rate-limited, so loads are spaced by whoever orders them.

pub mod http;

use std::{fmt, future::Future, time::Duration};

/// Why weights can't be had now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WeightError {
    /// Over the store's rate; ask again after this long.
    Busy(Duration),
    /// No such model or version.
    Missing,
    /// The store can't be reached.
    Unavailable,
}

impl fmt::Display for WeightError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WeightError::Busy(wait) => {
                write!(f, "the weight store is busy for another {} ms", wait.as_millis())
            }
            WeightError::Missing => write!(f, "the weight store has no such model and version"),
            WeightError::Unavailable => write!(f, "the weight store can't be reached"),
        }
    }
}

impl std::error::Error for WeightError {}

/// The store, as far as this system calls it; engines fetch the weights themselves.
pub trait WeightStore: Send + Sync {
    /// Size in bytes of a model's version, which also proves that it exists.
    fn size(
        &self,
        model: &str,
        version: &str,
    ) -> impl Future<Output = Result<u64, WeightError>> + Send;
}
