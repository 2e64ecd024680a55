//! The load of one endpoint as seen by this instance.
//!
//! **Load pattern.** Several instances send to the same endpoints. Each knows its own requests at
//! once, those of the others from digests that are some hundred milliseconds old, and the
//! endpoint's reports with a delay.
//!
//! **Without it.** An instance that trusts the last report sends a burst to the engine that looked
//! idle in it. An instance that adds its own requests to the report counts their work twice and
//! leaves engines idle.
//!
//! **Rule.** Own work is counted at once and modelled as shrinking at the learned speed, shorter
//! bands first, in the order in which the engine does it; a first token removes the remaining work
//! of its request. The others' work is taken from their digests and shrinks likewise. From a
//! report, only the work that neither this instance's own requests nor the digests explain is
//! added. No work is counted twice, because own work is subtracted as of the time when the report
//! was taken.
//!
//! **Grounds.** The modelled remaining work never falls below a quarter of what is outstanding
//! ([`MIN_REMAINING_SHARE`]); otherwise an engine that has stopped would look idle after a while
//! and attract work. An engine without any progress for twice the time that its work should take
//! counts as late by the excess, which is the least that its next request would wait if the engine
//! were merely slow.

mod reports;

use std::collections::VecDeque;

use crate::{
    BANDS, DataCentre, EndpointChange, EndpointId, Incarnation, InstanceId, Time,
    scheduler::EndpointState,
};

use super::{
    band::{Band, SHORT_MEMORY_SHARE, USABLE_MEMORY_SHARE},
    learn::PrefillSpeed,
    seconds,
};

/// Minimum share of the outstanding prefill that counts as remaining.
const MIN_REMAINING_SHARE: f64 = 0.25;
/// Number of load records kept to tell own work from others' work in a report. With one record per
/// request, they cover a report delay of one second at 60 requests per second on an endpoint. For
/// older reports the oldest record is subtracted, which underestimates the work.
const MAX_LOAD_RECORDS: usize = 64;
/// Seconds of excess over twice the expected time before an endpoint counts as late.
const LATE_GRACE_S: f64 = 0.5;

/// Minimum seconds of uninterrupted work for its throughput to count as the engine's speed. They
/// span ten digests at two per second, so the delay of the last one causes an error of a tenth.
const MIN_BUSY_S: f64 = 5.0;

/// Share of held memory above which an engine is opened to long prompts last.
const MAX_HELD_SHARE: f64 = 0.6;

/// Seconds after another instance's last work on an endpoint during which the speed it learned
/// there is used.
const PEER_RATE_MAX_AGE_S: f64 = 5.0;

/// One value per band; prompt tokens unless stated otherwise.
pub(super) type PerBand = [f64; BANDS];

/// This instance's requests in flight on one endpoint.
#[derive(Debug, Default)]
pub(super) struct OwnLoad {
    /// Prompt tokens of the requests without a first token.
    pub(super) sent: PerBand,
    /// The part of `sent` that is modelled as not prefilled yet.
    remaining: PerBand,
    /// Number of requests without a first token.
    pub(super) prefilling: [u32; BANDS],
    /// Number of requests in flight.
    pub(super) running: u32,
    /// Memory of these requests, in tokens.
    pub(super) held: f64,
    /// The part of `held` that short prompts need.
    short_held: f64,
}

/// Load of another instance on one endpoint, from its last digest.
#[derive(Debug)]
struct PeerLoad {
    instance: InstanceId,
    remaining: PerBand,
    held: f64,
    /// Total prompt tokens prefilled for that instance.
    total_prefilled: f64,
    /// The speed that it learned, in tokens per second, and when the digests last showed new
    /// prefilled tokens to learn from.
    rate: f64,
    learned_at: f64,
}

/// A period in which the engine was never idle.
#[derive(Debug)]
struct BusyPeriod {
    since: f64,
    /// Total prompt tokens prefilled for all instances when the period began.
    total_prefilled: f64,
}

/// Load in a report that neither own requests nor digests explain.
#[derive(Debug, Default)]
struct UnexplainedLoad {
    prefill: f64,
    held: f64,
}

#[derive(Debug)]
struct LoadRecord {
    at: Time,
    /// Outstanding prefill known at that time, of all instances.
    prefill: f64,
    /// Held memory known at that time, of all instances.
    held: f64,
}

