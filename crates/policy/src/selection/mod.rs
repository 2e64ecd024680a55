//! Where a request goes: one cost over all endpoints that could take it, with a draw between
//! equals.
//!
//! **Load pattern.** Prompts of a thousand and of a million tokens share engines; several
//! instances send at once, each with a view of the others' sends that is some hundred milliseconds
//! old; some prompts share a long prefix; some endpoints stand in another data centre.
//!
//! **Without it.** Round robin puts a short question behind a long dossier while the next engine
//! idles. Always taking the cheapest endpoint makes all instances pick the same one until their
//! views catch up: the queue moves from engine to engine and the last in it sees the worst answer.
//!
//! **Rule.** The cost of an endpoint is the predicted first token there (wait, prefill of what
//! isn't cached, the way there and back), weighted for the request's own kind, plus the delay that
//! its prefill causes to what runs there, weighted for theirs. Endpoints whose wait differs from
//! the best one's by less than what other instances have likely sent unheard are its equals; two
//! of them are drawn and the cheaper one is taken. One that needs more prefill or stands farther
//! away is no equal, as no late view blurs that: work leaves a cache or a data centre only when
//! this saves more than it costs. Where some engine holds the prompt's prefix and yet isn't worth
//! its queue, the next holder is drawn by rendezvous hash, so that all instances warm the same
//! second engine instead of one each.
//!
//! **Grounds.** The width of the band is measured in `docs/decisions/placement.md`, against always
//! taking the cheapest and against other widths. [`STEP_SHARE`] is a first guess from continuous
//! batching and isn't measured yet.

mod cost;

use std::time::Duration;

use fastrand::Rng;

pub use cost::{Cost, PREFILL_STEP_SHARE, cost, first_token};

use crate::{EndpointId, TokenRate, Tokens, config::Weights, rendezvous};

/// Costs that differ by less than this share are equal. Learned speeds and reported queues are off
/// by about this much, so a finer distinction would follow noise.
pub const EQUAL_COST_RATIO: f64 = 0.1;

/// Waits that differ by less than this are equal, however fresh the view: below it lie loopback
/// and switch delays.
pub const MIN_UNREPORTED_WORK: Duration = Duration::from_millis(1);

/// No view is taken to be wrong by more than this. Digests come at least twice a second, so an
/// older view means lost links, and then drawing more widely would only waste what is known.
pub const MAX_UNREPORTED_WORK: Duration = Duration::from_secs(1);

/// An endpoint that could take the request, as this instance sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Predicted time until this request's prefill could begin there.
    pub wait: Duration,
    /// Prefill speed, as learned.
    pub rate: TokenRate,
    /// How much of the prompt the engine likely has cached.
    pub cached: Tokens,
    /// One-way delay to it.
    pub distance: Duration,
    /// Memory that is free there.
    pub free: Tokens,
    /// Requests with short prompts under way there.
    pub shorts_running: u32,
    /// Requests with long prompts under way there.
    pub longs_running: u32,
    /// Whether long prompts may be placed there now.
    pub accepts_long: bool,
    /// 1 for a healthy endpoint, more for a slow or recovering one; see [`crate::health`].
    pub penalty: f64,
}

/// What is to be placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SelectionRequest {
    /// Size of the prompt.
    pub prompt: Tokens,
    /// Memory it needs, prompt and output.
    pub footprint: Tokens,
    /// Whether it counts as long.
    pub long: bool,
    /// Hash of the prompt's leading blocks, where it has whole blocks: the last hash of
    /// [`crate::RequestSpec::prefix`] that others are expected to share, usually the first.
    pub prefix: Option<u64>,
    /// Work that the other instances have likely added to an endpoint's queue since this
    /// instance heard of them; see [`unreported_work`].
    pub unreported_work: Duration,
    /// What the site weighs how much.
    pub weights: Weights,
}

impl SelectionRequest {
    /// A request with a bare prompt, the default weights and a fresh view.
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

    /// Whether `candidate` can take the request at once: it has the memory, and is open to long
    /// prompts if this is one. What is cached there needs no second copy.
    pub fn fits(&self, candidate: &Candidate) -> bool {
        let needed = self.footprint - candidate.cached.min(self.prompt);
        needed <= candidate.free && (candidate.accepts_long || !self.long)
    }
}

/// Work that other instances have likely added to an endpoint's queue, when the view of them is
/// `age` old: an endpoint that is busy for this share of the time gets as much work in the same
/// time, and all but one's own part of it goes unheard.
pub fn unreported_work(age: Duration, busy: f64, instances: usize) -> Duration {
    let others = 1.0 - 1.0 / instances.max(1) as f64;
    age.mul_f64(busy.clamp(0.0, 1.0) * others).min(MAX_UNREPORTED_WORK)
}

/// Chooses the endpoint for `ask`, as index into `candidates`; none where none can take it now.
pub fn choose(
    candidates: &[Candidate],
    request: &SelectionRequest,
    rng: &mut Rng,
) -> Option<usize> {
    let costs: Vec<Priced> = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| request.fits(candidate))
        .map(|(index, candidate)| Priced { index, cost: cost(candidate, request) })
        .collect();
    let best = costs.iter().min_by(|a, b| a.cost.total_cmp(&b.cost))?;
    let near = near_best(candidates, &costs, best, request);
    if let Some(prefix) = request.prefix
        && leaves_its_holder(candidates, &near, request)
    {
        return rendezvous::owner(prefix, near.iter().map(|p| &candidates[p.index].endpoint))
            .map(|winner| near[winner].index);
    }
    cheaper_of_two(&near, rng)
}

/// Chooses always the cheapest: the baseline that herds, kept to measure against.
pub fn choose_cheapest(candidates: &[Candidate], request: &SelectionRequest) -> Option<usize> {
    (0..candidates.len())
        .filter(|index| request.fits(&candidates[*index]))
        .min_by(|a, b| cost(&candidates[*a], request).total_cmp(&cost(&candidates[*b], request)))
}

#[derive(Clone, Copy)]
struct Priced {
    index: usize,
    cost: Cost,
}

/// The equals of `best`: as good apart from the wait, no farther away, and with a wait that is
/// longer by no more than what is unheard of.
fn near_best(
    candidates: &[Candidate],
    costs: &[Priced],
    best: &Priced,
    request: &SelectionRequest,
) -> Vec<Priced> {
    let cheapest = &candidates[best.index];
    let unreported_work = request.unreported_work.clamp(MIN_UNREPORTED_WORK, MAX_UNREPORTED_WORK);
    costs
        .iter()
        .filter(|priced| priced.cost.is_near(best.cost, EQUAL_COST_RATIO, unreported_work, request))
        .filter(|priced| candidates[priced.index].distance <= cheapest.distance)
        .copied()
        .collect()
}

/// Whether some engine holds at least half of the prompt and none of the equals does.
fn leaves_its_holder(
    candidates: &[Candidate],
    near: &[Priced],
    request: &SelectionRequest,
) -> bool {
    let holds = |candidate: &Candidate| candidate.cached.0 * 2 >= request.prompt.0.max(1);
    candidates.iter().any(holds) && !near.iter().any(|priced| holds(&candidates[priced.index]))
}

fn cheaper_of_two(near: &[Priced], rng: &mut Rng) -> Option<usize> {
    if near.is_empty() {
        return None;
    }
    let first = near[rng.usize(..near.len())];
    let second = near[rng.usize(..near.len())];
    Some(if second.cost.total_cmp(&first.cost).is_lt() { second.index } else { first.index })
}
