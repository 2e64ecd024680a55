//! Parameters of placement, which experiments can vary.

use serde::{Deserialize, Serialize};

/// How an engine is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementStrategy {
    /// By the cost to all callers.
    #[default]
    Weighed,
    /// The engine that runs the fewest requests, as a baseline. Nothing is split, held or refused.
    LeastOutstanding,
    /// Each engine in turn, as a baseline. Nothing is split, held or refused.
    RoundRobin,
}

/// Parameters of the cost of a placement. The defaults apply everywhere; `trefoilhall experiment`
/// evaluates others (docs/decisions/arrangement.md). The unit of cost is a weight: the loss when
/// one short prompt is late.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementRules {
    /// How an engine is chosen; the other parameters apply to [`PlacementStrategy::Weighed`].
    pub choice: PlacementStrategy,
    /// Milliseconds of prefill whose weight is one.
    pub unit_ms: f64,
    /// Exponent of the prefill time in a prompt's weight: below one, as a long prompt is still only
    /// one caller's loss.
    pub weight_power: f64,
    /// Fraction of a goal at which the probability of missing it starts to rise from zero; it
    /// reaches one at `ramp_to`. Predictions err by about a pass.
    pub ramp_from: f64,
    /// See `ramp_from`.
    pub ramp_to: f64,
    /// The same as `ramp_from` for first events, whose predictions err by more than those of
    /// pauses: prompts that others place meanwhile come before them.
    pub first_from: f64,
    /// Added cost, in weights, per length of the goal, so that the earlier one of two late
    /// placements is chosen.
    pub per_bound: f64,
    /// Added cost of a pause per length of its goal.
    ///
    /// Guards against parts of several seconds on engines full of questions: once a pause misses
    /// its goal, a longer one would cost nothing more, and a few large parts would look cheaper
    /// than many small ones.
    pub per_longer_pause: f64,
    /// Assumed wait for each request ahead in the queue, as a multiple of the mean time between two
    /// freed slots: some requests ahead aren't reported yet.
    pub slot_waits: f64,
    /// Slots left free for other instances' unreported placements.
    pub slots_left: u32,
    /// Cost, in weights, of placing a short prompt on an engine where nothing decodes, multiplied
    /// by the share of engines that long prompts need: the engine will soon be needed for a part
    /// whose prefill exceeds the short prompt's pause goal.
    pub apart: f64,
    /// Upper bound of that cost, in weights. Without it, questions queue for the slots of a few
    /// engines during a burst of long prompts while other engines have room.
    pub most_apart: f64,
    /// Minimum share of engines that long prompts are assumed to need, as questions that already
    /// decode everywhere when a burst of long prompts begins can't be moved.
    pub least_long_share: f64,
    /// Minimum hold of a long prompt in milliseconds, so that instances that place long prompts at
    /// the same moment receive each other's updates first.
    pub heard_ms: f64,
    /// Fraction of the shortest pause goal within which a short prompt has to be prefilled: the
    /// pass that prefills it has other parts to prefill, too.
    pub short_share: f64,
    /// Milliseconds of prefill up to which a prompt is of middle length: a delay that a caller who
    /// waits for a summary would notice.
    pub middle_ms: f64,
    /// Multiple of its goal within which a short prompt's first event has to be predicted;
    /// otherwise the request is refused at once. A late answer is better than none; while requests
    /// keep queueing for slots, the goal itself is the bound.
    pub short_bound: f64,
    /// The same for prompts of middle length.
    pub middle_bound: f64,
    /// The same for long prompts: a late one is worth little and delays the next one as well. Below
    /// one, as predictions tend to be too early.
    pub long_bound: f64,
    /// A prompt that would be late even on idle engines is accepted if it takes no more than this
    /// multiple of its time on idle engines plus `idle_slack_ms`; otherwise the longest prompts
    /// would never be served.
    pub idle_factor: f64,
    /// See `idle_factor`.
    pub idle_slack_ms: f64,
    /// Maximum cost to others as a multiple of the prompt's own weight; beyond it, serving the
    /// prompt costs callers more in total than refusing it.
    pub most_harm: f64,
    /// Prompts of middle length run where other requests decode, unless they have the longest pause
    /// goal: that one also tolerates the parts of long prompts.
    pub gathers: bool,
    /// Milliseconds by which a held prompt's prefill may fall behind its prediction, because
    /// another instance chose the same engines, before it is placed anew.
    pub collision_ms: f64,
    /// Milliseconds after which an overdue split prompt certainly waits for one of its engines.
    pub overdue_ms: f64,
    /// Loss, as a multiple of a prompt's weight, if one of its engines doesn't prefill its part.
    pub broken_loss: f64,
    /// Long prompts may be held until their engines have prefilled earlier parts.
    pub holds: bool,
}

