//! The one cost by which endpoints are compared.

use std::{cmp::Ordering, time::Duration};

use crate::place::{Ask, Candidate};

/// The part of an engine's step time that a prefill under way takes from each other request on
/// the engine. Continuous batching mixes a chunk of prefill into each step; half is a first guess
/// that lets a prefill weigh on its neighbours without outweighing its own wait.
pub const STEP_SHARE: f64 = 0.5;

/// Weighted seconds of delay. Only comparisons between costs of the same request mean anything.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Cost(f64);

impl Cost {
    /// A total order, so that a sort never meets an undefined comparison.
    pub fn total_cmp(&self, other: &Cost) -> Ordering {
        self.0.total_cmp(&other.0)
    }

    /// This cost, raised by a share of itself and by `delay` of the asking request.
    pub(super) fn widened(self, share: f64, delay: Duration, ask: &Ask) -> Cost {
        Cost(self.0 * (1.0 + share) + own_weight(ask) * delay.as_secs_f64())
    }
}

/// The cost of placing `ask` on `candidate`: its own weighted first token and the weighted delay
/// that its prefill causes to what runs there.
pub fn cost(candidate: &Candidate, ask: &Ask) -> Cost {
    let own = first_token(candidate, ask).as_secs_f64() * candidate.caution.max(1.0);
    let delayed = f64::from(candidate.shorts_running) * ask.weights.short_slowdown
        + f64::from(candidate.longs_running) * ask.weights.long_first_token;
    let others = prefill(candidate, ask).as_secs_f64() * STEP_SHARE * delayed;
    Cost(own_weight(ask) * own + others)
}

/// Predicted time until the caller has the first token of `ask`, if placed on `candidate` now. The
/// prefill of a short prompt is stretched by the long ones that it shares steps with.
pub fn first_token(candidate: &Candidate, ask: &Ask) -> Duration {
    let beside = if ask.long { 0.0 } else { f64::from(candidate.longs_running) };
    let stretched = prefill(candidate, ask).as_secs_f64() * (1.0 + STEP_SHARE * beside);
    let prefill = Duration::try_from_secs_f64(stretched).unwrap_or(Duration::MAX);
    candidate.wait.saturating_add(prefill).saturating_add(candidate.distance.saturating_mul(2))
}

/// Time to prefill what isn't cached. At least one token is always prefilled, because engines
/// compute the last one anew even for a prompt they hold whole.
pub(super) fn prefill(candidate: &Candidate, ask: &Ask) -> Duration {
    let uncached = (ask.prompt - candidate.cached).0.max(1);
    candidate.rate.span(crate::Tokens(uncached))
}

fn own_weight(ask: &Ask) -> f64 {
    if ask.long { ask.weights.long_first_token } else { ask.weights.short_slowdown }
}
