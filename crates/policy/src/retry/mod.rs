//! How many retries are affordable, and how long to wait before one.
//!
//! **Load pattern.** An endpoint or a data centre fails or is full, and every request to it fails
//! at once; callers send theirs again on top.
//!
//! **Without it.** Each layer's retries multiply: a fleet at 90% of its capacity that loses a
//! quarter gets up to twice its load and serves nobody in time.
//!
//! **Rule.** A retry costs one unit from the budget of its workspace and one from that of the
//! endpoint that failed; every success pays a share of a unit into both. A small allowance trickles
//! in, so that a quiet site can retry at all. Waiting before a retry is drawn evenly from a span
//! that doubles with each attempt. A request is never hedged: see [`Hedge`].
//!
//! **Grounds.** The share comes from the configuration (0.1 by default): at most a tenth on top of
//! the load that succeeds. [`ALLOWANCE`] is one lost endpoint's worth of running requests at the
//! letter's today sizes.

mod window;

use std::time::Duration;

pub use window::{RetryRules, RetryWindow};

use fastrand::Rng;
use indexmap::IndexMap;

use crate::{EndpointId, Time, Workspace, backoff::full_jitter};

/// The most units a budget can save up. A burst of failures larger than this is an outage, which
/// retries don't mend.
pub const MAX_BUDGET_UNITS: f64 = 100.0;

/// Units that a fresh budget starts with: one engine that dies with its batch may be retried whole
/// even if nothing has succeeded yet.
pub const INITIAL_BUDGET_UNITS: f64 = 20.0;

/// Units that trickle in each second, for workspaces with a request now and then.
pub const REFILL_UNITS_PER_SECOND: f64 = 0.2;

/// The first backoff is drawn from up to this span: some round trips within a region.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(20);

/// No backoff is drawn from a longer span, as the caller's deadline is running.
pub const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The most budgets of one kind that are kept; the one least recently used goes first.
pub const MAX_BUDGETS: usize = 8_192;

/// The units that one workspace or endpoint has for retries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    units: f64,
    updated: Time,
}

impl RetryBudget {
    /// A fresh budget.
    pub fn new(now: Time) -> RetryBudget {
        RetryBudget { units: INITIAL_BUDGET_UNITS, updated: now }
    }

    /// Pays in for a success.
    pub fn succeeded(&mut self, share: f64) {
        self.units = (self.units + share).min(MAX_BUDGET_UNITS);
    }

    /// Whether a retry can be paid for.
    pub fn affords(&mut self, now: Time) -> bool {
        let trickled = now.since(self.updated).as_secs_f64() * REFILL_UNITS_PER_SECOND;
        self.units = (self.units + trickled).min(MAX_BUDGET_UNITS);
        self.updated = self.updated.max(now);
        self.units >= 1.0
    }

    /// Pays for a retry.
    pub fn pay(&mut self) {
        self.units = (self.units - 1.0).max(0.0);
    }
}

/// All budgets of one instance.
#[derive(Debug)]
pub struct RetryBudgets {
    share: f64,
    workspaces: IndexMap<Workspace, RetryBudget>,
    endpoints: IndexMap<EndpointId, RetryBudget>,
}

impl RetryBudgets {
    /// Budgets into which each success pays `share` of a retry.
    pub fn new(share: f64) -> RetryBudgets {
        RetryBudgets { share, workspaces: IndexMap::new(), endpoints: IndexMap::new() }
    }

    /// Takes over a new share.
    pub fn configure(&mut self, share: f64) {
        self.share = share;
    }

    /// Takes note of a success.
    pub fn succeeded(&mut self, workspace: &Workspace, endpoint: &EndpointId, now: Time) {
        let share = self.share;
        budget(&mut self.workspaces, workspace, now).succeeded(share);
        budget(&mut self.endpoints, endpoint, now).succeeded(share);
    }

    /// Pays for one retry after a failure at `endpoint`, from both budgets or from neither; false
    /// where one of them is spent.
    pub fn pay(&mut self, workspace: &Workspace, endpoint: &EndpointId, now: Time) -> bool {
        let affordable = budget(&mut self.workspaces, workspace, now).affords(now)
            && budget(&mut self.endpoints, endpoint, now).affords(now);
        if affordable {
            budget(&mut self.workspaces, workspace, now).pay();
            budget(&mut self.endpoints, endpoint, now).pay();
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
        let stalest = budgets.values().enumerate().min_by_key(|(_, budget)| budget.updated);
        if let Some(index) = stalest.map(|(index, _)| index) {
            budgets.swap_remove_index(index);
        }
    }
    budgets.entry(key.clone()).or_insert_with(|| RetryBudget::new(now))
}

/// How long to wait before attempt number `attempt` (2 is the first retry). Drawn evenly from the
/// whole span, so that requests that failed together don't come back together.
pub fn backoff(attempt: u32, rng: &mut Rng) -> Duration {
    full_jitter(FIRST_BACKOFF, attempt.saturating_sub(2), MAX_BACKOFF, rng)
}

/// Whether a second attempt is started beside one that is slow. Off: a hedge adds a whole prefill
/// to a fleet that is slow because it is loaded, and no measurement here has shown that it helps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Hedge {
    /// Never.
    #[default]
    Off,
    /// After this long without a first token, if an endpoint stands idle.
    IdleAfter(Duration),
}

impl Hedge {
    /// Whether to hedge an attempt that is `elapsed` old and has no first token.
    pub fn is_due(self, elapsed: Duration, idle_endpoint: bool) -> bool {
        match self {
            Hedge::Off => false,
            Hedge::IdleAfter(bound) => idle_endpoint && elapsed >= bound,
        }
    }
}
