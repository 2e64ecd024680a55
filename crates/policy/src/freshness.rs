//! Which instance reads a log for the others, and how fresh their knowledge of it is as a result.
//!
//! **Load pattern.** Every instance follows the same log of configurations and endpoints.
//!
//! **Without it.** Calls to the log grow with the number of instances: 350 instances use up its
//! whole capacity. And a single instance that can't reach the log refuses all requests, although
//! its peers have just read it.
//!
//! **Rule.** An instance queries a peer for the position up to which it has read the log, and for
//! how long ago that was the end. If the peer hasn't read further, the instance's own state is as
//! fresh as that, counted from when it sent its query; otherwise it reads the log itself. All
//! instances query the first ones among the live instances ([`query_targets`]); an instance without
//! query targets reads the log. There is no election and no lease: two readers do no harm, and an
//! instance that receives no fresh reply reads the log itself.
//!
//! **Grounds.** Clocks of different instances are never compared, and unsolicited replies are
//! ignored. So neither a datagram that waits in a suspended instance's socket nor a suspended peer
//! can make stale state look fresh: an age is stated after the query was sent, and measured by a
//! clock that includes time suspended.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{DataCentre, InstanceId};

/// Maximum number of live instances for which a single one reads the log. With more, one per data
/// centre reads it, so that no instance has to answer more than some dozens.
const MAX_INSTANCES_WITH_ONE_READER: usize = 8;

/// Instances queried before reading the log itself: the first, and a second one in case the first
/// is cut off from the log.
pub const MAX_QUERIED_INSTANCES: usize = 2;

/// Position up to which a log has been read: the first unread offset.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Position(pub u64);

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// How current an instance's knowledge of a log is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freshness {
    /// The log had no entry at this position or beyond.
    pub position: Position,
    /// Maximum time since then, as of when this was sent.
    pub age: Duration,
}

/// Result of comparing a peer's freshness with one's own position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreshnessCheck {
    /// Nothing was missing this long ago.
    Complete(Duration),
    /// The peer has read further.
    Behind,
}

impl Freshness {
    /// Compares this reply with an instance that has read up to `own_position` and sent its query
    /// `since_query` ago, on a clock that includes time suspended.
    pub fn check(&self, own_position: Position, since_query: Duration) -> FreshnessCheck {
        match self.position > own_position {
            true => FreshnessCheck::Behind,
            false => FreshnessCheck::Complete(self.age_after(since_query)),
        }
    }

    /// Maximum age of this reply, `since_query` after the query was sent: the age was stated later
    /// than that.
    pub fn age_after(&self, since_query: Duration) -> Duration {
        self.age + since_query
    }
}

/// The instances that `me` queries, in this order, before it reads the log itself; none if it is
/// the reader.
pub fn query_targets(
    me: &InstanceId,
    own_data_centre: &DataCentre,
    others: &[(InstanceId, DataCentre)],
) -> Vec<InstanceId> {
    let mut targets: Vec<InstanceId> = reader_candidates(own_data_centre, others)
        .filter(|instance| *instance < me)
        .cloned()
        .collect();
    targets.sort();
    targets.truncate(MAX_QUERIED_INSTANCES);
    targets
}

/// How many instances retry an unavailable log together with `me`, itself included. A reader shares
/// its retries with no other, because the others wait for it.
pub fn retry_group_size(
    me: &InstanceId,
    own_data_centre: &DataCentre,
    others: &[(InstanceId, DataCentre)],
) -> usize {
    match reader_candidates(own_data_centre, others).any(|instance| instance < me) {
        true => 1 + reader_candidates(own_data_centre, others).count(),
        false => 1,
    }
}

/// The instances one of which reads the log for all: everyone in a small site, otherwise those of
/// the data centre.
fn reader_candidates<'a>(
    own_data_centre: &'a DataCentre,
    others: &'a [(InstanceId, DataCentre)],
) -> impl Iterator<Item = &'a InstanceId> {
    let is_small_site = others.len() < MAX_INSTANCES_WITH_ONE_READER;
    let candidates = others
        .iter()
        .filter(move |(_, data_centre)| is_small_site || data_centre == own_data_centre);
    candidates.map(|(instance, _)| instance)
}
