//! How many engines are open to long prompts.
//!
//! **Load pattern.** Long prompts come in bursts: five at once on four engines, among hundreds of
//! short ones.
//!
//! **Without it.** A burst of long prompts occupies all engines at once, and each short prompt
//! shares its engine's steps and memory with a long one. If fixed engines are set aside for long
//! prompts instead, one kind waits while the other's engines are idle.
//!
//! **Rule.** Of n engines, k are open to long prompts, where k has the least cost `long_first_token
//! * W(k) + short_slowdown * H(k)`. W(k) is the relative wait of a long prompt for k engines
//! (Sakasegawa's approximation for k servers) at the measured long load, at the speed that short
//! prompts leave there. H(k) is the share of engines on which a short prompt may meet a long one,
//! times the utilization of the other n - k engines by the short load. Without short prompts, H is
//! zero and all engines are open. A change of k has to lower the cost by [`MIN_COST_REDUCTION`],
//! and closing an engine takes [`CLOSE_DELAY_S`] seconds.
//!
//! **Grounds.** A single cost with the site's two weights means that no site needs a policy of its
//! own; its curve over the weight is in `docs/decisions/long-beside-short.md`. The hysteresis
//! prevents that the engine that caches a long prompt's prefix is closed just before the prompt
//! returns.

use crate::config::Weights;

/// Share by which a different number of engines has to lower the cost.
const MIN_COST_REDUCTION: f64 = 0.1;
/// Seconds for which fewer engines have to be the better choice before one is closed: about the
/// prefill of one long prompt, so that a gap between two of them closes no engine.
const CLOSE_DELAY_S: f64 = 10.0;
/// Load per engine up to which short prompts fill the closed engines before they use the open ones.
const FULL_LOAD: f64 = 0.8;
/// Maximum load per engine in the formula of the wait, which keeps costs finite.
const MAX_LOAD: f64 = 0.98;

/// Demand in units of one engine's full prefill speed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Demand {
    pub(super) short: f64,
    pub(super) long: f64,
}

/// Tracks the number of engines that are open to long prompts.
#[derive(Debug)]
pub(super) struct OpenEngines {
    open: usize,
    fewer_since: Option<f64>,
}

impl OpenEngines {
    pub(super) fn new() -> OpenEngines {
        OpenEngines { open: usize::MAX, fewer_since: None }
    }

    /// Returns how many of `engines` are open at the measured demand.
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
        let current = cost(self.open, engines, demand, weights);
        let worthwhile =
            cost(best, engines, demand, weights) < current * (1.0 - MIN_COST_REDUCTION);
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
    let spillover = (demand.short - FULL_LOAD * closed).max(0.0) / open as f64;
    let long = demand.long / (1.0 - spillover.min(MAX_LOAD));
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

/// Wait of a long prompt for one of `open` engines, relative to its own prefill.
fn long_wait(open: usize, long: f64) -> f64 {
    let servers = open as f64;
    let load = long / servers;
    let overload = (load - MAX_LOAD).max(0.0) * 100.0;
    let load = load.min(MAX_LOAD);
    load.powf((2.0 * (servers + 1.0)).sqrt() - 1.0) / (servers * (1.0 - load)) + overload
}

fn short_slowdown(open: usize, engines: usize, short: f64) -> f64 {
    let closed = (engines - open) as f64;
    let utilization = if closed > 0.0 { (short / closed).min(1.0) } else { short.min(1.0) };
    utilization * open as f64 / engines as f64
}
