//! Prompts that need the memory of several engines.
//!
//! **Load pattern.** A dossier of a million tokens fits no engine; three of four together hold it.
//! Short traffic takes every bit of memory the moment it is free, and another instance has such a
//! dossier at the same time.
//!
//! **Without it.** The dossier waits for three engines to be free at once by luck, which never
//! happens under load; two instances that each hold half of what they need wait for each other.
//!
//! **Rule.** One such prompt at a time over all instances has the right to room: the one that has
//! waited longest, as told in the digests. Its engines are chosen once, drained of room (no new
//! long prompt, and short ones only beside what it needs), and reserved by the driver all or none
//! in the order of their ids. A failed reservation gives all back and is tried again after a
//! random time. Another such prompt may go at the same time only where it fits beside.
//!
//! **Grounds.** Reserving in one order rules out a circle of waiters; all or none rules out holding
//! half; the longest wait going first bounds each wait by those before it. Instances whose views
//! differ for a moment may both try: one of them fails and backs off, no memory is lost. The
//! engines keep [`SHORT_KEEP`] of their memory for short prompts, which are thousands of times
//! smaller; so a drained engine goes on serving them.

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

/// For room beside what is drained for others, a prompt over several engines counts as long.
const LONGEST_BAND: Band = Band(BANDS as u8 - 1);
/// How long a choice of engines that isn't free yet is kept. Long enough to drain by long
/// prompts' answers; short enough to leave an engine that doesn't come free at all.
const MAX_PLAN_AGE: Duration = Duration::from_secs(30);

/// The engines chosen for a prompt.
#[derive(Debug)]
pub(super) struct ReservationPlan {
    pub(super) request: RequestId,
    made: Time,
    parts: Vec<PendingReservationPart>,
}

impl AdaptiveScheduler {
    /// Starts the first prompt that needs several engines if it has its room, else drains room.
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

    /// This instance's wish, for the others.
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

    /// Chooses engines for the lane's first prompt, unless the present choice still holds.
    fn plan_next(&mut self, now: Time) {
        let workspace = self.queues[MULTI_ENGINE_QUEUE].workspaces_in_order().next();
        let first = workspace.and_then(|workspace| {
            self.workspaces.get(workspace).queues[MULTI_ENGINE_QUEUE].first()
        });
        let Some(first) = first else {
            self.plan = None;
            return;
        };
        let holds = self.plan.as_ref().is_some_and(|plan| {
            plan.request == first.request
                && now.since(plan.made) < MAX_PLAN_AGE
                && plan.parts.iter().all(|part| self.is_usable(&part.endpoint))
        });
        if holds {
            return;
        }
        let parts = self.choose_parts(first.request);
        self.plan = parts.map(|parts| ReservationPlan { request: first.request, made: now, parts });
    }

    fn is_usable(&self, endpoint: &EndpointId) -> bool {
        self.fleet.get(endpoint).is_some_and(|e| e.usable() && e.caution.is_finite())
    }

    /// The fewest engines, those with the most room first, whose memory holds the prompt; in the
    /// order of their ids.
    fn choose_parts(&self, request: RequestId) -> Option<Vec<PendingReservationPart>> {
        let entry = self.requests.get(&request)?;
        let mut engines: Vec<&Endpoint> = self
            .fleet
            .endpoints
            .values()
            .filter(|e| e.usable() && e.caution.is_finite() && e.memory > 0.0)
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

    /// Whether no other instance's wish has waited longer than this one's.
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
