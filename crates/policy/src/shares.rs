//! Shares of the workspaces in the engines' time, where it is scarce.
//!
//! **Load pattern.** One workspace sends half of all requests, or its callers repeat each refused
//! request three times as often as others, or one of its keys is suddenly used by hundreds of
//! callers. The engines can't serve everything.
//!
//! **Without it.** Whoever asks most often gets most: each attempt is one more chance to find an
//! engine free, so the other workspaces lose what the large one gains.
//!
//! **Rule.** Each workspace is charged for the time of engines that its requests take, and the charge
//! halves every five seconds. Of the workspaces with waiting requests, the one with the lowest charge
//! relative to its weight goes first. Instances report their own charges to each other. A report
//! states absolute levels and replaces the peer's earlier one, so a lost, late, repeated or reordered
//! one is corrected by the next, and without any it fades within seconds.
//!
//! **Grounds.** Serving in order of past use is fair without knowing how much anyone will ask for: a
//! workspace below its share always goes before one above it, and what it doesn't ask for is left to
//! the others at the same moment. The queues of one instance could use start tags instead
//! (`adaptive::queue`), but tags of several instances have no common origin, while decayed sums can be
//! added. A few reports a second from random peers show the proportions between the workspaces,
//! which are all that the order needs, so the traffic doesn't grow with the number of instances.

use std::{cmp::Ordering, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{InstanceId, Time, Workspace, WorkspaceTag, placement::decaying::DecayingSum};

/// Half-life of usage: longer than most answers take, and shorter than the bursts of ten seconds
/// within which shares have to adapt.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// How long after its latest use a workspace counts as one that wants capacity.
const ACTIVE_FOR: Duration = Duration::from_secs(3);

/// Reports that are older are dropped: a sixteenth of their usage is left.
const REPORT_LIFETIME: Duration = Duration::from_secs(20);

/// Minimum time between two reports of an instance.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of workspaces in a report, so that it takes about 256 bytes.
pub const MAX_REPORTED: usize = 24;

/// Reports that an instance sends, and receives on average, per second: about 1 KB.
const REPORTS_PER_S: f64 = 4.0;

/// Usage that is no site's: fourteen thousand engines, all of them used by one workspace.
const MAX_USED_MS: f64 = 100_000_000.0;

/// Usage below this isn't reported, and forgotten.
const MIN_USED_MS: f64 = 1.0;

/// Maximum number of workspaces whose usage is kept.
const MAX_WORKSPACES: usize = 4_096;

/// Number of workspaces that are forgotten at once where there are too many, because finding the
/// least used ones takes time in proportion to all of them.
const FORGOTTEN_AT_ONCE: usize = 256;

/// How long the shares of all workspaces are used before they are computed again, because that takes
/// time in proportion to the workspaces.
const SHARE_LIFETIME: Duration = Duration::from_millis(50);

/// Number of peers that get a report, out of `peers`, if one is sent every `interval`.
pub fn report_recipients(peers: usize, interval: Duration) -> usize {
    let affordable = (REPORTS_PER_S * interval.as_secs_f64()) as usize;
    peers.min(affordable.max(1))
}

/// One workspace's recent usage at the instance that reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "WireUsage", into = "WireUsage")]
pub struct WorkspaceUsage {
    /// Which workspace it is.
    pub workspace: WorkspaceTag,
    /// Decayed time of engines, in milliseconds of one engine.
    pub used_ms: u32,
    /// It used engines in the last seconds.
    pub is_active: bool,
}

/// The wire format: one number, which a variable-length codec writes in one to five bytes, and whose
/// lowest bit tells whether the workspace is active.
#[derive(Serialize, Deserialize)]
struct WireUsage(WorkspaceTag, u32);

impl From<WorkspaceUsage> for WireUsage {
    fn from(usage: WorkspaceUsage) -> WireUsage {
        let used_ms = usage.used_ms.min(u32::MAX >> 1);
        WireUsage(usage.workspace, used_ms << 1 | u32::from(usage.is_active))
    }
}

impl From<WireUsage> for WorkspaceUsage {
    fn from(WireUsage(workspace, bits): WireUsage) -> WorkspaceUsage {
        WorkspaceUsage { workspace, used_ms: bits >> 1, is_active: bits & 1 == 1 }
    }
}

/// Place of a workspace in the order of service; the lowest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Rank(f64);

impl Eq for Rank {}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Rank) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Rank) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// What a workspace uses, here and at peers.
#[derive(Debug)]
struct Usage {
    /// Known if this instance has served the workspace.
    name: Option<Workspace>,
    own: DecayingSum,
    peers: DecayingSum,
    /// When it last used engines here.
    used_at: Option<Time>,
    /// When it was last known to use engines, here or at a peer.
    active_at: Option<Time>,
}