impl Default for PlacementRules {
    fn default() -> PlacementRules {
        PlacementRules {
            choice: PlacementStrategy::Weighed,
            unit_ms: 20.0,
            weight_power: 0.57,
            ramp_from: 0.75,
            ramp_to: 1.1,
            first_from: 0.6,
            per_bound: 0.1,
            per_longer_pause: 0.05,
            slot_waits: 2.0,
            slots_left: 1,
            apart: 3.0,
            most_apart: 0.8,
            least_long_share: 0.2,
            heard_ms: 8.0,
            short_share: 0.5,
            middle_ms: 1_000.0,
            short_bound: 5.0,
            middle_bound: 1.0,
            long_bound: 0.8,
            idle_factor: 1.2,
            idle_slack_ms: 300.0,
            most_harm: 1.0,
            gathers: true,
            collision_ms: 300.0,
            overdue_ms: 300.0,
            broken_loss: 1.0,
            holds: true,
        }
    }
}

/// Ranks on an engine by the length of a prompt.
pub(super) const SHORT_RANK: u8 = 1;
pub(super) const MIDDLE_RANK: u8 = 3;
pub(super) const LONG_RANK: u8 = 5;

impl PlacementRules {
    /// The name of an invalid parameter, if there is one.
    pub fn invalid_field(&self) -> Option<&'static str> {
        let positive = [
            ("unit_ms", self.unit_ms),
            ("idle_factor", self.idle_factor),
            ("overdue_ms", self.overdue_ms),
        ];
        let non_negative = [
            ("weight_power", self.weight_power),
            ("ramp_from", self.ramp_from),
            ("first_from", self.first_from),
            ("per_bound", self.per_bound),
            ("per_longer_pause", self.per_longer_pause),
            ("slot_waits", self.slot_waits),
            ("apart", self.apart),
            ("most_apart", self.most_apart),
            ("least_long_share", self.least_long_share),
            ("heard_ms", self.heard_ms),
            ("short_share", self.short_share),
            ("middle_ms", self.middle_ms),
            ("short_bound", self.short_bound),
            ("middle_bound", self.middle_bound),
            ("long_bound", self.long_bound),
            ("idle_slack_ms", self.idle_slack_ms),
            ("most_harm", self.most_harm),
            ("collision_ms", self.collision_ms),
            ("broken_loss", self.broken_loss),
        ];
        let is_negative = |(name, value): &(&'static str, f64)| (*value < 0.0).then_some(*name);
        let not_positive = positive.iter().find(|(_, value)| *value <= 0.0).map(|(name, _)| *name);
        let ramp = (self.ramp_to <= self.ramp_from.max(self.first_from)).then_some("ramp_to");
        not_positive.or(non_negative.iter().find_map(is_negative)).or(ramp)
    }

    /// A prompt's rank on an engine: the shortest prefill goes first, which delays the others
    /// least.
    pub(super) fn rank(&self, prefill_ms: f64, short_prefill_ms: f64) -> u8 {
        match prefill_ms {
            ms if ms <= short_prefill_ms => SHORT_RANK,
            ms if ms <= self.middle_ms => MIDDLE_RANK,
            _ => LONG_RANK,
        }
    }

    /// The multiple of its goal within which a first event has to be predicted.
    pub(super) fn bound(&self, rank: u8) -> f64 {
        match rank {
            SHORT_RANK => self.short_bound,
            MIDDLE_RANK => self.middle_bound,
            LONG_RANK => self.long_bound,
            // Calls to plain services.
            _ => 1.0,
        }
    }

    /// Weight of the lateness of a prompt that takes `prefill_ms` on a single engine.
    pub(super) fn weight(&self, prefill_ms: f64) -> f64 {
        (prefill_ms / self.unit_ms).max(0.2).powf(self.weight_power)
    }

    /// Probability, from 0 to 1, that a pause predicted as `expected_ms` misses its goal.
    pub(super) fn miss_probability(&self, expected_ms: f64, pause_goal_ms: f64) -> f64 {
        ramp(expected_ms / pause_goal_ms.max(1.0), self.ramp_from, self.ramp_to)
    }

    /// Cost, in weights, of a first event predicted at `expected_ms`: the probability that it
    /// misses its goal, plus a small amount for each millisecond.
    pub(super) fn lateness_cost(&self, expected_ms: f64, goal_ms: f64) -> f64 {
        let fraction = expected_ms / goal_ms.max(1.0);
        ramp(fraction, self.first_from, self.ramp_to) + self.per_bound * fraction
    }

    /// What decoding requests with a pause goal of `pause_goal_ms` lose by a pass of `pass_ms`.
    pub(super) fn disturbance_cost(&self, pass_ms: f64, pause_goal_ms: f64) -> f64 {
        self.miss_probability(pass_ms, pause_goal_ms)
            + self.per_longer_pause * pass_ms / pause_goal_ms.max(1.0)
    }
}

/// Rises linearly from 0 to 1 between two values.
fn ramp(value: f64, from: f64, to: f64) -> f64 {
    ((value - from) / (to - from)).clamp(0.0, 1.0)
}
