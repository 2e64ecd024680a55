//! Prompts that need the memory of several engines.
//!
//! **Load pattern.** A prompt of a million tokens fits on no engine, but three of four engines
//! together can hold it. Short traffic takes any memory as soon as it is free, and another instance
//! has such a prompt at the same time.
//!
//! **Without it.** The prompt would have to find three engines with free memory by chance, which
//! never happens under load. Two instances that each hold half of what they need wait for each
//! other.
//!
//! **Rule.** Only one such prompt at a time, over all instances, may drain engines: the one that
//! has waited longest according to the digests. Its engines are chosen once, drained (they get no
//! new long prompts, and short ones only in the memory that it doesn't need) and then reserved by
//! the driver, all or none, in the order of their ids. A failed reservation releases everything and
//! is retried after a random time. Another such prompt may run at the same time only if it fits
//! into the remaining memory.
//!
//! **Grounds.** Reserving in a fixed order rules out a cycle of waiting instances; reserving all or
//! none rules out partial reservations; serving the longest wait first limits each wait to the
//! prompts ahead. Instances whose views differ for a moment may both try, in which case one fails
//! and backs off without losing memory. The engines keep [`SHORT_MEMORY_SHARE`] of their memory for
//! short prompts, which are thousands of times smaller, so a drained engine continues to serve
//! them.

use std::time::Duration;

use crate::{
    BANDS, EndpointId, RequestId, Shard, Time, Tokens,
    report::{PendingReservation, PendingReservationPart},
};

use super::{
    AdaptiveScheduler,
    band::{Band, SHORT_MEMORY_SHARE, USABLE_MEMORY_SHARE},
    dispatch::ceil_tokens,
    endpoint::Endpoint,
    request::RequestEntry,
    workspaces::MULTI_ENGINE_QUEUE,
};

/// A prompt over several engines counts as the longest band when it has to leave the memory free
/// that is drained for another one.
const LONGEST_BAND: Band = Band(BANDS as u8 - 1);
/// How long a choice of engines is kept while they aren't free: long enough to drain them as long
/// prompts' answers end, short enough to give up on an engine that never becomes free.
const MAX_PLAN_AGE: Duration = Duration::from_secs(30);

/// The engines chosen for a prompt.
#[derive(Debug)]
pub(super) struct ReservationPlan {
    pub(super) request: RequestId,
    chosen_at: Time,
    parts: Vec<PendingReservationPart>,
}

impl AdaptiveScheduler {
    /// Starts the next prompt that needs several engines if they have room, else drains them.
    pub(super) fn dispatch_multi_engine(&mut self, now: Time) {
        self.clear_drains();
        self.plan_next(now);
        let planned = self.plan.as_ref().and_then(|plan| self.requests.get(&plan.request));
        let must_wait = planned.is_some_and(|entry| self.must_wait_for_trial(entry));
        let goes_first = !must_wait && self.has_waited_longest(now);
        if !goes_first {
            self.drain_for_peer(now);
        }
        if must_wait {
            return;
        }
        let Some(plan) = &self.plan else { return };
        let fits = plan.parts.iter().all(|part| self.has_room(part, goes_first, now));
        if !fits {
            if goes_first {
                drain(&mut self.fleet, &plan.parts);
            }
            return;
        }
        let Some(plan) = self.plan.take() else { return };
        let shards: Vec<Shard> = plan.parts.iter().filter_map(|part| self.shard(part)).collect();
        let prompt = self.requests.get(&plan.request).map_or(0.0, RequestEntry::prompt);
        let predicted = prompt / self.fleet.typical_rate;
        self.start(plan.request, shards, Tokens::ZERO, predicted, now);
    }

    /// This instance's pending reservation, for its digest.
    pub(super) fn pending_reservations(&self, now: Time) -> Vec<PendingReservation> {
        let reservation = |plan: &ReservationPlan| {
            let entry = self.requests.get(&plan.request)?;
            let waited = now.since(entry.req.arrived);
            Some(PendingReservation { waited, parts: plan.parts.clone() })
        };
        self.plan.iter().filter_map(reservation).collect()
    }

    fn clear_drains(&mut self) {
        for endpoint in self.fleet.endpoints.values_mut() {
            endpoint.draining = 0.0;
        }
    }

