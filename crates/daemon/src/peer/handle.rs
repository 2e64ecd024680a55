//! The operations behind [`crate::peer::PeerMesh`].

use std::sync::{Arc, atomic::Ordering};

use indexmap::IndexSet;
use policy::{
    Deployment, Incarnation, InstanceId, LoadDigest,
    digest::DigestSender,
    membership::{ListEntry, owners::OwnerStatus},
};
use protocols::instances::{ListPage, ListedState, Role};

use crate::peer::{
    Message, NotLinked, PacketError, PeerStatus,
    message::{Origin, Packet, encode},
    shared::Shared,
    state::{Link, OwnLoad, State},
};

impl Shared {
    pub(super) fn broadcast(&self, message: Message) -> Result<(), PacketError> {
        let mut state = self.lock();
        let origin = Origin {
            instance: self.local.instance.clone(),
            incarnation: self.local.incarnation,
            number: state.flood_filter.next_number(),
        };
        let packet = if message.is_fleet_wide() {
            Packet::Flood { origin, message }
        } else {
            Packet::Direct(message)
        };
        let links: Vec<InstanceId> = state.links.keys().cloned().collect();
        self.push(&mut state, &links, &packet)
    }

    pub(super) fn send_to(&self, instance: &InstanceId, message: Message) -> Result<(), NotLinked> {
        let mut state = self.lock();
        if !state.links.contains_key(instance) {
            return Err(NotLinked);
        }
        let packet = Packet::Direct(message);
        self.push(&mut state, std::slice::from_ref(instance), &packet).map_err(|_| NotLinked)
    }

    /// Queues a packet on the links to these instances. A link whose queue is full is dropped.
    pub(super) fn push(
        &self,
        state: &mut State,
        instances: &[InstanceId],
        packet: &Packet,
    ) -> Result<(), PacketError> {
        let bytes = encode(packet)?;
        let now = self.now();
        for instance in instances {
            let Some(link) = state.links.get_mut(instance) else { continue };
            link.sent_at = now;
            if link.outbox.push(bytes.clone()).is_err() {
                log::warn!(peer = instance.as_str(); "peer_link_overflow");
                state.links.swap_remove(instance);
            }
        }
        Ok(())
    }

    pub(super) fn share_load(&self, deployment: &Deployment, digest: LoadDigest) {
        // The receiver attributes load on a link to the incarnation in the link's hello.
        if digest.instance != self.local.instance || digest.incarnation != self.local.incarnation {
            log::error!(instance = digest.instance.as_str(); "load_of_another_life_not_told");
            return;
        }
        let now = self.now();
        let mut state = self.lock();
        let budget = self.load_budget(&state);
        let load = state.loads.entry(deployment.clone()).or_insert_with(|| OwnLoad {
            sender: DigestSender::new(budget, now),
            digest: digest.clone(),
        });
        load.digest = digest;
        load.sender.set_budget(budget);
        let Some(part) = load.sender.next_part(&load.digest, now) else {
            return;
        };
        for link in state.links.values_mut().filter(|link| self.sends_load_to(link)) {
            link.sent_at = now;
            link.outbox.push_load(deployment, &part);
        }
    }

    /// Budget in bytes per second for one deployment's load on one link: the instance's budget
    /// divided by links and deployments, so that the cost of control traffic doesn't grow with the
    /// fleet.
    fn load_budget(&self, state: &State) -> u32 {
        let links = state.links.values().filter(|link| self.sends_load_to(link)).count().max(1);
        let shares = links * state.loads.len().max(1);
        self.load_bytes_per_second / u32::try_from(shares).unwrap_or(u32::MAX)
    }

    /// Whether to send load digests over a link. In a fleet with gateways they stay within the data
    /// centre: the work that instances of other data centres have here shows in the endpoints' own
    /// load reports.
    pub(super) fn sends_load_to(&self, link: &Link) -> bool {
        self.is_full_mesh() || link.hello.data_centre == self.local.data_centre
    }

    pub(super) fn apply_list(&self, page: &ListPage) {
        let now = self.now();
        let entries = page.instances.iter().filter(|listed| listed.role == Role::Entry);
        let mut state = self.lock();
        let mut list_entries = Vec::new();
        for listed in entries {
            // A name that isn't a valid instance id can't belong to this fleet.
            let Ok(instance) = InstanceId::new(&listed.name) else { continue };
            if instance != self.local.instance {
                state.add_target(listed.address, Some(instance.clone()));
                state.set_data_centre(&instance, &listed.data_centre);
                let leaving = listed.state == ListedState::Leaving;
                let incarnation = listed.incarnation;
                list_entries.push(ListEntry { member: instance, incarnation, leaving });
            }
        }
        state.members.apply_list(&list_entries, now);
        state.forget_unlisted(&list_entries, now);
        self.choose_links(&mut state);
    }

    /// Recomputes which instances to have links with.
    pub(super) fn choose_links(&self, state: &mut State) {
        let full_mesh = state.choose_links(&self.local);
        self.full_mesh.store(full_mesh, Ordering::Relaxed);
    }

    pub(super) fn set_leaving(&self) {
        let mut state = self.lock();
        state.leaving = true;
        let links: Vec<InstanceId> = state.links.keys().cloned().collect();
        // A heartbeat never exceeds the packet limit.
        self.push(&mut state, &links, &Packet::Heartbeat { leaving: true }).ok();
    }

    pub(super) fn owner_status(
        &self,
        instance: &InstanceId,
        incarnation: Incarnation,
    ) -> OwnerStatus {
        if *instance == self.local.instance && incarnation == self.local.incarnation {
            return OwnerStatus::Alive;
        }
        self.lock().members.owner(instance, incarnation, self.now())
    }

    pub(super) fn status(&self) -> Vec<PeerStatus> {
        let state = self.lock();
        state
            .members
            .members(self.now())
            .map(|known| PeerStatus {
                instance: known.key.clone(),
                incarnation: known.incarnation,
                state: known.state,
                linked: state.links.contains_key(known.key),
            })
            .collect()
    }

    pub(super) fn send_goodbye(&self) {
        let mut state = self.lock();
        let links: Vec<InstanceId> = state.links.keys().cloned().collect();
        // A goodbye never exceeds the packet limit.
        self.push(&mut state, &links, &Packet::Goodbye).ok();
        state.links.values().for_each(|link| link.outbox.finish());
        state.targets.clear();
    }

    /// Whether any connection is open. Each connection holds a reference to the counters.
    pub(super) fn has_connections(&self) -> bool {
        Arc::strong_count(&self.traffic) > 1
    }
}

impl State {
    /// Removes the data of instances that are dead and not listed.
    fn forget_unlisted(&mut self, list_entries: &[ListEntry<InstanceId>], now: policy::Time) {
        let State { members, data_centres, targets, .. } = self;
        let listed: IndexSet<&InstanceId> =
            list_entries.iter().map(|entry| &entry.member).collect();
        let live = |instance: &InstanceId| {
            listed.contains(instance)
                || members.state(instance, now) != policy::membership::MemberState::Dead
        };
        data_centres.retain(|instance, _| live(instance));
        targets.retain(|_, target| target.is_seed || target.instance.as_ref().is_some_and(live));
    }
}
