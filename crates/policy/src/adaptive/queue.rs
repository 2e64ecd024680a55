//! Queues: fair shares among workspaces, earliest deadline first within one.
//!
//! **Load pattern.** One workspace sends ten times its share in bursts, while others send little
//! and expect quick answers.
//!
//! **Without it.** In a single first-come-first-served queue, all requests wait behind the busiest
//! workspace.
//!
//! **Rule.** Start-time fair queueing, a relative of deficit round robin without rounds. Each
//! workspace has a start tag that grows by the weighted tokens it is served, divided by its weight,
//! and the workspace with the lowest tag is served next. A workspace that had nothing waiting
//! starts at the queue's current virtual time. Its unused share goes to the others and returns to
//! it as soon as it sends again, but can't be saved up. Each band of prompt lengths has a queue of
//! its own, so a caller's long prompts don't count against its short ones. Within a workspace, the
//! request with the earliest first-token deadline goes first.
//!
//! **Grounds.** Deficit round robin needs a quantum: a small one takes many rounds for a prompt of
//! a million tokens, and a large one makes a prompt of a thousand tokens wait for a round of large
//! ones. Tags need neither and cost logarithmic time, as measured in
//! `docs/decisions/scheduling.md`.

use std::collections::BTreeSet;

use crate::{RequestId, Time};

use super::{learn::QueueWaitMargin, window::DecayedRate};

/// Tags count thousandths of a weighted token, so that small costs stay distinct after division by
/// a large weight.
const TAG_UNITS_PER_TOKEN: f64 = 1000.0;

/// Index of a workspace in the table of workspaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct WorkspaceIndex(pub(super) u32);

/// Key of a waiting request, ordered by deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Waiting {
    /// Deadline of the first token.
    pub(super) first_token_by: Time,
    pub(super) request: RequestId,
}

/// One workspace's requests in one [`FairQueue`].
#[derive(Debug, Default)]
pub(super) struct WorkspaceQueue {
    start_tag: u64,
    requests: BTreeSet<Waiting>,
    /// Prompt tokens of the waiting requests.
    tokens: f64,
    /// Recently admitted prompt tokens.
    pub(super) demand: DecayedRate,
    /// Error of the predicted waits in this queue.
    pub(super) margin: QueueWaitMargin,
}

impl WorkspaceQueue {
    pub(super) fn first(&self) -> Option<Waiting> {
        self.requests.first().copied()
    }

    pub(super) fn last(&self) -> Option<Waiting> {
        self.requests.last().copied()
    }

    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }
}

/// All waiting requests of one band, or those that need several engines.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    active: BTreeSet<QueuedWorkspace>,
    virtual_time: u64,
    tokens: f64,
    weights: f64,
    len: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedWorkspace {
    start_tag: u64,
    workspace: WorkspaceIndex,
}

/// The workspace that a queue operation applies to, and its weight.
#[derive(Debug, Clone, Copy)]
pub(super) struct WorkspaceWeight {
    pub(super) workspace: WorkspaceIndex,
    pub(super) weight: f64,
}

impl FairQueue {
    /// Prompt tokens of all waiting requests.
    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Sum of the weights of the workspaces with waiting requests.
    pub(super) fn weights(&self) -> f64 {
        self.weights
    }

    /// Sets the sum of the weights after they have been reconfigured.
    pub(super) fn set_weights(&mut self, weights: f64) {
        self.weights = weights;
    }

    /// Adds a request to `workspace_queue`.
    pub(super) fn push(
        &mut self,
        owner: WorkspaceWeight,
        workspace_queue: &mut WorkspaceQueue,
        waiting: Waiting,
        tokens: f64,
    ) {
        if workspace_queue.requests.is_empty() {
            workspace_queue.start_tag = workspace_queue.start_tag.max(self.virtual_time);
            self.weights += owner.weight;
            self.active.insert(QueuedWorkspace {
                start_tag: workspace_queue.start_tag,
                workspace: owner.workspace,
            });
        }
        if workspace_queue.requests.insert(waiting) {
            workspace_queue.tokens += tokens;
            self.tokens += tokens;
            self.len += 1;
        }
    }

    /// Removes a request that starts or is given up. Returns false if it wasn't queued.
    pub(super) fn remove(
        &mut self,
        owner: WorkspaceWeight,
        workspace_queue: &mut WorkspaceQueue,
        waiting: Waiting,
        tokens: f64,
    ) -> bool {
        if !workspace_queue.requests.remove(&waiting) {
            return false;
        }
        workspace_queue.tokens = (workspace_queue.tokens - tokens).max(0.0);
        self.tokens = (self.tokens - tokens).max(0.0);
        self.len -= 1;
        if workspace_queue.requests.is_empty() {
            workspace_queue.tokens = 0.0;
            self.weights = (self.weights - owner.weight).max(0.0);
            self.active.remove(&QueuedWorkspace {
                start_tag: workspace_queue.start_tag,
                workspace: owner.workspace,
            });
        }
        if self.len == 0 {
            self.tokens = 0.0;
            self.weights = 0.0;
        }
        true
    }

    /// Charges a workspace for `cost` weighted tokens.
    pub(super) fn charge(
        &mut self,
        owner: WorkspaceWeight,
        workspace_queue: &mut WorkspaceQueue,
        cost: f64,
    ) {
        let queued =
            QueuedWorkspace { start_tag: workspace_queue.start_tag, workspace: owner.workspace };
        let waits = self.active.remove(&queued);
        self.virtual_time = self.virtual_time.max(workspace_queue.start_tag);
        workspace_queue.start_tag += (cost * TAG_UNITS_PER_TOKEN / owner.weight.max(0.001)) as u64;
        if waits {
            self.active.insert(QueuedWorkspace { start_tag: workspace_queue.start_tag, ..queued });
        }
    }

    /// Workspaces with waiting requests, lowest start tag first.
    pub(super) fn workspaces_in_order(&self) -> impl Iterator<Item = WorkspaceIndex> + '_ {
        self.active.iter().map(|queued| queued.workspace)
    }
}