/// One endpoint in its current incarnation.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) id: EndpointId,
    pub(super) incarnation: Incarnation,
    pub(super) state: EndpointState,
    pub(super) data_centre: DataCentre,
    /// One-way network delay in seconds.
    pub(super) distance: f64,
    pub(super) speed: PrefillSpeed,
    /// Reported memory in tokens; zero if unknown or unlimited.
    pub(super) memory: f64,
    pub(super) own: OwnLoad,
    peers: Vec<PeerLoad>,
    others_remaining: PerBand,
    others_held: f64,
    /// Held memory in reports that no digest explains.
    unexplained_held: f64,
    last_unexplained: UnexplainedLoad,
    load_records: VecDeque<LoadRecord>,
    advanced_at: f64,
    last_progress_at: f64,
    /// Total short prompt tokens prefilled for this instance.
    pub(super) short_prefilled: f64,
    /// Total prompt tokens prefilled for this instance, and for the others.
    total_prefilled: f64,
    others_prefilled: f64,
    busy_period: Option<BusyPeriod>,
    /// Whether long prompts may be placed here.
    pub(super) open_to_long: bool,
    /// Memory being drained for a prompt that needs several engines.
    pub(super) draining: f64,
    /// Time until which no requests are sent here, after a rejection for lack of room or a failure
    /// to reach it.
    pub(super) blocked_until: Time,
    /// Whether this instance prefers this endpoint among equal ones.
    pub(super) is_preferred: bool,
    /// Factor on the endpoint's cost, higher for an unhealthy endpoint; infinite if it is ejected.
    pub(super) penalty: f64,
    /// Whether the death of this incarnation has been reported to the quarantine.
    pub(super) death_recorded: bool,
    /// Whether its last report asked for no new work.
    pub(super) is_leaving: bool,
}

impl Endpoint {
    /// Size of one endpoint in bytes, including its full load history.
    pub(super) fn bytes() -> usize {
        size_of::<Endpoint>() + MAX_LOAD_RECORDS * size_of::<LoadRecord>()
    }

    pub(super) fn new(change: &EndpointChange, now: Time) -> Endpoint {
        Endpoint {
            id: change.endpoint.clone(),
            incarnation: change.incarnation,
            state: change.state,
            data_centre: change.data_centre.clone(),
            distance: change.distance.as_secs_f64(),
            speed: PrefillSpeed::unknown(),
            memory: 0.0,
            own: OwnLoad::default(),
            peers: Vec::new(),
            others_remaining: PerBand::default(),
            others_held: 0.0,
            unexplained_held: 0.0,
            last_unexplained: UnexplainedLoad::default(),
            load_records: VecDeque::new(),
            advanced_at: seconds(now),
            last_progress_at: seconds(now),
            short_prefilled: 0.0,
            total_prefilled: 0.0,
            others_prefilled: 0.0,
            busy_period: None,
            open_to_long: true,
            draining: 0.0,
            blocked_until: Time::ZERO,
            is_preferred: true,
            penalty: 1.0,
            death_recorded: false,
            is_leaving: false,
        }
    }

    /// Applies a change. A new incarnation starts without any learned state or requests; a change
    /// of an older incarnation is ignored. Incarnation zero means that the incarnation isn't known
    /// yet.
    pub(super) fn apply_change(&mut self, change: &EndpointChange, now: Time) {
        let unheard = Incarnation::default();
        if change.incarnation != unheard && change.incarnation < self.incarnation {
            return;
        }
        if change.incarnation > self.incarnation && self.incarnation != unheard {
            *self = Endpoint::new(change, now);
            return;
        }
        self.incarnation = self.incarnation.max(change.incarnation);
        self.state = change.state;
        self.distance = change.distance.as_secs_f64();
        self.data_centre = change.data_centre.clone();
    }

    /// Whether the endpoint is live and accepts new work.
    pub(super) fn usable(&self) -> bool {
        self.state == EndpointState::Live && !self.is_leaving
    }

    /// Whether one more prompt of `band` fits now: it has enough memory, and at most `budget`
    /// tokens of prefill are ahead of the prompt.
    pub(super) fn has_room(&self, band: Band, budget: f64, memory: f64, now: Time) -> bool {
        let open = !band.is_long() || self.open_to_long;
        if !open || !self.usable() || self.blocked_until > now || self.penalty.is_infinite() {
            return false;
        }
        let ahead =
            if band.is_long() { self.long_prefill_ahead(band) } else { self.prefill_ahead(band) };
        ahead <= budget && self.free(band) >= memory
    }

    /// Models the prefill done since the last call, at `rate` tokens per second.
    pub(super) fn advance(&mut self, now: f64, rate: f64) {
        let mut capacity = rate * (now - self.advanced_at).max(0.0);
        self.advanced_at = self.advanced_at.max(now);
        for band in 0..BANDS {
            let own = self.own.remaining[band];
            let work = own + self.others_remaining[band];
            if work <= 0.0 {
                continue;
            }
            let done = work.min(capacity);
            capacity -= done;
            self.own.remaining[band] -= done * own / work;
            self.others_remaining[band] -= done * (1.0 - own / work);
            if capacity <= 0.0 {
                return;
            }
        }
    }

    /// Prompt tokens that are prefilled before a new prompt of `band`.
    pub(super) fn prefill_ahead(&self, band: Band) -> f64 {
        (0..=band.longest_band_ahead()).map(|b| self.remaining(b)).sum()
    }

