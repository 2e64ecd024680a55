//! Follows the endpoints.

use std::{
    sync::{Arc, PoisonError},
    time::Duration,
};

use indexmap::IndexMap;
use policy::{DataCentre, EndpointGroup, EndpointId, arrange::Member, roster::Roster};
use smol::Timer;

use super::Contact;
use crate::{
    clock::Clock,
    lock,
    source::{EndpointEntry, EndpointSource},
    state::{Group, Groups},
};

/// Time between two readings, as a part of the time within which a leaving endpoint may get nothing
/// new. What varies about it, a retry and the way there fit into the rest; each reading has a price.
const PERIOD: f64 = 0.55;

/// Pause after a failed reading.
const RETRY: Duration = Duration::from_millis(200);

/// One-way delay to an endpoint in the same data centre, and in another one. A few hundredths of a
/// short question's goal; the order of magnitude is all that placement needs.
const NEAR: Duration = Duration::from_micros(200);
const FAR: Duration = Duration::from_micros(1_400);

/// Reads on until it is dropped.
pub async fn follow(
    mut source: impl EndpointSource,
    groups: Arc<Groups>,
    here: DataCentre,
    clock: Clock,
    leave: Duration,
) {
    let mut contact = Contact::new("endpoints");
    let mut roster = Roster::<EndpointId, EndpointEntry>::default();
    let mut found = IndexMap::new();
    loop {
        let pause = match source.read().await {
            Ok(reading) => {
                contact.answered();
                if let Some(entries) = reading.news {
                    found = entries.into_iter().map(|e| (e.id.clone(), e)).collect();
                }
                if roster.read(&found, clock.now()) {
                    update(&groups, roster.entries(), &here, clock);
                }
                // What is kept after an outage is dropped by a reading, so that one has to come soon.
                if roster.is_settling() { RETRY } else { leave.mul_f64(PERIOD) }
            }
            Err(e) => {
                contact.failed(&e);
                roster.failed();
                RETRY
            }
        };
        Timer::after(pause.mul_f64(0.85 + 0.3 * fastrand::f64())).await;
    }
}

fn update(
    groups: &Groups,
    entries: &IndexMap<EndpointId, EndpointEntry>,
    here: &DataCentre,
    clock: Clock,
) {
    let mut by_group: IndexMap<EndpointGroup, Vec<&EndpointEntry>> = IndexMap::new();
    for entry in entries.values() {
        by_group.entry(entry.group.clone()).or_default().push(entry);
    }
    // A group whose last endpoint is gone has to hear of it too.
    for group in groups.all() {
        by_group.entry(group.name.clone()).or_default();
    }
    for (name, entries) in by_group {
        update_group(&groups.get_or_add(&name), &entries, here, clock);
    }
}

fn update_group(group: &Group, entries: &[&EndpointEntry], here: &DataCentre, clock: Clock) {
    let addresses = entries.iter().map(|entry| (entry.id.clone(), entry.address)).collect();
    let mut known = group.addresses.write().unwrap_or_else(PoisonError::into_inner);
    tell_changes(group, &known, entries);
    *known = addresses;
    drop(known);
    let members = entries.iter().map(|entry| Member {
        endpoint: entry.id.clone(),
        incarnation: entry.incarnation,
        slots: entry.slots,
        distance: if entry.data_centre == *here { NEAR } else { FAR },
        leaving: entry.leaving,
    });
    lock(&group.arranger).set_members(members.collect(), clock.now());
}

fn tell_changes(
    group: &Group,
    known: &IndexMap<EndpointId, std::net::SocketAddr>,
    entries: &[&EndpointEntry],
) {
    for entry in entries.iter().filter(|e| e.leaving || !known.contains_key(&e.id)) {
        let state = if entry.leaving { "leaving" } else { "new" };
        log::info!(group = group.name.as_str(), endpoint = entry.id.as_str(), state,
            incarnation = entry.incarnation.0; "endpoint_seen");
    }
    for endpoint in known.keys().filter(|id| !entries.iter().any(|e| e.id == **id)) {
        log::info!(group = group.name.as_str(), endpoint = endpoint.as_str(); "endpoint_gone");
    }
}
