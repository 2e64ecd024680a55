//! Settings of the machine, of placement and of contention: defaults, and errors that name the invalid
//! member.

#![allow(clippy::unwrap_used)]

use daemon::settings::Settings;
use policy::{
    config::{Findings, SourceFile, tree},
    placement::{PlacementRules, PlacementStrategy},
};

fn read_placement(placement: &str) -> Result<PlacementRules, String> {
    read_settings(placement, "").map(|settings| settings.routing.unwrap().placement)
}

/// Reads settings with further members of `routing` and of the settings themselves.
fn read_settings(routing: &str, more: &str) -> Result<Settings, String> {
    let text = format!(
        r#"{{"settings": {{"instance": "i-1", "data_centre": "a", "listen": "127.0.0.1:1",
            "peer_listen": "127.0.0.1:2", "routing": {{"log_service": "127.0.0.1:3",
            "ready_listen": "127.0.0.1:4"{routing}}}{more}}}}}"#
    );
    let file = SourceFile { name: "settings.json".to_owned(), text };
    let mut findings = Findings::default();
    let node = tree::merge(&[file], &mut findings).unwrap();
    let settings = Settings::read(node.member("settings").unwrap(), &mut findings);
    match findings.is_empty() {
        true => Ok(settings.unwrap()),
        false => Err(findings.iter().map(|finding| format!("{finding}\n")).collect()),
    }
}

#[test]
fn absent_placement_rules_have_their_defaults() {
    assert_eq!(read_placement(""), Ok(PlacementRules::default()));
}

#[test]
fn one_rule_leaves_the_others_at_their_defaults() {
    let rules = read_placement(r#", "placement": {"choice": "round_robin", "apart": 0}"#).unwrap();
    let expected = PlacementRules {
        choice: PlacementStrategy::RoundRobin,
        apart: 0.0,
        ..PlacementRules::default()
    };
    assert_eq!(rules, expected);
}

/// Guards against bounds that ignore what the settings say of the machine.
#[test]
fn the_settings_state_the_machine() {
    let more = r#", "memory_mb": 160, "open_files": 100, "max_connections": 50"#;
    let limits = daemon::limits::of_machine(&read_settings("", more).unwrap());
    assert_eq!((limits.memory, limits.open_files), (160 << 20, 100));
    assert_eq!(limits.max_connections, 50);
}

/// Guards against a process without bounds where the settings state none.
#[test]
fn the_system_states_the_machine_otherwise() {
    let limits = daemon::limits::of_machine(&read_settings("", "").unwrap());
    assert!((1..=2 << 30).contains(&limits.memory), "{limits:?}");
    assert!(limits.open_files > 0 && limits.open_files < usize::MAX, "{limits:?}");
}

/// Guards against a machine without memory or descriptors, which could serve nobody.
#[test]
fn a_machine_needs_memory_and_descriptors() {
    for member in ["memory_mb", "open_files"] {
        for value in ["0", "-1", "1.5", r#""much""#] {
            let findings = read_settings("", &format!(r#", "{member}": {value}"#)).unwrap_err();
            assert!(findings.contains(&format!("settings.{member}")), "{findings}");
        }
    }
}

macro_rules! refused {
    ($($case:ident: $member:expr => $($part:expr),+;)*) => {$(
        #[test]
        fn $case() {
            let findings = read_placement(&format!(", {}", $member)).unwrap_err();
            $(assert!(findings.contains($part), "{findings}");)+
        }
    )*};
}

refused! {
    unknown_rule: r#""placement": {"aparts": 1}"# => "settings.routing.placement", "aparts";
    value_out_of_range: r#""placement": {"unit_ms": 0}"# => "settings.routing.placement.unit_ms", "larger";
    unknown_choice: r#""placement": {"choice": "best"}"# => "settings.routing.placement", "best";
    no_object: r#""placement": 3"# => "settings.routing.placement", "rules of placement";
    share_above_one: r#""contention": {"memory_share": 1.5}"# =>
        "settings.routing.contention", "memory_share", "from 0 to 1";
    negative_share: r#""contention": {"memory_share": -0.1}"# =>
        "settings.routing.contention", "from 0 to 1";
    share_missing: r#""contention": {}"# => "settings.routing.contention", "memory_share";
    unknown_member_of_contention: r#""contention": {"memory_share": 1, "slots": 2}"# =>
        "settings.routing.contention";
}
