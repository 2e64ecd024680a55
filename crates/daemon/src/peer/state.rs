//! What one mesh knows of its peers; plain data under one lock.

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

/// The most addresses that are dialled.
pub(super) const MAX_TARGETS: usize = 1_024;

pub(super) struct State {
    pub(super) members: Membership<InstanceId>,
    pub(super) links: IndexMap<InstanceId, Link>,
    pub(super) targets: IndexMap<SocketAddr, Target>,
    pub(super) loads: IndexMap<Deployment, OwnLoad>,
    pub(super) flood_filter: FloodFilter,
    /// Where each known instance stands.
    pub(super) data_centres: IndexMap<InstanceId, DataCentre>,
    /// The instances to have links with; none before there is anything to choose from.
    pub(super) wanted: IndexSet<InstanceId>,
    /// Lives told as linked and not yet as gone.
    pub(super) announced: IndexMap<InstanceId, Incarnation>,
    pub(super) leaving: bool,
    pub(super) next_link_id: u64,
}

/// What this instance told of one deployment.
pub(super) struct OwnLoad {
    pub(super) sender: DigestSender,
    pub(super) digest: LoadDigest,
}

/// A link that stands.
pub(super) struct Link {
    /// Tells it from an earlier or later link to the same peer.
    pub(super) id: u64,
    pub(super) hello: Hello,
    pub(super) dialled: bool,
    pub(super) outbox: Arc<Outbox>,
    pub(super) established_at: Time,
    pub(super) received_at: Time,
    pub(super) sent_at: Time,
    /// Whether the peer has said on this link that it is leaving.
    pub(super) leaving: bool,
    pub(super) receivers: IndexMap<Deployment, DigestReceiver>,
    /// Dropping it ends the link shortly after.
    pub(super) _stop: Sender<()>,
}

impl Link {
    /// Whether the link leads to the life that said this hello.
    pub(super) fn is_same_incarnation(&self, hello: &Hello) -> bool {
        self.hello.incarnation == hello.incarnation
    }
}

/// Why a new link isn't kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkRejection {
    /// The other end is this very instance, by one of its addresses.
    SelfConnection,
    /// The other end is a life that has been replaced.
    StaleIncarnation,
    /// Both sides dialled at once, and the other link is the one to keep.
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

    /// Whether a link with `hello` at its other end is to be kept.
    ///
    /// When two instances dial each other in the same moment, each end has to keep the same one of
    /// the two links: that dialled by the smaller name. A link made later replaces an older one,
    /// because its dialler would not have dialled if the older one worked.
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

    /// Whether a newer life of the instance that said this hello is known.
    pub(super) fn is_stale_incarnation(&self, hello: &Hello) -> bool {
        self.members.incarnation(&hello.instance).is_some_and(|i| i > hello.incarnation)
    }

    /// Takes note of a life that was met on a link, and says what the instance has to hear.
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

    /// Adds an address to dial, where there is room.
    pub(super) fn add_target(&mut self, address: SocketAddr, instance: Option<InstanceId>) {
        if self.targets.len() >= MAX_TARGETS && !self.targets.contains_key(&address) {
            return;
        }
        let target = self.targets.entry(address).or_default();
        if instance.is_some() {
            target.instance = instance;
        }
    }

    /// Adds an address that the settings name.
    pub(super) fn add_seed(&mut self, address: SocketAddr) {
        self.add_target(address, None);
        if let Some(target) = self.targets.get_mut(&address) {
            target.is_seed = true;
        }
    }

    /// Takes note of where an instance stands. It stays in the choice of links until a list lacks
    /// it, even if it seems dead: both ends of a link that was cut would else stop dialling.
    pub(super) fn set_data_centre(&mut self, instance: &InstanceId, data_centre: &DataCentre) {
        if self.data_centres.len() < MAX_TARGETS || self.data_centres.contains_key(instance) {
            self.data_centres.insert(instance.clone(), data_centre.clone());
        }
    }

    /// Chooses anew which instances to have links with, and says whether these are all.
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

    /// Ends a link, unless another one has taken its place.
    pub(super) fn remove_link(&mut self, instance: &InstanceId, id: u64) {
        if self.links.get(instance).is_some_and(|link| link.id == id) {
            self.links.swap_remove(instance);
        }
    }
}
