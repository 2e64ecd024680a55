//! Keeps what an instance believes converging: configuration and endpoints.

mod configuration;
mod endpoints;

pub use configuration::Follower as ConfigurationFollower;
pub use endpoints::Follower as EndpointsFollower;

use crate::source::SourceError;

/// Peers that are asked one after the other before an instance reads for itself.
const PLACES: usize = 2;

/// Tells once that a source is lost and once that it is back.
#[derive(Debug)]
struct Contact {
    source: &'static str,
    lost: bool,
}

impl Contact {
    fn new(source: &'static str) -> Contact {
        Contact { source, lost: false }
    }

    fn failed(&mut self, e: &SourceError) {
        if !std::mem::replace(&mut self.lost, true) {
            log::warn!(source = self.source, cause:% = e; "source_lost");
        }
    }

    fn answered(&mut self) {
        if std::mem::replace(&mut self.lost, false) {
            log::info!(source = self.source; "source_back");
        }
    }
}
