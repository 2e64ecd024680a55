//! Estimates which engine an overdue split prompt waits for.
//!
//! **Load pattern.** A helper dies silently while every long prompt of every instance is split over
//! a dozen engines.
//!
//! **Without it.** The engine becomes known only when a request fails because of it, a second and a
//! half later. Until then, each long prompt uses it as a helper again and is lost like the first
//! one. Prefilled anew, these prompts overload the other engines and meet the next engine that
//! dies.
//!
//! **Rule.** All instances know each split prompt and its first event. An overdue prompt waits for
//! one of its engines, each of which is equally likely, or is merely queued; so an engine's
//! probability isn't raised when others are cleared because they have prefilled a later part. If
//! one of the engines is known to refuse already, none is suspected. The cost of a split includes
//! the probability that one of its engines doesn't prefill its part, so new prompts use fewer
//! engines, and those that are known to prefill.
//!
//! **Grounds.** No message is needed beyond the updates about placements and first events. A part
//! that its engine is predicted to be still prefilling isn't overdue, so a queue raises no risk.
//! The measurements are in `docs/incidents/instances-learn-together.md`.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{EndpointId, Time};

use super::{prefill::PartKey, server::Server, unanswered::UnansweredSplit};

/// A split prompt whose first event isn't known.
struct OverduePrompt {
    /// How long it has been overdue.
    overdue_ms: f64,
    /// Number of engines that prefill parts of it.
    engines: usize,
    /// One of its engines is known to refuse.
    is_explained: bool,
}

/// Sets each server's probability of not prefilling its parts. Once a prompt is overdue by
/// `certain_ms`, one of its engines certainly doesn't.
pub(super) fn update_risks(
    servers: &mut IndexMap<EndpointId, Server>,
    certain_ms: f64,
    update_delay: Duration,
    now: Time,
) {
    let prompts = overdue_prompts(servers, update_delay, now);
    for server in servers.values_mut() {
        let risk = |split: UnansweredSplit| {
            let prompt = prompts.get(&split.key).filter(|prompt| !prompt.is_explained);
            let prompt = prompt.filter(|_| !split.is_cleared)?;
            let certainty = (prompt.overdue_ms / certain_ms).clamp(0.0, 1.0);
            Some(certainty / prompt.engines as f64)
        };
        let risks = server.unanswered_splits(update_delay, now).filter_map(risk);
        server.risk = risks.fold(0.0, f64::max);
    }
}

fn overdue_prompts(
    servers: &IndexMap<EndpointId, Server>,
    update_delay: Duration,
    now: Time,
) -> IndexMap<PartKey, OverduePrompt> {
    let mut prompts = IndexMap::new();
    for server in servers.values() {
        let is_backing_off = server.is_backing_off(now);
        for split in server.unanswered_splits(update_delay, now) {
            let unknown =
                OverduePrompt { overdue_ms: f64::INFINITY, engines: 0, is_explained: false };
            let prompt = prompts.entry(split.key).or_insert(unknown);
            prompt.overdue_ms = prompt.overdue_ms.min(split.overdue_ms);
            prompt.engines += 1;
            prompt.is_explained |= is_backing_off;
        }
    }
    prompts
}
