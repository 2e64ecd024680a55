//! Periodic work: heartbeats, silent links, dials, and peers that have died.

use std::{
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use policy::{
    InstanceId,
    membership::{self, HEARTBEAT_INTERVAL},
};
use smol::Timer;

use crate::peer::{
    LINK_SILENCE_TIMEOUT, PeerEvent, dial, message::Packet, shared::Shared, state::State,
};

/// A quarter of the heartbeat interval; deadlines are met with this precision.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

pub(super) async fn run(shared: Arc<Shared>) {
    loop {
        let events = tick(&shared);
        shared.emit(events).await;
        Timer::after(TICK_INTERVAL).await;
    }
}

fn tick(shared: &Arc<Shared>) -> Vec<PeerEvent> {
    let mut state = shared.lock();
    drop_silent_links(shared, &mut state);
    send_heartbeats(shared, &mut state);
    let due = state.take_due(shared.now());
    let removed = take_removed(shared, &mut state);
    drop(state);
    for address in due {
        shared.spawn(dial::run(shared.clone(), address));
    }
    removed
}

/// Drops silent links. A device between the two ends may have lost track of the connection, which
/// then stays open and silent for good, while a new one works. Dropping the link makes both ends
/// dial again within a tick or two, well before the peer is considered dead.
fn drop_silent_links(shared: &Shared, state: &mut State) {
    let now = shared.now();
    let before = state.links.len();
    state.links.retain(|instance, link| {
        let silent = now.since(link.received_at) >= LINK_SILENCE_TIMEOUT;
        if silent {
            log::warn!(peer = instance.as_str(); "peer_link_silent");
        }
        !silent
    });
    let dropped = before - state.links.len();
    shared.traffic.links_timed_out.fetch_add(dropped as u64, Relaxed);
}

/// Sends a heartbeat on each link on which nothing has been sent for a while.
fn send_heartbeats(shared: &Shared, state: &mut State) {
    let now = shared.now();
    let idle: Vec<InstanceId> = state
        .links
        .iter()
        .filter(|(_, link)| now.since(link.sent_at) + TICK_INTERVAL > HEARTBEAT_INTERVAL)
        .map(|(instance, _)| instance.clone())
        .collect();
    let packet = Packet::Heartbeat { leaving: state.leaving };
    // A heartbeat never exceeds the packet limit.
    shared.push(state, &idle, &packet).ok();
}

fn take_removed(shared: &Shared, state: &mut State) -> Vec<PeerEvent> {
    let now = shared.now();
    let State { announced, members, .. } = state;
    let mut removed = Vec::new();
    announced.retain(|instance, incarnation| {
        let live = members.state(instance, now) != membership::MemberState::Dead;
        if !live {
            let (instance, incarnation) = (instance.clone(), *incarnation);
            removed.push(PeerEvent::Removed { instance, incarnation });
        }
        live
    });
    removed
}
