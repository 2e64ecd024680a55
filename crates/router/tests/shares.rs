//! What requests charge their workspaces for.

#![allow(clippy::unwrap_used)]

use policy::{
    DataCentre, EndpointGroup, EndpointId, Fingerprint, Incarnation, Time, Workspace,
    contention::MemoryShare,
    placement::{JobId, Member, PlacementRequest, PlacementRules},
    routes::{EngineRules, Homes},
};
use router::state::{Group, Scheduling};

const ENGINE: EngineRules = EngineRules {
    slots: 12,
    memory_tokens: 200_000,
    stride: 48,
    chunk_tokens: 2_048,
    step_ms: 1.0,
    step_ms_per_request: 0.002,
    step_ms_per_1k_context: 0.004,
    read_tokens_per_ms: 200.0,
    read_ms_per_1m_pairs: 0.14,
    max_helpers: 0,
    usual_context: 16_000,
};

const PROMPT: u64 = 5_000;

fn group(contended_from: Option<f64>) -> Group {
    let contended_from = contended_from.map(|share| MemoryShare::try_from(share).unwrap());
    let scheduling = Scheduling { placement: PlacementRules::default(), contended_from };
    let group = Group::new(EndpointGroup::new("engines").unwrap(), scheduling, 1);
    let member = Member {
        endpoint: EndpointId::new("i-1").unwrap(),
        incarnation: Incarnation(1),
        slots: ENGINE.slots.into(),
        leaving: false,
        data_centre: DataCentre::new("a").unwrap(),
        region: None,
        cold_start: None,
    };
    let mut scheduler = group.scheduler.lock().unwrap();
    scheduler.set_rules(Some(ENGINE));
    scheduler.set_members(vec![member], Time::ZERO);
    drop(scheduler);
    group
}

fn place(group: &Group, workspace: &Workspace, now: Time) -> JobId {
    let request = PlacementRequest {
        prompt_tokens: PROMPT,
        max_output_tokens: 1_500,
        goal_ms: 300.0,
        max_pause_ms: 250.0,
        remaining_ms: 60_000.0,
        priority: 1,
        fingerprint: Fingerprint(1),
        parts: Default::default(),
        is_late: false,
        is_hedge: false,
        tried: Vec::new(),
        homes: Homes::everywhere(),
    };
    let placement = group.scheduler.lock().unwrap().place(&request, now).unwrap();
    group.charge_prefill(Some(workspace), placement.job, now);
    placement.job
}

#[track_caller]
fn assert_usage(group: &Group, workspace: &Workspace, now: Time, expected: f64) {
    let usage = group.shares.lock().unwrap().usage(workspace, now);
    assert!((usage - expected).abs() < 0.01, "{usage} instead of {expected}");
}

#[test]
fn a_request_is_charged_for_prefill_and_its_part_of_the_slots() {
    let (group, workspace) = (group(Some(0.75)), Workspace::new("desk").unwrap());
    let prefill_ms = ENGINE.prefill_ms(PROMPT);
    let job = place(&group, &workspace, Time::ZERO);
    assert_usage(&group, &workspace, Time::ZERO, prefill_ms);
    let (began, ended) = (Time::from_millis(100), Time::from_millis(5_000));
    let mut scheduler = group.scheduler.lock().unwrap();
    scheduler.mark_sent(job);
    scheduler.record_first_event(job, began);
    drop(scheduler);
    // Its second end is that of a run whose hedge has won.
    (0..2).for_each(|_| group.finish(Some(&workspace), job, None, ended));
    assert_usage(&group, &workspace, ended, prefill_ms / 2.0 + 4_900.0 / 12.0);
}

/// Guards against long prompts that are charged for each placement, although they were held and placed
/// anew before anything was sent.
#[test]
fn a_request_that_was_not_sent_costs_nothing() {
    let (group, workspace) = (group(Some(0.75)), Workspace::new("desk").unwrap());
    let job = place(&group, &workspace, Time::ZERO);
    let now = Time::from_millis(2_000);
    group.finish(Some(&workspace), job, Some(policy::FailCause::Deadline), now);
    assert_usage(&group, &workspace, now, 0.0);
}

#[test]
fn nothing_is_charged_where_groups_are_not_contended() {
    let (group, workspace) = (group(None), Workspace::new("desk").unwrap());
    let job = place(&group, &workspace, Time::ZERO);
    group.finish(Some(&workspace), job, None, Time::from_millis(2_000));
    assert!(group.shares.lock().unwrap().is_empty());
}
