//! The weight store over HTTP.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;

use super::{WeightError, WeightStore};
use crate::http::HttpCall;

/// How long the store may take to answer a question about a size.
const TIMEOUT: Duration = Duration::from_secs(2);
/// How long to wait where the store says that it is busy but not for how long.
const BUSY: Duration = Duration::from_secs(1);

/// The weight store at one address.
#[derive(Debug, Clone, Copy)]
pub struct HttpWeightStore {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct Size {
    bytes: u64,
}

impl HttpWeightStore {
    /// The store at `address`.
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
            429 => Err(WeightError::Busy(answer.retry_after.unwrap_or(BUSY))),
            _ if answer.is_success() => {
                let size: Size = answer.json().map_err(|_| WeightError::Unavailable)?;
                Ok(size.bytes)
            }
            _ => Err(WeightError::Unavailable),
        }
    }
}
