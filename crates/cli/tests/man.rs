//! The committed manual pages are those that the tool prints. After a change of the command line:
//! `for c in "" check ...; do trefoilhall man $c > docs/man/trefoilhall${c:+-$c}.1; done`

#![allow(clippy::unwrap_used)]

use std::{fs, path::Path, process::Command};

macro_rules! up_to_date {
    ($($case:ident: $command:expr;)*) => {$(
        #[test]
        fn $case() {
            let command: &[&str] = &$command;
            let tool = Command::new(env!("CARGO_BIN_EXE_trefoilhall"))
                .arg("man")
                .args(command)
                // The user's name isn't part of the page.
                .env_clear()
                .output()
                .unwrap();
            let name = ["trefoilhall"].iter().chain(command).copied().collect::<Vec<_>>().join("-");
            let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/man");
            let committed = fs::read_to_string(root.join(format!("{name}.1"))).unwrap();
            assert_eq!(committed, String::from_utf8(tool.stdout).unwrap());
        }
    )*};
}

up_to_date! {
    main_page: [];
    check: ["check"];
    publish: ["publish"];
    status: ["status"];
    audit: ["audit"];
    drain: ["drain"];
    demo: ["demo"];
    bench: ["bench"];
    explain: ["explain"];
}
