//! HTTP client of the list of instances.

use std::{net::SocketAddr, time::Duration};

use super::{InstanceList, ListError, ListPage};
use crate::http::HttpCall;

/// Timeout of reading the list. It is read periodically, and there are other sources of membership.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the list of instances.
#[derive(Debug, Clone, Copy)]
pub struct HttpInstanceList {
    address: SocketAddr,
}

impl HttpInstanceList {
    /// Creates a client of the list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        HttpInstanceList { address }
    }
}

impl InstanceList for HttpInstanceList {
    async fn list(&self) -> Result<ListPage, ListError> {
        let answer = HttpCall::get(self.address, "/instances", TIMEOUT).send().await;
        let answer = answer.map_err(|_| ListError)?;
        if !answer.is_success() {
            return Err(ListError);
        }
        answer.json().map_err(|_| ListError)
    }
}
