//! The instances of a site, as one of them knows them, and what it may assume about those that it
//! doesn't hear.
//!
//! **Load pattern.** Links between instances fail, or all instances start at once: each decides by
//! what it knows, and all know the same.
//!
//! **Without it.** Instances with equal beliefs choose the same endpoints, and the whole load of the
//! site queues on a few of them.
//!
//! **Rule.** The more instances aren't heard, the more an instance's choices are spread at random
//! over endpoints that look alike, and the less it gathers requests. What has a limit over all
//! instances is divided by all that are known, heard or not.
//!
//! **Grounds.** An instance that hears nobody can do no better than draw. The spread grows with the
//! square of the share that isn't heard, because a few instances that are silent are mostly dead
//! and place nothing.

use std::sync::Arc;

use crate::{EndpointId, Fingerprint, InstanceId, rendezvous};

/// The instances of a site, as one of them knows them.
#[derive(Debug, Clone, PartialEq)]
pub struct Instances {
    own: u64,
    others: Arc<[u64]>,
    /// Number of others that it hears.
    live_others: usize,
    /// Share of the others, and itself, that it hears.
    heard_share: f64,
}

impl Instances {
    /// The view of instance `own`. `others` includes instances that are silent but may still be
    /// sending; `live_others` of them are heard, and `heard_share`, from 0 to 1, is the share of
    /// recently live instances that are, this one included.
    pub fn new<'a>(
        own: &InstanceId,
        others: impl IntoIterator<Item = &'a InstanceId>,
        live_others: usize,
        heard_share: f64,
    ) -> Instances {
        let key = |instance: &InstanceId| rendezvous::key(instance.as_str());
        let others = others.into_iter().map(key).collect();
        Instances { own: key(own), others, live_others, heard_share }
    }

    /// This instance's part of the `requests` that all instances together may send to an endpoint
    /// for which it has this [rank](Self::rank). None while it has never heard of others that there
    /// must be.
    pub fn quota(&self, requests: usize, rank: usize) -> usize {
        if self.others.is_empty() && self.heard_share < 1.0 {
            return 0;
        }
        let count = self.others.len() + 1;
        requests / count + usize::from(rank < requests % count)
    }

    /// This instance's part of what all instances have together, from 0 to 1. Where it has never
    /// heard of others, the addresses at which it looks for them count as instances.
    pub fn part(&self) -> f64 {
        match self.others.len() {
            0 => self.heard_share,
            others => 1.0 / (others + 1) as f64,
        }
    }

    /// Number of instances that come before this one for an endpoint.
    pub fn rank(&self, endpoint: &EndpointId) -> usize {
        let endpoint = rendezvous::key(endpoint.as_str());
        let own = rendezvous::mix(self.own, endpoint);
        self.others.iter().filter(|other| rendezvous::mix(**other, endpoint) < own).count()
    }

    /// Whether this instance is the one that all instances choose for a fingerprint.
    pub fn is_first_for(&self, fingerprint: Fingerprint) -> bool {
        self.preceding(fingerprint) == 0
    }

    /// Number of instances that come before this one in the order that all instances choose for a
    /// fingerprint.
    pub fn preceding(&self, fingerprint: Fingerprint) -> usize {
        let key = (fingerprint.0 >> 64) as u64 ^ fingerprint.0 as u64;
        let own = rendezvous::mix(self.own, key);
        self.others.iter().filter(|other| rendezvous::mix(**other, key) < own).count()
    }

    /// Number of other instances that it hears.
    pub fn live_others(&self) -> usize {
        self.live_others
    }

    /// Share of instances that it hears, from 0 to 1.
    pub fn heard_share(&self) -> f64 {
        self.heard_share
    }

    /// Share of the endpoints over which choices are spread at random, from 0 to 1.
    pub fn spread(&self) -> f64 {
        let unheard = 1.0 - self.heard_share;
        unheard * unheard
    }
}
