//! A tiny run of the bench keeps its books, and every export holds what was measured.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use cli::bench::{
    self,
    band::Band,
    goals::goals,
    options::{BenchOptions, Files},
    pattern::{Pattern, Scale},
    result::{BenchReport, quantile},
};
use policy::config::PolicyName;

/// Members that scripts outside this repository read.
const MEMBERS: [&str; 11] = [
    "pattern",
    "policy",
    "short_ttft_p99_ms",
    "short_slowdown",
    "long_ttft_p95_ms",
    "worst_ttft_ms",
    "admitted",
    "finished_in_time",
    "refused",
    "failed",
    "refused_not_run_but_ran",
];

/// Names each case and checks it on the report of one run.
macro_rules! cases {
    ($report:ident: $($name:ident $body:block)*) => {
        #[test]
        fn a_tiny_run() {
            let $report = &run();
            $($name($report);)*
        }

        $(fn $name($report: &BenchReport) $body)*
    };
}

fn run() -> BenchReport {
    let opts = BenchOptions {
        overhead: false,
        patterns: vec![Pattern::LostEngine],
        policies: vec![PolicyName::Trefoilhall, PolicyName::RoundRobin],
        span: Duration::from_millis(400),
        seed: 7,
        files: Files::default(),
    };
    bench::measure(&opts, |_| Ok(())).unwrap()
}

cases! { report:
    every_call_is_accounted_for {
        assert_eq!(report.results.len(), 2);
        for result in &report.results {
            assert!(result.offered > 20, "{result:?}");
            assert_eq!(result.admitted, result.finished_in_time + result.failed, "{result:?}");
            assert_eq!(result.offered, result.admitted + result.refused, "{result:?}");
            let bands = result.bands.values().map(|band| band.admitted + band.refused);
            assert_eq!(bands.sum::<u64>(), result.offered);
        }
    }

    no_caller_was_told_a_lie {
        for result in &report.results {
            assert_eq!(result.refused_not_run_but_ran, 0, "{result:?}");
            assert_eq!(result.wrong_answers, 0, "{result:?}");
        }
    }

    only_goals_with_figures_are_judged {
        let wanted = goals(report).len();
        assert_eq!(wanted, 3, "two of a lost engine, one of all patterns");
        let nothing = BenchReport { results: Vec::new(), ..report.clone() };
        assert_eq!(goals(&nothing), []);
    }

    the_exports_hold_what_was_measured {
        let dir = std::env::temp_dir().join(format!("trefoilhall-bench-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let file = |name: &str| Some(dir.join(name));
        let files = Files {
            json: file("r.json"), csv: file("r.csv"), markdown: file("r.md"), svg: file("r.svg"),
        };
        bench::write_files(&files, report).unwrap();
        let read = |name: &str| std::fs::read_to_string(dir.join(name)).unwrap();

        let json: serde_json::Value = serde_json::from_str(&read("r.json")).unwrap();
        for result in json["results"].as_array().unwrap() {
            for member in MEMBERS {
                assert!(result.get(member).is_some(), "{member} is missing");
            }
        }
        assert_eq!(json["results"][0]["pattern"], "lost_engine");
        assert_eq!(json["results"][1]["policy"], "round_robin");

        let bands: usize = report.results.iter().map(|result| result.bands.len()).sum();
        assert_eq!(read("r.csv").lines().count(), bands + 1);
        assert!(read("r.md").contains("| round_robin | 1k |"));
        let svg = read("r.svg");
        assert!(svg.contains("lost_engine") && svg.contains("polyline"), "{svg}");
        std::fs::remove_dir_all(dir).unwrap();
    }
}

#[test]
fn a_seed_gives_the_same_arrivals_again() {
    let scale = Scale { capacity: 700_000.0, span: Duration::from_secs(5), seed: 3 };
    let arrivals = |seed| {
        let plan = Pattern::HotCaller.plan(Scale { seed, ..scale });
        plan.arrivals.iter().map(|a| (a.at, a.seed, a.workspace)).collect::<Vec<_>>()
    };
    assert_eq!(arrivals(3), arrivals(3));
    assert_ne!(arrivals(3), arrivals(4));
}

#[test]
fn patterns_offer_the_load_they_are_named_for() {
    let scale = Scale { capacity: 700_000.0, span: Duration::from_secs(10), seed: 3 };
    let offered = |pattern: Pattern| {
        let plan = pattern.plan(scale);
        let tokens: u64 = plan.arrivals.iter().map(|a| a.band.tokens().0).sum();
        tokens as f64 / scale.capacity / scale.span.as_secs_f64()
    };
    for (pattern, load) in [
        (Pattern::Capacity, 1.0),
        (Pattern::Overload, 2.0),
        (Pattern::LongAmongShort, 0.8),
        (Pattern::LostEngine, 0.5),
    ] {
        let offered = offered(pattern);
        assert!((offered - load).abs() < 0.06, "{pattern} offers {offered}");
    }
    assert!(Pattern::LongAmongShort.plan(scale).has(|band| band == Band::Longest));
}

#[test]
fn quantiles_are_values_that_were_measured() {
    let values = [1.0, 2.0, 3.0, 4.0];
    let shares = [0.0, 0.25, 0.5, 0.51, 0.99, 1.0];
    assert_eq!(shares.map(|share| quantile(&values, share)), [1.0, 1.0, 2.0, 3.0, 4.0, 4.0]);
    assert_eq!(quantile(&[], 0.5), 0.0);
}
