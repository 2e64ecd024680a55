//! Periodic computations over the whole fleet.
//!
//! **Load pattern.** Typical speed, demand and health change within seconds, while thousands of
//! requests arrive per second.
//!
//! **Without it.** Each decision would have to sum over all endpoints again.
//!
//! **Rule.** Every tenth of a second, and after each relevant event, one pass computes the inputs
//! of the following decisions: the limits of the bands, the demand, the engines that are open to
//! long prompts, the prefill on the engines, the rate limit of short prompts, the endpoints that
//! this instance prefers, and each endpoint's cost factor for health.
//!
//! **Grounds.** A tenth of a second is about the budget of short prefill on an engine, which limits
//! how much can change in between.

use super::{
    AdaptiveScheduler, DEMAND_HALF_LIFE_S, HEALTH_INTERVAL_S, band,
    endpoint::PerBand,
    open_engines::Demand,
    request::RequestEntry,
    seconds,
    short_rate_limit::{self, long_claim},
};
use crate::{BANDS, EndpointId, Time, health::HealthState};

impl AdaptiveScheduler {
    /// Refreshes everything that decisions derive from the whole fleet: aggregates, prefill on the
    /// engines, and the engines that are open to long prompts.
    pub(super) fn refresh_fleet(&mut self, now: Time) {
        self.fleet.refresh(now);
        self.band_limits.update(self.fleet.typical_rate);
        for band in 0..BANDS {
            let own = self.demand[band].rate(seconds(now), DEMAND_HALF_LIFE_S);
            self.total_demand[band] = own + self.peers.demand[band];
        }
        self.assess_health(now);
        self.update_open_engines(now);
        self.total_prefill_ahead = PerBand::default();
        self.shortest_wait = [f64::INFINITY; BANDS];
        self.long_rate = 0.0;
        for endpoint in self.fleet.endpoints.values().filter(|endpoint| endpoint.usable()) {
            let rate = self.fleet.rate(endpoint);
            let accepts_long = endpoint.open_to_long && endpoint.has_spare_memory();
            if accepts_long {
                self.long_rate += rate;
            }
            for band in band::Band::all() {
                if band.is_long() && !accepts_long {
                    continue;
                }
                let ahead = endpoint.prefill_ahead(band);
                self.total_prefill_ahead[band.index()] += ahead;
                let shortest = &mut self.shortest_wait[band.index()];
                *shortest = shortest.min(ahead / rate);
            }
        }
        self.limit_short_rate(now);
        self.choose_preferred(now);
    }

    /// Divides the endpoints among the instances, so that each prefers endpoints that the others
    /// avoid: work that they haven't reported yet is then expected elsewhere. Endpoints with long
    /// prompts are preferred by no instance, so that short prompts avoid them.
    pub(super) fn choose_preferred(&mut self, now: Time) {
        let instances = self.peers.instances();
        let rank = self.peers.rank(&self.instance);
        let mut index = 0;
        for endpoint in self.fleet.endpoints.values_mut().filter(|endpoint| endpoint.usable()) {
            let has_long_prompts = endpoint.prompts_delayed_by(band::Band::SHORT) > 0;
            endpoint.is_preferred = !has_long_prompts && index % instances == rank;
            index += usize::from(!has_long_prompts);
        }
        let others: f64 = self.peers.demand.iter().sum();
        let busy = others / self.fleet.total_rate.max(1.0);
        self.unreported_work = self.peers.age(now).as_secs_f64().min(1.0) * busy.min(1.0);
    }

    /// Sets the rate limit of short prompts here, given what long ones claim.
    pub(super) fn limit_short_rate(&mut self, now: Time) {
        let total = self.fleet.total_rate.max(1.0);
        let long: f64 = self.total_demand[1..].iter().sum();
        let weights = &self.rules.weights;
        let claim = long_claim(long / total, weights.long_first_token, weights.short_slowdown);
        let is_limited = self.has_starved_long_prompt(now) || self.peers.has_starved_long_prompt;
        self.short_rate = if is_limited { total * (1.0 - claim) } else { total };
        let own = self.demand[0].rate(seconds(now), DEMAND_HALF_LIFE_S);
        let by_traffic = if own > 0.0 { own / self.total_demand[0].max(own) } else { 0.0 };
        let share = 0.5 / self.peers.instances() as f64 + 0.5 * by_traffic;
        self.short_limiter.set(self.short_rate * share, is_limited, seconds(now));
    }

    /// Whether a long prompt of this instance is starved: its first token is far overdue.
    pub(super) fn has_starved_long_prompt(&self, now: Time) -> bool {
        self.long_prefills.iter().any(|request| {
            let entry = self.requests.get(request);
            let attempt = entry.and_then(RequestEntry::attempt);
            attempt.is_some_and(|attempt| {
                let taken = now.since(attempt.sent_at).as_secs_f64();
                taken
                    > attempt.predicted * short_rate_limit::LATE_RATIO
                        + short_rate_limit::LATE_GRACE_S
            })
        })
    }

    /// Ejects unhealthy endpoints, and updates each endpoint's cost factor.
    pub(super) fn assess_health(&mut self, now: Time) {
        if seconds(now) - self.health_assessed_at >= HEALTH_INTERVAL_S {
            self.health_assessed_at = seconds(now);
            let load = self.total_demand.iter().sum::<f64>() / self.fleet.typical_rate.max(1.0);
            self.health.assess(load.ceil() as usize, now, &mut self.rng);
            self.quarantine.expire(now);
        }
        for endpoint in self.fleet.endpoints.values_mut() {
            endpoint.penalty = match self.health.state(&endpoint.id, now) {
                HealthState::Usable(penalty) => penalty,
                HealthState::Ejected => f64::INFINITY,
            };
        }
    }

    /// Handles the result of a probe. For an ejected endpoint, only probes that were due count: the
    /// driver probes all the time, and an endpoint that answers probes may still fail calls.
    pub(super) fn probed(&mut self, endpoint: &EndpointId, healthy: bool, now: Time) {
        self.probes.extend(self.health.due_probes(now));
        let is_ejected = self.health.state(endpoint, now) == HealthState::Ejected;
        let due = self.probes.iter().position(|probe| probe == endpoint);
        if let Some(index) = due {
            self.probes.swap_remove(index);
        }
        if !is_ejected || due.is_some() {
            self.health.record_probe(endpoint, healthy, now, &mut self.rng);
        }
    }

    /// Opens as many engines to long prompts as the cost function says: the last ones by id, and
    /// those whose memory is taken by a prompt over several engines only after all others.
    pub(super) fn update_open_engines(&mut self, now: Time) {
        let typical = self.fleet.typical_rate.max(1.0);
        let long: f64 = self.total_demand[1..].iter().sum();
        let demand = Demand { short: self.total_demand[0] / typical, long: long / typical };
        let usable = self.fleet.usable;
        let open = self.open_engines.update(usable, demand, &self.rules.weights, seconds(now));
        let mut left = open;
        for endpoint in self.fleet.endpoints.values_mut() {
            endpoint.open_to_long = false;
        }
        for spare in [true, false] {
            let endpoints = self.fleet.endpoints.values_mut().rev();
            for endpoint in endpoints.filter(|e| e.usable() && e.has_spare_memory() == spare) {
                endpoint.open_to_long = left > 0;
                left -= usize::from(endpoint.open_to_long);
            }
        }
    }
}
