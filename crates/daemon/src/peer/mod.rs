//! Links between instances: HTTP/2 streams that carry [`Message`]s, heartbeats and load digests.
//!
//! Every pair of instances that [`policy::topology`] selects has one link, which either side may
//! dial. A link that has been silent for [`LINK_SILENCE_TIMEOUT`] is dropped and dialled again
//! before its peer is considered dead, because an open connection may go silent for good while a
//! new one works. [`policy::membership`] decides who is dead, and waits longer than a new
//! connection takes. Send queues are bounded: load digests that wait are merged, and a peer that
//! falls behind on anything else gets a new link, which starts with the complete state.
//! `docs/decisions/membership.md` has the alternatives that were considered and the measured costs.

mod compact;
mod count;
mod dial;
mod flood;
mod frame;
mod handle;
mod link;
mod listen;
mod message;
mod outbox;
mod shared;
mod state;
mod tick;

#[cfg(test)]
mod tests;

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use policy::{
    DataCentre, Deployment, Incarnation, InstanceId, LoadDigest,
    membership::{MemberState, owners::OwnerStatus},
};
use protocols::instances::ListPage;
use smol::{
    Executor, Timer,
    channel::{Receiver, bounded},
};

pub use message::{
    EndpointStateUpdate, Hello, MAX_PACKET_BYTES, Message, PROTOCOL_VERSION, PacketError,
};
use shared::Shared;

/// A link that has received nothing for this long is dropped and dialled again: three heartbeats.
pub const LINK_SILENCE_TIMEOUT: Duration = policy::membership::SUSPECT_TIMEOUT;

/// Timeout of each step in setting up a link: connecting, the HTTP/2 handshake, the exchange of
/// hellos.
pub const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time that [`PeerMesh::close`] waits for queued packets to be sent.
pub const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Capacity of the event channel. While it is full, links aren't read, so the peers' send queues
/// fill instead.
const MAX_QUEUED_EVENTS: usize = 1024;

/// Configuration of a [`PeerMesh`].
pub struct PeerConfig {
    /// The name of this instance.
    pub instance: InstanceId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Data centre that this instance runs in.
    pub data_centre: DataCentre,
    /// Address to listen on for other instances.
    pub listen: SocketAddr,
    /// Addresses to dial before the platform's list of instances has been read.
    pub seeds: Vec<SocketAddr>,
    /// Budget for load digests, in bytes per second, shared by all links.
    pub load_bytes_per_second: u32,
    /// Origin of the instance's [`policy::Time`].
    pub origin: Instant,
    /// Executor that runs the tasks of the mesh.
    pub executor: Arc<Executor<'static>>,
}

/// Usual value of [`PeerConfig::load_bytes_per_second`]. Heartbeats, interned names and the rare
/// messages come on top; the total stays below the limit of 3 KB per second for control traffic.
pub const LOAD_BYTES_PER_SECOND: u32 = 1_800;

/// Event that the mesh reports to its instance.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerEvent {
    /// A link to this instance was established. The peer may have missed messages, so it has to be
    /// sent the current state.
    Linked(Hello),
    /// A peer's current load, merged from the parts received.
    Load {
        /// Deployment that the load belongs to.
        deployment: Deployment,
        /// Everything known of the peer's load in the deployment.
        digest: LoadDigest,
    },
    /// A peer sent a message.
    Message {
        /// Original sender, also where gateways forwarded the message.
        from: InstanceId,
        /// Its content.
        message: Message,
    },
    /// A peer is leaving and takes no new work.
    Leaving {
        /// Name of the leaving instance.
        instance: InstanceId,
        /// Incarnation that is leaving.
        incarnation: Incarnation,
    },
    /// A peer's incarnation has ended: it said goodbye, was replaced by a newer one, or stayed
    /// silent on new links as well.
    Removed {
        /// Name of the removed instance.
        instance: InstanceId,
        /// Incarnation that ended.
        incarnation: Incarnation,
    },
}

/// Error: there is currently no link to the peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotLinked;

impl std::fmt::Display for NotLinked {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "there is currently no link to this instance")
    }
}

impl std::error::Error for NotLinked {}

/// Status of another instance, as seen by this one.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerStatus {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Its newest known incarnation.
    pub incarnation: Incarnation,
    /// Its state, as [`policy::membership`] derives it from the links and the platform's list.
    pub state: MemberState,
    /// Whether there is a link to it.
    pub linked: bool,
}

