//! Collects the status of all instances that are connected to this one.

use std::{
    collections::HashMap,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_lite::FutureExt;
use smol::{
    Timer,
    channel::{Sender, bounded},
};

use super::Status;
use crate::{endpoint::lock, peer::Message, shared::Shared};

/// How long peers may take to reply. Those that don't are missing in the result, which shows it to
/// the operator.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);

/// Pending status queries to peers, by query number.
#[derive(Debug, Default)]
pub struct StatusQueries {
    next_query: AtomicU64,
    pending: Mutex<HashMap<u64, Sender<Bytes>>>,
}

impl StatusQueries {
    /// Records a peer's reply; does nothing if the query has ended.
    pub fn record_reply(&self, query: u64, content: Bytes) {
        if let Some(reply_tx) = lock(&self.pending).get(&query) {
            // The channel's capacity suffices: each peer replies once.
            reply_tx.try_send(content).ok();
        }
    }
}

/// Queries the status of all connected instances. This instance's own status comes first, the
/// others are sorted by name.
pub async fn collect_statuses(shared: &Shared) -> Vec<Status> {
    let mut statuses = vec![super::status(shared)];
    let Some(mesh) = shared.mesh() else { return statuses };
    let peers: Vec<_> = mesh.status().into_iter().filter(|peer| peer.linked).collect();
    let (reply_tx, reply_rx) = bounded(peers.len().max(1));
    let query = shared.status_queries.next_query.fetch_add(1, Ordering::Relaxed);
    lock(&shared.status_queries.pending).insert(query, reply_tx);
    let sent = peers
        .iter()
        .filter(|peer| mesh.send_to(&peer.instance, Message::StatusWanted { query }).is_ok());
    let sent_count = sent.count();
    let replies = async {
        for _ in 0..sent_count {
            let Ok(content) = reply_rx.recv().await else { break };
            statuses.extend(serde_json::from_slice::<Status>(&content).ok());
        }
    };
    let timeout = async {
        Timer::after(REPLY_TIMEOUT).await;
    };
    replies.or(timeout).await;
    lock(&shared.status_queries.pending).remove(&query);
    statuses[1..].sort_by(|a, b| a.instance.cmp(&b.instance));
    statuses
}
