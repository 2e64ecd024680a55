//! Endpoint selection: one cost over all endpoints that could take the request, with a random
//! choice between equal ones.
//!
//! **Load pattern.** Prompts of a thousand and of a million tokens share engines. Several instances
//! send concurrently, each with a view of the others' load that is some hundred milliseconds old.
//! Some prompts share a long prefix. Some endpoints are in another data centre.
//!
//! **Without it.** Round robin causes head-of-line blocking: a short prompt waits behind a long one
//! while the next engine is idle. Always taking the cheapest endpoint causes a thundering herd: all
//! instances pick the same one until their views are updated, so the queue moves from engine to
//! engine and the last request in it gets the worst latency.
//!
//! **Rule.** The cost of an endpoint is the predicted time to first token there (wait, prefill of
//! the uncached part, network round trip), weighted for the request's class, plus the delay that
//! its prefill causes to the requests running there, weighted for theirs. Endpoints are equal to
//! the best one if their waits differ by less than the unreported work that other instances have
//! likely sent; two of them are drawn at random and the cheaper one is taken (power of two
//! choices). An endpoint that needs more prefill or is farther away isn't equal, since stale views
//! don't affect these figures: work leaves a cache or a data centre only if this saves more than it
//! costs. If an engine has the prompt's prefix cached but its queue costs more than that saves, the
//! next engine is chosen by rendezvous hash, so that all instances warm the same second engine
//! instead of one each.
//!
//! **Grounds.** The width within which endpoints are equal is measured in
//! `docs/decisions/placement.md`, against always taking the cheapest and against other widths.
//! [`PREFILL_STEP_SHARE`] is an estimate derived from continuous batching, not yet measured.

mod cost;

use std::time::Duration;

use fastrand::Rng;

pub use cost::{Cost, PREFILL_STEP_SHARE, cost, first_token};

use crate::{EndpointId, TokenRate, Tokens, config::Weights, rendezvous};

/// Costs that differ by less than this ratio are equal. Learned speeds and reported queues have
/// errors of about this size, so a finer distinction would follow noise.
pub const EQUAL_COST_RATIO: f64 = 0.1;

/// Lower bound of the unreported work, however fresh the view: smaller differences of the wait are
/// within loopback and switch delays.
pub const MIN_UNREPORTED_WORK: Duration = Duration::from_millis(1);

/// Upper bound of the unreported work. Digests arrive at least twice a second, so an older view
/// means lost links, and choosing among even more endpoints would only discard the information
/// there is.
pub const MAX_UNREPORTED_WORK: Duration = Duration::from_secs(1);

/// An endpoint that could take the request, as this instance sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Predicted time until this request's prefill could start there.
    pub wait: Duration,
    /// Prefill speed, as learned from earlier answers.
    pub rate: TokenRate,
    /// Prompt tokens that the engine likely has cached.
    pub cached: Tokens,
    /// One-way network delay to it.
    pub distance: Duration,
    /// Free KV cache memory there.
    pub free: Tokens,
    /// Running requests with short prompts.
    pub shorts_running: u32,
    /// Running requests with long prompts.
    pub longs_running: u32,
    /// Whether long prompts may be placed there now.
    pub accepts_long: bool,
    /// Factor of the cost: 1 for a healthy endpoint, more for a slow or recovering one; see
    /// [`crate::health`].
    pub penalty: f64,
}

/// The request to place.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SelectionRequest {
    /// Length of the prompt.
    pub prompt: Tokens,
    /// KV cache memory for prompt and output.
    pub footprint: Tokens,
    /// Whether the prompt counts as long.
    pub long: bool,
    /// Hash of the prompt's leading blocks, if it has whole blocks: the last hash of
    /// [`crate::RequestSpec::prefix`] that other prompts are expected to share, usually the first.
    pub prefix: Option<u64>,
    /// Work that the other instances have likely added to an endpoint's queue since their last
    /// update; see [`unreported_work`].
    pub unreported_work: Duration,
    /// The site's weights of the classes of requests.
    pub weights: Weights,
}

