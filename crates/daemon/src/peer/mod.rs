//! Links between instances: h2 streams that carry [`Message`]s, heartbeats and load.
//!
//! Every pair of instances that [`policy::topology`] joins has one link, dialled by either side.
//! A link that is silent for [`LINK_SILENCE_TIMEOUT`] is dropped and made anew before anyone is judged
//! dead, because open connections may go silent for good while new ones work; the judgement itself
//! is [`policy::membership`]'s, which waits longer than a new connection takes. Queues towards
//! peers are bounded: load that waits is merged, and a peer that doesn't keep up otherwise gets a
//! new link, which begins with the whole state. `docs/decisions/membership.md` has the ways that
//! were weighed and the measured costs.

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

/// A link without any sign of life for this long is dropped and dialled anew: three heartbeats.
pub const LINK_SILENCE_TIMEOUT: Duration = policy::membership::SUSPECT_TIMEOUT;

/// How long a new link may take until both sides have said hello.
pub const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// How long [`PeerMesh::close`] waits for what is still queued.
pub const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Events that wait for their reader. When it is behind, links aren't read, and the peers' queues
/// fill instead.
const MAX_EVENTS: usize = 1024;

/// What a mesh needs to know at its start.
pub struct PeerConfig {
    /// The name of this instance.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where to listen for other instances.
    pub listen: SocketAddr,
    /// Instances to try first, before the list of instances is read.
    pub seeds: Vec<SocketAddr>,
    /// Bytes a second that load digests may take on all links together.
    pub load_bytes_per_second: u32,
    /// The origin of the instance's [`policy::Time`].
    pub origin: Instant,
    /// Where the mesh's tasks run.
    pub executor: Arc<Executor<'static>>,
}

/// Bytes a second of load digests, where nothing else is wanted. Heartbeats, names and the rare
/// messages come on top; together they stay below the 3 KB a second that control may take.
pub const LOAD_BYTES_PER_SECOND: u32 = 1_800;

/// What the mesh tells its instance.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerEvent {
    /// A link to this instance stands. It may have missed messages; tell it what it has to know.
    Linked(Hello),
    /// What a peer has under way now, put together from its parts.
    Load {
        /// The deployment.
        deployment: Deployment,
        /// All that is known of the peer's load there.
        digest: LoadDigest,
    },
    /// A peer said something.
    Message {
        /// Who said it first, where gateways passed it on.
        from: InstanceId,
        /// What it said.
        message: Message,
    },
    /// A peer asks for no new work any more.
    Leaving {
        /// The instance.
        instance: InstanceId,
        /// The life that is leaving.
        incarnation: Incarnation,
    },
    /// A peer's life is over: it said so, was replaced, or stayed silent on new links as well.
    Removed {
        /// The instance.
        instance: InstanceId,
        /// The life that ended.
        incarnation: Incarnation,
    },
}

/// The peer has no link at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotLinked;

impl std::fmt::Display for NotLinked {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "there is no link to this instance at the moment")
    }
}

impl std::error::Error for NotLinked {}

/// One other instance as this one knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerStatus {
    /// The instance.
    pub instance: InstanceId,
    /// Its newest life.
    pub incarnation: Incarnation,
    /// Its state by all witnesses.
    pub state: MemberState,
    /// Whether a link to it stands.
    pub linked: bool,
}

/// Bytes and links of a mesh since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Traffic {
    /// Bytes written to all links, with h2's own.
    pub sent_bytes: u64,
    /// Bytes read from all links, with h2's own.
    pub received_bytes: u64,
    /// Links that were made.
    pub links_established: u64,
    /// Links dropped because they were silent.
    pub links_timed_out: u64,
}

/// The links of one instance. Dropped without [`PeerMesh::close`], it ends as a crash would: the
/// peers hear nothing of it.
pub struct PeerMesh {
    shared: Arc<Shared>,
    /// Keeps the executor for as long as the mesh lives; its tasks hold it only weakly, or it
    /// would hold itself.
    _executor: Arc<Executor<'static>>,
}

impl PeerMesh {
    /// Listens, dials the seeds, and goes on by itself. The events have to be read: while they
    /// aren't, links aren't read either, and peers drop them in the end.
    ///
    /// # Errors
    ///
    /// Where the address can't be listened on.
    pub fn start(cfg: PeerConfig) -> io::Result<(PeerMesh, Receiver<PeerEvent>)> {
        let listener = listen::bind(cfg.listen)?;
        let (events_tx, events_rx) = bounded(MAX_EVENTS);
        let executor = cfg.executor.clone();
        let shared = Arc::new(Shared::new(cfg, listener.get_ref().local_addr()?, events_tx));
        shared.spawn(listen::run(shared.clone(), listener));
        shared.spawn(tick::run(shared.clone()));
        Ok((PeerMesh { shared, _executor: executor }, events_rx))
    }

    /// Where the mesh listens.
    pub fn address(&self) -> SocketAddr {
        self.shared.local.address
    }

    /// Tells all instances that have a link; where [`Message::is_fleet_wide`], gateways pass it on to
    /// the others.
    ///
    /// # Errors
    ///
    /// [`PacketError::TooLong`], and nothing is told.
    pub fn broadcast(&self, message: Message) -> Result<(), PacketError> {
        self.shared.broadcast(message)
    }

    /// Tells one instance.
    ///
    /// # Errors
    ///
    /// [`NotLinked`] where no link to it stands, or where the message is too long for one.
    pub fn send_to(&self, instance: &InstanceId, message: Message) -> Result<(), NotLinked> {
        self.shared.send_to(instance, message)
    }

    /// Takes in what this instance has under way, and tells the peers what matters of it. To be
    /// called about twice a second for each deployment.
    pub fn share_load(&self, deployment: &Deployment, digest: LoadDigest) {
        self.shared.share_load(deployment, digest);
    }

    /// Takes in the platform's list, as one witness among several and as source of addresses.
    pub fn apply_list(&self, page: &ListPage) {
        self.shared.apply_list(page);
    }

    /// Tells all peers that this instance wants no new work any more.
    pub fn set_leaving(&self) {
        self.shared.set_leaving();
    }

    /// Whether an owner of engine memory still lives.
    pub fn owner_status(&self, instance: &InstanceId, incarnation: Incarnation) -> OwnerStatus {
        self.shared.owner_status(instance, incarnation)
    }

    /// Every other instance known now.
    pub fn status(&self) -> Vec<PeerStatus> {
        self.shared.status()
    }

    /// What the mesh has cost so far.
    pub fn traffic(&self) -> Traffic {
        self.shared.traffic.read()
    }

    /// Says goodbye and ends all links, once what is queued has been sent or
    /// [`CLOSE_TIMEOUT`] is over.
    pub async fn close(self) {
        self.send_goodbye().await;
    }

    /// The same while others still use the mesh.
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
