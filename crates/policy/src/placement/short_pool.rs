//! Engines that take no long prompts while short ones need them.
//!
//! **Load pattern.** A burst of long prompts needs the prefill time of all engines for seconds,
//! while short prompts go on arriving that need a few percent of it.
//!
//! **Without it.** Every engine has seconds of prefill queued. Short prompts are predicted to be
//! late everywhere and are refused, although most slots are free; where they run, parts of long
//! prompts make their pauses too long.
//!
//! **Rule.** As many engines as short prompts need, by the slots that they hold or are about to
//! hold, prefill no part of a long prompt. They are the first ones in an order by hash. Long
//! prompts also avoid a few engines after these. Prompts of middle length may run on all engines,
//! because their parts fit into the passes of short answers.
//!
//! **Grounds.** An order by hash is the same on all instances, so they agree on the engines without
//! a message as long as they agree roughly on their number; the avoided ones cover the rest of the
//! difference. The number follows the load of the group, so no engine is idle while another group
//! of requests waits for it for longer than a burst takes to be seen. Compare size-based task
//! assignment, Harchol-Balter et al., "On Choosing a Task Assignment Policy for a Distributed
//! Server System" (1999).

use std::time::Duration;

use crate::{EndpointId, Time, rendezvous};

use super::{BURST_HALF_LIFE, decaying::DecayingSum};

/// Share of the engines' prefill time that long prompts need at least for engines to be kept from
/// them: with less, they rarely meet a short prompt.
const MIN_LONG_SHARE: f64 = 1.0 / 12.0;

/// Share of their slots up to which engines for short prompts are filled. The rest covers arrivals
/// that instances haven't told each other yet.
const MAX_SLOT_SHARE: f64 = 0.75;

/// Share of the engines that long prompts may always use.
const MIN_GENERAL_SHARE: f64 = 0.25;

/// Share of the pool by which instances may disagree about its size.
const DISAGREEMENT: f64 = 1.0 / 8.0;

/// Half-life of the rate that shows the begin of a burst. A burst of short prompts takes hold of
/// the slots within a second.
const ONSET_HALF_LIFE: Duration = Duration::from_millis(300);

/// How long a computed pool is used. Within it, few requests begin or end.
const RECOMPUTATION_INTERVAL: Duration = Duration::from_millis(20);

/// Key of the order of engines; any fixed value.
const ORDER_KEY: u64 = 7;

/// What an engine is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Use {
    /// Prompts of all lengths.
    #[default]
    General,
    /// Preferred by no prompt, and avoided by long ones.
    Boundary,
    /// Short prompts, and parts of middle ones.
    Short,
}

/// The group's load that determines the size of the pool.
#[derive(Debug, Clone, Copy)]
pub(super) struct PoolDemand {
    /// Slots of one engine.
    pub(super) slots: u32,
    /// Milliseconds for which an answer holds its slot.
    pub(super) held_ms: f64,
    /// Slots that short prompts hold now.
    pub(super) held_slots: f64,
    /// Number of engines whose prefill time long prompts need.
    pub(super) long_engines: f64,
    /// Share of the instances whose placements are known, from 0 to 1.
    pub(super) heard_share: f64,
}

/// The engines that are kept for short prompts.
#[derive(Debug)]
pub(super) struct ShortPool {
    /// Indices of all endpoints, in the order in which they are taken into the pool.
    order: Vec<usize>,
    /// The use of each endpoint, by its index.
    uses: Vec<Use>,
    is_active: bool,
    /// Short prompts that were placed, here and at other instances.
    placed: DecayingSum,
    /// The same over a shorter time.
    placed_lately: DecayingSum,
    computed_at: Option<Time>,
}

impl Default for ShortPool {
    fn default() -> ShortPool {
        ShortPool {
            order: Vec::new(),
            uses: Vec::new(),
            is_active: false,
            placed: DecayingSum::new(BURST_HALF_LIFE),
            placed_lately: DecayingSum::new(ONSET_HALF_LIFE),
            computed_at: None,
        }
    }
}

impl ShortPool {
    /// Replaces the endpoints. The pool is empty until it is computed again.
    pub(super) fn set_endpoints<'a>(
        &mut self,
        endpoints: impl ExactSizeIterator<Item = &'a EndpointId>,
    ) {
        self.uses = vec![Use::General; endpoints.len()];
        let rank =
            |endpoint: &EndpointId| rendezvous::mix(rendezvous::key(endpoint.as_str()), ORDER_KEY);
        let mut ranked: Vec<_> = endpoints.map(rank).zip(0..).collect();
        ranked.sort_unstable();
        self.order = ranked.into_iter().map(|(_, index)| index).collect();
        self.is_active = false;
        self.computed_at = None;
    }

    /// Records short prompts that this instance or another one has placed.
    pub(super) fn record_placed(&mut self, count: usize, now: Time) {
        if count > 0 {
            self.placed.add(count as f64, now);
            self.placed_lately.add(count as f64, now);
        }
    }

    /// Computes the pool for the present load. `is_usable` tells whether an endpoint may get
    /// requests.
    pub(super) fn update(
        &mut self,
        demand: &PoolDemand,
        is_usable: impl Fn(usize) -> bool,
        now: Time,
    ) {
        let is_current = self.computed_at.is_some_and(|at| now.since(at) < RECOMPUTATION_INTERVAL);
        if is_current {
            return;
        }
        self.computed_at = Some(now);
        self.uses.fill(Use::General);
        let usable: Vec<usize> =
            self.order.iter().copied().filter(|index| is_usable(*index)).collect();
        let engines = usable.len() as f64;
        self.is_active = demand.long_engines >= MIN_LONG_SHARE * engines && engines > 0.0;
        if !self.is_active {
            return;
        }
        let most = (engines * (1.0 - MIN_GENERAL_SHARE)) as usize;
        let wanted = self.slots_needed(demand, now) / (f64::from(demand.slots) * MAX_SLOT_SHARE);
        let size = (wanted.ceil() as usize + 1).min(most);
        let avoided = (size + (size as f64 * DISAGREEMENT).ceil() as usize).min(most);
        for (place, index) in usable.into_iter().take(avoided).enumerate() {
            self.uses[index] = if place < size { Use::Short } else { Use::Boundary };
        }
    }

    /// Leaves all engines to prompts of all lengths, because the group isn't contended any more.
    pub(super) fn clear(&mut self) {
        if std::mem::take(&mut self.is_active) {
            self.uses.fill(Use::General);
            self.computed_at = None;
        }
    }

    /// Slots that short prompts hold or are about to hold.
    fn slots_needed(&self, demand: &PoolDemand, now: Time) -> f64 {
        let rate = self.placed.rate(now).max(self.placed_lately.rate(now));
        let rate = rate / demand.heard_share.max(f64::MIN_POSITIVE);
        (rate * demand.held_ms / 1000.0).max(demand.held_slots)
    }

    /// Whether engines are kept for short prompts.
    pub(super) fn is_active(&self) -> bool {
        self.is_active
    }

    /// Whether an endpoint is kept for short prompts.
    pub(super) fn contains(&self, index: usize) -> bool {
        self.uses.get(index) == Some(&Use::Short)
    }

    /// Whether long prompts may use an endpoint.
    pub(super) fn admits_long(&self, index: usize) -> bool {
        self.uses.get(index).is_none_or(|use_| *use_ == Use::General)
    }
}
