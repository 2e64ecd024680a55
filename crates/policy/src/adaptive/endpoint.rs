//! One endpoint's load as this instance sees it.
//!
//! **Load pattern.** Several instances send to the same endpoints; each knows its own sends at
//! once, the others' by digests some hundred milliseconds old, and the endpoint's reports with a
//! lag.
//!
//! **Without it.** Whoever trusts the last report sends a burst to the engine that looked idle in
//! it; whoever adds report and own sends counts its work twice and leaves engines idle.
//!
//! **Rule.** Own work is counted at once and is taken to shrink at the learned speed, shorter
//! bands first, as the engine does it; a first token removes what is left of its request. Others'
//! work is what their digests say, shrinking likewise. Of a report only what neither we had there
//! when it was taken nor the digests explain is added: a part that counts twice is impossible,
//! because own work is subtracted as of the report's own time.
//!
//! **Grounds.** The modelled rest never falls below a quarter of what is outstanding
//! ([`LEAST_LEFT`]): an engine that has stopped would otherwise look idle after a while and draw
//! work. An engine from which nothing came for twice the time its work should take counts as late
//! by the excess, which is the least its next request would wait if it were merely slow.

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

/// The least share of outstanding prefill that counts as still to be done.
const MIN_REMAINING_SHARE: f64 = 0.25;
/// Moments of own load that are kept to tell own work from others' in a report. At one a request
/// they reach back a lag of a second at 60 requests a second and endpoint; older reports subtract
/// the oldest moment, which errs towards too little work.
const MAX_LOAD_RECORDS: usize = 64;
/// Excess over twice the expected time, in seconds, before an endpoint counts as late.
const LATE_GRACE_S: f64 = 0.5;

/// Seconds without idling over which throughput counts as the engine's speed. Ten digests at two
/// a second: the last one's lag errs by a tenth.
const MIN_BUSY_S: f64 = 5.0;

/// The share of memory held beyond which an engine is the last to be opened to long prompts.
const MAX_HELD_SHARE: f64 = 0.6;

/// Seconds for which another instance's learned speed counts after its last work there.
const PEER_RATE_MAX_AGE_S: f64 = 5.0;

/// Prompt tokens by band.
pub(super) type PerBand = [f64; BANDS];

/// What this instance has under way on one endpoint.
#[derive(Debug, Default)]
pub(super) struct OwnLoad {
    /// Prompt tokens whose first token hasn't come.
    pub(super) sent: PerBand,
    /// The part of it that is modelled as not prefilled yet.
    remaining: PerBand,
    /// Requests whose first token hasn't come.
    pub(super) prefilling: [u32; BANDS],
    /// Requests under way.
    pub(super) running: u32,
    /// Memory they need.
    pub(super) held: f64,
    /// The part of it that short prompts need.
    short_held: f64,
}

/// What one other instance has under way there.
#[derive(Debug)]
struct PeerLoad {
    instance: InstanceId,
    remaining: PerBand,
    held: f64,
    /// Prompt tokens prefilled for it, ever.
    done: f64,
    /// The speed that it learned, and when it last had anything prefilled to learn from.
    rate: f64,
    learned: f64,
}

/// A stretch of time in which the engine was never idle.
#[derive(Debug)]
struct BusyPeriod {
    since: f64,
    /// Prompt tokens prefilled for all instances when it began.
    done: f64,
}

/// What a report shows beyond what was known at its time.
#[derive(Debug, Default)]
struct UnexplainedLoad {
    remaining: f64,
    held: f64,
}

#[derive(Debug)]
struct LoadRecord {
    at: Time,
    /// Prefill that was known of then, own and others'.
    remaining: f64,
    /// Memory, likewise.
    held: f64,
}

/// One endpoint in its present life.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) id: EndpointId,
    pub(super) incarnation: Incarnation,
    pub(super) state: EndpointState,
    pub(super) data_centre: DataCentre,
    /// One-way delay in seconds.
    pub(super) distance: f64,
    pub(super) speed: PrefillSpeed,
    /// Memory as reported; zero where unknown or without bound.
    pub(super) memory: f64,
    pub(super) own: OwnLoad,
    peers: Vec<PeerLoad>,
    others_remaining: PerBand,
    others_held: f64,
    /// Memory that a report shows and nobody's digest explains.
    unexplained_held: f64,
    last_unexplained: UnexplainedLoad,
    load_records: VecDeque<LoadRecord>,
    advanced_at: f64,
    last_progress: f64,
    /// Short prompt tokens done for this instance, ever.
    pub(super) short_done: f64,
    /// All prompt tokens done for this instance, ever, and for the others.
    done: f64,
    others_done: f64,
    busy_period: Option<BusyPeriod>,
    /// Whether long prompts may go there.
    pub(super) open_to_long: bool,
    /// Memory being drained for a prompt that needs several engines.
    pub(super) draining: f64,
    /// It refused a request for lack of room; not asked again before this.
    pub(super) blocked_until: Time,
    /// Whether this instance goes there first among equals.
    pub(super) is_preferred: bool,
    /// How cautiously it may be used, as the cost's factor; infinite where it is ejected.
    pub(super) caution: f64,
    /// Its requests were put under suspicion for this life's death.
    pub(super) death_recorded: bool,
    /// It asked for no new work in a report.
    pub(super) is_leaving: bool,
}

