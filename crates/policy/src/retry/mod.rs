//! Retry budgets, and the back-off before a retry.
//!
//! **Load pattern.** An endpoint or a data centre fails or is overloaded, and every request to it
//! fails at once; callers retry on top.
//!
//! **Without it.** The retries of each layer multiply: a fleet at 90% utilisation that loses a
//! quarter of its capacity receives up to twice its load and serves no requests in time.
//!
//! **Rule.** A retry costs one unit of its workspace's budget and one of the failed endpoint's
//! budget; each success adds a fraction of a unit to both. A low constant refill lets a site with
//! little traffic retry at all. The back-off before a retry is drawn uniformly from a span that
//! doubles with each attempt. Requests are never hedged: see [`Hedge`].
//!
//! **Grounds.** The fraction is configured (0.1 by default): retries add at most a tenth to the
//! load that succeeds. [`INITIAL_BUDGET_UNITS`] corresponds to the running requests of one lost
//! endpoint at the sites' present sizes.

mod window;

use std::time::Duration;

pub use window::{RetryRules, RetryWindow};

use fastrand::Rng;
use indexmap::IndexMap;

use crate::{EndpointId, Time, Workspace, backoff::full_jitter};

/// Maximum units of a budget. A larger burst of failures is an outage, which retries don't solve.
pub const MAX_BUDGET_UNITS: f64 = 100.0;

/// Units of a new budget: the whole batch of one engine that dies can be retried even if no request
/// has succeeded yet.
pub const INITIAL_BUDGET_UNITS: f64 = 20.0;

/// Constant refill in units per second, for workspaces with only occasional requests.
pub const REFILL_UNITS_PER_SECOND: f64 = 0.2;

/// Span of the first back-off: some round trips within a region.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum span of a back-off, as the caller's deadline is running.
pub const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum number of budgets of each kind; the least recently used is evicted first.
pub const MAX_BUDGETS: usize = 8_192;

/// Retry budget of one workspace or endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    units: f64,
    updated: Time,
}

impl RetryBudget {
    /// Creates a budget of [`INITIAL_BUDGET_UNITS`].
    pub fn new(now: Time) -> RetryBudget {
        RetryBudget { units: INITIAL_BUDGET_UNITS, updated: now }
    }

    /// Adds `share` of a unit for a success.
    pub fn record_success(&mut self, share: f64) {
        self.units = (self.units + share).min(MAX_BUDGET_UNITS);
    }

    /// Refills the budget up to `now`; true if it has a unit for a retry.
    pub fn has_unit(&mut self, now: Time) -> bool {
        let refill = now.since(self.updated).as_secs_f64() * REFILL_UNITS_PER_SECOND;
        self.units = (self.units + refill).min(MAX_BUDGET_UNITS);
        self.updated = self.updated.max(now);
        self.units >= 1.0
    }

    /// Deducts the unit of a retry.
    pub fn spend(&mut self) {
        self.units = (self.units - 1.0).max(0.0);
    }
}

/// Retry budgets of all workspaces and endpoints on one instance.
#[derive(Debug)]
pub struct RetryBudgets {
    share: f64,
    workspaces: IndexMap<Workspace, RetryBudget>,
    endpoints: IndexMap<EndpointId, RetryBudget>,
}

impl RetryBudgets {
    /// Creates budgets to which each success adds `share` of a retry.
    pub fn new(share: f64) -> RetryBudgets {
        RetryBudgets { share, workspaces: IndexMap::new(), endpoints: IndexMap::new() }
    }

    /// Sets the share of a retry that each success adds.
    pub fn configure(&mut self, share: f64) {
        self.share = share;
    }

    /// Adds to both budgets for a success.
    pub fn record_success(&mut self, workspace: &Workspace, endpoint: &EndpointId, now: Time) {
        let share = self.share;
        budget(&mut self.workspaces, workspace, now).record_success(share);
        budget(&mut self.endpoints, endpoint, now).record_success(share);
    }

    /// Deducts one retry after a failure at `endpoint`, from both budgets or from neither; false if
    /// one of them is exhausted.
    pub fn try_spend(&mut self, workspace: &Workspace, endpoint: &EndpointId, now: Time) -> bool {
        let affordable = budget(&mut self.workspaces, workspace, now).has_unit(now)
            && budget(&mut self.endpoints, endpoint, now).has_unit(now);
        if affordable {
            budget(&mut self.workspaces, workspace, now).spend();
            budget(&mut self.endpoints, endpoint, now).spend();
        }
        affordable
    }
}

fn budget<'a, K>(
    budgets: &'a mut IndexMap<K, RetryBudget>,
    key: &K,
    now: Time,
) -> &'a mut RetryBudget
where
    K: Clone + Eq + std::hash::Hash,
{
    if !budgets.contains_key(key) && budgets.len() >= MAX_BUDGETS {
        let least_recent = budgets.values().enumerate().min_by_key(|(_, budget)| budget.updated);
        if let Some(index) = least_recent.map(|(index, _)| index) {
            budgets.swap_remove_index(index);
        }
    }
    budgets.entry(key.clone()).or_insert_with(|| RetryBudget::new(now))
}

/// Back-off before attempt number `attempt` (2 is the first retry). It is drawn uniformly from the
/// whole span, so that requests that failed together aren't retried together.
pub fn backoff(attempt: u32, rng: &mut Rng) -> Duration {
    full_jitter(FIRST_BACKOFF, attempt.saturating_sub(2), MAX_BACKOFF, rng)
}

/// Hedging: whether to start a second attempt while the first is slow. Off, because a hedge adds a
/// whole prefill to a fleet that is slow because of load, and no measurement here has shown a
/// benefit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Hedge {
    /// Never hedges.
    #[default]
    Off,
    /// Hedges after this long without a first token, if an endpoint is idle.
    IdleAfter(Duration),
}

impl Hedge {
    /// Whether to hedge an attempt that has run for `elapsed` without a first token.
    pub fn is_due(self, elapsed: Duration, idle_endpoint: bool) -> bool {
        match self {
            Hedge::Off => false,
            Hedge::IdleAfter(bound) => idle_endpoint && elapsed >= bound,
        }
    }
}
