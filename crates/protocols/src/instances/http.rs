//! The list of instances over HTTP.

use std::{net::SocketAddr, time::Duration};

use super::{InstanceList, ListError, ListPage};
use crate::http::HttpCall;

/// How long the list may take to answer. It is read again soon anyway, and other witnesses speak
/// meanwhile.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The list at one address.
#[derive(Debug, Clone, Copy)]
pub struct HttpInstanceList {
    address: SocketAddr,
}

impl HttpInstanceList {
    /// The list at `address`.
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