impl Endpoint {
    /// Bytes kept for one endpoint, its full history included.
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
            last_progress: seconds(now),
            short_done: 0.0,
            done: 0.0,
            others_done: 0.0,
            busy_period: None,
            open_to_long: true,
            draining: 0.0,
            blocked_until: Time::ZERO,
            is_preferred: true,
            caution: 1.0,
            death_recorded: false,
            is_leaving: false,
        }
    }

    /// Takes over a change. A new life starts with nothing known and nothing under way; word of an
    /// older life is ignored. Incarnation zero stands for a life not heard of yet.
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

    /// Whether it may get work now.
    pub(super) fn usable(&self) -> bool {
        self.state == EndpointState::Live && !self.is_leaving
    }

    /// Whether it may get one more prompt of `band` now: it has the memory, and no more than
    /// `budget` tokens of prefill stand before it.
    pub(super) fn has_room(&self, band: Band, budget: f64, memory: f64, now: Time) -> bool {
        let open = !band.is_long() || self.open_to_long;
        if !open || !self.usable() || self.blocked_until > now || self.caution.is_infinite() {
            return false;
        }
        let ahead =
            if band.is_long() { self.long_prefill_ahead(band) } else { self.prefill_ahead(band) };
        ahead <= budget && self.free(band) >= memory
    }

    /// Models the prefill done since the last call, at `rate`.
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

    /// Prompt tokens to be prefilled before a new prompt of `band`.
    pub(super) fn prefill_ahead(&self, band: Band) -> f64 {
        (0..=band.longest_band_ahead()).map(|b| self.remaining(b)).sum()
    }

    /// The same as modelled, without a floor: the best guess where it is compared with what came
    /// of it.
    pub(super) fn modelled_prefill_ahead(&self, band: Band) -> f64 {
        (0..=band.longest_band_ahead())
            .map(|b| self.own.remaining[b] + self.others_remaining[b])
            .sum()
    }

    /// Long prompts' tokens to be prefilled before a new prompt of `band`.
    pub(super) fn long_prefill_ahead(&self, band: Band) -> f64 {
        (1..=band.longest_band_ahead()).map(|b| self.remaining(b)).sum()
    }

    /// Tokens of `band` that are still to be prefilled there, from all instances.
    pub(super) fn remaining(&self, band: usize) -> f64 {
        self.own_remaining(band) + self.others_remaining[band]
    }

    /// Prompts that are being prefilled there, or wait for that, and that a new one of `band`
    /// would delay. Of others' only whether there are any is known.
    pub(super) fn prompts_delayed_by(&self, band: Band) -> u32 {
        let later = band.longest_band_ahead() + 1..BANDS;
        let own: u32 = later.clone().map(|b| self.own.prefilling[b]).sum();
        let others = later.filter(|b| self.others_remaining[*b] > 1.0).count();
        own + others as u32
    }

    /// Seconds by which it is late with what it was sent.
    pub(super) fn lateness(&self, now: f64, rate: f64) -> f64 {
        let outstanding: f64 = self.own.sent.iter().sum();
        if outstanding <= 0.0 {
            return 0.0;
        }
        let expected = (outstanding + self.others_remaining.iter().sum::<f64>()) / rate;
        (now - self.last_progress - 2.0 * expected - LATE_GRACE_S).max(0.0)
    }

    /// Memory for a new request of `band`; without bound where the endpoint reports none. What is
    /// being drained is kept free, but for a small part that short prompts always keep.
    pub(super) fn free(&self, band: Band) -> f64 {
        let free = self.free_while_draining();
        let kept = if band.is_long() {
            0.0
        } else {
            self.memory * SHORT_MEMORY_SHARE - self.own.short_held
        };
        (free - self.draining).max(free.min(kept))
    }

    /// Whether no prompt over several engines takes most of its memory, or is about to.
    pub(super) fn has_spare_memory(&self) -> bool {
        self.memory <= 0.0
            || self.draining <= 0.0
                && self.own.held + self.others_held < self.memory * MAX_HELD_SHARE
    }

    /// Memory for the very prompt that it is being drained for.
    pub(super) fn free_while_draining(&self) -> f64 {
        if self.memory <= 0.0 {
            return f64::INFINITY;
        }
        self.memory * USABLE_MEMORY_SHARE - self.own.held - self.others_held - self.unexplained_held
    }

    pub(super) fn sent(&mut self, band: Band, prompt: f64, now: Time) {
        if self.own.running == 0 {
            self.last_progress = seconds(now);
        }
        self.own.sent[band.index()] += prompt;
        self.own.remaining[band.index()] += prompt;
        self.own.prefilling[band.index()] += 1;
    }

    /// A request's prefill is over, whether its first token came or it was given up.
    pub(super) fn prefilled(&mut self, band: Band, prompt: f64) {
        let band = band.index();
        self.own.prefilling[band] = self.own.prefilling[band].saturating_sub(1);
        self.own.sent[band] = (self.own.sent[band] - prompt).max(0.0);
        if self.own.prefilling[band] == 0 {
            self.own.sent[band] = 0.0;
        }
        self.own.remaining[band] = self.own.remaining[band].min(self.own.sent[band]);
    }

    pub(super) fn progressed(&mut self, now: Time) {
        self.last_progress = seconds(now);
    }

    /// Takes `tokens` of memory for a request that starts there.
    pub(super) fn hold(&mut self, band: Band, tokens: f64) {
        if !band.is_long() {
            self.own.short_held += tokens;
        }
        self.own.running += 1;
        self.own.held += tokens;
    }

    /// Gives them back.
    pub(super) fn release(&mut self, band: Band, tokens: f64) {
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
