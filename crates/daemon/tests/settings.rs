//! Placement rules in the settings: defaults, and errors that name the invalid member.

#![allow(clippy::unwrap_used)]

use daemon::settings::Settings;
use policy::{
    config::{Findings, SourceFile, tree},
    placement::{PlacementRules, PlacementStrategy},
};

fn read_placement(placement: &str) -> Result<PlacementRules, String> {
    let text = format!(
        r#"{{"settings": {{"instance": "i-1", "data_centre": "a", "listen": "127.0.0.1:1",
            "peer_listen": "127.0.0.1:2", "routing": {{"log_service": "127.0.0.1:3",
            "ready_listen": "127.0.0.1:4"{placement}}}}}}}"#
    );
    let file = SourceFile { name: "settings.json".to_owned(), text };
    let mut findings = Findings::default();
    let node = tree::merge(&[file], &mut findings).unwrap();
    let settings = Settings::read(node.member("settings").unwrap(), &mut findings);
    let rules = settings.and_then(|settings| settings.routing).map(|routing| routing.placement);
    match findings.is_empty() {
        true => Ok(rules.unwrap()),
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

macro_rules! refused {
    ($($case:ident: $placement:expr => $($part:expr),+;)*) => {$(
        #[test]
        fn $case() {
            let findings = read_placement(&format!(", \"placement\": {}", $placement)).unwrap_err();
            $(assert!(findings.contains($part), "{findings}");)+
        }
    )*};
}

refused! {
    unknown_rule: r#"{"aparts": 1}"# => "settings.routing.placement", "aparts";
    value_out_of_range: r#"{"unit_ms": 0}"# => "settings.routing.placement.unit_ms", "larger";
    unknown_choice: r#"{"choice": "best"}"# => "settings.routing.placement", "best";
    no_object: "3" => "settings.routing.placement", "rules of placement";
}
