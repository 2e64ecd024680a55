//! Queues and pending reservations of the other instances.
//!
//! **Load pattern.** Four instances send to the same engines, and the balancer distributes callers
//! unevenly among them.
//!
//! **Without it.** Each instance promises the full speed of the engines to its own callers, and at
//! full load three of four promises are broken.
//!
//! **Rule.** An instance's last digest counts until the next one arrives or the instance is
//! removed. Queued tokens and demand are summed up by band. A digest is ignored if it is older than
//! the known one or of an older incarnation.
//!
//! **Grounds.** A digest replaces the one before and never adds to it, so repeated or late digests
//! can't be counted twice. [`STALE_AFTER`] limits the harm of a lost instance whose removal hasn't
//! been reported: until then, requests would wait for its queue.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{Incarnation, InstanceId, LoadDigest, PendingReservation, Time};

use super::{endpoint::PerBand, workspaces::Workspaces};

/// Age at which a digest no longer counts: many digest intervals, and more than the delay of
/// membership changes.
const STALE_AFTER: Duration = Duration::from_secs(10);

/// The latest digests of the other instances, and sums over them.
#[derive(Debug, Default)]
pub(super) struct Peers {
    digests: IndexMap<InstanceId, ReceivedDigest>,
    pub(super) queued: PerBand,
    pub(super) demand: PerBand,
    /// Whether another instance has a starved long prompt.
    pub(super) has_starved_long_prompt: bool,
}

#[derive(Debug)]
struct ReceivedDigest {
    at: Time,
    digest: LoadDigest,
}

/// Another instance's pending reservation of several engines.
#[derive(Debug)]
pub(super) struct PeerReservation<'a> {
    pub(super) instance: &'a InstanceId,
    pub(super) waited: Duration,
    pub(super) reservation: &'a PendingReservation,
}

impl Peers {
    /// Number of instances, including this one.
    pub(super) fn instances(&self) -> usize {
        self.digests.len() + 1
    }

    /// Age of the oldest digest among the other instances.
    pub(super) fn age(&self, now: Time) -> Duration {
        self.digests.values().map(|received| now.since(received.at)).max().unwrap_or_default()
    }

    /// This instance's position among all instances, sorted by name.
    pub(super) fn rank(&self, own: &InstanceId) -> usize {
        self.digests.keys().filter(|instance| *instance < own).count()
    }

    /// Whether `digest` is newer than the known one.
    pub(super) fn is_new(&self, digest: &LoadDigest) -> bool {
        self.digests.get(&digest.instance).is_none_or(|received| {
            (digest.incarnation, digest.sequence)
                > (received.digest.incarnation, received.digest.sequence)
        })
    }

    /// Stores a digest that is newer than the known one.
    pub(super) fn accept(&mut self, digest: LoadDigest, workspaces: &mut Workspaces, now: Time) {
        let instance = digest.instance.clone();
        if let Some(old) = self.digests.swap_remove(&instance) {
            count_workspaces(&old.digest, workspaces, -1.0);
        }
        count_workspaces(&digest, workspaces, 1.0);
        self.digests.insert(instance, ReceivedDigest { at: now, digest });
        self.sum();
    }

    /// Removes an incarnation of an instance; returns whether it was known.
    pub(super) fn remove(
        &mut self,
        instance: &InstanceId,
        incarnation: Incarnation,
        workspaces: &mut Workspaces,
    ) -> bool {
        if self
            .digests
            .get(instance)
            .is_none_or(|received| received.digest.incarnation > incarnation)
        {
            return false;
        }
        if let Some(old) = self.digests.swap_remove(instance) {
            count_workspaces(&old.digest, workspaces, -1.0);
        }
        self.sum();
        true
    }

    /// Instances whose digest is too old to count.
    pub(super) fn stale(&self, now: Time) -> Vec<(InstanceId, Incarnation)> {
        self.digests
            .iter()
            .filter(|(_, received)| now.since(received.at) > STALE_AFTER)
            .map(|(instance, received)| (instance.clone(), received.digest.incarnation))
            .collect()
    }

    /// The first pending reservation of each instance.
    pub(super) fn pending_reservations(
        &self,
        now: Time,
    ) -> impl Iterator<Item = PeerReservation<'_>> {
        self.digests.iter().filter_map(move |(instance, received)| {
            let reservation = received.digest.pending_reservations.first()?;
            let waited = reservation.waited + now.since(received.at);
            Some(PeerReservation { instance, waited, reservation })
        })
    }

    fn sum(&mut self) {
        self.queued = PerBand::default();
        self.demand = PerBand::default();
        self.has_starved_long_prompt =
            self.digests.values().any(|received| received.digest.long_prompts_starved);
        for received in self.digests.values() {
            for (sum, tokens) in self.queued.iter_mut().zip(received.digest.queued) {
                *sum += tokens.0 as f64;
            }
            for (sum, rate) in self.demand.iter_mut().zip(received.digest.demand) {
                *sum += rate.0;
            }
        }
    }
}

/// Adds a digest's values to the workspaces, or subtracts them if `sign` is -1.
fn count_workspaces(digest: &LoadDigest, workspaces: &mut Workspaces, sign: f64) {
    for share in &digest.workspaces {
        if let Some(index) = workspaces.find(&share.workspace) {
            let state = workspaces.get_mut(index);
            state.peers_served = (state.peers_served + sign * share.served.0).max(0.0);
            state.peers_waiting = (state.peers_waiting + sign * share.waiting.0 as f64).max(0.0);
        }
    }
}
