//! Workspaces: weights, limits and what each has waiting.
//!
//! **Load pattern.** A script of one customer sends without pause; its contract allows a number of
//! tokens a second and a number of requests at once.
//!
//! **Without it.** The customer uses whatever the fair share gives, however much that is at night,
//! and the bill or the plain service behind it suffers.
//!
//! **Rule.** A token bucket and a count for each workspace that has limits. The bucket may go into
//! debt by one request, because a dossier is larger than any sensible burst. A limit that holds
//! over all instances is split: half evenly, half by where the traffic is.
//!
//! **Grounds.** Half evenly, so that traffic which moves to another instance finds room there at
//! once; half by traffic, so that a balancer that favours one instance doesn't halve the limit.
//! The parts sum to the limit. [`BURST`] is two seconds, the span of one page's worth of calls.

use indexmap::IndexMap;

use crate::{BANDS, Workspace, config::WorkspaceTable};

use super::{
    queue::{WorkspaceIndex, WorkspaceQueue, WorkspaceWeight},
    window::DecayedRate,
};

/// Lanes of waiting requests: one a band, and one for prompts that need several engines.
pub(super) const QUEUE_COUNT: usize = BANDS + 1;
/// The lane of prompts that need several engines.
pub(super) const MULTI_ENGINE_QUEUE: usize = BANDS;

/// Seconds of its limit that a workspace may use at once.
const BURST_S: f64 = 2.0;
/// Half-life in seconds of the measured traffic by which limits are split.
pub(super) const TRAFFIC_HALF_LIFE_S: f64 = 5.0;

/// One workspace's state.
#[derive(Debug)]
pub(super) struct WorkspaceState {
    pub(super) name: Workspace,
    pub(super) weight: f64,
    tokens_per_second: Option<f64>,
    max_concurrent: Option<u32>,
    is_listed: bool,
    /// Weighted tokens that may still be admitted.
    bucket_tokens: f64,
    updated: f64,
    /// Admitted and not ended.
    pub(super) in_flight: u32,
    pub(super) queues: [WorkspaceQueue; QUEUE_COUNT],
    pub(super) served: DecayedRate,
    /// Served and waiting on the other instances.
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
            updated: 0.0,
            in_flight: 0,
            queues: Default::default(),
            served: DecayedRate::default(),
            peers_served: 0.0,
            peers_waiting: 0.0,
        }
    }

    /// Prompt tokens that wait here, in all lanes.
    pub(super) fn waiting(&self) -> f64 {
        self.queues.iter().map(WorkspaceQueue::tokens).sum()
    }

    /// Seconds until a request would be within the limits; none where it is.
    pub(super) fn seconds_over_limit(&mut self, instances: usize, now: f64) -> Option<f64> {
        if self.max_concurrent.is_some_and(|most| self.in_flight >= most) {
            return Some(1.0);
        }
        let limit = self.tokens_per_second?;
        let own = self.served.rate(now, TRAFFIC_HALF_LIFE_S);
        let traffic = own + self.peers_served;
        let by_traffic = if traffic > 0.0 { own / traffic } else { 1.0 / instances as f64 };
        let rate = limit * (0.5 / instances as f64 + 0.5 * by_traffic);
        let gained = rate * (now - self.updated).max(0.0);
        self.bucket_tokens = (self.bucket_tokens + gained).min(limit * BURST_S);
        self.updated = now;
        (self.bucket_tokens <= 0.0).then(|| (1.0 - self.bucket_tokens) / rate.max(0.001))
    }

    /// Counts an admitted request.
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

/// All workspaces, in slots that are used again.
#[derive(Debug, Default)]
pub(super) struct Workspaces {
    names: IndexMap<Workspace, WorkspaceIndex>,
    slots: Vec<WorkspaceState>,
    free: Vec<WorkspaceIndex>,
}

impl Workspaces {
    /// Takes over the table in force. Slots of workspaces that aren't listed and have nothing
    /// under way are given to others.
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
                state.updated = now;
            }
            state.is_listed = true;
            state.tokens_per_second = limit;
            state.max_concurrent = rules.concurrent;
            state.weight = f64::from(rules.weight.max(1));
        }
        self.drop_unlisted();
    }

    /// The workspace's slot; one that isn't listed gets one with weight one.
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

    /// The workspace whose waiting tokens are most above its share, `extra` more counted for one.
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
