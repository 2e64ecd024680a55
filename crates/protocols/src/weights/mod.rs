//! The weight store. It is rate-limited, so whoever orders engines to load weights has to space the
//! loads.

pub mod http;

use std::{fmt, future::Future, time::Duration};

/// Why the weight store couldn't be queried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WeightError {
    /// The store's rate limit is exceeded; retry after this time.
    Busy(Duration),
    /// The store has no such model or version.
    Missing,
    /// The store can't be reached, or its response is invalid.
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

/// The part of the weight store's interface that this system uses; engines fetch weights
/// themselves.
pub trait WeightStore: Send + Sync {
    /// Queries the size of a model version in bytes, which also checks that it exists.
    fn size(
        &self,
        model: &str,
        version: &str,
    ) -> impl Future<Output = Result<u64, WeightError>> + Send;
}
