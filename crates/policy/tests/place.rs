//! Endpoint selection: near before far, cached before uncached, and no thundering herd on a stale
//! view.

// Clippy exempts test functions from this lint, but not their helpers.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use fastrand::Rng;
use policy::{
    EndpointId, TokenRate, Tokens,
    config::Weights,
    selection::{Candidate, SelectionRequest, choose, choose_cheapest, unreported_work},
};

fn candidate(name: &str) -> Candidate {
    Candidate {
        endpoint: EndpointId::new(name).unwrap(),
        wait: Duration::ZERO,
        rate: TokenRate(20_000.0),
        cached: Tokens::ZERO,
        distance: Duration::from_millis(1),
        free: Tokens(400_000),
        shorts_running: 0,
        longs_running: 0,
        accepts_long: true,
        penalty: 1.0,
    }
}

fn waiting(name: &str, millis: u64) -> Candidate {
    Candidate { wait: Duration::from_millis(millis), ..candidate(name) }
}

const SHORT: SelectionRequest = SelectionRequest {
    prompt: Tokens(1_000),
    footprint: Tokens(1_500),
    long: false,
    prefix: Some(7),
    unreported_work: Duration::ZERO,
    weights: Weights { long_first_token: 1.0, short_slowdown: 1.0 },
};
const LONG: SelectionRequest =
    SelectionRequest { prompt: Tokens(200_000), footprint: Tokens(210_000), long: true, ..SHORT };

macro_rules! always {
    ($($case:ident: $request:expr, $candidates:expr => $wanted:expr;)*) => {$(
        #[test]
        fn $case() {
            let candidates = $candidates;
            for seed in 0..200 {
                assert_eq!(choose(&candidates, &$request, &mut Rng::with_seed(seed)), $wanted);
            }
        }
    )*};
}

always! {
    a_queue_longer_than_the_prefill_is_avoided: SHORT,
        [waiting("a", 500), waiting("b", 0)] => Some(1);
    a_near_endpoint_with_some_queue_beats_a_far_one: SHORT,
        [waiting("near", 30), Candidate { distance: Duration::from_millis(40), ..candidate("far") }]
        => Some(0);
    work_spills_over_when_that_saves_more_than_the_way: SHORT,
        [waiting("near", 900), Candidate { distance: Duration::from_millis(40), ..candidate("far") }]
        => Some(1);
    an_equal_that_is_farther_gets_nothing: SHORT,
        [candidate("near"), Candidate { distance: Duration::from_millis(2), ..candidate("far") }]
        => Some(0);
    a_cached_prefix_wins: LONG,
        [candidate("a"), Candidate { cached: Tokens(190_000), ..candidate("b") }] => Some(1);
    a_cached_prefix_wins_only_while_its_queue_costs_less: LONG,
        [candidate("a"), Candidate { cached: Tokens(190_000), ..waiting("b", 60_000) }] => Some(0);
    a_long_prompt_stays_out_where_long_ones_are_closed: LONG,
        [Candidate { accepts_long: false, ..candidate("a") }, waiting("b", 5_000)] => Some(1);
    an_endpoint_without_room_is_left_out: LONG,
        [Candidate { free: Tokens(100_000), ..candidate("a") }] => None;
    no_candidate_means_no_choice: SHORT, [] => None;
    a_slow_endpoint_gets_nothing_while_others_idle: SHORT,
        [Candidate { penalty: 5.0, ..candidate("a") }, candidate("b")] => Some(1);
    a_long_prompt_avoids_the_engine_full_of_short_ones: LONG,
        [Candidate { shorts_running: 10, ..candidate("a") }, waiting("b", 3_000)] => Some(1);
}

/// A site that weighs long prompts more places one next to running short requests instead of
/// letting it wait; a site that weighs short requests more lets it wait.
#[test]
fn the_weights_decide_between_own_wait_and_others_delay() {
    let candidates =
        [Candidate { shorts_running: 2, ..candidate("busy") }, waiting("queued", 13_000)];
    let weighed = |long_first_token, short_slowdown| {
        let request =
            SelectionRequest { weights: Weights { long_first_token, short_slowdown }, ..LONG };
        choose(&candidates, &request, &mut Rng::with_seed(1))
    };
    assert_eq!(weighed(4.0, 1.0), Some(0));
    assert_eq!(weighed(1.0, 4.0), Some(1));
}

/// Guards against prefilling a popular long prompt on every engine. Many instances place it while
/// the engine that has it cached has a long queue; they have to agree on one other engine.
#[test]
fn instances_agree_on_the_second_holder_of_a_hot_prefix() {
    let holder = Candidate { cached: Tokens(190_000), ..waiting("holder", 60_000) };
    let mut candidates = vec![holder];
    candidates.extend((0..6).map(|n| candidate(&format!("e{n}"))));
    let first = choose(&candidates, &LONG, &mut Rng::with_seed(0));
    assert!((1..100).all(|seed| choose(&candidates, &LONG, &mut Rng::with_seed(seed)) == first));
}

