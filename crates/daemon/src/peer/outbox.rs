//! What waits to be sent over one link, bounded.

use std::{
    collections::VecDeque,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use bytes::Bytes;
use indexmap::IndexMap;
use policy::{Deployment, LoadDigest, digest};
use smol::channel::{Receiver, Sender, bounded};

use crate::peer::compact::LoadPart;

/// The most packets that wait for one peer. Two seconds of a burst of quarantine and endpoint
/// news; a peer that is farther behind gets a new link, which begins with the whole state.
const MAX_QUEUED_PACKETS: usize = 256;

/// The most bytes that wait for one peer: a few configurations.
const MAX_QUEUED_BYTES: usize = 16 << 20;

/// The peer doesn't take what is sent: the link has to be closed and made anew. Dropping single
/// packets instead would leave the two ends with different views for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Overflow;

/// What the writer of a link gets to send.
pub(super) enum OutboxItem {
    /// An encoded packet.
    Packet(Bytes),
    /// A part of the load, to be encoded with the link's names.
    Load(Box<LoadPart>),
}

/// The queue of one link. Load digests that wait are merged into one for each deployment, so that
/// a slow link sends the newest load instead of a history of it.
pub(super) struct Outbox {
    pending: Mutex<Pending>,
    closing: AtomicBool,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
}

#[derive(Default)]
struct Pending {
    packets: VecDeque<Bytes>,
    bytes: usize,
    loads: IndexMap<Deployment, LoadDigest>,
}

impl Outbox {
    pub(super) fn new() -> Outbox {
        let (wake_tx, wake_rx) = bounded(1);
        let pending = Mutex::default();
        Outbox { pending, closing: AtomicBool::new(false), wake_tx, wake_rx }
    }

    /// Queues an encoded packet.
    pub(super) fn push(&self, packet: Bytes) -> Result<(), Overflow> {
        let mut pending = self.lock();
        if pending.packets.len() >= MAX_QUEUED_PACKETS
            || pending.bytes + packet.len() > MAX_QUEUED_BYTES
        {
            return Err(Overflow);
        }
        pending.bytes += packet.len();
        pending.packets.push_back(packet);
        self.wake();
        Ok(())
    }

    /// Takes the packets that still wait for a link which this one replaces. Its load isn't taken:
    /// a new link begins with the whole.
    pub(super) fn take_packets_of(&self, replaced: &Outbox) {
        let mut replaced = replaced.lock();
        let mut pending = self.lock();
        pending.bytes += std::mem::take(&mut replaced.bytes);
        pending.packets.append(&mut replaced.packets);
        replaced.loads.clear();
        self.wake();
    }

    /// Queues a part of the load, on top of one that still waits.
    pub(super) fn push_load(&self, deployment: &Deployment, part: &LoadDigest) {
        let mut pending = self.lock();
        match pending.loads.get_mut(deployment) {
            Some(waiting) => digest::merge_parts(waiting, part.clone()),
            None => {
                pending.loads.insert(deployment.clone(), part.clone());
            }
        }
        self.wake();
    }

    /// Lets the writer end once all is sent.
    pub(super) fn finish(&self) {
        self.closing.store(true, Ordering::Release);
        self.wake();
    }

    /// What to send next; none once all is sent and the link is to end.
    pub(super) async fn next(&self) -> Option<OutboxItem> {
        loop {
            if let Some(item) = self.try_next() {
                return Some(item);
            }
            if self.closing.load(Ordering::Acquire) {
                return None;
            }
            // The sender lives as long as `self`, so this can't fail.
            self.wake_rx.recv().await.ok();
        }
    }

    fn try_next(&self) -> Option<OutboxItem> {
        let mut pending = self.lock();
        if let Some(packet) = pending.packets.pop_front() {
            pending.bytes -= packet.len();
            return Some(OutboxItem::Packet(packet));
        }
        let (deployment, part) = pending.loads.pop()?;
        Some(OutboxItem::Load(Box::new(LoadPart { deployment, part })))
    }

    fn wake(&self) {
        // A full channel means that the writer is woken already.
        self.wake_tx.try_send(()).ok();
    }

    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