impl SelectionRequest {
    /// A request whose footprint is its prompt, with default weights and no unreported work.
    pub fn new(prompt: Tokens, long: bool) -> SelectionRequest {
        let weights = Weights::default();
        SelectionRequest {
            prompt,
            footprint: prompt,
            long,
            prefix: None,
            unreported_work: Duration::ZERO,
            weights,
        }
    }

    /// Whether `candidate` can take the request at once: it has enough memory, and accepts long
    /// prompts if this is one. The cached part of the prompt needs no extra memory.
    pub fn fits(&self, candidate: &Candidate) -> bool {
        let needed = self.footprint - candidate.cached.min(self.prompt);
        needed <= candidate.free && (candidate.accepts_long || !self.long)
    }
}

/// Work that other instances have likely added to an endpoint's queue if the view of them is `age`
/// old: an endpoint that is busy for a share of the time receives as much work in the same time,
/// and all but this instance's own part of it is unreported.
pub fn unreported_work(age: Duration, utilisation: f64, instances: usize) -> Duration {
    let others = 1.0 - 1.0 / instances.max(1) as f64;
    age.mul_f64(utilisation.clamp(0.0, 1.0) * others).min(MAX_UNREPORTED_WORK)
}

/// Chooses the endpoint for `request`, as an index into `candidates`; none if no candidate can take
/// it now.
pub fn choose(
    candidates: &[Candidate],
    request: &SelectionRequest,
    rng: &mut Rng,
) -> Option<usize> {
    let priced_candidates: Vec<PricedCandidate> = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| request.fits(candidate))
        .map(|(index, candidate)| PricedCandidate { index, cost: cost(candidate, request) })
        .collect();
    let best = priced_candidates.iter().min_by(|a, b| a.cost.total_cmp(&b.cost))?;
    let equal = equal_to_best(candidates, &priced_candidates, best, request);
    if let Some(prefix) = request.prefix
        && prefix_holder_excluded(candidates, &equal, request)
    {
        return rendezvous::owner(prefix, equal.iter().map(|p| &candidates[p.index].endpoint))
            .map(|winner| equal[winner].index);
    }
    cheaper_of_two_random(&equal, rng)
}

/// Always chooses the cheapest endpoint: the baseline for measuring the thundering herd.
pub fn choose_cheapest(candidates: &[Candidate], request: &SelectionRequest) -> Option<usize> {
    (0..candidates.len())
        .filter(|index| request.fits(&candidates[*index]))
        .min_by(|a, b| cost(&candidates[*a], request).total_cmp(&cost(&candidates[*b], request)))
}

#[derive(Clone, Copy)]
struct PricedCandidate {
    index: usize,
    cost: Cost,
}

/// Endpoints equal to `best`: same service cost, no farther away, and a wait that is longer by no
/// more than the unreported work.
fn equal_to_best(
    candidates: &[Candidate],
    priced_candidates: &[PricedCandidate],
    best: &PricedCandidate,
    request: &SelectionRequest,
) -> Vec<PricedCandidate> {
    let cheapest = &candidates[best.index];
    let unreported_work = request.unreported_work.clamp(MIN_UNREPORTED_WORK, MAX_UNREPORTED_WORK);
    priced_candidates
        .iter()
        .filter(|priced| {
            priced.cost.is_equal_to(best.cost, EQUAL_COST_RATIO, unreported_work, request)
        })
        .filter(|priced| candidates[priced.index].distance <= cheapest.distance)
        .copied()
        .collect()
}

/// Whether some engine has at least half of the prompt cached and none of the equal ones has.
fn prefix_holder_excluded(
    candidates: &[Candidate],
    equal: &[PricedCandidate],
    request: &SelectionRequest,
) -> bool {
    let has_cached_half = |candidate: &Candidate| candidate.cached.0 * 2 >= request.prompt.0.max(1);
    candidates.iter().any(has_cached_half)
        && !equal.iter().any(|priced| has_cached_half(&candidates[priced.index]))
}

fn cheaper_of_two_random(equal: &[PricedCandidate], rng: &mut Rng) -> Option<usize> {
    if equal.is_empty() {
        return None;
    }
    let first = equal[rng.usize(..equal.len())];
    let second = equal[rng.usize(..equal.len())];
    Some(if second.cost.total_cmp(&first.cost).is_lt() { second.index } else { first.index })
}
