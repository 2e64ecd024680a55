//! Runs every file in `scenarios/` against real processes. Each file describes its own failure
//! case.

#![allow(clippy::unwrap_used)]

use std::{
    fs,
    path::{Path, PathBuf},
};

use standin::scenario::{parse, run};

fn scenario_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

fn run_scenario(name: &str) {
    let text = fs::read_to_string(scenario_folder().join(format!("{name}.scenario"))).unwrap();
    let scenario = parse(&text).unwrap();
    let report = run(&scenario, Path::new(env!("CARGO_BIN_EXE_trefoilhalld"))).unwrap();
    assert!(report.findings.is_empty(), "{:#?}\n{}", report.findings, report.account);
}

macro_rules! scenarios {
    ($($case:ident),* $(,)?) => {
        $(
            #[test]
            fn $case() {
                run_scenario(&stringify!($case).replace('_', "-"));
            }
        )*

        #[test]
        fn every_file_is_played() {
            let listed = [$(stringify!($case).replace('_', "-")),*];
            for entry in fs::read_dir(scenario_folder()).unwrap() {
                let file = entry.unwrap().path();
                let name = file.file_stem().unwrap().to_string_lossy().into_owned();
                assert!(listed.contains(&name), "{name} isn't played");
            }
        }
    };
}

scenarios! {
    all_instances_replaced,
    answers_cut,
    answers_slow,
    cache_events_lost,
    callers_hang_up,
    claimant_paused,
    engine_connections_go_silent,
    engine_dies_before_first_token,
    engine_dies_in_mid_stream,
    engine_leaves,
    engine_restarts_at_once,
    engine_slows_down,
    engine_wholly_silent,
    instance_dies_memory_returns,
    instance_dies_with_claim,
    instance_paused_during_publish,
    leaving_engine_and_instance_restarts,
    leaving_engine_and_paused_instance,
    leaving_engine_while_list_lags,
    list_lags_behind_replacement,
    log_answer_lost,
    log_connections_go_silent,
    log_down_registrations_refused,
    log_silent_registrations_in_time,
    log_slow,
    log_trimmed,
    longest_prompt_loses_engine,
    longest_prompts_at_once,
    operators_race,
    owner_paused,
    pair_cache_gaps_and_engine_restarts,
    pair_claimant_paused_and_log_answer_lost,
    pair_crashing_prompt_and_instance_dies,
    pair_engine_leaves_and_log_silent,
    pair_hang_ups_and_instance_dies,
    pair_list_lags_and_all_replaced,
    pair_log_down_and_engine_dies,
    pair_operators_race_and_instance_restarts,
    pair_service_answer_lost_and_instance_dies,
    pair_silent_connections_and_engine_dies,
    planned_stop_cuts_nothing,
    planned_stop_while_engine_dies,
    planned_stop_while_log_down,
    planned_stop_while_other_dies,
    planned_stop_with_silent_connections,
    prompt_crashes_engines,
    publish_answer_lost,
    publish_while_log_slow,
    published_during_log_outage,
    service_answer_lost,
    service_answers_late,
    service_connections_go_silent,
    service_dies,
    service_leaves,
}
