//! Selection of routes and groups, owners of API keys, and the cost model of engines.

#![allow(clippy::unwrap_used)]

mod engines;

use std::{sync::Arc, time::Duration};

use engines::engine;
use policy::{
    EndpointGroup, Workspace,
    routes::{GroupShare, Homes, KeyOwner, KeyTable, RetrySafety, Route, RouteTable},
};

fn group(name: &str) -> EndpointGroup {
    EndpointGroup::new(name).unwrap()
}

fn route(name: &str, shares: &[(&str, u32)]) -> Arc<Route> {
    Arc::new(Route {
        name: name.to_owned(),
        retry_safety: RetrySafety::Once,
        is_streaming: false,
        timeout: Duration::from_secs(1),
        goal: Duration::from_secs(1),
        pause_goal: Duration::from_secs(1),
        gap_timeout: Duration::from_secs(8),
        priority: 0,
        max_attempts: 1,
        is_public: false,
        split: shares
            .iter()
            .map(|(name, weight)| GroupShare { group: group(name), weight: *weight })
            .collect(),
        homes: Homes::everywhere(),
    })
}

fn table() -> RouteTable {
    let mut table = RouteTable::default();
    let host = table.hosts.entry("desk.example".to_owned()).or_default();
    for prefix in ["/", "/a/", "/a/b/", "/ab/"] {
        host.insert(prefix.to_owned(), route(prefix, &[("g", 1)]));
    }
    table
}

macro_rules! finds {
    ($($name:ident: $path:literal => $prefix:expr;)*) => {
        $(#[test] fn $name() {
            let table = table();
            let found = table.find("desk.example", $path).map(|route| route.name.as_str());
            assert_eq!(found, $prefix);
        })*
    };
}

finds! {
    the_longest_prefix: "/a/b/c" => Some("/a/b/");
    a_prefix_itself: "/a/" => Some("/a/");
    whole_segments_only: "/abc/d" => Some("/");
    a_sibling: "/ab/c" => Some("/ab/");
    nothing_below_a_slash: "relative" => None;
}

#[test]
fn other_hosts_have_other_routes() {
    assert!(table().find("other.example", "/a/").is_none());
}

#[test]
fn requests_are_split_by_weight() {
    let route = route("split", &[("new", 10), ("old", 90), ("off", 0)]);
    let drawn = |i: u32| route.group((f64::from(i) + 0.5) / 1000.0).unwrap().as_str().to_owned();
    let new_count = (0..1000).filter(|i| drawn(*i) == "new").count();
    assert_eq!(new_count, 100);
    assert!((0..1000).all(|i| drawn(i) != "off"));
}

#[test]
fn keys_name_their_owner() {
    let mut keys = KeyTable::required();
    let owner = KeyOwner {
        workspace: Workspace::new("counter").unwrap(),
        priority: Some(2),
        homes: Homes::everywhere(),
    };
    keys.insert("k".to_owned(), owner.clone());
    assert_eq!(keys.owner("k"), Some(&owner));
    assert_eq!(keys.owner("K"), None);
    assert!(keys.is_required() && !KeyTable::default().is_required());
}

#[test]
fn prefill_time_grows_faster_than_the_prompt() {
    let near = |ms: f64, expected: f64| (ms / expected - 1.0).abs() < 0.03;
    assert!(near(engine().prefill_ms(5_000), 20.7), "{}", engine().prefill_ms(5_000));
    assert!(near(engine().prefill_ms(45_000), 268.6), "{}", engine().prefill_ms(45_000));
    assert!(near(engine().prefill_ms(210_000), 2_842.0), "{}", engine().prefill_ms(210_000));
}

#[test]
fn a_pass_hardly_grows_with_decoding_requests() {
    let one = engine().pass_ms(1, 6_000);
    let twelve = engine().pass_ms(12, 6_000);
    assert!((43.0..46.0).contains(&one), "{one}");
    assert!(twelve < 1.3 * one, "{twelve}");
}

macro_rules! time_to_deadline {
    ($($(#[$doc:meta])* $name:ident: $arrived:expr, $event:expr => $left:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let mut route = (*route("ask", &[("g", 1)])).clone();
            route.pause_goal = Duration::from_millis(250);
            let event: Option<u64> = $event;
            let left = route.time_to_event_deadline(
                Duration::from_millis($arrived),
                event.map(Duration::from_millis),
            );
            assert_eq!(left, Duration::from_millis($left));
        })*
    };
}

time_to_deadline! {
    a_new_request_has_its_goal: 0, None => 1_000;
    a_waiting_request_has_the_rest_of_its_goal: 400, None => 600;
    /// The goal has passed, so that only the caller's disconnection still matters.
    a_late_request_has_until_the_gap_timeout: 1_500, None => 6_500;
    a_broken_stream_has_the_rest_of_a_pause: 5_000, Some(20) => 230;
    a_silent_stream_has_until_the_gap_timeout: 5_000, Some(1_000) => 7_000;
    the_time_left_is_at_least_a_few_passes: 0, Some(245) => 200;
    a_caller_about_to_disconnect_has_the_minimum: 9_000, None => 200;
}
