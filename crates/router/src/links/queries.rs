//! Queries to peers about how far they have read, and their replies.

use std::{net::SocketAddr, time::Duration};

use policy::{InstanceId, Time};
use smol::channel::Sender;

use super::{Body, Links};
use crate::{
    clock::BootTime,
    freshness::{FreshnessQuery, FreshnessReply, QueryTarget, ReceivedReply},
};

/// Replies that arrive later are dropped.
const REPLY_WINDOW: Duration = Duration::from_millis(500);

/// Maximum number of live instances that a query to [`QueryTarget::AnyLive`] goes to.
const MAX_ANY_TARGETS: usize = 3;

/// A query whose replies may still arrive.
#[derive(Debug)]
pub(super) struct PendingQuery {
    sent: Time,
    sent_boot_time: BootTime,
    replies: Sender<ReceivedReply>,
    /// Recipients that haven't replied yet.
    expected_replies: usize,
}

impl PendingQuery {
    /// Whether replies are still accepted.
    pub(super) fn is_open(&self, now: Time) -> bool {
        now.since(self.sent) < REPLY_WINDOW
    }
}

impl Links {
    /// Sends a query; drops it at once where it has no recipient.
    pub(super) async fn send_query(&mut self, query: FreshnessQuery) {
        let FreshnessQuery { target, endpoints_position, replies } = query;
        let addresses = self.target_addresses(target);
        if addresses.is_empty() {
            return;
        }
        let nonce = fastrand::u64(..);
        let (sent, sent_boot_time) = (self.clock.now(), BootTime::now());
        let query =
            PendingQuery { sent, sent_boot_time, replies, expected_replies: addresses.len() };
        self.pending_queries.insert(nonce, query);
        self.send(Body::Query { nonce, endpoints_position }, &addresses).await;
    }

    fn target_addresses(&self, target: QueryTarget) -> Vec<SocketAddr> {
        let address = |instance: &InstanceId| self.gossip.live(instance).map(|entry| entry.address);
        match target {
            QueryTarget::Reader(rank) => {
                self.readers.get(rank).and_then(address).into_iter().collect()
            }
            QueryTarget::LastAnnouncer => {
                self.last_announcer.as_ref().and_then(address).into_iter().collect()
            }
            QueryTarget::Neighbours => {
                let own = &self.gossip.own().data_centre;
                let live = self.gossip.all_live().filter(|entry| entry.data_centre == *own);
                fastrand::choose_multiple(live.map(|entry| entry.address), MAX_ANY_TARGETS)
            }
            QueryTarget::AnyLive => {
                let last_announcer = self.last_announcer.as_ref().and_then(address);
                let live = self.gossip.all_live().map(|entry| entry.address);
                let others = live.filter(|address| Some(*address) != last_announcer);
                let others = fastrand::choose_multiple(others, MAX_ANY_TARGETS);
                last_announcer.into_iter().chain(others).take(MAX_ANY_TARGETS).collect()
            }
        }
    }

    pub(super) fn receive_reply(&mut self, nonce: u64, reply: FreshnessReply, from: SocketAddr) {
        let Some(query) = self.pending_queries.get_mut(&nonce) else { return };
        let received = ReceivedReply { from, query_sent: query.sent_boot_time, reply };
        query.expected_replies = query.expected_replies.saturating_sub(1);
        // The receiver is dropped after a reply was accepted, so that later replies aren't needed.
        let is_done = query.replies.try_send(received).is_err() || query.expected_replies == 0;
        if is_done {
            self.pending_queries.swap_remove(&nonce);
        }
    }
}
