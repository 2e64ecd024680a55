//! Workspaces: weights, limits and queues.
//!
//! **Load pattern.** A customer's script sends without pause. Its contract allows a number of
//! tokens per second and a number of concurrent requests.
//!
//! **Without it.** The customer uses whatever the fair share allows, which may be a lot at night,
//! to the detriment of the bill or of the plain service behind it.
//!
//! **Rule.** Each workspace with limits has a token bucket and a count of requests. The bucket may
//! go into debt by one request, because a single long prompt is larger than any sensible burst. A
//! limit that applies to all instances together is split: half evenly, half by traffic.
//!
//! **Grounds.** The even half gives traffic that moves to another instance some room there at once.
//! The half by traffic ensures that a balancer that favours one instance doesn't halve the limit.
//! The parts add up to the limit. [`BURST_S`] is two seconds, the time in which one web page makes
//! its calls.

use indexmap::IndexMap;

use crate::{BANDS, Workspace, config::WorkspaceTable};

use super::{
    queue::{WorkspaceIndex, WorkspaceQueue, WorkspaceWeight},
    window::DecayedRate,
};

/// Number of queues: one per band, and one for prompts that need several engines.
pub(super) const QUEUE_COUNT: usize = BANDS + 1;
/// Index of the queue of prompts that need several engines.
pub(super) const MULTI_ENGINE_QUEUE: usize = BANDS;

/// Seconds' worth of its limit that a workspace may use at once.
const BURST_S: f64 = 2.0;
/// Half-life in seconds of the measured traffic by which limits are split.
pub(super) const TRAFFIC_HALF_LIFE_S: f64 = 5.0;

/// Limits, counters and queues of one workspace.
#[derive(Debug)]
pub(super) struct WorkspaceState {
    pub(super) name: Workspace,
    pub(super) weight: f64,
    tokens_per_second: Option<f64>,
    max_concurrent: Option<u32>,
    is_listed: bool,
    /// Weighted tokens in the bucket; negative while in debt.
    bucket_tokens: f64,
    updated_at: f64,
    /// Number of requests admitted and not ended.
    pub(super) in_flight: u32,
    pub(super) queues: [WorkspaceQueue; QUEUE_COUNT],
    pub(super) served: DecayedRate,
    /// Traffic on the other instances in tokens per second, and prompt tokens waiting there.
    pub(super) peers_served: f64,
    pub(super) peers_waiting: f64,
}

impl WorkspaceState {
    fn new(name: Workspace) -> WorkspaceState {
        WorkspaceState {
            name,
            weight: 1.0,
            tokens_per_second: None,
            max_concurrent: None,
            is_listed: false,
            bucket_tokens: f64::INFINITY,
            updated_at: 0.0,
            in_flight: 0,
            queues: Default::default(),
            served: DecayedRate::default(),
            peers_served: 0.0,
            peers_waiting: 0.0,
        }
    }

    /// Prompt tokens waiting in all queues of this workspace.
    pub(super) fn waiting(&self) -> f64 {
        self.queues.iter().map(WorkspaceQueue::tokens).sum()
    }

    /// Seconds until a request would be within the limits; none if it is now.
    pub(super) fn seconds_over_limit(&mut self, instances: usize, now: f64) -> Option<f64> {
        if self.max_concurrent.is_some_and(|most| self.in_flight >= most) {
            return Some(1.0);
        }
        let limit = self.tokens_per_second?;
        let own = self.served.rate(now, TRAFFIC_HALF_LIFE_S);
        let traffic = own + self.peers_served;
        let by_traffic = if traffic > 0.0 { own / traffic } else { 1.0 / instances as f64 };
        let rate = limit * (0.5 / instances as f64 + 0.5 * by_traffic);
        let gained = rate * (now - self.updated_at).max(0.0);
        self.bucket_tokens = (self.bucket_tokens + gained).min(limit * BURST_S);
        self.updated_at = now;
        (self.bucket_tokens <= 0.0).then(|| (1.0 - self.bucket_tokens) / rate.max(0.001))
    }

