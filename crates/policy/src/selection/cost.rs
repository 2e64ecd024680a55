//! The one cost by which endpoints are compared.

use std::{cmp::Ordering, time::Duration};

use crate::{
    Tokens,
    selection::{Candidate, SelectionRequest},
};

/// The part of an engine's step time that a prefill under way takes from each other request on
/// the engine. Continuous batching mixes a chunk of prefill into each step; half is a first guess
/// that lets a prefill weigh on its neighbours without outweighing its own wait.
pub const PREFILL_STEP_SHARE: f64 = 0.5;

/// Weighted seconds of delay. Only comparisons between costs of the same request mean anything.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cost {
    /// What the queue costs.
    wait: f64,
    /// What prefill, the way and the delay of others cost.
    service: f64,
}

impl Cost {
    /// A total order, so that a sort never meets an undefined comparison.
    pub fn total_cmp(&self, other: &Cost) -> Ordering {
        (self.wait + self.service).total_cmp(&(other.wait + other.service))
    }

    /// Whether this cost can't be told from `best`: the service costs about as much, and the wait
    /// is longer by less than `unreported_work`.
    pub(super) fn is_near(
        self,
        best: Cost,
        share: f64,
        unreported_work: Duration,
        request: &SelectionRequest,
    ) -> bool {
        let total = (best.wait + best.service) * (1.0 + share);
        let blurred = total + own_weight(request) * unreported_work.as_secs_f64();
        let as_good = self.service <= best.service * (1.0 + share);
        self.wait + self.service <= if as_good { blurred } else { total }
    }
}

/// The cost of placing `ask` on `candidate`: its own weighted first token and the weighted delay
/// that its prefill causes to what runs there.
pub fn cost(candidate: &Candidate, request: &SelectionRequest) -> Cost {
    let own_weight = own_weight(request) * candidate.penalty.max(1.0);
    let prefill = prefill(candidate, request);
    let delayed = f64::from(candidate.shorts_running) * request.weights.short_slowdown
        + f64::from(candidate.longs_running) * request.weights.long_first_token;
    Cost {
        wait: own_weight * candidate.wait.as_secs_f64(),
        service: own_weight * served(candidate, request, prefill)
            + prefill * PREFILL_STEP_SHARE * delayed,
    }
}

/// Predicted time until the caller has the first token of `ask`, if placed on `candidate` now.
pub fn first_token(candidate: &Candidate, request: &SelectionRequest) -> Duration {
    let served = served(candidate, request, prefill(candidate, request));
    let served = Duration::try_from_secs_f64(served).unwrap_or(Duration::MAX);
    candidate.wait.saturating_add(served)
}

/// Seconds from the start of the prefill to the first token at the caller. The prefill of a short
/// prompt is stretched by the long ones that it shares steps with.
fn served(candidate: &Candidate, request: &SelectionRequest, prefill: f64) -> f64 {
    let beside = if request.long { 0.0 } else { f64::from(candidate.longs_running) };
    prefill * (1.0 + PREFILL_STEP_SHARE * beside) + 2.0 * candidate.distance.as_secs_f64()
}

/// Seconds to prefill what isn't cached. At least one token is always prefilled, because engines
/// compute the last one anew even for a prompt they hold whole.
fn prefill(candidate: &Candidate, request: &SelectionRequest) -> f64 {
    let uncached = (request.prompt - candidate.cached).0.max(1);
    candidate.rate.seconds(Tokens(uncached))
}

fn own_weight(request: &SelectionRequest) -> f64 {
    if request.long { request.weights.long_first_token } else { request.weights.short_slowdown }
}
