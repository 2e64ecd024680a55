//! What reports and digests say of an endpoint; the rule stands in [`super`].

use super::{BUSY_FOR, Busy, ByBand, Endpoint, MOMENTS, Moment, PEER_RATE_FOR, PeerPart, Unknown};
use crate::{BANDS, InstanceId, LoadReport, Time, report::EndpointShare};

impl Endpoint {
    /// Remembers the own load of this moment for the next report.
    pub(in crate::adaptive) fn note_moment(&mut self, now: Time) {
        let left: f64 = self.own.sent.iter().chain(&self.others_left).sum();
        let moment = Moment { at: now, left, held: self.own.held + self.others_held };
        if self.moments.len() >= MOMENTS {
            self.moments.pop_front();
        }
        self.moments.push_back(moment);
    }

    /// Takes note of a report of this life.
    pub(in crate::adaptive) fn report(&mut self, report: &LoadReport, rate: f64) {
        if report.incarnation != self.incarnation {
            return;
        }
        self.memory = report.kv_total.0 as f64;
        self.asks_leave = report.leaving;
        let then = self.moments.iter().rev().find(|moment| moment.at <= report.taken);
        let Some(then) = then.or(self.moments.front()) else { return };
        let held = (report.kv_used.0 as f64 - then.held).max(0.0);
        let left = (report.waiting_prefill.0 as f64 - then.left).max(0.0);
        // What one report shows may have come and gone between two digests; what two show stays.
        self.unknown_held = held.min(self.last_unknown.held);
        let unknown = left.min(self.last_unknown.left);
        self.last_unknown = Unknown { left, held };
        // The report doesn't say whose prompts these are: a tenth of a second of them counts as
        // short, which is what an instance keeps there of short ones; the rest as long.
        let short = unknown.min(rate * 0.1);
        self.others_left[0] += short;
        self.others_left[BANDS - 1] += unknown - short;
    }

    /// Takes note of another instance's part.
    pub(in crate::adaptive) fn peer(
        &mut self,
        instance: &InstanceId,
        share: &EndpointShare,
        now: f64,
    ) {
        if share.incarnation != self.incarnation {
            return;
        }
        let done = share.prefilled.0 as f64;
        let known = self.peers.iter().find(|part| part.instance == *instance);
        let more = known.map_or(0.0, |part| (done - part.done).max(0.0));
        let learned = known.filter(|_| more <= 0.0).map_or(now, |part| part.learned);
        self.others_done += more;
        self.peers.retain(|part| part.instance != *instance);
        self.peers.push(PeerPart {
            instance: instance.clone(),
            left: share.waiting_bands.map(|tokens| tokens.0 as f64),
            held: share.held.0 as f64,
            done,
            rate: share.prefill_rate.0,
            learned,
        });
        self.sum_peers();
        self.learn_from_peers(now);
    }

    /// Another instance's digest tells of nothing under way here.
    pub(in crate::adaptive) fn peer_has_none(&mut self, instance: &InstanceId) {
        let Some(part) = self.peers.iter_mut().find(|part| part.instance == *instance) else {
            return;
        };
        part.left = ByBand::default();
        part.held = 0.0;
        self.sum_peers();
    }

    /// Takes note of `tokens` prefilled for this instance. Once the engine has not been idle for
    /// [`BUSY_FOR`], what was prefilled there for all instances is a sample of its speed.
    pub(in crate::adaptive) fn count_done(&mut self, tokens: f64, now: f64) {
        self.done += tokens;
        let done = self.done + self.others_done;
        let idle = self.own.prefilling.iter().all(|count| *count == 0)
            && self.others_left.iter().all(|left| *left < 1.0);
        if idle {
            self.busy = None;
            return;
        }
        let busy = self.busy.get_or_insert(Busy { since: now, done });
        let lasted = now - busy.since;
        if lasted >= BUSY_FOR {
            let work = done - busy.done;
            self.busy = Some(Busy { since: now, done });
            self.speed.observe_throughput(work, lasted, now);
        }
    }

    /// Forgets another instance's part.
    pub(in crate::adaptive) fn peer_gone(&mut self, instance: &InstanceId) {
        let known = self.peers.len();
        self.peers.retain(|part| part.instance != *instance);
        if self.peers.len() < known {
            self.sum_peers();
        }
    }

    /// Whether the others have to hear of this instance's part.
    pub(in crate::adaptive) fn is_told(&self) -> bool {
        self.own.running > 0 || self.done > 0.0
    }

    /// This instance's part, for the others.
    pub(in crate::adaptive) fn share(&self) -> EndpointShare {
        let left = std::array::from_fn(|band| crate::Tokens(self.own_left(band) as u64));
        EndpointShare {
            endpoint: self.id.clone(),
            incarnation: self.incarnation,
            waiting_prefill: left.iter().copied().sum::<crate::Tokens>(),
            waiting_bands: left,
            running: self.own.running,
            held: crate::Tokens(self.own.held as u64),
            prefilled: crate::Tokens(self.done as u64),
            prefill_rate: crate::TokenRate(self.speed.own().unwrap_or(0.0)),
            ejected: false,
        }
    }

    /// Takes over the highest speed that another instance has learned of late. All measures err low,
    /// and an instance that has little to send there learns little itself.
    pub(in crate::adaptive) fn learn_from_peers(&mut self, now: f64) {
        let recent = self.peers.iter().filter(|part| now - part.learned <= PEER_RATE_FOR);
        let rates = recent.map(|part| part.rate).filter(|rate| *rate > 0.0);
        self.speed.peers = rates.max_by(f64::total_cmp);
    }

    pub(super) fn sum_peers(&mut self) {
        self.others_left = ByBand::default();
        self.others_held = 0.0;
        for part in &self.peers {
            for (sum, left) in self.others_left.iter_mut().zip(part.left) {
                *sum += left;
            }
            self.others_held += part.held;
        }
    }
}