impl Usage {
    fn new() -> Usage {
        let none = DecayingSum::new(HALF_LIFE);
        Usage { name: None, own: none, peers: none, used_at: None, active_at: None }
    }

    fn sum(&self, now: Time) -> f64 {
        self.own.sum(now) + self.peers.sum(now)
    }
}

fn is_recent(at: Option<Time>, now: Time) -> bool {
    at.is_some_and(|at| now.since(at) < ACTIVE_FOR)
}

/// Subtracts from a sum that may have been forgotten since the amount was added.
fn subtract(sum: &mut DecayingSum, amount: f64, now: Time) {
    sum.add(-amount.min(sum.sum(now)), now);
}

/// What is left of an amount that was added at `at`.
fn decayed(amount: f64, at: Time, now: Time) -> f64 {
    let mut sum = DecayingSum::new(HALF_LIFE);
    sum.add(amount, at);
    sum.sum(now)
}

/// The latest report of one peer.
#[derive(Debug)]
struct Report {
    received_at: Time,
    usage: Vec<WorkspaceUsage>,
}

/// Sums over the workspaces that want capacity.
#[derive(Debug, Clone, Copy, Default)]
struct Wanted {
    computed_at: Time,
    used_ms: f64,
    weights: f64,
}

/// Who has used how much of the engines of one group.
#[derive(Debug, Default)]
pub struct Shares {
    /// Weights other than one.
    weights: IndexMap<WorkspaceTag, f64>,
    usage: IndexMap<WorkspaceTag, Usage>,
    reports: IndexMap<InstanceId, Report>,
    wanted: Option<Wanted>,
}

impl Shares {
    /// Replaces the weights. Workspaces that aren't listed, or whose weight isn't a positive number,
    /// have a weight of one.
    pub fn set_weights(&mut self, weights: impl IntoIterator<Item = (Workspace, f64)>) {
        let weights = weights.into_iter().filter(|(_, weight)| weight.is_normal() && *weight > 0.0);
        self.weights = weights.map(|(name, weight)| (WorkspaceTag::from(&name), weight)).collect();
        self.wanted = None;
    }

    /// Charges a workspace for `cost_ms` of one engine's time that its requests take here.
    pub fn record(&mut self, workspace: &Workspace, cost_ms: f64, now: Time) {
        if !is_plausible(cost_ms) {
            return;
        }
        let usage = self.usage_mut(workspace.into(), now);
        usage.name.get_or_insert_with(|| workspace.clone());
        usage.own.add(cost_ms, now);
        usage.used_at = Some(now);
        usage.active_at = Some(now);
    }

    /// Takes back a charge made at `charged_at`, because the request never reached its engine.
    pub fn refund(&mut self, workspace: &Workspace, cost_ms: f64, charged_at: Time, now: Time) {
        if let Some(usage) = self.usage.get_mut(&WorkspaceTag::from(workspace))
            && is_plausible(cost_ms)
        {
            subtract(&mut usage.own, decayed(cost_ms, charged_at, now), now);
        }
    }

    /// What a workspace has recently used, here and at the peers that reported it, in milliseconds of
    /// one engine.
    pub fn usage(&self, workspace: &Workspace, now: Time) -> f64 {
        self.usage.get(&WorkspaceTag::from(workspace)).map_or(0.0, |usage| usage.sum(now))
    }

    /// Place of a workspace in the order of service: its usage relative to its weight.
    pub fn rank(&self, workspace: &Workspace, now: Time) -> Rank {
        Rank(self.usage(workspace, now) / self.weight(workspace.into()))
    }

    /// Whether a workspace has used more than its weighted share of what all active workspaces have
    /// used. Never true where no other one is active.
    pub fn is_over_share(&mut self, workspace: &Workspace, now: Time) -> bool {
        let wanted = self.wanted(now);
        let tag = WorkspaceTag::from(workspace);
        let weight = self.weight(tag);
        let Some(usage) = self.usage.get(&tag) else { return false };
        let used_ms = usage.sum(now);
        let own = match is_recent(usage.active_at, wanted.computed_at) {
            true => (0.0, 0.0),
            // Someone asks for it, so it wants capacity, too.
            false => (used_ms, weight),
        };
        let (total_ms, weights) = (wanted.used_ms + own.0, wanted.weights + own.1);
        let has_others = weights > weight;
        has_others && used_ms * weights > total_ms * weight
    }

