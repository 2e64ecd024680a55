//! Prints the cost of scheduling decisions: microseconds per request by the number of endpoints and
//! workspaces, and memory per endpoint, workspace and request.
//!
//! Run it with `cargo run --release -p policy --example decision_cost`.

#![allow(clippy::print_stdout, clippy::unwrap_used)]

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use policy::{
    Admission, AnyScheduler, CallKind, Decision, EndpointChange, Event, Fingerprint, Incarnation,
    LoadReport, Outcome, RequestId, RequestSpec, Scheduler, Time, Tokens, Workspace,
    adaptive::AdaptiveScheduler,
    config::{DeploymentRules, PolicyName, WorkspaceRules, WorkspaceTable},
    scheduler::EndpointState,
};

/// Requests measured in each setting, after as many for warm-up.
const REQUESTS: u64 = 20_000;
/// Prompt tokens that an endpoint prefills per second.
const TOKENS_PER_SECOND: u64 = 10_000;

/// One setting and its result; times are in microseconds.
struct Measurement {
    endpoints: usize,
    workspaces: usize,
    load: f64,
    mean_micros: f64,
    worst_micros: f64,
    refused: u64,
}

fn main() {
    println!("endpoints workspaces  load  microseconds  worst  refused");
    for load in [0.8, 2.0] {
        for (endpoints, workspaces) in
            [(20, 10), (200, 10), (200, 300), (200, 2_300), (20, 2_300), (3_600, 2_300)]
        {
            let cost = measure(endpoints, workspaces, load);
            println!(
                "{:9} {:10} {:5.1} {:13.2} {:6.0} {:8}",
                cost.endpoints,
                cost.workspaces,
                cost.load,
                cost.mean_micros,
                cost.worst_micros,
                cost.refused
            );
        }
    }
    let sizes = AdaptiveScheduler::sizes();
    println!(
        "bytes: endpoint {}, workspace {}, request {}",
        sizes.endpoint, sizes.workspace, sizes.request
    );
}

/// Offers requests at `load` times the endpoints' capacity, and answers each after its prefill
/// time. Measured is everything that the scheduler does for a request: offer, poll, first token,
/// end.
fn measure(endpoints: usize, workspaces: usize, load: f64) -> Measurement {
    let mut scheduler = scheduler(endpoints, workspaces);
    let mut rng = fastrand::Rng::with_seed(7);
    let gap =
        Duration::from_secs_f64(1_000.0 / (TOKENS_PER_SECOND as f64 * endpoints as f64 * load));
    let names: Vec<Workspace> = (0..workspaces).map(|n| format!("w{n}").parse().unwrap()).collect();
    let mut engines = vec![Time::ZERO; endpoints];
    let mut answers: BTreeSet<(Time, RequestId)> = BTreeSet::new();
    let (mut spent, mut worst, mut refused) = (Duration::ZERO, Duration::ZERO, 0);
    let mut now = Time::ZERO;
    for id in 0..2 * REQUESTS {
        now = now + gap;
        let req = request(id, &names[rng.usize(..names.len())], now);
        let started = Instant::now();
        while let Some((at, request)) = answers.first().copied().filter(|(at, _)| *at <= now) {
            answers.pop_first();
            answer(&mut scheduler, request, at);
        }
        let admission = scheduler.offer(req, now);
        let decisions = scheduler.poll(now);
        let taken = started.elapsed();
        for decision in decisions {
            if let Decision::Start(start) = decision {
                let name = start.shards[0].endpoint.as_str();
                let engine = &mut engines[name[1..].parse::<usize>().unwrap()];
                *engine = (*engine).max(now) + Duration::from_millis(1_000_000 / TOKENS_PER_SECOND);
                answers.insert((*engine, start.request));
            }
        }
        if id >= REQUESTS {
            spent += taken;
            worst = worst.max(taken);
            refused += u64::from(admission != Admission::Admitted);
        }
    }
    let mean_micros = spent.as_secs_f64() * 1e6 / REQUESTS as f64;
    Measurement {
        endpoints,
        workspaces,
        load,
        mean_micros,
        worst_micros: worst.as_secs_f64() * 1e6,
        refused,
    }
}

fn answer(scheduler: &mut AnyScheduler, request: RequestId, now: Time) {
    let cached = Some(Tokens::ZERO);
    scheduler.observe(Event::FirstToken { request, attempt: 1, cached }, now);
    let outcome = Outcome::Finished { prompt: Tokens(1_000), output: Tokens(20) };
    scheduler.observe(Event::Ended { request, outcome }, now);
}

fn scheduler(endpoints: usize, workspaces: usize) -> AnyScheduler {
    let instance = "i1".parse().unwrap();
    let mut scheduler = AnyScheduler::new(PolicyName::Trefoilhall, instance, Incarnation(1), 7);
    let rules: DeploymentRules =
        serde_json::from_str(r#"{"group": "g", "kind": "engine"}"#).unwrap();
    let rule = WorkspaceRules {
        key_sha256: Vec::new(),
        weight: 1,
        tokens_per_second: None,
        concurrent: None,
    };
    let table: WorkspaceTable =
        (0..workspaces).map(|n| (format!("w{n}").parse().unwrap(), rule.clone())).collect();
    let changes: Vec<EndpointChange> = (0..endpoints).map(endpoint).collect();
    scheduler.configure(&rules, &table, &changes, Time::ZERO);
    for change in &changes {
        let report = LoadReport {
            endpoint: change.endpoint.clone(),
            incarnation: change.incarnation,
            taken: Time::ZERO,
            kv_total: Tokens(400_000),
            kv_used: Tokens::ZERO,
            waiting_prefill: Tokens::ZERO,
            running: 0,
            leaving: false,
        };
        scheduler.observe(Event::Load(report), Time::ZERO);
    }
    scheduler
}

fn endpoint(n: usize) -> EndpointChange {
    EndpointChange {
        endpoint: format!("e{n}").parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "a".parse().unwrap(),
        distance: Duration::from_millis(1),
        incarnation: Incarnation(1),
        state: EndpointState::Live,
    }
}

fn request(id: u64, workspace: &Workspace, now: Time) -> Arc<RequestSpec> {
    Arc::new(RequestSpec {
        id: RequestId(id),
        workspace: workspace.clone(),
        kind: CallKind::Model("m".parse().unwrap()),
        prompt: Tokens(1_000),
        max_output: Tokens(40),
        arrived: now,
        deadline: now + Duration::from_secs(10),
        first_token_by: Some(now + Duration::from_secs(2)),
        prefix: vec![id, id + 1, id + 2],
        fingerprint: Fingerprint(u128::from(id)),
        repeatable: true,
    })
}
