//! Rendezvous hashing: every instance computes the same owner of a key from the same members,
//! with no message, and a member that comes or goes moves only the keys that it owns.
//!
//! **Load pattern.** 3,600 endpoints before 350 instances: each endpoint's load should be asked
//! for by one instance, each engine's memory swept by one controller, and each instance should
//! keep connections to some endpoints only.
//!
//! **Without it.** Every instance polls every endpoint: 1.26 million polls a round, and as many
//! open connections.
//!
//! **Rule.** Each (key, member) pair has a hash; the highest wins. For the first `n` winners the
//! members are ordered by the same hash.
//!
//! **Grounds.** One hash of about 20 bytes a pair costs some nanoseconds; ownership of 3,600
//! endpoints among 18 instances of a data centre is 65,000 hashes, computed only when membership
//! changes. Where views differ for a while, two members own a key at once, or none does; both
//! must do no harm to whatever is built on it.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{EndpointId, InstanceId};

/// A key for [`owner`] and [`owners`] from any name.
pub fn key(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}

/// The position of the member that owns `key`; none only where there are no members.
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

/// The positions of the `wanted` members that come first for `key`, best first; all where there
/// are fewer.
pub fn owners<M: AsRef<str>>(key: u64, members: &[M], wanted: usize) -> Vec<usize> {
    let mut scored: Vec<Scored<'_>> = members
        .iter()
        .enumerate()
        .map(|(index, member)| {
            let name = member.as_ref();
            Scored { score: Reverse(score(key, name)), name, index }
        })
        .collect();
    if wanted < scored.len() {
        scored.select_nth_unstable(wanted);
        scored.truncate(wanted);
    }
    scored.sort_unstable();
    scored.into_iter().map(|scored| scored.index).collect()
}

/// The endpoints that instance `me` sends to. Each endpoint picks the `instances_each` instances
/// that come first for it, so that no endpoint is without senders; an instance has those that
/// picked it, about `endpoints * instances_each / instances` of them.
pub fn subset(
    me: &InstanceId,
    instances: &[InstanceId],
    endpoints: &[EndpointId],
    instances_each: usize,
) -> Vec<usize> {
    if instances_each >= instances.len() {
        return (0..endpoints.len()).collect();
    }
    let picked = |endpoint: &EndpointId| {
        owners(key(endpoint.as_str()), instances, instances_each)
            .into_iter()
            .any(|index| &instances[index] == me)
    };
    (0..endpoints.len()).filter(|index| picked(&endpoints[*index])).collect()
}

/// Ordered best first; the name decides between equal scores, so that all agree.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Scored<'a> {
    score: Reverse<u64>,
    name: &'a str,
    index: usize,
}

fn score(key: u64, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), key)
}