/// Traffic counters of a mesh since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Traffic {
    /// Bytes written to all links, including HTTP/2 framing.
    pub sent_bytes: u64,
    /// Bytes read from all links, including HTTP/2 framing.
    pub received_bytes: u64,
    /// Links established.
    pub links_established: u64,
    /// Links dropped after [`LINK_SILENCE_TIMEOUT`].
    pub links_timed_out: u64,
}

/// The links of one instance. When it is dropped without [`PeerMesh::close`], it ends as in a
/// crash: the peers aren't notified.
pub struct PeerMesh {
    shared: Arc<Shared>,
    /// Keeps the executor alive. The tasks only hold weak references to it, because an executor
    /// that its own tasks keep alive would never be dropped.
    _executor: Arc<Executor<'static>>,
}

impl PeerMesh {
    /// Starts listening and dialling the seeds. The events have to be read: while they aren't,
    /// links aren't read either, and peers eventually drop them.
    ///
    /// # Errors
    ///
    /// The address can't be listened on.
    pub fn start(cfg: PeerConfig) -> io::Result<(PeerMesh, Receiver<PeerEvent>)> {
        let listener = listen::bind(cfg.listen)?;
        let (events_tx, events_rx) = bounded(MAX_QUEUED_EVENTS);
        let executor = cfg.executor.clone();
        let shared = Arc::new(Shared::new(cfg, listener.get_ref().local_addr()?, events_tx));
        shared.spawn(listen::run(shared.clone(), listener));
        shared.spawn(tick::run(shared.clone()));
        Ok((PeerMesh { shared, _executor: executor }, events_rx))
    }

    /// Address that the mesh listens on, with the port that the system assigned.
    pub fn address(&self) -> SocketAddr {
        self.shared.local.address
    }

    /// Sends a message to all linked instances; gateways forward it to the others where
    /// [`Message::is_fleet_wide`].
    ///
    /// # Errors
    ///
    /// [`PacketError::TooLong`]; nothing is sent then.
    pub fn broadcast(&self, message: Message) -> Result<(), PacketError> {
        self.shared.broadcast(message)
    }

    /// Sends a message to one instance.
    ///
    /// # Errors
    ///
    /// [`NotLinked`] if there is no link to it, or if the message is too long for a packet.
    pub fn send_to(&self, instance: &InstanceId, message: Message) -> Result<(), NotLinked> {
        self.shared.send_to(instance, message)
    }

    /// Updates the load of this instance in a deployment, and sends the peers the part of it that
    /// is due. To be called about twice a second for each deployment.
    pub fn share_load(&self, deployment: &Deployment, digest: LoadDigest) {
        self.shared.share_load(deployment, digest);
    }

    /// Applies the platform's list of instances, as one source of membership among several and as
    /// the source of addresses.
    pub fn apply_list(&self, page: &ListPage) {
        self.shared.apply_list(page);
    }

    /// Announces to all peers that this instance is leaving and takes no new work.
    pub fn set_leaving(&self) {
        self.shared.set_leaving();
    }

    /// Whether an owner of engine memory is still alive.
    pub fn owner_status(&self, instance: &InstanceId, incarnation: Incarnation) -> OwnerStatus {
        self.shared.owner_status(instance, incarnation)
    }

    /// Status of every other known instance.
    pub fn status(&self) -> Vec<PeerStatus> {
        self.shared.status()
    }

    /// Traffic counters since the start.
    pub fn traffic(&self) -> Traffic {
        self.shared.traffic.read()
    }

    /// Sends a goodbye and ends all links, once the queued packets have been sent or after
    /// [`CLOSE_TIMEOUT`].
    pub async fn close(self) {
        self.send_goodbye().await;
    }

    /// Like [`PeerMesh::close`], for a mesh that is still referenced elsewhere.
    pub async fn send_goodbye(&self) {
        self.shared.send_goodbye();
        let deadline = Instant::now() + CLOSE_TIMEOUT;
        while self.shared.has_connections() && Instant::now() < deadline {
            Timer::after(Duration::from_millis(5)).await;
        }
    }
}

impl Drop for PeerMesh {
    fn drop(&mut self) {
        self.shared.stop();
    }
}
