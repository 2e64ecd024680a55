//! Keeps what an instance believes converging: configuration and endpoints.

mod configuration;
mod endpoints;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

pub use configuration::Follower as ConfigurationFollower;
pub use endpoints::Follower as EndpointsFollower;
use policy::backoff::Backoff;

use crate::{
    source::SourceError,
    vouching::{Source, Vouching},
};

/// What the readers in front of an instance said.
enum Standing {
    /// They know what it lacks, and it has it now.
    Vouched,
    /// They can't read the source either.
    Refused,
    /// Nobody said anything of use.
    Unknown,
}

/// Whether a source is lost, and when it is tried again.
#[derive(Debug)]
struct Contact {
    source: Source,
    vouching: Arc<Vouching>,
    is_lost: bool,
    backoff: Backoff,
    retry_at: Option<Instant>,
}

impl Contact {
    fn new(source: Source, vouching: Arc<Vouching>) -> Contact {
        Contact { source, vouching, is_lost: false, backoff: Backoff::default(), retry_at: None }
    }

    fn failed(&mut self, e: &SourceError) {
        if !std::mem::replace(&mut self.is_lost, true) {
            log::warn!(source = self.source.as_str(), cause:% = e; "source_lost");
            self.vouching.set_lost(self.source, true);
        }
        let pause = self.backoff.failed(self.vouching.sharers(), &mut fastrand::Rng::new());
        self.retry_at = Some(Instant::now() + pause);
    }

    /// The source answered this instance, or one that reads before it.
    fn answered(&mut self) {
        self.backoff.reset();
        self.retry_at = None;
        if std::mem::replace(&mut self.is_lost, false) {
            log::info!(source = self.source.as_str(); "source_back");
            self.vouching.set_lost(self.source, false);
        }
    }

    /// Leaves the next try to others for a while, as they are known to have failed.
    fn defer(&mut self) {
        let pause = || Backoff::deferred(self.vouching.sharers(), &mut fastrand::Rng::new());
        self.retry_at.get_or_insert_with(|| Instant::now() + pause());
    }

    /// Tries again at once if this instance reads before all others.
    fn hear_news(&mut self) {
        if self.is_lost && self.vouching.sharers() == 1 {
            self.retry_at = None;
        }
    }

    fn until_retry(&self) -> Duration {
        self.retry_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(Instant::now()))
    }
}
