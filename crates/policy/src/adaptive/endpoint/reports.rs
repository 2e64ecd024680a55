//! Applies load reports and digests to an endpoint; for the rule see [`super`].

use super::{
    BusyPeriod, Endpoint, LoadRecord, MAX_LOAD_RECORDS, MIN_BUSY_S, PEER_RATE_MAX_AGE_S, PeerLoad,
    PerBand, UnexplainedLoad,
};
use crate::{BANDS, InstanceId, LoadReport, Time, report::EndpointShare};

impl Endpoint {
    /// Records the current load, to be compared with the next report.
    pub(in crate::adaptive) fn record_load(&mut self, now: Time) {
        let prefill: f64 = self.own.sent.iter().chain(&self.others_remaining).sum();
        let record = LoadRecord { at: now, prefill, held: self.own.held + self.others_held };
        if self.load_records.len() >= MAX_LOAD_RECORDS {
            self.load_records.pop_front();
        }
        self.load_records.push_back(record);
    }

    /// Applies a load report, unless it is of another incarnation.
    pub(in crate::adaptive) fn apply_report(&mut self, report: &LoadReport, rate: f64) {
        if report.incarnation != self.incarnation {
            return;
        }
        self.memory = report.kv_total.0 as f64;
        self.is_leaving = report.leaving;
        let known_load = self.load_records.iter().rev().find(|record| record.at <= report.taken);
        let Some(known_load) = known_load.or(self.load_records.front()) else { return };
        let held = (report.kv_used.0 as f64 - known_load.held).max(0.0);
        let prefill = (report.waiting_prefill.0 as f64 - known_load.prefill).max(0.0);
        // Load in one report may have appeared and gone between two digests; only load that two
        // reports in a row show counts.
        self.unexplained_held = held.min(self.last_unexplained.held);
        let unexplained = prefill.min(self.last_unexplained.prefill);
        self.last_unexplained = UnexplainedLoad { prefill, held };
        // The report doesn't say whose prompts these are. A tenth of a second of prefill counts as
        // short, which is the budget of short prompts that an instance sends there in advance; the
        // rest counts as long.
        let short = unexplained.min(rate * 0.1);
        self.others_remaining[0] += short;
        self.others_remaining[BANDS - 1] += unexplained - short;
    }

    /// Applies another instance's load on this endpoint.
    pub(in crate::adaptive) fn apply_peer_load(
        &mut self,
        instance: &InstanceId,
        share: &EndpointShare,
        now: f64,
    ) {
        if share.incarnation != self.incarnation {
            return;
        }
        let total_prefilled = share.prefilled.0 as f64;
        let known = self.peers.iter().find(|peer| peer.instance == *instance);
        let more = known.map_or(0.0, |peer| (total_prefilled - peer.total_prefilled).max(0.0));
        let learned_at = known.filter(|_| more <= 0.0).map_or(now, |peer| peer.learned_at);
        self.others_prefilled += more;
        self.peers.retain(|peer| peer.instance != *instance);
        self.peers.push(PeerLoad {
            instance: instance.clone(),
            remaining: share.waiting_bands.map(|tokens| tokens.0 as f64),
            held: share.held.0 as f64,
            total_prefilled,
            rate: share.prefill_rate.0,
            learned_at,
        });
        self.sum_peers();
        self.learn_from_peers(now);
    }

    /// Clears the load of another instance whose digest doesn't list this endpoint any more.
    pub(in crate::adaptive) fn clear_peer_load(&mut self, instance: &InstanceId) {
        let Some(peer) = self.peers.iter_mut().find(|peer| peer.instance == *instance) else {
            return;
        };
        peer.remaining = PerBand::default();
        peer.held = 0.0;
        self.sum_peers();
    }

    /// Records `tokens` prefilled for this instance. Once the engine has been busy for
    /// [`MIN_BUSY_S`], the throughput of all instances is a sample of its speed.
    pub(in crate::adaptive) fn record_prefilled(&mut self, tokens: f64, now: f64) {
        self.total_prefilled += tokens;
        let total_prefilled = self.total_prefilled + self.others_prefilled;
        let idle = self.own.prefilling.iter().all(|count| *count == 0)
            && self.others_remaining.iter().all(|remaining| *remaining < 1.0);
        if idle {
            self.busy_period = None;
            return;
        }
        let busy_period =
            self.busy_period.get_or_insert(BusyPeriod { since: now, total_prefilled });
        let lasted = now - busy_period.since;
        if lasted >= MIN_BUSY_S {
            let work = total_prefilled - busy_period.total_prefilled;
            self.busy_period = Some(BusyPeriod { since: now, total_prefilled });
            self.speed.observe_throughput(work, lasted, now);
        }
    }

    /// Removes another instance's load.
    pub(in crate::adaptive) fn remove_peer(&mut self, instance: &InstanceId) {
        let known = self.peers.len();
        self.peers.retain(|peer| peer.instance != *instance);
        if self.peers.len() < known {
            self.sum_peers();
        }
    }

    /// Whether digests have to include this instance's load here.
    pub(in crate::adaptive) fn has_load_to_report(&self) -> bool {
        self.own.running > 0 || self.total_prefilled > 0.0
    }

    /// This instance's load here, for its digest.
    pub(in crate::adaptive) fn share(&self) -> EndpointShare {
        let remaining = std::array::from_fn(|band| crate::Tokens(self.own_remaining(band) as u64));
        EndpointShare {
            endpoint: self.id.clone(),
            incarnation: self.incarnation,
            waiting_prefill: remaining.iter().copied().sum::<crate::Tokens>(),
            waiting_bands: remaining,
            running: self.own.running,
            held: crate::Tokens(self.own.held as u64),
            prefilled: crate::Tokens(self.total_prefilled as u64),
            prefill_rate: crate::TokenRate(self.speed.own_rate().unwrap_or(0.0)),
            ejected: false,
        }
    }

    /// Takes the highest speed that another instance has learned recently. All measurements err
    /// towards slow, and an instance that sends little to an endpoint learns little by itself.
    pub(in crate::adaptive) fn learn_from_peers(&mut self, now: f64) {
        let recent = self.peers.iter().filter(|peer| now - peer.learned_at <= PEER_RATE_MAX_AGE_S);
        let rates = recent.map(|peer| peer.rate).filter(|rate| *rate > 0.0);
        self.speed.peer_rate = rates.max_by(f64::total_cmp);
    }

    pub(super) fn sum_peers(&mut self) {
        self.others_remaining = PerBand::default();
        self.others_held = 0.0;
        for peer in &self.peers {
            for (sum, remaining) in self.others_remaining.iter_mut().zip(peer.remaining) {
                *sum += remaining;
            }
            self.others_held += peer.held;
        }
    }
}