    /// Counts an admitted request of `cost` weighted tokens.
    pub(super) fn admitted(&mut self, cost: f64, now: f64) {
        self.in_flight += 1;
        self.served.add(cost, now, TRAFFIC_HALF_LIFE_S);
        if self.tokens_per_second.is_some() {
            self.bucket_tokens -= cost;
        }
    }

    fn is_idle(&self) -> bool {
        self.in_flight == 0
            && self.queues.iter().all(|workspace_queue| workspace_queue.first().is_none())
    }
}

/// All workspaces, in reusable slots.
#[derive(Debug, Default)]
pub(super) struct Workspaces {
    names: IndexMap<Workspace, WorkspaceIndex>,
    slots: Vec<WorkspaceState>,
    free: Vec<WorkspaceIndex>,
}

impl Workspaces {
    /// Applies a new table of workspaces. Slots of idle workspaces that aren't listed are freed.
    pub(super) fn configure(&mut self, table: &WorkspaceTable, now: f64) {
        for state in &mut self.slots {
            state.is_listed = table.contains_key(&state.name);
        }
        for (name, rules) in table {
            let index = self.index(name);
            let state = &mut self.slots[index.0 as usize];
            let limit = rules.tokens_per_second.map(|limit| limit as f64);
            if state.tokens_per_second != limit {
                state.bucket_tokens = limit.map_or(f64::INFINITY, |limit| limit * BURST_S);
                state.updated_at = now;
            }
            state.is_listed = true;
            state.tokens_per_second = limit;
            state.max_concurrent = rules.concurrent;
            state.weight = f64::from(rules.weight.max(1));
        }
        self.drop_unlisted();
    }

    /// The workspace's slot; an unlisted workspace gets a new slot with weight one.
    pub(super) fn index(&mut self, name: &Workspace) -> WorkspaceIndex {
        if let Some(index) = self.names.get(name) {
            return *index;
        }
        let state = WorkspaceState::new(name.clone());
        let index = match self.free.pop() {
            Some(index) => {
                self.slots[index.0 as usize] = state;
                index
            }
            None => {
                self.slots.push(state);
                WorkspaceIndex(self.slots.len() as u32 - 1)
            }
        };
        self.names.insert(name.clone(), index);
        index
    }

    pub(super) fn find(&self, name: &Workspace) -> Option<WorkspaceIndex> {
        self.names.get(name).copied()
    }

    pub(super) fn get(&self, index: WorkspaceIndex) -> &WorkspaceState {
        &self.slots[index.0 as usize]
    }

    pub(super) fn get_mut(&mut self, index: WorkspaceIndex) -> &mut WorkspaceState {
        &mut self.slots[index.0 as usize]
    }

    pub(super) fn weight_of(&self, index: WorkspaceIndex) -> WorkspaceWeight {
        WorkspaceWeight { workspace: index, weight: self.get(index).weight }
    }

    /// The workspace with the most waiting tokens relative to its weight, where `extra` tokens are
    /// added for `of`.
    pub(super) fn most_over_share(&self, extra: f64, of: WorkspaceIndex) -> WorkspaceIndex {
        let excess = |index: WorkspaceIndex| {
            let state = self.get(index);
            let added = if index == of { extra } else { 0.0 };
            (state.waiting() + added) / state.weight
        };
        let all = self.names.values().copied();
        all.max_by(|a, b| excess(*a).total_cmp(&excess(*b))).unwrap_or(of)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (WorkspaceIndex, &WorkspaceState)> {
        self.names.values().map(|index| (*index, self.get(*index)))
    }

    fn drop_unlisted(&mut self) {
        let slots = &self.slots;
        let free = &mut self.free;
        self.names.retain(|_, index| {
            let state = &slots[index.0 as usize];
            let keep = state.is_listed || !state.is_idle();
            if !keep {
                free.push(*index);
            }
            keep
        });
    }
}
