//! All endpoints of the deployment, and aggregates over them.

use indexmap::IndexMap;

use crate::{
    EndpointChange, EndpointId, InstanceId, LoadDigest, LoadReport, Shard, Time,
    scheduler::EndpointState,
};

use super::{band::USABLE_MEMORY_SHARE, endpoint::Endpoint, learn::INITIAL_PREFILL_RATE, seconds};

/// Seconds between two refreshes of the aggregates. Typical speed and memory change slowly, and a
/// refresh iterates over all endpoints.
const REFRESH_INTERVAL_S: f64 = 0.1;

/// The deployment's endpoints, sorted by id so that all instances iterate in the same order.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) endpoints: IndexMap<EndpointId, Endpoint>,
    /// Median prefill speed in tokens per second, used for endpoints without samples and for the
    /// limits of the bands.
    pub(super) typical_rate: f64,
    /// Prefill speed of the fastest usable endpoint.
    pub(super) fastest_rate: f64,
    /// Sum of the prefill speeds of the usable endpoints.
    pub(super) total_rate: f64,
    /// Usable memory of the largest usable endpoint in tokens; infinite if one reports none.
    pub(super) largest_memory: f64,
    /// Usable memory of all usable endpoints in tokens.
    pub(super) total_memory: f64,
    /// Number of usable endpoints.
    pub(super) usable: usize,
    /// Whether the speed of any usable endpoint has been measured.
    pub(super) has_measured_speed: bool,
    refreshed_at: f64,
}

impl Fleet {
    pub(super) fn new() -> Fleet {
        Fleet {
            endpoints: IndexMap::new(),
            typical_rate: INITIAL_PREFILL_RATE,
            fastest_rate: INITIAL_PREFILL_RATE,
            total_rate: 0.0,
            largest_memory: f64::INFINITY,
            total_memory: f64::INFINITY,
            usable: 0,
            has_measured_speed: false,
            refreshed_at: f64::NEG_INFINITY,
        }
    }

    /// Applies a change to an endpoint or adds a new one.
    pub(super) fn apply_change(&mut self, change: &EndpointChange, now: Time) {
        match self.endpoints.get_mut(&change.endpoint) {
            Some(endpoint) => endpoint.apply_change(change, now),
            None if change.state == EndpointState::Dead => {}
            None => {
                self.endpoints.insert(change.endpoint.clone(), Endpoint::new(change, now));
                self.endpoints.sort_unstable_keys();
            }
        }
        self.refresh(now);
    }

    /// Applies a new list of endpoints. An endpoint that isn't listed gets no new requests and is
    /// removed once none of this instance's requests run on it. Returns the removed ones.
    pub(super) fn replace(&mut self, changes: &[EndpointChange], now: Time) -> Vec<EndpointId> {
        for endpoint in self.endpoints.values_mut() {
            if !changes.iter().any(|change| change.endpoint == endpoint.id) {
                endpoint.state = EndpointState::Dead;
            }
        }
        for change in changes {
            self.apply_change(change, now);
        }
        let over = |e: &Endpoint| e.state == EndpointState::Dead && e.own.running == 0;
        let dropped = self.endpoints.extract_if(.., |_, e| over(e)).map(|(id, _)| id).collect();
        self.refresh(now);
        dropped
    }

    pub(super) fn get(&self, endpoint: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(endpoint)
    }

    pub(super) fn get_mut(&mut self, endpoint: &EndpointId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(endpoint)
    }

    /// The endpoint of a shard, if it is still the incarnation that the request was sent to. The
    /// state of a later incarnation doesn't concern the shard.
    pub(super) fn for_shard(&mut self, shard: &Shard) -> Option<&mut Endpoint> {
        self.endpoints
            .get_mut(&shard.endpoint)
            .filter(|e| shard.incarnation == e.incarnation || shard.incarnation.0 == 0)
    }

    /// The endpoint's learned speed, or else the typical one.
    pub(super) fn rate(&self, endpoint: &Endpoint) -> f64 {
        endpoint.speed.rate().unwrap_or(self.typical_rate)
    }

    pub(super) fn apply_report(&mut self, report: &LoadReport, now: Time) {
        let typical = self.typical_rate;
        if let Some(endpoint) = self.endpoints.get_mut(&report.endpoint) {
            let rate = endpoint.speed.rate().unwrap_or(typical);
            let first = endpoint.memory <= 0.0;
            endpoint.advance(seconds(now), rate);
            endpoint.apply_report(report, rate);
            if first {
                self.refresh(now);
            }
        }
    }

    /// Replaces another instance's loads by those in its digest; endpoints that aren't listed there
    /// have none.
    pub(super) fn apply_peer_digest(&mut self, digest: &LoadDigest, now: Time) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.clear_peer_load(&digest.instance);
        }
        for share in &digest.endpoints {
            if let Some(endpoint) = self.endpoints.get_mut(&share.endpoint) {
                endpoint.apply_peer_load(&digest.instance, share, seconds(now));
            }
        }
    }

    pub(super) fn remove_peer(&mut self, instance: &InstanceId) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.remove_peer(instance);
        }
    }

    /// Whether the aggregates are due for a refresh.
    pub(super) fn is_refresh_due(&self, now: Time) -> bool {
        seconds(now) - self.refreshed_at >= REFRESH_INTERVAL_S
    }

    /// Recomputes the aggregates, and models the work done since the last call.
    pub(super) fn refresh(&mut self, now: Time) {
        self.refreshed_at = seconds(now);
        for endpoint in self.endpoints.values_mut() {
            endpoint.speed.age(seconds(now));
            endpoint.learn_from_peers(seconds(now));
        }
        let usable = || self.endpoints.values().filter(|endpoint| endpoint.usable());
        let mut rates: Vec<f64> = usable().filter_map(|e| e.speed.rate()).collect();
        rates.sort_unstable_by(f64::total_cmp);
        self.has_measured_speed = !rates.is_empty();
        if let Some(rate) = rates.get(rates.len() / 2) {
            self.typical_rate = *rate;
        }
        let memories = || usable().map(|e| or_unlimited(e.memory * USABLE_MEMORY_SHARE));
        self.largest_memory = memories().fold(0.0, f64::max);
        self.total_memory = memories().sum();
        self.usable = usable().count();
        let fastest = usable().map(|e| self.rate(e)).fold(0.0, f64::max);
        self.total_rate = usable().map(|endpoint| self.rate(endpoint)).sum();
        self.fastest_rate = if fastest > 0.0 { fastest } else { self.typical_rate };
        self.advance(now);
    }

    /// Models the work done since the last call.
    pub(super) fn advance(&mut self, now: Time) {
        let typical = self.typical_rate;
        for endpoint in self.endpoints.values_mut() {
            let rate = endpoint.speed.rate().unwrap_or(typical);
            endpoint.advance(seconds(now), rate);
        }
    }
}

fn or_unlimited(memory: f64) -> f64 {
    if memory > 0.0 { memory } else { f64::INFINITY }
}