/// Guards against a thundering herd. Instances see load reports that are some hundred milliseconds
/// old, and in between each knows only its own sends. All find the same engine idle and send there,
/// so that now and then a short request takes as long as a long prompt.
macro_rules! herd_cases {
    ($($case:ident: $site:expr;)*) => {$(
        #[test]
        fn $case() {
            let site = $site;
            let without_unreported = |request: &SelectionRequest| SelectionRequest { unreported_work: Duration::ZERO, ..*request };
            let cheapest = replay(&site, |candidates, request, _| choose_cheapest(candidates, request));
            let ties_only = replay(&site, |all, request, rng| choose(all, &without_unreported(request), rng));
            let policy = replay(&site, choose);
            println!("{site:?}\n cheapest {cheapest:?}\n draw among ties {ties_only:?}\n draw within unreported work {policy:?}");
            assert!(policy.p99 < cheapest.p99, "{policy:?} {cheapest:?}");
            assert!(policy.worst < cheapest.worst, "{policy:?} {cheapest:?}");
        }
    )*};
}

herd_cases! {
    four_instances_with_late_views_do_not_herd: Site { instances: 4, report_interval: 0.4, utilisation: 0.7 };
    four_busier_instances_do_not_herd: Site { instances: 4, report_interval: 1.0, utilisation: 0.9 };
    sixteen_instances_do_not_herd: Site { instances: 16, report_interval: 1.0, utilisation: 0.9 };
}

#[derive(Debug)]
struct Site {
    instances: usize,
    /// Seconds between two load reports.
    report_interval: f64,
    /// Utilisation of the engines.
    utilisation: f64,
}

#[derive(Debug)]
#[expect(dead_code, reason = "the mean is for the reader of the printed line")]
struct Waits {
    mean: Duration,
    p99: Duration,
    /// The longest wait of a run, averaged over the seeds, since a single run's is a single event.
    worst: Duration,
}

const SEEDS: u64 = 20;
const ENDPOINTS: usize = 8;

/// Eight engines, one prompt in fifty of 20,000 tokens, 20 seeds of 10,000 requests.
fn replay(
    site: &Site,
    choose: impl Fn(&[Candidate], &SelectionRequest, &mut Rng) -> Option<usize>,
) -> Waits {
    let mut waits = Vec::new();
    let mut worst = Duration::ZERO;
    for seed in 0..SEEDS {
        let mut longest = 0.0_f64;
        let mut rng = Rng::with_seed(seed);
        let mut now = 0.0;
        let mut reported_at = f64::NEG_INFINITY;
        let mut free_at = [0.0_f64; ENDPOINTS];
        let mut view = vec![free_at; site.instances];
        for _ in 0..10_000 {
            // 0.069 s is a request's mean prefill time.
            now += -rng.f64().max(1e-12).ln() * 0.069 / (site.utilisation * ENDPOINTS as f64);
            if now - reported_at >= site.report_interval {
                reported_at = now;
                view.fill(free_at);
            }
            let prompt = if rng.u32(..50) == 0 { 20_000 } else { 1_000 };
            let own_view = &mut view[rng.usize(..site.instances)];
            let candidates: Vec<Candidate> = own_view
                .iter()
                .enumerate()
                .map(|(n, free)| Candidate {
                    wait: Duration::from_secs_f64((free - now).max(0.0)),
                    ..candidate(&format!("e{n}"))
                })
                .collect();
            let age = Duration::from_secs_f64(now - reported_at);
            let request = SelectionRequest {
                unreported_work: unreported_work(age, site.utilisation, site.instances),
                ..SelectionRequest::new(Tokens(prompt), false)
            };
            let chosen = choose(&candidates, &request, &mut rng).unwrap();
            let work = prompt as f64 / 20_000.0;
            let wait = (free_at[chosen] - now).max(0.0);
            waits.push(wait);
            longest = longest.max(wait);
            free_at[chosen] = free_at[chosen].max(now) + work;
            own_view[chosen] = own_view[chosen].max(now) + work;
        }
        worst += Duration::from_secs_f64(longest) / SEEDS as u32;
    }
    waits.sort_by(f64::total_cmp);
    let percentile =
        |share: f64| Duration::from_secs_f64(waits[(waits.len() as f64 * share) as usize]);
    let mean = Duration::from_secs_f64(waits.iter().sum::<f64>() / waits.len() as f64);
    Waits { mean, p99: percentile(0.99), worst }
}
