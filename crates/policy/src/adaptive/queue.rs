//! Who is next among the waiting: fair shares among workspaces, earliest bound within one.
//!
//! **Load pattern.** One workspace sends ten times its share, in bursts; others send little and
//! want quick answers.
//!
//! **Without it.** One queue in order of arrival makes everybody wait for the loudest.
//!
//! **Rule.** Start-time fair queueing, a form of deficit round robin that needs no rounds: each
//! workspace has a tag that rises by the weighted tokens it was served, divided by its weight; the
//! lowest tag is next. A workspace that had nothing waiting starts at the lane's present tag, so
//! an idle share is lent to the others and given back the moment its owner returns, but can't
//! be saved up. Each band of prompt length is a lane of its own: a caller's dossier doesn't count
//! against its short questions. Within a workspace the earliest bound goes first.
//!
//! **Grounds.** Deficit round robin needs a quantum: a small one costs many rounds for a
//! million-token prompt, a large one lets a thousand-token prompt wait for a round of large ones.
//! Tags need neither and cost a logarithm: measured in `docs/decisions/scheduling.md`.

use std::collections::BTreeSet;

use crate::{RequestId, Time};

use super::{learn::QueueWaitMargin, window::DecayedRate};

/// Tags count in thousandths of a weighted token, so that large weights still tell apart.
const TAG_UNITS_PER_TOKEN: f64 = 1000.0;

/// A workspace by its place in the table of workspaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct WorkspaceIndex(pub(super) u32);

/// A request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Waiting {
    /// By when it wants its first token.
    pub(super) bound: Time,
    /// The request.
    pub(super) request: RequestId,
}

/// One workspace's part of one lane.
#[derive(Debug, Default)]
pub(super) struct WorkspaceQueue {
    start_tag: u64,
    requests: BTreeSet<Waiting>,
    /// Prompt tokens that wait.
    tokens: f64,
    /// Prompt tokens admitted of late.
    pub(super) demand: DecayedRate,
    /// How far predictions of its waits are off.
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

/// All waiting requests of one band.
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

/// What a queue operation needs to know of its workspace.
#[derive(Debug, Clone, Copy)]
pub(super) struct WorkspaceWeight {
    /// The workspace.
    pub(super) workspace: WorkspaceIndex,
    /// Its weight.
    pub(super) weight: f64,
}

impl FairQueue {
    /// Prompt tokens that wait.
    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Sum of the weights of workspaces with something waiting.
    pub(super) fn weights(&self) -> f64 {
        self.weights
    }

    /// Takes over the sum of weights after they have changed.
    pub(super) fn set_weights(&mut self, weights: f64) {
        self.weights = weights;
    }

    /// Puts a request into its workspace's `line`.
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

    /// Takes a request out, whether because it starts or because it is given up.
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

    /// Counts `cost` weighted tokens as served to a workspace.
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

    /// Workspaces with something waiting, lowest tag first.
    pub(super) fn workspaces_in_order(&self) -> impl Iterator<Item = WorkspaceIndex> + '_ {
        self.active.iter().map(|queued| queued.workspace)
    }
}
