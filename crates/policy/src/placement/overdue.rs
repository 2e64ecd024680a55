//! Which engine may be the one that an overdue prompt waits for.
//!
//! **Load pattern.** An engine that helps to read dies without a word, while every long prompt of every
//! instance is split over a dozen engines.
//!
//! **Without it.** The engine is known only once a request breaks off for its sake, a second and a half
//! later. Each long prompt until then takes it as a helper again and is lost with the first one; read
//! anew, they crowd the other engines and meet the next one that dies.
//!
//! **Rule.** All instances know each split prompt and its first event. One that is overdue waits for one of
//! its engines, each of which is equally likely, or merely stands in queues: so the chance of each stays
//! as it is when the others are cleared by having read a later part. Nothing is blamed where an engine is
//! known to refuse already. A split costs the chance that one of its engines doesn't read, so new prompts
//! are read by fewer engines, and by those that are proved to read.
//!
//! **Grounds.** No message is needed beyond what is told of placements and first events. A part that its
//! engine is thought to be still reading isn't overdue, so a queue raises no risk.
//! `docs/incidents/instances-learn-together.md` has the figures.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{EndpointId, Time};

use super::{prefill::PartKey, server::Server, unanswered::UnansweredSplit};

/// A split prompt whose first event isn't known.
struct OverduePrompt {
    /// Milliseconds for which it has been overdue.
    overdue_ms: f64,
    /// Engines that read parts of it.
    engines: usize,
    /// One of its engines is known to refuse.
    is_explained: bool,
}

/// Sets each server's chance that it doesn't read its parts. It is certain that one of a prompt's
/// engines doesn't once the prompt is overdue by `certain_ms`.
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
