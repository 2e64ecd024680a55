//! Rendezvous hashing and the links between instances.

// Clippy exempts test functions from this lint, but not their helpers.
#![allow(clippy::unwrap_used)]

use std::collections::HashSet;

use policy::{
    DataCentre, EndpointId, InstanceId, rendezvous,
    topology::{InstanceLocation, links},
};

fn fleet(data_centres: usize, each: usize) -> Vec<InstanceLocation> {
    (0..data_centres * each)
        .map(|n| InstanceLocation {
            instance: InstanceId::new(&format!("entry-{n}")).unwrap(),
            data_centre: DataCentre::new(&format!("dc-{}", n % data_centres)).unwrap(),
        })
        .collect()
}

macro_rules! topology {
    ($($case:ident: $data_centres:expr, $each:expr => at most $max:expr, mean $mean:expr;)*) => {$(
        #[test]
        fn $case() {
            let all = fleet($data_centres, $each);
            let linked: Vec<HashSet<InstanceId>> =
                all.iter().map(|me| links(me, &all).into_iter().collect()).collect();
            let counts: Vec<usize> = linked.iter().map(HashSet::len).collect();
            let mean = counts.iter().sum::<usize>() as f64 / counts.len() as f64;
            assert!(counts.iter().all(|count| *count <= $max), "{counts:?}");
            assert!((mean - $mean).abs() < 0.5, "{mean}");
            for (n, me) in all.iter().enumerate() {
                for (m, other) in all.iter().enumerate() {
                    let here = linked[n].contains(&other.instance);
                    assert_eq!(here, linked[m].contains(&me.instance), "{me:?} {other:?}");
                }
            }
            assert_eq!(count_reachable(&all, &linked), all.len());
        }
    )*};
}

topology! {
    four_instances_are_a_full_mesh: 3, 1 => at most 2, mean 2.0;
    sixteen_instances_are_a_full_mesh: 4, 4 => at most 15, mean 15.0;
    a_large_fleet_is_not: 20, 18 => at most 30, mean 19.1;
    single_instances_in_many_data_centres: 20, 1 => at most 19, mean 19.0;
}

fn count_reachable(all: &[InstanceLocation], linked: &[HashSet<InstanceId>]) -> usize {
    let mut seen = HashSet::from([0]);
    let mut open = vec![0];
    while let Some(n) = open.pop() {
        let next = (0..all.len()).filter(|m| linked[n].contains(&all[*m].instance));
        open.extend(next.filter(|m| seen.insert(*m)).collect::<Vec<_>>());
    }
    seen.len()
}

fn numbered<T>(count: usize, name: impl Fn(String) -> T) -> Vec<T> {
    (0..count).map(|n| name(format!("n-{n}"))).collect()
}

#[test]
fn a_member_that_leaves_moves_only_its_own_keys() {
    let members = numbered(18, |name| InstanceId::new(&name).unwrap());
    let fewer = &members[..17];
    for key in 0..3_600 {
        let before = rendezvous::owner(key, &members).unwrap();
        let after = rendezvous::owner(key, fewer).unwrap();
        assert!(before == after || before == 17);
    }
}

#[test]
fn ownership_is_spread_evenly() {
    let members = numbered(18, |name| InstanceId::new(&name).unwrap());
    let mut owned = [0; 18];
    (0..3_600).for_each(|n| {
        owned[rendezvous::owner(rendezvous::key(&format!("e{n}")), &members).unwrap()] += 1;
    });
    assert!(owned.iter().all(|count| (140..=260).contains(count)), "{owned:?}");
}

#[test]
fn each_endpoint_has_its_senders_and_each_instance_a_balanced_subset() {
    let instances = numbered(70, |name| InstanceId::new(&name).unwrap());
    let endpoints = numbered(720, |name| EndpointId::new(&name).unwrap());
    let mut senders = vec![0; endpoints.len()];
    let mut largest = 0;
    for me in &instances {
        let subset = rendezvous::subset(me, &instances, &endpoints, 20);
        largest = largest.max(subset.len());
        subset.into_iter().for_each(|index| senders[index] += 1);
    }
    assert!(senders.iter().all(|count| *count == 20));
    // The mean subset has 206 endpoints.
    assert!(largest < 270, "{largest}");
    assert_eq!(rendezvous::subset(&instances[0], &instances[..4], &endpoints, 20).len(), 720);
}
