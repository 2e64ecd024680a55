//! Rendezvous hashing: every instance computes the same owner of a key from the same members,
//! without communication, and adding or removing a member moves only the keys that it owns.
//!
//! **Load pattern.** 350 instances in front of 3,600 endpoints. Each endpoint's load should be
//! polled by one instance, each engine's memory released by one controller, and each instance
//! should keep connections to some endpoints only.
//!
//! **Without it.** Every instance polls every endpoint: 1.26 million polls per round, and as many
//! open connections.
//!
//! **Rule.** Each (key, member) pair has a hash, and the highest one wins. The first `n` owners are
//! the members with the highest hashes.
//!
//! **Grounds.** Hashing about 20 bytes per pair takes some nanoseconds. The owners of 3,600
//! endpoints among the 18 instances of a data centre take 65,000 hashes, computed only when the
//! membership changes. While views differ, a key has two owners or none; whatever is built on this
//! must tolerate both.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{EndpointId, InstanceId};

/// The key of a name, for [`owner`] and [`owners`].
pub fn key(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}

/// Combines two keys into a hash, for rendezvous hashing where the members' names aren't at hand.
pub fn mix(member: u64, key: u64) -> u64 {
    xxh3_64_with_seed(&member.to_le_bytes(), key)
}

/// Index of the member that owns `key`; none only if there are no members.
pub fn owner<'a, M: AsRef<str> + 'a>(
    key: u64,
    members: impl IntoIterator<Item = &'a M>,
) -> Option<usize> {
    members
        .into_iter()
        .enumerate()
        .max_by_key(|&(_, member)| (score(key, member.as_ref()), Reverse(member.as_ref())))
        .map(|(index, _)| index)
}

/// Indexes of the first `count` members for `key`, best first; all if there are fewer.
pub fn owners<M: AsRef<str>>(key: u64, members: &[M], count: usize) -> Vec<usize> {
    let mut scored: Vec<ScoredMember<'_>> = members
        .iter()
        .enumerate()
        .map(|(index, member)| {
            let name = member.as_ref();
            ScoredMember { score: Reverse(score(key, name)), name, index }
        })
        .collect();
    if count < scored.len() {
        scored.select_nth_unstable(count);
        scored.truncate(count);
    }
    scored.sort_unstable();
    scored.into_iter().map(|scored| scored.index).collect()
}

/// Indexes of the endpoints to which instance `me` sends. Each endpoint is assigned to its first
/// `instances_each` instances, so that no endpoint is without senders; an instance has about
/// `endpoints * instances_each / instances` endpoints.
pub fn subset(
    me: &InstanceId,
    instances: &[InstanceId],
    endpoints: &[EndpointId],
    instances_each: usize,
) -> Vec<usize> {
    if instances_each >= instances.len() {
        return (0..endpoints.len()).collect();
    }
    let is_assigned = |endpoint: &EndpointId| {
        owners(key(endpoint.as_str()), instances, instances_each)
            .into_iter()
            .any(|index| &instances[index] == me)
    };
    (0..endpoints.len()).filter(|index| is_assigned(&endpoints[*index])).collect()
}

/// Ordered best first; equal scores are ordered by name, so that all instances agree.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ScoredMember<'a> {
    score: Reverse<u64>,
    name: &'a str,
    index: usize,
}

fn score(key: u64, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), key)
}