    /// Chooses engines for the first prompt in the queue, unless the current choice is still valid.
    fn plan_next(&mut self, now: Time) {
        let workspace = self.queues[MULTI_ENGINE_QUEUE].workspaces_in_order().next();
        let first = workspace.and_then(|workspace| {
            self.workspaces.get(workspace).queues[MULTI_ENGINE_QUEUE].first()
        });
        let Some(first) = first else {
            self.plan = None;
            return;
        };
        let is_still_valid = self.plan.as_ref().is_some_and(|plan| {
            plan.request == first.request
                && now.since(plan.chosen_at) < MAX_PLAN_AGE
                && plan.parts.iter().all(|part| self.is_usable(&part.endpoint))
        });
        if is_still_valid {
            return;
        }
        let parts = self.choose_parts(first.request);
        self.plan =
            parts.map(|parts| ReservationPlan { request: first.request, chosen_at: now, parts });
    }

    fn is_usable(&self, endpoint: &EndpointId) -> bool {
        self.fleet.get(endpoint).is_some_and(|e| e.usable() && e.penalty.is_finite())
    }

    /// The fewest engines whose memory holds the prompt, chosen by most free memory and sorted by
    /// id.
    fn choose_parts(&self, request: RequestId) -> Option<Vec<PendingReservationPart>> {
        let entry = self.requests.get(&request)?;
        let mut engines: Vec<&Endpoint> = self
            .fleet
            .endpoints
            .values()
            .filter(|e| e.usable() && e.penalty.is_finite() && e.memory > 0.0)
            .filter(|e| entry.may_run_on(&e.id, e.incarnation))
            .collect();
        engines.sort_by(|a, b| b.free_while_draining().total_cmp(&a.free_while_draining()));
        let needed = entry.footprint();
        let chosen = fewest_engines(&engines, needed, USABLE_MEMORY_SHARE - SHORT_MEMORY_SHARE)
            .or_else(|| fewest_engines(&engines, needed, USABLE_MEMORY_SHARE))?;
        let memory: f64 = chosen.iter().map(|endpoint| endpoint.memory).sum();
        let mut parts: Vec<PendingReservationPart> = chosen
            .iter()
            .map(|endpoint| PendingReservationPart {
                endpoint: endpoint.id.clone(),
                tokens: ceil_tokens(needed * endpoint.memory / memory),
            })
            .collect();
        parts.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
        Some(parts)
    }

    /// Whether no other instance's reservation has waited longer than this instance's.
    fn has_waited_longest(&self, now: Time) -> bool {
        let Some(own) =
            self.pending_reservations(now).first().map(|reservation| reservation.waited)
        else {
            return false;
        };
        self.peers
            .pending_reservations(now)
            .all(|peer| own > peer.waited || (own == peer.waited && self.instance < *peer.instance))
    }

    fn drain_for_peer(&mut self, now: Time) {
        let first = self.peers.pending_reservations(now).max_by_key(|peer| peer.waited);
        let Some(parts) = first.map(|peer| peer.reservation.parts.clone()) else { return };
        drain(&mut self.fleet, &parts);
    }

    fn has_room(&self, part: &PendingReservationPart, goes_first: bool, now: Time) -> bool {
        self.fleet.get(&part.endpoint).is_some_and(|endpoint| {
            let free = if goes_first {
                endpoint.free_while_draining()
            } else {
                endpoint.free(LONGEST_BAND)
            };
            endpoint.usable() && endpoint.blocked_until <= now && free >= part.tokens.0 as f64
        })
    }

    fn shard(&self, part: &PendingReservationPart) -> Option<Shard> {
        let endpoint = self.fleet.get(&part.endpoint)?;
        Some(Shard {
            endpoint: part.endpoint.clone(),
            incarnation: endpoint.incarnation,
            tokens: part.tokens.max(Tokens(1)),
        })
    }
}

fn drain(fleet: &mut super::fleet::Fleet, parts: &[PendingReservationPart]) {
    for part in parts {
        if let Some(endpoint) = fleet.get_mut(&part.endpoint) {
            endpoint.draining = part.tokens.0 as f64;
        }
    }
}

fn fewest_engines<'a>(
    engines: &[&'a Endpoint],
    needed: f64,
    share: f64,
) -> Option<Vec<&'a Endpoint>> {
    let mut found = 0.0;
    for (index, endpoint) in engines.iter().enumerate() {
        found += endpoint.memory * share;
        if found >= needed {
            return Some(engines[..=index].to_vec());
        }
    }
    None
}
