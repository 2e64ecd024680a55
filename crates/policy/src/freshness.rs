//! Which instance reads a source for others, and how fresh that makes what they know.
//!
//! **Load pattern.** Every instance follows the same log of configurations and endpoints.
//!
//! **Without it.** The log's calls grow with the instances: at three hundred and fifty they are all that
//! it takes. And an instance that alone can't reach the log refuses everybody, while its peers have
//! read it a moment ago.
//!
//! **Rule.** An instance asks a peer up to where it has read and how long ago that was true. What it
//! knows itself is as fresh as that, counted from the moment of its own question, unless the peer has
//! read further; then it reads for itself. All ask the instances that come first among the live ones
//! ([`readers`]); whose turn it is reads. There is no election and no lease: two readers do no harm, and
//! who hears nothing fresh reads for itself.
//!
//! **Grounds.** No clocks are compared and no word is believed that wasn't asked for, so neither a
//! datagram that waits in a suspended instance's socket nor a suspended peer makes anything look fresher
//! than it is: an age is told after the question was sent, and on a clock that counts suspends.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{DataCentre, InstanceId};

/// Live instances up to which one reads for all; of more, one in each data centre does, so that no
/// instance answers more than some dozens.
const MAX_INSTANCES_WITH_ONE_READER: usize = 8;

/// Instances that are asked before one reads for itself: the first, and the next where that one is
/// cut off from the source.
pub const MAX_QUERIED_INSTANCES: usize = 2;

/// Up to where a log has been read: the first offset that isn't known.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Position(pub u64);

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What an instance knows of a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freshness {
    /// Nothing was there at this position or beyond.
    pub position: Position,
    /// How long ago that was so at least, when it was told.
    pub age: Duration,
}

/// What a peer's answer says of one's own knowledge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreshnessCheck {
    /// Nothing was missing this long ago.
    Complete(Duration),
    /// The peer has read further.
    Behind,
}

impl Freshness {
    /// What it says of an instance that has read up to `mine` and asked `since_asked` ago, by a clock that
    /// counts suspends.
    pub fn check(&self, mine: Position, since_query: Duration) -> FreshnessCheck {
        match self.position > mine {
            true => FreshnessCheck::Behind,
            false => FreshnessCheck::Complete(self.age_after(since_query)),
        }
    }

    /// How old it is at most, `since_asked` after the question: it was told later than that, and was true
    /// so long before.
    pub fn age_after(&self, since_query: Duration) -> Duration {
        self.age + since_query
    }
}

/// Whom `me` asks, in this order, before it reads for itself; none where it is its own turn.
pub fn query_targets(
    me: &InstanceId,
    here: &DataCentre,
    others: &[(InstanceId, DataCentre)],
) -> Vec<InstanceId> {
    let mut before: Vec<InstanceId> =
        reader_candidates(here, others).filter(|instance| *instance < me).cloned().collect();
    before.sort();
    before.truncate(MAX_QUERIED_INSTANCES);
    before
}

/// How many instances retry a lost source together with `me`, itself included. The one that reads for the
/// others shares with nobody: they wait for it.
pub fn retry_group_size(
    me: &InstanceId,
    here: &DataCentre,
    others: &[(InstanceId, DataCentre)],
) -> usize {
    match reader_candidates(here, others).any(|instance| instance < me) {
        true => 1 + reader_candidates(here, others).count(),
        false => 1,
    }
}

/// The instances among which one reads for all.
fn reader_candidates<'a>(
    here: &'a DataCentre,
    others: &'a [(InstanceId, DataCentre)],
) -> impl Iterator<Item = &'a InstanceId> {
    let all = others.len() < MAX_INSTANCES_WITH_ONE_READER;
    let near = others.iter().filter(move |(_, data_centre)| all || data_centre == here);
    near.map(|(instance, _)| instance)
}
