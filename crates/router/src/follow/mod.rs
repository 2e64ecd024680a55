//! Keeps what an instance believes converging: configuration and endpoints.

mod configuration;
mod endpoints;

use std::sync::Arc;

pub use configuration::Follower as ConfigurationFollower;
pub use endpoints::Follower as EndpointsFollower;

use crate::{
    source::SourceError,
    vouching::{Source, Vouching},
};

/// Tells once that a source is lost and once that it is back.
#[derive(Debug)]
struct Contact {
    source: Source,
    vouching: Arc<Vouching>,
    lost: bool,
}

impl Contact {
    fn new(source: Source, vouching: Arc<Vouching>) -> Contact {
        Contact { source, vouching, lost: false }
    }

    fn failed(&mut self, e: &SourceError) {
        if !std::mem::replace(&mut self.lost, true) {
            log::warn!(source = self.source.as_str(), cause:% = e; "source_lost");
            self.vouching.set_lost(self.source, true);
        }
    }

    fn answered(&mut self) {
        if std::mem::replace(&mut self.lost, false) {
            log::info!(source = self.source.as_str(); "source_back");
            self.vouching.set_lost(self.source, false);
        }
    }
}
