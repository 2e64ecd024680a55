//! How many engines take long prompts.
//!
//! **Load pattern.** Dossiers come in bursts: five at once on four engines, between hundreds of
//! short questions.
//!
//! **Without it.** A burst of dossiers stands on every engine at once, and each short question
//! shares its engine's steps and memory with one; or, with fixed engines for long prompts, either
//! kind waits while the other's engines idle.
//!
//! **Rule.** Of n engines, k are open to long prompts, where k has the least cost
//! `long_first_token * W(k) + short_slowdown * H(k)`. W(k) is the relative wait of a long prompt
//! before k engines (Sakasegawa's approximation for k servers) at the measured long load, on the
//! speed that short prompts leave there. H(k) is
//! the share of engines on which a short prompt may meet a long one, times how far the short load
//! fills the other n - k. Without shorts H is zero and all engines are open. A change of k has to
//! lower the cost by [`WORTH`], and closing waits [`CLOSE_AFTER`] seconds.
//!
//! **Grounds.** One cost with the site's two weights, so that no site has a policy of its own; the
//! curve over the weight is in `docs/decisions/long-beside-short.md`. Hysteresis keeps a long prompt
//! from finding the engine that holds its prefix closed a moment later.

use crate::config::Weights;

/// Share by which another number of engines has to lower the cost.
const MIN_COST_REDUCTION: f64 = 0.1;
/// Seconds for which fewer engines have to be the better choice before one is closed: about the
/// prefill of one long prompt, so that a gap between two of them closes nothing.
const CLOSE_DELAY_S: f64 = 10.0;
/// Load to which short prompts fill the engines closed to long ones before they go to the others.
const FULL_LOAD: f64 = 0.8;
/// Load per engine that the wait is computed with at most, so that costs stay finite.
const MAX_LOAD: f64 = 0.98;

/// Load in units of one engine's full prefill speed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Demand {
    pub(super) short: f64,
    pub(super) long: f64,
}

/// The number of engines that are open to long prompts.
#[derive(Debug)]
pub(super) struct OpenEngines {
    open: usize,
    fewer_since: Option<f64>,
}

impl OpenEngines {
    pub(super) fn new() -> OpenEngines {
        OpenEngines { open: usize::MAX, fewer_since: None }
    }

    /// How many of `engines` are open at the measured demand.
    pub(super) fn update(
        &mut self,
        engines: usize,
        demand: Demand,
        weights: &Weights,
        now: f64,
    ) -> usize {
        if engines == 0 {
            return 0;
        }
        self.open = self.open.clamp(1, engines);
        let best = cheapest(engines, demand, weights);
        let present = cost(self.open, engines, demand, weights);
        let worthwhile =
            cost(best, engines, demand, weights) < present * (1.0 - MIN_COST_REDUCTION);
        if best > self.open && worthwhile {
            self.open = best;
            self.fewer_since = None;
        } else if best < self.open && worthwhile {
            let since = *self.fewer_since.get_or_insert(now);
            if now - since >= CLOSE_DELAY_S {
                self.open = best;
                self.fewer_since = None;
            }
        } else {
            self.fewer_since = None;
        }
        self.open
    }
}

/// The cost of opening `open` of `engines`.
pub(super) fn cost(open: usize, engines: usize, demand: Demand, weights: &Weights) -> f64 {
    let closed = (engines - open) as f64;
    let spilled = (demand.short - FULL_LOAD * closed).max(0.0) / open as f64;
    let long = demand.long / (1.0 - spilled.min(MAX_LOAD));
    weights.long_first_token * long_wait(open, long)
        + weights.short_slowdown * short_slowdown(open, engines, demand.short)
}

fn cheapest(engines: usize, demand: Demand, weights: &Weights) -> usize {
    let by_cost = |a: &usize, b: &usize| {
        let cost = |open: usize| cost(open, engines, demand, weights);
        cost(*a).total_cmp(&cost(*b)).then(b.cmp(a))
    };
    (1..=engines).min_by(by_cost).unwrap_or(engines)
}

/// Wait of a long prompt relative to its own prefill, before `open` engines.
fn long_wait(open: usize, long: f64) -> f64 {
    let servers = open as f64;
    let load = long / servers;
    let overload = (load - MAX_LOAD).max(0.0) * 100.0;
    let load = load.min(MAX_LOAD);
    load.powf((2.0 * (servers + 1.0)).sqrt() - 1.0) / (servers * (1.0 - load)) + overload
}

fn short_slowdown(open: usize, engines: usize, short: f64) -> f64 {
    let closed = (engines - open) as f64;
    let filled = if closed > 0.0 { (short / closed).min(1.0) } else { short.min(1.0) };
    filled * open as f64 / engines as f64
}
