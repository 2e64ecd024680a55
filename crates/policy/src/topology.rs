//! Topology of the links between instances.
//!
//! **Load pattern.** At present 4 instances; within two years 350 in 20 data centres, each with a
//! budget of 3 KB per second for control traffic.
//!
//! **Without it.** In a full mesh of 350 instances, each instance has 349 links: one heartbeat of
//! 20 bytes per second on each link takes 7 KB per second before any load is reported.
//!
//! **Rule.** Up to [`MAX_FULL_MESH_INSTANCES`] instances form a full mesh, because it has the
//! shortest delay and no instance matters more than another. In larger fleets, each instance is
//! linked to all instances of its own data centre, and each pair of data centres is connected by
//! [`LINKS_PER_DATA_CENTRE_PAIR`] links. Their ends, the gateways, are chosen by rendezvous hashing
//! over the pair, so that gateway work is distributed over the instances of a data centre. Gateways
//! forward what has to reach all instances (an endpoint that is leaving, quarantine entries). Load
//! digests stay within the data centre, because load from other data centres shows in the
//! endpoints' own reports.
//!
//! **Grounds.** 350 instances in 20 data centres are 18 in each, with 17 links inside. The 190
//! pairs with 2 links each have 760 ends, or 2.2 per instance: 19 links instead of 349. A pair has
//! two links, because the failure of one gateway must not disconnect a data centre until the
//! failure is detected. The measured cost of a link is in `docs/decisions/membership.md`.

use indexmap::IndexSet;

use crate::{DataCentre, InstanceId, rendezvous};

/// Maximum number of instances that form a full mesh.
pub const MAX_FULL_MESH_INSTANCES: usize = 16;

/// Number of links between each pair of data centres.
pub const LINKS_PER_DATA_CENTRE_PAIR: usize = 2;

/// An instance and the data centre it runs in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceLocation {
    /// Name of the instance.
    pub instance: InstanceId,
    /// The data centre it runs in.
    pub data_centre: DataCentre,
}

/// The instances among `all` that `me` is linked to. The relation is symmetric: both ends compute
/// the same links from the same list of instances.
pub fn links(me: &InstanceLocation, all: &[InstanceLocation]) -> Vec<InstanceId> {
    let others = all.iter().filter(|other| other.instance != me.instance);
    if all.len() <= MAX_FULL_MESH_INSTANCES {
        return others.map(|other| other.instance.clone()).collect();
    }
    let local = others.filter(|other| other.data_centre == me.data_centre);
    let mut linked: IndexSet<InstanceId> = local.map(|other| other.instance.clone()).collect();
    let data_centres: IndexSet<&DataCentre> =
        all.iter().map(|location| &location.data_centre).collect();
    for remote in data_centres.into_iter().filter(|remote| **remote != me.data_centre) {
        linked.extend(gateway_links(me, remote, all));
    }
    linked.into_iter().collect()
}

/// The instances of the data centre `remote` that `me` is linked to as a gateway. The n-th gateway
/// of one data centre is linked to the n-th of the other; a data centre with a single instance uses
/// it for all links.
fn gateway_links(
    me: &InstanceLocation,
    remote: &DataCentre,
    all: &[InstanceLocation],
) -> Vec<InstanceId> {
    let key = rendezvous::key(me.data_centre.as_str()) ^ rendezvous::key(remote.as_str());
    let local_gateways = gateways(key, &me.data_centre, all);
    let remote_gateways = gateways(key, remote, all);
    let nth =
        |ends: &[&InstanceId], n: usize| ends.get(n).or(ends.last()).map(|end| (*end).clone());
    (0..LINKS_PER_DATA_CENTRE_PAIR)
        .filter(|n| nth(&local_gateways, *n).as_ref() == Some(&me.instance))
        .filter_map(|n| nth(&remote_gateways, n))
        .collect()
}

fn gateways<'a>(
    key: u64,
    data_centre: &DataCentre,
    all: &'a [InstanceLocation],
) -> Vec<&'a InstanceId> {
    let local: Vec<&InstanceId> = all
        .iter()
        .filter(|location| &location.data_centre == data_centre)
        .map(|location| &location.instance)
        .collect();
    let chosen = rendezvous::owners(key, &local, LINKS_PER_DATA_CENTRE_PAIR);
    chosen.into_iter().map(|index| local[index]).collect()
}
