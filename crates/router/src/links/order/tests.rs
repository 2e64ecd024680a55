#![allow(clippy::unwrap_used)]

use policy::{EndpointGroup, GroupTag, Incarnation};

use super::*;

fn group() -> GroupTag {
    GroupTag::from(&EndpointGroup::new("desk").unwrap())
}

fn peer() -> SocketAddr {
    ([127, 0, 0, 1], 7_000).into()
}

fn datagram(sequence: u64, body: Body) -> Datagram {
    Datagram { incarnation: Incarnation(1).into(), sequence, body }
}

fn updates() -> Body {
    Body::EndpointUpdates { group: group(), updates: Vec::new() }
}

fn news() -> [Body; 6] {
    let group = group();
    [
        Body::Quarantine { group, entries: Vec::new() },
        Body::Limits { group, reports: Vec::new() },
        Body::Returns { group, reports: Vec::new() },
        Body::NewsRequest { groups: vec![group] },
        Body::NewsSent { groups: vec![group] },
        Body::Leaving { group, reports: Vec::new() },
    ]
}

/// Guards against suspects and limits that are lost because a later datagram overtakes theirs.
#[test]
fn news_that_is_overtaken_counts() {
    for body in news() {
        let mut order = Order::default();
        assert!(order.accepts(peer(), &datagram(2, updates())));
        assert!(order.accepts(peer(), &datagram(1, body.clone())), "{body:?}");
    }
}

/// Guards against a load that replaces a later one.
#[test]
fn load_that_is_overtaken_is_dropped() {
    for body in news() {
        let mut order = Order::default();
        assert!(order.accepts(peer(), &datagram(2, body.clone())));
        assert!(!order.accepts(peer(), &datagram(1, updates())), "{body:?}");
        assert!(order.accepts(peer(), &datagram(3, updates())));
        assert!(!order.accepts(peer(), &datagram(3, updates())));
    }
}

/// Guards against a restarted peer whose datagrams count as outdated.
#[test]
fn another_incarnation_starts_anew() {
    let mut order = Order::default();
    assert!(order.accepts(peer(), &datagram(9, updates())));
    let restarted = Datagram { incarnation: Incarnation(2).into(), ..datagram(1, updates()) };
    assert!(order.accepts(peer(), &restarted));
}
