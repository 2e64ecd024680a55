//! The peers, links and targets of a mesh: plain data behind one lock.

use std::{net::SocketAddr, sync::Arc};

use indexmap::{IndexMap, IndexSet};
use policy::{
    DataCentre, Deployment, Incarnation, InstanceId, LoadDigest, Time,
    digest::{DigestReceiver, DigestSender},
    membership::{MemberObservation, Membership},
    topology::{self, InstanceLocation},
};
use smol::channel::Sender;

use crate::peer::{
    HELLO_TIMEOUT, PeerEvent, dial::Target, flood::FloodFilter, message::Hello, outbox::Outbox,
};

/// Addresses to dial, and instances whose data centre is remembered.
pub(super) const MAX_TARGETS: usize = 1_024;

pub(super) struct State {
    pub(super) members: Membership<InstanceId>,
    pub(super) links: IndexMap<InstanceId, Link>,
    pub(super) targets: IndexMap<SocketAddr, Target>,
    pub(super) loads: IndexMap<Deployment, OwnLoad>,
    pub(super) flood_filter: FloodFilter,
    /// Data centre of each known instance.
    pub(super) data_centres: IndexMap<InstanceId, DataCentre>,
    /// Instances to have links with; empty until there are any to choose from.
    pub(super) wanted: IndexSet<InstanceId>,
    /// Incarnations reported as linked and not yet as removed.
    pub(super) announced: IndexMap<InstanceId, Incarnation>,
    pub(super) leaving: bool,
    pub(super) next_link_id: u64,
}

/// This instance's load in one deployment, and the sender that decides which parts of it are due.
pub(super) struct OwnLoad {
    pub(super) sender: DigestSender,
    pub(super) digest: LoadDigest,
}

/// An established link.
pub(super) struct Link {
    /// Distinguishes it from earlier and later links to the same peer.
    pub(super) id: u64,
    pub(super) hello: Hello,
    pub(super) dialled: bool,
    pub(super) outbox: Arc<Outbox>,
    pub(super) established_at: Time,
    pub(super) received_at: Time,
    pub(super) sent_at: Time,
    /// Whether the peer has announced on this link that it is leaving.
    pub(super) leaving: bool,
    pub(super) receivers: IndexMap<Deployment, DigestReceiver>,
    /// Dropping it closes the channel, which ends the link after [`HELLO_TIMEOUT`].
    pub(super) _stop: Sender<()>,
}

impl Link {
    /// Whether the link is to the incarnation that sent this hello.
    pub(super) fn is_same_incarnation(&self, hello: &Hello) -> bool {
        self.hello.incarnation == hello.incarnation
    }
}

/// Why a new link isn't kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkRejection {
    /// The other end is this instance itself, reached at one of its addresses.
    SelfConnection,
    /// The other end is an incarnation that has been replaced.
    StaleIncarnation,
    /// Both sides dialled simultaneously, and the other link is kept.
    Duplicate,
}

impl State {
    pub(super) fn new(now: Time) -> State {
        State {
            members: Membership::new(now),
            links: IndexMap::new(),
            targets: IndexMap::new(),
            loads: IndexMap::new(),
            flood_filter: FloodFilter::default(),
            data_centres: IndexMap::new(),
            wanted: IndexSet::new(),
            announced: IndexMap::new(),
            leaving: false,
            next_link_id: 1,
        }
    }

    /// Checks whether to keep a link whose other end sent `hello`.
    ///
    /// When two instances dial each other simultaneously, both ends have to keep the same one of
    /// the two links: the one that the smaller name dialled. A later link replaces an older one,
    /// because the dialling side would not have dialled if the older one worked.
    pub(super) fn check_link(
        &self,
        local: &InstanceId,
        hello: &Hello,
        dialled: bool,
        now: Time,
    ) -> Result<(), LinkRejection> {
        if &hello.instance == local {
            return Err(LinkRejection::SelfConnection);
        }
        if self.is_stale_incarnation(hello) {
            return Err(LinkRejection::StaleIncarnation);
        }
        let Some(link) = self.links.get(&hello.instance) else {
            return Ok(());
        };
        let is_simultaneous = now.since(link.established_at) < HELLO_TIMEOUT * 2;
        let is_preferred = dialled == (local < &hello.instance);
        if is_simultaneous
            && link.is_same_incarnation(hello)
            && link.dialled != dialled
            && !is_preferred
        {
            return Err(LinkRejection::Duplicate);
        }
        Ok(())
    }

    /// Whether a newer incarnation of the instance that sent this hello is known.
    pub(super) fn is_stale_incarnation(&self, hello: &Hello) -> bool {
        self.members.incarnation(&hello.instance).is_some_and(|i| i > hello.incarnation)
    }

    /// Records an incarnation that established a link, and returns the events that result.
    pub(super) fn record_linked(&mut self, hello: &Hello, now: Time) -> Vec<PeerEvent> {
        self.members.observe(&hello.instance, hello.incarnation, MemberObservation::Alive, now);
        self.set_data_centre(&hello.instance, &hello.data_centre);
        let mut events = Vec::new();
        let known = self.announced.insert(hello.instance.clone(), hello.incarnation);
        if let Some(incarnation) = known.filter(|known| *known < hello.incarnation) {
            events.push(PeerEvent::Removed { instance: hello.instance.clone(), incarnation });
        }
        events.push(PeerEvent::Linked(hello.clone()));
        events
    }

    /// Adds an address to dial, if there is room.
    pub(super) fn add_target(&mut self, address: SocketAddr, instance: Option<InstanceId>) {
        if self.targets.len() >= MAX_TARGETS && !self.targets.contains_key(&address) {
            return;
        }
        let target = self.targets.entry(address).or_default();
        if instance.is_some() {
            target.instance = instance;
        }
    }

    /// Adds an address from the settings.
    pub(super) fn add_seed(&mut self, address: SocketAddr) {
        self.add_target(address, None);
        if let Some(target) = self.targets.get_mut(&address) {
            target.is_seed = true;
        }
    }

    /// Records the data centre of an instance. The instance remains a candidate for links until a
    /// list lacks it, even if it seems dead: otherwise both ends of a link that was cut would stop
    /// dialling.
    pub(super) fn set_data_centre(&mut self, instance: &InstanceId, data_centre: &DataCentre) {
        if self.data_centres.len() < MAX_TARGETS || self.data_centres.contains_key(instance) {
            self.data_centres.insert(instance.clone(), data_centre.clone());
        }
    }

    /// Recomputes which instances to have links with, and returns whether these are all.
    pub(super) fn choose_links(&mut self, local: &Hello) -> bool {
        let location = |instance: &InstanceId, data_centre: &DataCentre| InstanceLocation {
            instance: instance.clone(),
            data_centre: data_centre.clone(),
        };
        let local = location(&local.instance, &local.data_centre);
        let mut all: Vec<InstanceLocation> =
            self.data_centres.iter().map(|(instance, place)| location(instance, place)).collect();
        all.push(local.clone());
        self.wanted = topology::links(&local, &all).into_iter().collect();
        all.len() <= topology::MAX_FULL_MESH_INSTANCES
    }

    /// Removes a link, unless another one has replaced it.
    pub(super) fn remove_link(&mut self, instance: &InstanceId, id: u64) {
        if self.links.get(instance).is_some_and(|link| link.id == id) {
            self.links.swap_remove(instance);
        }
    }
}
