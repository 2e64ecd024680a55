//! Settings of an instance that passes requests on: what is wrong is named with its member.

#![allow(clippy::unwrap_used)]

use daemon::settings::Settings;
use policy::{
    config::{Findings, SourceFile, tree},
    placement::{PlacementRules, PlacementStrategy},
};

fn read(placement: &str) -> Result<PlacementRules, String> {
    let text = format!(
        r#"{{"settings": {{"instance": "i-1", "data_centre": "a", "listen": "127.0.0.1:1",
            "peer_listen": "127.0.0.1:2", "routing": {{"log_service": "127.0.0.1:3",
            "ready_listen": "127.0.0.1:4"{placement}}}}}}}"#
    );
    let file = SourceFile { name: "settings.json".to_owned(), text };
    let mut findings = Findings::default();
    let node = tree::merge(&[file], &mut findings).unwrap();
    let settings = Settings::read(node.member("settings").unwrap(), &mut findings);
    let read = settings.and_then(|settings| settings.routing).map(|routing| routing.placement);
    match findings.is_empty() {
        true => Ok(read.unwrap()),
        false => Err(findings.iter().map(|finding| format!("{finding}\n")).collect()),
    }
}

#[test]
fn placement_is_as_built_where_nothing_is_said() {
    assert_eq!(read(""), Ok(PlacementRules::default()));
}

#[test]
fn one_figure_changes_no_other() {
    let rules = read(r#", "placement": {"choice": "round_robin", "apart": 0}"#).unwrap();
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
            let findings = read(&format!(", \"placement\": {}", $placement)).unwrap_err();
            $(assert!(findings.contains($part), "{findings}");)+
        }
    )*};
}

refused! {
    unknown_figure: r#"{"aparts": 1}"# => "settings.routing.placement", "aparts";
    figure_without_sense: r#"{"unit_ms": 0}"# => "settings.routing.placement.unit_ms", "larger";
    unknown_choice: r#"{"choice": "best"}"# => "settings.routing.placement", "best";
    no_object: "3" => "settings.routing.placement", "rules of placement";
}
