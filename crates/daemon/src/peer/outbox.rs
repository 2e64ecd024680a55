//! The bounded send queue of a link.

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

/// Packets that may wait for one peer: two seconds of a burst of quarantine and endpoint updates. A
/// peer that is further behind gets a new link, which starts with the complete state.
const MAX_QUEUED_PACKETS: usize = 256;

/// Bytes that may wait for one peer: a few configurations.
const MAX_QUEUED_BYTES: usize = 16 << 20;

/// The peer reads too slowly, so the link has to be closed and dialled again. Dropping single
/// packets instead would leave the two ends with permanently different views.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Overflow;

/// An entry for the writer of a link to send.
pub(super) enum OutboxItem {
    /// An encoded packet.
    Packet(Bytes),
    /// A part of a load digest, to be encoded with the names interned on the link.
    Load(Box<LoadPart>),
}

/// The send queue of a link. Load digests that wait are merged into one per deployment, so that a
/// slow link sends the newest load rather than its history.
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

    /// Moves the packets that still wait on a replaced link to this one. Its load digests are
    /// dropped, because a new link starts with the complete digest.
    pub(super) fn take_packets_of(&self, replaced: &Outbox) {
        let mut replaced = replaced.lock();
        let mut pending = self.lock();
        pending.bytes += std::mem::take(&mut replaced.bytes);
        pending.packets.append(&mut replaced.packets);
        replaced.loads.clear();
        self.wake();
    }

    /// Queues a part of a load digest, merged into one that still waits.
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

    /// Ends the writer once everything has been sent.
    pub(super) fn finish(&self) {
        self.closing.store(true, Ordering::Release);
        self.wake();
    }

    /// Waits for the next entry to send; `None` once everything has been sent and the link is
    /// closing.
    pub(super) async fn next(&self) -> Option<OutboxItem> {
        loop {
            if let Some(item) = self.try_next() {
                return Some(item);
            }
            if self.closing.load(Ordering::Acquire) {
                return None;
            }
            // The sender is owned by `self`, so this can't fail.
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
        // A full channel means that the writer has been woken already.
        self.wake_tx.try_send(()).ok();
    }

    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