    /// What this instance reports to peers: its own usage, largest first; none if there is nothing to
    /// report.
    pub fn report(&mut self, now: Time) -> Option<Vec<WorkspaceUsage>> {
        self.expire(now);
        let mut own: Vec<WorkspaceUsage> = self
            .usage
            .iter()
            .filter(|(_, usage)| usage.own.sum(now) >= MIN_USED_MS)
            .map(|(workspace, usage)| WorkspaceUsage {
                workspace: *workspace,
                used_ms: usage.own.sum(now).min(MAX_USED_MS).round() as u32,
                is_active: is_recent(usage.used_at, now),
            })
            .collect();
        own.sort_unstable_by_key(|usage| std::cmp::Reverse(usage.used_ms));
        own.truncate(MAX_REPORTED);
        (!own.is_empty()).then_some(own)
    }

    /// Replaces what a peer has reported earlier. Implausible values are ignored.
    pub fn apply_report(&mut self, peer: &InstanceId, reported: &[WorkspaceUsage], now: Time) {
        self.remove_peer(peer, now);
        let plausible = reported.iter().filter(|usage| is_plausible(f64::from(usage.used_ms)));
        let reported: Vec<_> = plausible.take(MAX_REPORTED).copied().collect();
        for WorkspaceUsage { workspace, used_ms, is_active } in &reported {
            let usage = self.usage_mut(*workspace, now);
            usage.peers.add(f64::from(*used_ms), now);
            if *is_active {
                usage.active_at = Some(now);
            }
        }
        self.reports.insert(peer.clone(), Report { received_at: now, usage: reported });
    }

    /// Removes a peer and what it has reported.
    pub fn remove_peer(&mut self, peer: &InstanceId, now: Time) {
        let Some(report) = self.reports.swap_remove(peer) else { return };
        for reported in &report.usage {
            if let Some(usage) = self.usage.get_mut(&reported.workspace) {
                let left = decayed(f64::from(reported.used_ms), report.received_at, now);
                subtract(&mut usage.peers, left, now);
            }
        }
    }

    /// The workspaces with the largest usage, among those that this instance has served.
    pub fn largest(&self, count: usize, now: Time) -> Vec<(Workspace, f64)> {
        let served = self.usage.values().filter_map(|usage| Some((usage.name.clone()?, usage)));
        let mut served: Vec<_> = served.map(|(name, usage)| (name, usage.sum(now))).collect();
        served.sort_unstable_by(|(_, a), (_, b)| b.total_cmp(a));
        served.truncate(count);
        served
    }

    /// Number of workspaces whose usage is kept.
    pub fn len(&self) -> usize {
        self.usage.len()
    }

    /// Whether no usage is kept.
    pub fn is_empty(&self) -> bool {
        self.usage.is_empty()
    }

    fn weight(&self, workspace: WorkspaceTag) -> f64 {
        self.weights.get(&workspace).copied().unwrap_or(1.0)
    }

    fn wanted(&mut self, now: Time) -> Wanted {
        if let Some(wanted) = self.wanted.filter(|w| now.since(w.computed_at) < SHARE_LIFETIME) {
            return wanted;
        }
        let active = self.usage.iter().filter(|(_, usage)| is_recent(usage.active_at, now));
        let none = Wanted { computed_at: now, ..Wanted::default() };
        let wanted = active.fold(none, |sum, (workspace, usage)| Wanted {
            used_ms: sum.used_ms + usage.sum(now),
            weights: sum.weights + self.weight(*workspace),
            ..sum
        });
        self.wanted = Some(wanted);
        wanted
    }

    fn usage_mut(&mut self, workspace: WorkspaceTag, now: Time) -> &mut Usage {
        if self.usage.len() >= MAX_WORKSPACES && !self.usage.contains_key(&workspace) {
            self.forget_least_used(now);
        }
        self.usage.entry(workspace).or_insert_with(Usage::new)
    }

    fn forget_least_used(&mut self, now: Time) {
        let mut all: Vec<_> =
            self.usage.iter().map(|(tag, usage)| (usage.sum(now), *tag)).collect();
        all.select_nth_unstable_by(FORGOTTEN_AT_ONCE, |(a, _), (b, _)| a.total_cmp(b));
        for (_, tag) in &all[..FORGOTTEN_AT_ONCE] {
            self.usage.swap_remove(tag);
        }
    }

    /// Drops old reports and the workspaces of which next to nothing is left.
    fn expire(&mut self, now: Time) {
        let is_old = |report: &Report| now.since(report.received_at) > REPORT_LIFETIME;
        let old = self.reports.iter().filter(|(_, report)| is_old(report));
        let old: Vec<InstanceId> = old.map(|(peer, _)| peer.clone()).collect();
        old.iter().for_each(|peer| self.remove_peer(peer, now));
        self.usage
            .retain(|_, usage| usage.sum(now) >= MIN_USED_MS || is_recent(usage.active_at, now));
    }
}

fn is_plausible(used_ms: f64) -> bool {
    (0.0..=MAX_USED_MS).contains(&used_ms)
}
