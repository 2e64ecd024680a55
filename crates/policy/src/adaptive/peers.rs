//! What the other instances have queued and wish for.
//!
//! **Load pattern.** Four instances stand before the same engines; the balancer spreads callers
//! over them unevenly.
//!
//! **Without it.** Each instance promises the whole of the engines' speed to its own callers, and
//! at full load three of four promises are broken.
//!
//! **Rule.** Each instance's last digest counts until the next one or until the instance is gone.
//! Queued tokens and demand are summed by band. A digest that is older than the one known, or of
//! an older life, is ignored.
//!
//! **Grounds.** A digest replaces, it never adds, so that a repeated or late one can't be counted
//! twice. [`STALE_AFTER`] bounds the harm of an instance whose loss nobody has told: its queue
//! would otherwise be waited for until somebody does.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{Incarnation, InstanceId, LoadDigest, PendingReservation, Time};

use super::{endpoint::PerBand, workspaces::Workspaces};

/// The age at which a digest no longer counts: many digest intervals, and above membership's lag.
const STALE_AFTER: Duration = Duration::from_secs(10);

/// The other instances' digests.
#[derive(Debug, Default)]
pub(super) struct Peers {
    digests: IndexMap<InstanceId, ReceivedDigest>,
    pub(super) queued: PerBand,
    pub(super) demand: PerBand,
    /// Whether a long prompt of another instance is starved.
    pub(super) has_late_long_prompt: bool,
}

#[derive(Debug)]
struct ReceivedDigest {
    at: Time,
    digest: LoadDigest,
}

/// Another instance's wish for several engines.
#[derive(Debug)]
pub(super) struct PeerReservation<'a> {
    pub(super) instance: &'a InstanceId,
    pub(super) waited: Duration,
    pub(super) reservation: &'a PendingReservation,
}

impl Peers {
    /// Instances in all, this one included.
    pub(super) fn instances(&self) -> usize {
        self.digests.len() + 1
    }

    /// How old the oldest view of another instance is.
    pub(super) fn age(&self, now: Time) -> Duration {
        self.digests.values().map(|received| now.since(received.at)).max().unwrap_or_default()
    }

    /// This instance's place among all in the order of their names.
    pub(super) fn rank(&self, own: &InstanceId) -> usize {
        self.digests.keys().filter(|instance| *instance < own).count()
    }

    /// Whether `digest` is news.
    pub(super) fn is_new(&self, digest: &LoadDigest) -> bool {
        self.digests.get(&digest.instance).is_none_or(|received| {
            (digest.incarnation, digest.sequence)
                > (received.digest.incarnation, received.digest.sequence)
        })
    }

    /// Takes over a digest that is news.
    pub(super) fn accept(&mut self, digest: LoadDigest, workspaces: &mut Workspaces, now: Time) {
        let instance = digest.instance.clone();
        if let Some(old) = self.digests.swap_remove(&instance) {
            count_workspaces(&old.digest, workspaces, -1.0);
        }
        count_workspaces(&digest, workspaces, 1.0);
        self.digests.insert(instance, ReceivedDigest { at: now, digest });
        self.sum();
    }

    /// Forgets an instance's life; true where it was known.
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

    /// The wish that each instance has put first.
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
        self.has_late_long_prompt =
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

/// Adds a digest's part to the workspaces, or takes it away with a `sign` of minus one.
fn count_workspaces(digest: &LoadDigest, workspaces: &mut Workspaces, sign: f64) {
    for share in &digest.workspaces {
        if let Some(index) = workspaces.find(&share.workspace) {
            let state = workspaces.get_mut(index);
            state.peers_served = (state.peers_served + sign * share.served.0).max(0.0);
            state.peers_waiting = (state.peers_waiting + sign * share.waiting.0 as f64).max(0.0);
        }
    }
}
