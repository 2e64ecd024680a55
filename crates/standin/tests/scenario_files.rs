//! Every file in `scenarios/` is readable, tells its story and expects something.

#![allow(clippy::unwrap_used)]

use std::{fs, path::Path};

use standin::scenario::parse;

const SHORTEST_STORY_LINES: usize = 2;
const LONGEST_STORY_LINES: usize = 5;

#[test]
fn every_scenario_file_is_readable_and_tells_its_story() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let files: Vec<_> = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    assert!(files.len() >= 25, "{} scenarios", files.len());
    for file in files {
        let text = fs::read_to_string(&file).unwrap();
        let scenario = parse(&text).unwrap_or_else(|findings| panic!("{file:?}: {findings:?}"));
        let lines = scenario.story.len();
        assert!((SHORTEST_STORY_LINES..=LONGEST_STORY_LINES).contains(&lines), "{file:?}");
        assert!(!scenario.expectations.is_empty(), "{file:?}");
    }
}
