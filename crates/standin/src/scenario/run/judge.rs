//! Whether what callers received, endpoints ran and engines hold is what the scenario expects.

use std::{collections::HashMap, time::Duration};

use super::{
    calls::{Call, Ending},
    site::{Site, wait_for},
};
use crate::scenario::{
    ast::{Bound, Counted, Expectation},
    run::Marks,
};

/// How late a final answer may be without counting as late: what a loaded test machine adds.
const GRACE: Duration = Duration::from_millis(1500);

/// Checks every expectation; one sentence for each that doesn't hold.
pub(super) fn judge(
    expectations: &[Expectation],
    site: &Site,
    calls: &[Call],
    marks: &Marks,
) -> Vec<String> {
    expectations.iter().flat_map(|expected| check(expected, site, calls, marks)).collect()
}

fn check(expected: &Expectation, site: &Site, calls: &[Call], marks: &Marks) -> Vec<String> {
    match expected {
        Expectation::EndedInTime => late_calls(site, calls),
        Expectation::Whole => wrong_answers(calls),
        Expectation::AtMostOnce => repeated_runs(site, calls),
        Expectation::NotRunIsTrue => untrue_refusals(site, calls),
        Expectation::EnginesEmpty(limit) => held_memory(site, *limit),
        Expectation::NothingNew(name, after) => new_work(site, marks, name, *after),
        Expectation::SameConfiguration(limit) => differing_versions(site, *limit),
        Expectation::Count(counted, bound, number) => {
            let count = count(*counted, site, calls);
            let holds = match bound {
                Bound::AtLeast => count >= *number,
                Bound::AtMost => count <= *number,
            };
            let sentence = format!("{counted:?}: {count}, expected {bound:?} {number}");
            if holds { Vec::new() } else { vec![sentence] }
        }
    }
}

fn late_calls(site: &Site, calls: &[Call]) -> Vec<String> {
    let late = calls.iter().filter(|call| {
        let took = call.ended - call.sent;
        let excused = is_excused(site, call);
        !excused && (took > call.deadline + GRACE || matches!(call.ending, Ending::Silent))
    });
    late.map(|call| {
        let took = (call.ended - call.sent).as_millis();
        let deadline = call.deadline.as_millis();
        format!(
            "line {} on {}: ended after {took} ms of {deadline} ms as {:?} ({})",
            call.line, call.instance, call.ending, call.detail
        )
    })
    .collect()
}

/// A process that is dead or frozen can't answer; the promise is about those that can.
fn is_excused(site: &Site, call: &Call) -> bool {
    site.instance(&call.instance)
        .is_some_and(|instance| instance.disturbed_between(call.sent, call.ended))
}

fn wrong_answers(calls: &[Call]) -> Vec<String> {
    let wrong = calls.iter().filter(|call| call.ending == Ending::Wrong);
    wrong
        .map(|call| {
            format!("line {} on {}: a wrong answer ({})", call.line, call.instance, call.detail)
        })
        .collect()
}

fn repeated_runs(site: &Site, calls: &[Call]) -> Vec<String> {
    let repeated =
        keys(calls).into_iter().map(|key| (key, runs(site, key))).filter(|(_, runs)| *runs > 1);
    repeated.map(|(key, runs)| format!("{key} ran {runs} times")).collect()
}

fn keys(calls: &[Call]) -> Vec<&String> {
    let mut keys: Vec<&String> = calls.iter().filter_map(|call| call.key.as_ref()).collect();
    keys.sort();
    keys.dedup();
    keys
}

/// Over all calls of a key or body: runs beyond the number of calls that weren't told "not run"
/// show that one of those told so did run.
fn untrue_refusals(site: &Site, calls: &[Call]) -> Vec<String> {
    let mut told_otherwise: HashMap<String, (u32, u32)> = HashMap::new();
    for call in calls {
        let Some((name, runs)) = identity(site, call) else { continue };
        let entry = told_otherwise.entry(name).or_insert((runs, 0));
        entry.1 += u32::from(call.ending != Ending::NotRun);
    }
    let untrue = told_otherwise.into_iter().filter(|(_, (runs, others))| *others == 0 && *runs > 0);
    untrue
        .map(|(name, (runs, _))| format!("{name}: told \"not run\" and ran {runs} times"))
        .collect()
}

fn identity(site: &Site, call: &Call) -> Option<(String, u32)> {
    if let Some(key) = &call.key {
        return Some((key.clone(), runs(site, key)));
    }
    let fingerprint = call.fingerprint?;
    let runs = site.engines().map(|(_, engine)| engine.runs_of(fingerprint)).sum();
    Some((fingerprint.to_string(), runs))
}

fn runs(site: &Site, key: &str) -> u32 {
    site.services().map(|(_, service)| service.runs(key)).sum()
}

fn held_memory(site: &Site, limit: Duration) -> Vec<String> {
    let holding = || -> Vec<String> {
        let all = site.engines().map(|(name, engine)| (name, engine.stats().held));
        all.filter(|(_, held)| held.0 > 0).map(|(name, held)| format!("{name}: {held}")).collect()
    };
    match wait_for(limit, || holding().is_empty()) {
        Some(_) => Vec::new(),
        None => vec![format!("engines still hold memory: {}", holding().join(", "))],
    }
}

fn new_work(site: &Site, marks: &Marks, name: &str, after: Duration) -> Vec<String> {
    let Some(mark) = marks.left.get(name) else {
        return vec![format!("{name} never left")];
    };
    let Some(then) = mark.work_later else {
        return vec![format!("{name}: the scenario ended before {} ms", after.as_millis())];
    };
    let now = work_of(site, name);
    if now == then { Vec::new() } else { vec![format!("{name} got {} new requests", now - then)] }
}

/// How much work an endpoint ever got.
pub(super) fn work_of(site: &Site, name: &str) -> u64 {
    let engines = site.engines().filter(|(other, _)| *other == name);
    let services = site.services().filter(|(other, _)| *other == name);
    engines.map(|(_, engine)| engine.stats().started).sum::<u64>()
        + services.map(|(_, service)| service.calls()).sum::<u64>()
}

fn differing_versions(site: &Site, limit: Duration) -> Vec<String> {
    let wanted = site.published();
    let versions = || -> Vec<(String, Option<u64>)> {
        let running = site.instances().filter(|instance| instance.process.runs());
        running
            .map(|instance| {
                let version = site.status(instance).map(|status| status.config_version);
                (instance.name.clone(), version)
            })
            .collect()
    };
    let same = || versions().iter().all(|(_, version)| *version == Some(wanted));
    match wait_for(limit, same) {
        Some(_) => Vec::new(),
        None => vec![format!("version {wanted} isn't in force everywhere: {:?}", versions())],
    }
}

fn count(counted: Counted, site: &Site, calls: &[Call]) -> u64 {
    let ended = |wanted: &[Ending]| {
        calls.iter().filter(|call| wanted.contains(&call.ending)).count() as u64
    };
    match counted {
        Counted::Finished => ended(&[Ending::Finished]),
        Counted::Refused => ended(&[Ending::NotRun]),
        Counted::Failed => ended(&[Ending::Ran, Ending::Broken, Ending::Silent, Ending::Wrong]),
        Counted::Unknown => ended(&[Ending::Unknown]),
        Counted::Runs => keys(calls).into_iter().map(|key| u64::from(runs(site, key))).sum(),
        Counted::Deaths => site.engines().map(|(_, engine)| engine.stats().deaths).sum(),
        // The first publication sets the site up and isn't part of the story.
        Counted::Published => site.published().saturating_sub(1),
    }
}
