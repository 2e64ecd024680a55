//! Instances that don't hear each other don't choose the same endpoints.

#![allow(clippy::unwrap_used)]

mod arranging;
mod engines;

use engines::engine;
use policy::{
    Fingerprint, InstanceId, Time,
    instances::Instances,
    placement::{GroupScheduler, PlacementRequest, PlacementRules},
    routes::EngineRules,
};

/// Milliseconds after which the start of an instance no longer matters.
const LONG_AFTER_START_MS: u64 = 5_000;

/// Milliseconds within which all requests arrive; none ends meanwhile.
const ARRIVALS_MS: u64 = 1_000;

fn at(ms: u64) -> Time {
    Time((LONG_AFTER_START_MS + ms) * 1_000)
}

/// One of `count` instances that knows all others and hears none of them.
fn instance(
    index: usize,
    count: usize,
    rules: Option<EngineRules>,
    engines: usize,
) -> GroupScheduler {
    let name = |index: usize| InstanceId::new(&format!("entry-{index}")).unwrap();
    let others: Vec<_> = (0..count).filter(|other| *other != index).map(name).collect();
    let mut scheduler =
        arranging::scheduler(engines, engine(), PlacementRules::default(), index as u64);
    scheduler.set_rules(rules);
    scheduler.set_instances(Instances::new(&name(index), &others, 0, 1.0 / count as f64));
    scheduler
}

/// Places so many requests that half of all slots are taken, each at the next instance, and returns
/// how many parts each endpoint got.
fn place(count: usize, engines: usize, prompt: u64, rules: Option<EngineRules>) -> Vec<usize> {
    let mut instances: Vec<_> =
        (0..count).map(|index| instance(index, count, rules.clone(), engines)).collect();
    let mut on_endpoint = vec![0; engines];
    let requests = engines * engine().slots as usize / 2;
    let requests = if prompt > 100_000 { engines / 2 } else { requests };
    for index in 0..requests {
        let now = at(index as u64 * ARRIVALS_MS / requests as u64);
        let fingerprint = Fingerprint(index as u128);
        let request = PlacementRequest { fingerprint, ..arranging::request(prompt) };
        let Ok(placed) = instances[index % count].place(&request, now) else { continue };
        on_endpoint[arranging::index(&placed.endpoint)] += 1;
        for helper in &placed.helpers {
            on_endpoint[arranging::index(&helper.endpoint)] += 1;
        }
    }
    on_endpoint
}

/// Checks that no endpoint gets more than three times the mean.
fn spread(count: usize, engines: usize, prompt: u64, rules: Option<EngineRules>) {
    let on_endpoint = place(count, engines, prompt, rules);
    let most = *on_endpoint.iter().max().unwrap();
    let mean = on_endpoint.iter().sum::<usize>() as f64 / engines as f64;
    assert!(mean >= 1.0, "{mean}");
    assert!(most as f64 <= 3.0 * mean, "{most} at most, {mean} on average");
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

cases! {
    /// Guards against questions that all go to the endpoints that look best to everyone.
    questions_of_four_spread => || spread(4, 16, 5_000, Some(engine()));
    questions_of_29_spread => || spread(29, 69, 5_000, Some(engine()));
    questions_of_118_spread => || spread(118, 135, 5_000, Some(engine()));
    questions_of_985_spread => || spread(985, 300, 5_000, Some(engine()));

    /// Guards against dossiers that are all split over the same engines.
    dossiers_of_118_spread => || spread(118, 135, 300_000, Some(engine()));

    /// Guards against calls to plain services that all go to the first server.
    calls_of_29_spread => || spread(29, 6, 0, None);
    calls_of_985_spread => || spread(985, 42, 0, None);
}
