//! The two sites in `examples/` pass every check and have the sizes that they are said to have.

#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};

use cli::command::check::check;
use daemon::settings::Settings;
use policy::config::{EndpointKind, Findings};

fn example(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(path)
}

macro_rules! sites {
    ($($case:ident: $engines:expr, $once:expr;)*) => {$(
        #[test]
        fn $case() {
            let site = stringify!($case);
            let checked = check(&example(&format!("{site}/site"))).unwrap();
            let config = checked.loaded.config;
            let kinds = config.deployments.values().map(|rules| (rules.kind, &rules.group));
            let engine = kinds.clone().find(|(kind, _)| *kind == EndpointKind::Engine).unwrap().1;
            let engines = config.endpoints.values().filter(|rules| rules.group == *engine).count();
            assert_eq!(engines, $engines);
            assert_eq!(config.endpoints.len() - engines, 3);
            assert_eq!((config.data_centres.len(), config.workspaces.len()), (3, 10));
            for path in $once {
                let mut routes = config.deployments.values().filter_map(|rules| rules.route(path));
                assert!(routes.any(|route| !route.repeatable), "{path} may be repeated");
            }
        }
    )*};
}

sites! {
    brasov: 16, ["/inregistrari/17"];
    texas: 20, ["/holds", "/reservations/9"];
}

#[test]
fn each_site_has_four_instances_that_know_one_another() {
    for site in ["brasov", "texas"] {
        let all = [1, 2, 3, 4].map(|number| {
            let folder = example(&format!("{site}/instances/entry-{number}"));
            let node = check(&folder).unwrap().loaded.settings.unwrap();
            Settings::read(&node, &mut Findings::default()).unwrap()
        });
        for own in &all {
            let others = all.iter().filter(|other| other.instance != own.instance);
            let others: Vec<_> = others.map(|other| other.peer_listen).collect();
            assert_eq!(own.peers, others);
        }
    }
}

#[test]
fn each_experiment_takes_the_variants() {
    let variants = std::fs::read_to_string(example("variants/ablation.json")).unwrap();
    let variants: emulator::spec::Variants = serde_json::from_str(&variants).unwrap();
    for entry in std::fs::read_dir(example("experiments")).unwrap() {
        let text = std::fs::read_to_string(entry.unwrap().path()).unwrap();
        let mut spec = emulator::SiteSpec::parse(&text).unwrap();
        spec.variants.extend(variants.clone());
        assert_eq!(spec.trials().len(), spec.policies.len() + variants.len());
    }
}
