//! Which instances keep links to which.
//!
//! **Load pattern.** Today 4 instances; within two years 350 in 20 data centres, with at most
//! 3 KB a second for control each.
//!
//! **Without it.** A full mesh of 350 instances has 349 links at each: one heartbeat of 20 bytes a
//! second each is 7 KB a second before anything useful is said.
//!
//! **Rule.** Up to [`MAX_FULL_MESH_INSTANCES`] instances all keep links to all, as the delay is shortest and no
//! instance matters more than another. Above, each keeps links to all of its own data centre, and
//! each pair of data centres is joined by [`LINKS_PER_DATA_CENTRE_PAIR`] links whose ends are chosen by rendezvous
//! hash over the pair, so that every data centre's gateway work is spread over its instances.
//! What has to reach all (an endpoint that is leaving, quarantine entries) is passed on by
//! gateways; load digests stay within the data centre, as the load that other data centres have
//! there shows in the endpoints' own reports.
//!
//! **Grounds.** 350 instances in 20 data centres are 18 in each: 17 links within. The 190 pairs
//! times 2 links have 760 ends, or 2.2 an instance: 19 links at each instead of 349. Two gateways
//! for a pair, because the death of one must not cut a data centre off for the time that it takes
//! to notice. The measured cost of a link is in `docs/decisions/membership.md`.

use indexmap::IndexSet;

use crate::{DataCentre, InstanceId, rendezvous};

/// Up to so many instances all keep links to all.
pub const MAX_FULL_MESH_INSTANCES: usize = 16;

/// Links between two data centres.
pub const LINKS_PER_DATA_CENTRE_PAIR: usize = 2;

/// An instance and where it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceLocation {
    /// The instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// The instances among `all` that `me` keeps a link to. The relation is symmetric: both ends
/// compute the same links from the same members.
pub fn links(me: &InstanceLocation, all: &[InstanceLocation]) -> Vec<InstanceId> {
    let others = all.iter().filter(|other| other.instance != me.instance);
    if all.len() <= MAX_FULL_MESH_INSTANCES {
        return others.map(|other| other.instance.clone()).collect();
    }
    let local = others.filter(|other| other.data_centre == me.data_centre);
    let mut linked: IndexSet<InstanceId> = local.map(|other| other.instance.clone()).collect();
    let data_centres: IndexSet<&DataCentre> =
        all.iter().map(|placed| &placed.data_centre).collect();
    for remote in data_centres.into_iter().filter(|remote| **remote != me.data_centre) {
        linked.extend(gateway_links(me, remote, all));
    }
    linked.into_iter().collect()
}

/// The instances of the data centre `remote` that `me` is linked with as a gateway: the n-th
/// gateway of the one data centre is linked with the n-th of the other. One with a single instance
/// uses it for every link.
fn gateway_links(
    me: &InstanceLocation,
    remote: &DataCentre,
    all: &[InstanceLocation],
) -> Vec<InstanceId> {
    let key = rendezvous::key(me.data_centre.as_str()) ^ rendezvous::key(remote.as_str());
    let here = gateways(key, &me.data_centre, all);
    let there = gateways(key, remote, all);
    let nth =
        |ends: &[&InstanceId], n: usize| ends.get(n).or(ends.last()).map(|end| (*end).clone());
    (0..LINKS_PER_DATA_CENTRE_PAIR)
        .filter(|n| nth(&here, *n).as_ref() == Some(&me.instance))
        .filter_map(|n| nth(&there, n))
        .collect()
}

fn gateways<'a>(
    key: u64,
    data_centre: &DataCentre,
    all: &'a [InstanceLocation],
) -> Vec<&'a InstanceId> {
    let local: Vec<&InstanceId> = all
        .iter()
        .filter(|placed| &placed.data_centre == data_centre)
        .map(|placed| &placed.instance)
        .collect();
    let chosen = rendezvous::owners(key, &local, LINKS_PER_DATA_CENTRE_PAIR);
    chosen.into_iter().map(|index| local[index]).collect()
}