    /// Like [`Self::prefill_ahead`], but without the minimum of [`MIN_REMAINING_SHARE`]. This is
    /// the best estimate for comparing a prediction with the measured time.
    pub(super) fn modelled_prefill_ahead(&self, band: Band) -> f64 {
        (0..=band.longest_band_ahead())
            .map(|b| self.own.remaining[b] + self.others_remaining[b])
            .sum()
    }

    /// Tokens of long prompts that are prefilled before a new prompt of `band`.
    pub(super) fn long_prefill_ahead(&self, band: Band) -> f64 {
        (1..=band.longest_band_ahead()).map(|b| self.remaining(b)).sum()
    }

    /// Tokens of `band` that remain to be prefilled, of all instances.
    pub(super) fn remaining(&self, band: usize) -> f64 {
        self.own_remaining(band) + self.others_remaining[band]
    }

    /// Number of prompts waiting for or in prefill that a new prompt of `band` would delay. For the
    /// other instances it is only known whether there are any, so each band of theirs counts once.
    pub(super) fn prompts_delayed_by(&self, band: Band) -> u32 {
        let later = band.longest_band_ahead() + 1..BANDS;
        let own: u32 = later.clone().map(|b| self.own.prefilling[b]).sum();
        let others = later.filter(|b| self.others_remaining[*b] > 1.0).count();
        own + others as u32
    }

    /// Seconds by which the endpoint is late with its outstanding work.
    pub(super) fn lateness(&self, now: f64, rate: f64) -> f64 {
        let outstanding: f64 = self.own.sent.iter().sum();
        if outstanding <= 0.0 {
            return 0.0;
        }
        let expected = (outstanding + self.others_remaining.iter().sum::<f64>()) / rate;
        (now - self.last_progress_at - 2.0 * expected - LATE_GRACE_S).max(0.0)
    }

    /// Free memory for a new request of `band`; infinite if the endpoint reports no limit. Memory
    /// being drained isn't free, except for a small part that is always left to short prompts.
    pub(super) fn free(&self, band: Band) -> f64 {
        let free = self.free_while_draining();
        let kept = if band.is_long() {
            0.0
        } else {
            self.memory * SHORT_MEMORY_SHARE - self.own.short_held
        };
        (free - self.draining).max(free.min(kept))
    }

    /// Whether no prompt over several engines takes most of the memory or is about to.
    pub(super) fn has_spare_memory(&self) -> bool {
        self.memory <= 0.0
            || self.draining <= 0.0
                && self.own.held + self.others_held < self.memory * MAX_HELD_SHARE
    }

    /// Free memory for the prompt that the endpoint is being drained for.
    pub(super) fn free_while_draining(&self) -> f64 {
        if self.memory <= 0.0 {
            return f64::INFINITY;
        }
        self.memory * USABLE_MEMORY_SHARE - self.own.held - self.others_held - self.unexplained_held
    }

    pub(super) fn record_sent(&mut self, band: Band, prompt: f64, now: Time) {
        if self.own.running == 0 {
            self.last_progress_at = seconds(now);
        }
        self.own.sent[band.index()] += prompt;
        self.own.remaining[band.index()] += prompt;
        self.own.prefilling[band.index()] += 1;
    }

    /// Records that a request's prefill has ended, because its first token came or it was given up.
    pub(super) fn finish_prefill(&mut self, band: Band, prompt: f64) {
        let band = band.index();
        self.own.prefilling[band] = self.own.prefilling[band].saturating_sub(1);
        self.own.sent[band] = (self.own.sent[band] - prompt).max(0.0);
        if self.own.prefilling[band] == 0 {
            self.own.sent[band] = 0.0;
        }
        self.own.remaining[band] = self.own.remaining[band].min(self.own.sent[band]);
    }

    pub(super) fn record_progress(&mut self, now: Time) {
        self.last_progress_at = seconds(now);
    }

    /// Reserves `tokens` of memory for a request that starts here.
    pub(super) fn reserve_memory(&mut self, band: Band, tokens: f64) {
        if !band.is_long() {
            self.own.short_held += tokens;
        }
        self.own.running += 1;
        self.own.held += tokens;
    }

    /// Releases `tokens` of memory.
    pub(super) fn release_memory(&mut self, band: Band, tokens: f64) {
        if !band.is_long() {
            self.own.short_held = (self.own.short_held - tokens).max(0.0);
        }
        self.own.running = self.own.running.saturating_sub(1);
        self.own.held = (self.own.held - tokens).max(0.0);
        if self.own.running == 0 {
            self.own.held = 0.0;
            self.own.short_held = 0.0;
        }
    }

    fn own_remaining(&self, band: usize) -> f64 {
        self.own.remaining[band].max(self.own.sent[band] * MIN_REMAINING_SHARE)
    }
}
