//! The cost function that compares endpoints.

use std::{cmp::Ordering, time::Duration};

use crate::{
    Tokens,
    selection::{Candidate, SelectionRequest},
};

/// The share of an engine's step time that an ongoing prefill takes from each other request on the
/// engine. Continuous batching mixes a chunk of prefill into each step. Half is an estimate: a
/// prefill then affects its neighbours without outweighing its own wait.
pub const PREFILL_STEP_SHARE: f64 = 0.5;

/// Weighted seconds of delay. Costs are comparable only for the same request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cost {
    /// Weighted wait in the queue.
    wait: f64,
    /// Weighted prefill time, network delay, and delay caused to other requests.
    service: f64,
}

impl Cost {
    /// Total order, so that sorting never meets incomparable values.
    pub fn total_cmp(&self, other: &Cost) -> Ordering {
        (self.wait + self.service).total_cmp(&(other.wait + other.service))
    }

    /// Whether this cost is indistinguishable from `best`: the service costs about as much, and the
    /// wait is longer by less than `unreported_work`.
    pub(super) fn is_equal_to(
        self,
        best: Cost,
        ratio: f64,
        unreported_work: Duration,
        request: &SelectionRequest,
    ) -> bool {
        let total = (best.wait + best.service) * (1.0 + ratio);
        let total_with_unreported = total + own_weight(request) * unreported_work.as_secs_f64();
        let service_is_equal = self.service <= best.service * (1.0 + ratio);
        self.wait + self.service <= if service_is_equal { total_with_unreported } else { total }
    }
}

/// The cost of placing `request` on `candidate`: its own weighted time to first token, and the
/// weighted delay that its prefill causes to the requests running there.
pub fn cost(candidate: &Candidate, request: &SelectionRequest) -> Cost {
    let own_weight = own_weight(request) * candidate.penalty.max(1.0);
    let prefill_seconds = prefill_seconds(candidate, request);
    let delayed_weight = f64::from(candidate.shorts_running) * request.weights.short_slowdown
        + f64::from(candidate.longs_running) * request.weights.long_first_token;
    Cost {
        wait: own_weight * candidate.wait.as_secs_f64(),
        service: own_weight * service_seconds(candidate, request, prefill_seconds)
            + prefill_seconds * PREFILL_STEP_SHARE * delayed_weight,
    }
}

/// Predicted time until the caller receives the first token, if placed on `candidate` now.
pub fn first_token(candidate: &Candidate, request: &SelectionRequest) -> Duration {
    let service_seconds = service_seconds(candidate, request, prefill_seconds(candidate, request));
    let service = Duration::try_from_secs_f64(service_seconds).unwrap_or(Duration::MAX);
    candidate.wait.saturating_add(service)
}

/// Seconds from the start of the prefill until the caller receives the first token. The prefill of
/// a short prompt is slowed down by the long prompts with which it shares steps.
fn service_seconds(candidate: &Candidate, request: &SelectionRequest, prefill_seconds: f64) -> f64 {
    let long_neighbours = if request.long { 0.0 } else { f64::from(candidate.longs_running) };
    prefill_seconds * (1.0 + PREFILL_STEP_SHARE * long_neighbours)
        + 2.0 * candidate.distance.as_secs_f64()
}

/// Seconds to prefill the uncached part. At least one token is always prefilled, because engines
/// recompute the last token even if the whole prompt is cached.
fn prefill_seconds(candidate: &Candidate, request: &SelectionRequest) -> f64 {
    let uncached = (request.prompt - candidate.cached).0.max(1);
    candidate.rate.seconds(Tokens(uncached))
}

fn own_weight(request: &SelectionRequest) -> f64 {
    if request.long { request.weights.long_first_token } else { request.weights.short_slowdown }
}
