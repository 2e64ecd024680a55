//! Questions to peers about what they have read, and the answers.

use std::{net::SocketAddr, time::Duration};

use policy::{InstanceId, Time, freshness::query_targets};
use smol::channel::Sender;

use super::{Body, Links};
use crate::{
    clock::BootTime,
    freshness::{FreshnessQuery, FreshnessReply, QueryTarget, ReceivedReply},
};

/// How long an answer to a question may come.
const ANSWERED_WITHIN: Duration = Duration::from_millis(500);

/// Live instances that are asked where any will do.
const ANYBODY: usize = 3;

/// A question under way.
#[derive(Debug)]
pub(super) struct Pending {
    sent: Time,
    asked: BootTime,
    answers: Sender<ReceivedReply>,
    /// Answers that may still come.
    expected: usize,
}

impl Pending {
    /// Whether answers may still come.
    pub(super) fn is_open(&self, now: Time) -> bool {
        now.since(self.sent) < ANSWERED_WITHIN
    }
}

impl Links {
    /// Passes a question on; where there is nobody to ask, it is let go of at once.
    pub(super) async fn ask(&mut self, question: FreshnessQuery) {
        let FreshnessQuery { whom, endpoints_at, answers } = question;
        let addresses = self.whom(whom);
        if addresses.is_empty() {
            return;
        }
        let nonce = fastrand::u64(..);
        let (sent, asked) = (self.clock.now(), BootTime::now());
        let pending = Pending { sent, asked, answers, expected: addresses.len() };
        self.pending.insert(nonce, pending);
        self.send(Body::Question { nonce, endpoints_at }, &addresses).await;
    }

    fn whom(&self, whom: QueryTarget) -> Vec<SocketAddr> {
        let address = |instance: &InstanceId| {
            let peer = self.peers.get(instance).filter(|peer| peer.is_live);
            peer.map(|peer| peer.address)
        };
        match whom {
            QueryTarget::Reader(place) => {
                let readers = query_targets(&self.me.instance, &self.here, &self.live());
                readers.get(place).and_then(address).into_iter().collect()
            }
            QueryTarget::Informant => {
                self.informant.as_ref().and_then(address).into_iter().collect()
            }
            QueryTarget::Anybody => {
                let mut addresses: Vec<_> =
                    self.peers.values().filter(|p| p.is_live).map(|p| p.address).collect();
                fastrand::shuffle(&mut addresses);
                let informant = self.informant.as_ref().and_then(address);
                addresses.retain(|address| Some(*address) != informant);
                informant.into_iter().chain(addresses).take(ANYBODY).collect()
            }
        }
    }

    pub(super) fn answered(&mut self, nonce: u64, answer: FreshnessReply, from: SocketAddr) {
        let Some(pending) = self.pending.get_mut(&nonce) else { return };
        let heard = ReceivedReply { from, asked: pending.asked, answer };
        pending.expected = pending.expected.saturating_sub(1);
        // Whoever has a good answer waits for no other.
        let is_over = pending.answers.try_send(heard).is_err() || pending.expected == 0;
        if is_over {
            self.pending.swap_remove(&nonce);
        }
    }
}
