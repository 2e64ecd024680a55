//! What a choice of places goes by, as figures that an experiment can vary.

use serde::{Deserialize, Serialize};

/// How an engine is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementStrategy {
    /// By what callers lose.
    #[default]
    Weighed,
    /// Where the fewest requests run, as a baseline. Nothing is split, held or refused.
    LeastOutstanding,
    /// One after the other, as a baseline. Nothing is split, held or refused.
    RoundRobin,
}

/// How places are weighed. The defaults are in force everywhere; `trefoilhall experiment` plays others
/// (docs/decisions/arrangement.md). A weight is the loss of one short prompt's being late.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementRules {
    /// How an engine is chosen; the other figures are for [`Choice::Weighed`].
    pub choice: PlacementStrategy,
    /// Milliseconds of reading that weigh one.
    pub unit_ms: f64,
    /// How weight grows with a prompt's reading time: less than in proportion, as a long prompt is one
    /// caller's loss all the same.
    pub weight_power: f64,
    /// Parts of a bound between which the chance to miss it rises from none to certainty, as predictions
    /// err by about a pass.
    pub ramp_from: f64,
    /// See `ramp_from`.
    pub ramp_to: f64,
    /// The same as `ramp_from` for first events, whose predictions err by more than those of pauses: prompts that
    /// others place meanwhile come before them.
    pub first_from: f64,
    /// What each further bound's length of lateness adds, in weights, so that of two late places the
    /// earlier one is taken.
    pub per_bound: f64,
    /// What each further bound's length of a pause adds.
    ///
    /// Guards against parts of seconds on engines full of questions: once a pause is too long, a longer one
    /// would cost nothing more, and a few large parts would look cheaper than many small ones.
    pub per_longer_pause: f64,
    /// How many times the mean time between two slots that become free is reckoned for each request that
    /// stands before, as some that stand before aren't heard of yet.
    pub slot_waits: f64,
    /// Slots that are left to what other instances have just placed and not told yet.
    pub slots_left: u32,
    /// What an engine that nobody writes on costs a short prompt, times the share of engines that long
    /// prompts take: it will soon be wanted for a part that the short one's pause can't bear.
    pub apart: f64,
    /// The most that it costs, in weights. Without this bound, questions queue for the slots of a few engines
    /// in a burst of dossiers while others have room.
    pub most_apart: f64,
    /// The least share of engines that long prompts are taken to need, as questions that are written
    /// everywhere when a burst of long prompts begins can't be moved.
    pub least_long_share: f64,
    /// Milliseconds for which a long prompt is held at least, so that instances that placed others in the
    /// same moment have heard of each other.
    pub heard_ms: f64,
    /// The part of the least pause that callers bear within which a prompt that is read beside writers
    /// whole has to be read: the pass that reads it has others to read, too.
    pub short_share: f64,
    /// Milliseconds of reading up to which a prompt is of middle length: what a caller who waits for a
    /// summary would notice.
    pub middle_ms: f64,
    /// The part of its goal within which a short prompt's first event has to be predicted; beyond it the
    /// request is refused at once. A late answer is better than none; where a queue for slots stands, the
    /// whole goal is the bound.
    pub short_bound: f64,
    /// The same for one of middle length.
    pub middle_bound: f64,
    /// The same for a long one: it is worth little when late, and makes the next one late as well.
    /// Predictions err low, so less than the whole goal is given.
    pub long_bound: f64,
    /// A prompt that couldn't be on time even on idle engines is taken on if it would take no more than so
    /// many times that and `idle_slack_ms`: else the longest would never be served at all.
    pub idle_factor: f64,
    /// See `idle_factor`.
    pub idle_slack_ms: f64,
    /// How many times its own weight a prompt may cost others; beyond it callers in sum lose by serving it.
    pub most_harm: f64,
    /// Prompts of middle length are written where others write, unless their callers bear the longest
    /// pauses of all: those also bear the parts of long prompts.
    pub gathers: bool,
    /// Milliseconds by which a prompt may be read later than predicted, because another instance chose the
    /// same engines, before another place is looked for.
    pub collision_ms: f64,
    /// Milliseconds by which a split prompt is overdue once it certainly waits for one of its engines.
    pub overdue_ms: f64,
    /// What a prompt loses, in times its weight, if one of its engines doesn't read its part.
    pub broken_loss: f64,
    /// Long prompts may be held until their engines have read what came before.
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
    /// The name of a figure that makes no sense, if there is one.
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

    /// A prompt's rank on an engine: what is read soonest goes first, which delays the others least.
    pub(super) fn rank(&self, prefill_ms: f64, short_prefill_ms: f64) -> u8 {
        match prefill_ms {
            ms if ms <= short_prefill_ms => SHORT_RANK,
            ms if ms <= self.middle_ms => MIDDLE_RANK,
            _ => LONG_RANK,
        }
    }

    /// The part of its goal within which a first event has to be predicted.
    pub(super) fn bound(&self, rank: u8) -> f64 {
        match rank {
            SHORT_RANK => self.short_bound,
            MIDDLE_RANK => self.middle_bound,
            LONG_RANK => self.long_bound,
            // Calls to plain services.
            _ => 1.0,
        }
    }

    /// What the lateness of a prompt that takes `read_ms` alone weighs.
    pub(super) fn weight(&self, prefill_ms: f64) -> f64 {
        (prefill_ms / self.unit_ms).max(0.2).powf(self.weight_power)
    }

    /// The chance that a pause of `expected_ms` is longer than `bears_ms`, from 0 to 1.
    pub(super) fn miss_probability(&self, expected_ms: f64, pause_goal_ms: f64) -> f64 {
        ramp(expected_ms / pause_goal_ms.max(1.0), self.ramp_from, self.ramp_to)
    }

    /// The chance that a first event comes later than `goal_ms`, and a little for each millisecond.
    pub(super) fn lateness_cost(&self, expected_ms: f64, goal_ms: f64) -> f64 {
        let fraction = expected_ms / goal_ms.max(1.0);
        ramp(fraction, self.first_from, self.ramp_to) + self.per_bound * fraction
    }

    /// What those who write lose by a pass that takes `pass_ms` where they bear `bears_ms`.
    pub(super) fn disturbance_cost(&self, pass_ms: f64, pause_goal_ms: f64) -> f64 {
        self.miss_probability(pass_ms, pause_goal_ms)
            + self.per_longer_pause * pass_ms / pause_goal_ms.max(1.0)
    }
}

/// Rises from 0 to 1 between two values.
fn ramp(value: f64, from: f64, to: f64) -> f64 {
    ((value - from) / (to - from)).clamp(0.0, 1.0)
}
