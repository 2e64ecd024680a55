//! The status of every instance, as the one that is asked can reach them.

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

/// How long peers may take to answer. A peer that doesn't is left out, which the reader sees.
const PATIENCE: Duration = Duration::from_millis(800);

/// Questions to peers that are under way.
#[derive(Debug, Default)]
pub struct StatusQueries {
    next: AtomicU64,
    open: Mutex<HashMap<u64, Sender<Bytes>>>,
}

impl StatusQueries {
    /// Takes a peer's answer.
    pub fn record_reply(&self, query: u64, content: Bytes) {
        if let Some(tx) = lock(&self.open).get(&query) {
            // Each peer answers once, and there is room for all of them.
            tx.try_send(content).ok();
        }
    }
}

/// Asks all linked instances for their status; the own one comes first.
pub async fn ask(shared: &Shared) -> Vec<Status> {
    let mut all = vec![super::status(shared)];
    let Some(mesh) = shared.mesh() else { return all };
    let peers: Vec<_> = mesh.status().into_iter().filter(|peer| peer.linked).collect();
    let (tx, rx) = bounded(peers.len().max(1));
    let query = shared.status_queries.next.fetch_add(1, Ordering::Relaxed);
    lock(&shared.status_queries.open).insert(query, tx);
    let asked = peers
        .iter()
        .filter(|peer| mesh.send_to(&peer.instance, Message::StatusWanted { query }).is_ok());
    let asked = asked.count();
    let answers = async {
        for _ in 0..asked {
            let Ok(content) = rx.recv().await else { break };
            all.extend(serde_json::from_slice::<Status>(&content).ok());
        }
    };
    let late = async {
        Timer::after(PATIENCE).await;
    };
    answers.or(late).await;
    lock(&shared.status_queries.open).remove(&query);
    all[1..].sort_by(|a, b| a.instance.cmp(&b.instance));
    all
}
