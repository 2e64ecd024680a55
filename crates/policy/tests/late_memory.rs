//! Prompts that are admitted before the engines have reported their memory.

#![allow(clippy::unwrap_used)]

use std::{sync::Arc, time::Duration};

use policy::{
    Admission, AnyScheduler, CallKind, Decision, EndpointChange, Event, FailCause, Fingerprint,
    Incarnation, InstanceId, LoadReport, RequestId, RequestSpec, Scheduler, Start, Time, Tokens,
    config::{DeploymentRules, EndpointKind, Limits, PolicyName, Weights, WorkspaceTable},
    scheduler::EndpointState,
};

const ENGINES: u16 = 4;
const MEMORY: Tokens = Tokens(10_000);

fn engine(n: u16) -> EndpointChange {
    EndpointChange {
        endpoint: format!("e{n}").parse().unwrap(),
        address: ([127, 0, 0, 1], n).into(),
        data_centre: "brasov-a".parse().unwrap(),
        distance: Duration::ZERO,
        incarnation: Incarnation(1),
        state: EndpointState::Live,
    }
}

fn report(n: u16, now: Time) -> Event {
    Event::Load(LoadReport {
        endpoint: engine(n).endpoint,
        incarnation: Incarnation(1),
        taken: now,
        kv_total: MEMORY,
        kv_used: Tokens::ZERO,
        waiting_prefill: Tokens::ZERO,
        running: 0,
        leaving: false,
    })
}

fn dossier() -> RequestSpec {
    RequestSpec {
        id: RequestId(1),
        workspace: "counter".parse().unwrap(),
        kind: CallKind::Model("m".parse().unwrap()),
        prompt: Tokens(25_000),
        max_output: Tokens(5),
        arrived: Time::ZERO,
        deadline: Time::from_millis(60_000),
        first_token_by: None,
        prefix: Vec::new(),
        fingerprint: Fingerprint(7),
        repeatable: true,
    }
}

fn scheduler() -> AnyScheduler {
    let instance = InstanceId::new("entry-1").unwrap();
    let mut scheduler = AnyScheduler::new(PolicyName::Trefoilhall, instance, Incarnation(1), 1);
    let rules = DeploymentRules {
        group: "g".parse().unwrap(),
        kind: EndpointKind::Engine,
        models: vec!["m".parse().unwrap()],
        weights: Weights::default(),
        limits: Limits::default(),
        routes: Vec::new(),
        policy: PolicyName::Trefoilhall,
        serve: None,
    };
    let engines: Vec<_> = (1..=ENGINES).map(engine).collect();
    scheduler.configure(&rules, &WorkspaceTable::default(), &engines, Time::ZERO);
    scheduler
}

fn start(decisions: Vec<Decision>) -> Option<Start> {
    decisions.into_iter().find_map(|decision| match decision {
        Decision::Start(start) => Some(start),
        _ => None,
    })
}

/// Guards against a dossier that hangs until its deadline although four idle engines could prefill
/// it together. It arrived before the engines had reported their memory, so it was queued as one
/// that fits on an engine and was sent to one, which refused it. From then on, no engine was large
/// enough for it.
#[test]
fn a_prompt_admitted_before_memory_is_known_still_spreads() {
    let mut scheduler = scheduler();
    assert_eq!(scheduler.offer(Arc::new(dossier()), Time::ZERO), Admission::Admitted);
    let first = start(scheduler.poll(Time::ZERO)).unwrap();
    assert_eq!(first.shards.len(), 1);
    let mut now = Time::from_millis(100);
    for n in 1..=ENGINES {
        scheduler.observe(report(n, now), now);
    }
    let failed = Event::AttemptFailed {
        request: RequestId(1),
        attempt: first.attempt,
        cause: FailCause::Rejected,
        passed_on: Tokens::ZERO,
    };
    scheduler.observe(failed, now);
    let mut second = None;
    while second.is_none() && now < Time::from_millis(10_000) {
        now = now + Duration::from_millis(50);
        second = start(scheduler.poll(now));
    }
    let reserved: Tokens = second.unwrap().shards.iter().map(|shard| shard.tokens).sum();
    assert!(reserved >= dossier().footprint(), "{reserved}");
}
