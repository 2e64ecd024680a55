//! What a process says that can't start.

#![allow(clippy::unwrap_used)]

use std::{fs, process::Command};

/// Guards against a process that ends again and again and never says why.
#[test]
fn the_findings_are_logged() {
    let config = std::env::temp_dir().join(format!("start-faults-{}.json", std::process::id()));
    fs::write(&config, r#"{"settings": {"instance": "i-1", "nonsense": 1}}"#).unwrap();
    let output =
        Command::new(env!("CARGO_BIN_EXE_trefoilhalld")).arg("--config").arg(&config).output();
    fs::remove_file(&config).unwrap();
    let output = output.unwrap();
    let log = String::from_utf8(output.stdout).unwrap();
    assert!(!output.status.success());
    assert!(log.contains("event=stopped_by_fault") && log.contains("nonsense"), "{log:?}");
}
