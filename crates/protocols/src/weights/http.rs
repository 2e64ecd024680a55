//! HTTP client of the weight store.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;

use super::{WeightError, WeightStore};
use crate::http::HttpCall;

/// Timeout of a size query.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Retry delay if the store is busy and its response has no `Retry-After` header.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Client of the weight store.
#[derive(Debug, Clone, Copy)]
pub struct HttpWeightStore {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct Size {
    bytes: u64,
}

impl HttpWeightStore {
    /// Creates a client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        HttpWeightStore { address }
    }
}

impl WeightStore for HttpWeightStore {
    async fn size(&self, model: &str, version: &str) -> Result<u64, WeightError> {
        let path = format!("/weights/{model}/{version}");
        let answer = HttpCall::get(self.address, &path, TIMEOUT).send().await;
        let answer = answer.map_err(|_| WeightError::Unavailable)?;
        match answer.status {
            404 => Err(WeightError::Missing),
            429 => Err(WeightError::Busy(answer.retry_after.unwrap_or(DEFAULT_RETRY_DELAY))),
            _ if answer.is_success() => {
                let size: Size = answer.json().map_err(|_| WeightError::Unavailable)?;
                Ok(size.bytes)
            }
            _ => Err(WeightError::Unavailable),
        }
    }
}
