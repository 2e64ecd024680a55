//! Selection of the load digest entries that an instance sends to its peers, and when.
//!
//! **Load pattern.** Each instance has requests in flight on up to some hundred endpoints and
//! updates all its peers twice a second.
//!
//! **Without it.** Sending whole digests twice a second takes 57 KB a second for an instance with
//! 35 busy endpoints and 15 peers, where 3 KB are allowed. Sending everything less often would make
//! the peers' views so old that the instances choose the same endpoints (thundering herd).
//!
//! **Rule.** Only entries whose change could alter a peer's choice are sent. Their effect is the
//! change of the predicted wait since they were last sent. The largest effects go first, queues
//! that have become shorter before others, as many as the byte budget allows; the effect of the
//! others accumulates. Entries whose effect stays below [`MIN_EFFECT`] are sent again once they are
//! [`REFRESH_INTERVAL`] old. A new link starts with a full digest, and at least an empty part is
//! sent every [`CONFIRM_INTERVAL`]. Sending nothing while the receiver's choice can't change is an
//! idea from the paper named in `docs/decisions/pubsub-paper.md`.
//!
//! **Grounds.** A budget too small to follow every queue is spent on queues that were sent before:
//! one that is sent once and never updated looks full for seconds, which is worse than not sending
//! it. [`MIN_EFFECT`] is the difference that placement can't distinguish;
//! `docs/decisions/membership.md` has the bytes measured with and without this selection.

use std::{mem::Discriminant, time::Duration};

use indexmap::IndexMap;

use crate::{
    EndpointId, Fingerprint, LoadDigest, Time, TokenRate, Tokens, Workspace,
    quarantine::{EntryStatus, PEER_SUSPECT_TTL},
    report::{EndpointShare, WorkspaceShare},
};

/// Changes of the predicted wait below this aren't sent on their own.
pub const MIN_EFFECT: Duration = Duration::from_millis(10);

/// An entry with any change since it was last sent, however small, is sent again after this time.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// Without changes, an empty part is sent after this time. It confirms that the peers' view is
/// still valid; otherwise they would have to discard the load of a quiet instance as outdated.
pub const CONFIRM_INTERVAL: Duration = Duration::from_secs(2);

/// Estimated size of an entry on the wire. Numbers take 3 bytes up to 65,535 and 5 above, so it is
/// 27 bytes for a short queue and 33 for a long one; long ones are sent most often.
pub const ENTRY_BYTES: usize = 32;

/// Size of a part without its entries, including the frame that carries it.
pub const PART_OVERHEAD_BYTES: usize = 48;

/// Entries that the budget must allow before a part is sent, unless one is urgent: with a small
/// budget, parts of a single entry would spend two thirds of it on overhead.
const MIN_ENTRIES: usize = 4;

/// Prefill speed assumed while none is learned, to convert tokens to time.
const DEFAULT_PREFILL_RATE: TokenRate = TokenRate(10_000.0);

/// Completed work has its effect divided by this. Peers learn an engine's speed from it over 5 s,
/// so what may stay unsent, 40 ms of work of each of three peers, is an error of 2.4%.
const PROGRESS_DIVISOR: u32 = 4;

/// Maximum effect of completed work, however long it stays unsent: with a small budget it would
/// eventually outgrow the queues and take their place.
const MAX_PROGRESS_EFFECT: Duration = Duration::from_millis(20);

/// Factor on the effect of a queue that peers overestimate: this error lasts until the update is
/// sent, while a queue unknown to them drains by itself.
const OVERSTATED_FACTOR: u32 = 8;

/// Seconds' worth of unused budget that may accumulate, so that a burst is sent at once.
const MAX_UNSPENT_SECONDS: f64 = 2.0;

/// Selects the parts to send. There is one for each deployment, and all peers receive the same
/// parts.
#[derive(Debug)]
pub struct DigestSender {
    bytes_per_second: f64,
    unspent_bytes: f64,
    refilled_at: Time,
    endpoints: IndexMap<EndpointId, SentEntry<EndpointShare>>,
    workspaces: IndexMap<Workspace, SentEntry<WorkspaceShare>>,
    totals: Option<SentTotals>,
}

/// What was last sent besides the entries.
#[derive(Debug)]
struct SentTotals {
    digest: LoadDigest,
    at: Time,
    suspicions_at: Time,
}

#[derive(Debug)]
struct SentEntry<T> {
    share: T,
    at: Time,
}

impl DigestSender {
    /// Creates a sender with a budget of `bytes_per_second`, averaged over some seconds.
    pub fn new(bytes_per_second: u32, now: Time) -> DigestSender {
        let bytes_per_second = f64::from(bytes_per_second);
        DigestSender {
            bytes_per_second,
            unspent_bytes: bytes_per_second * MAX_UNSPENT_SECONDS,
            refilled_at: now,
            endpoints: IndexMap::new(),
            workspaces: IndexMap::new(),
            totals: None,
        }
    }

    /// Changes the budget, as links are added and removed.
    pub fn set_budget(&mut self, bytes_per_second: u32) {
        self.bytes_per_second = f64::from(bytes_per_second);
    }

    /// The part of `digest` to send now, with the changed entries. An endpoint or workspace that is
    /// no longer in the digest is sent once, as idle. None if nothing is worth sending.
    pub fn next_part(&mut self, digest: &LoadDigest, now: Time) -> Option<LoadDigest> {
        self.refill(now);
        let mut changes = self.changes(digest, now);
        changes.sort_by_key(|change| std::cmp::Reverse(change.urgency()));
        let totals_due = self.totals.as_ref().is_none_or(|sent| sent.is_due(digest, now));
        let urgent = changes.first().is_some_and(|change| change.effect == Duration::MAX);
        let affordable = self.affordable_entries();
        if (changes.is_empty() && !totals_due) || (affordable < MIN_ENTRIES && !urgent) {
            return None;
        }
        changes.truncate(affordable.max(1));
        self.unspent_bytes -= (PART_OVERHEAD_BYTES + changes.len() * ENTRY_BYTES) as f64;
        let mut part = LoadDigest { endpoints: vec![], workspaces: vec![], ..digest.clone() };
        self.record_totals(&mut part, now);
        for change in changes {
            match change.entry {
                ChangedEntry::Endpoint(share) => {
                    self.record_endpoint(&share, now);
                    part.endpoints.push(share);
                }
                ChangedEntry::Workspace(share) => {
                    self.record_workspace(&share, now);
                    part.workspaces.push(share);
                }
            }
        }
        Some(part)
    }

    /// All entries as last sent, for a peer with a new link.
    pub fn full_digest(&self, digest: &LoadDigest) -> LoadDigest {
        LoadDigest {
            endpoints: self.endpoints.values().map(|sent| sent.share.clone()).collect(),
            workspaces: self.workspaces.values().map(|sent| sent.share.clone()).collect(),
            ..digest.clone()
        }
    }

    /// Records the totals as sent. Unchanged suspicions are removed from the part: receivers keep
    /// them, and up to 64 of them would be larger than the load itself.
    fn record_totals(&mut self, part: &mut LoadDigest, now: Time) {
        let last_sent = self.totals.as_ref().filter(|sent| {
            suspicion_keys(&sent.digest) == suspicion_keys(part)
                && now.since(sent.suspicions_at) < REFRESH_INTERVAL
        });
        let suspicions_at = last_sent.map(|sent| sent.suspicions_at);
        let digest = part.clone();
        if suspicions_at.is_some() {
            part.suspicions.clear();
        }
        let suspicions_at = suspicions_at.unwrap_or(now);
        self.totals = Some(SentTotals { digest, at: now, suspicions_at });
    }

    fn affordable_entries(&self) -> usize {
        // A negative amount of bytes becomes zero.
        ((self.unspent_bytes - PART_OVERHEAD_BYTES as f64) / ENTRY_BYTES as f64) as usize
    }

    fn refill(&mut self, now: Time) {
        let refilled = now.since(self.refilled_at).as_secs_f64() * self.bytes_per_second;
        let min_limit = (PART_OVERHEAD_BYTES + MIN_ENTRIES * ENTRY_BYTES) as f64;
        let limit = (self.bytes_per_second * MAX_UNSPENT_SECONDS).max(min_limit);
        self.unspent_bytes = (self.unspent_bytes + refilled).min(limit);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn changes(&self, digest: &LoadDigest, now: Time) -> Vec<Change> {
        let listed_endpoints: IndexMap<&EndpointId, ()> =
            digest.endpoints.iter().map(|share| (&share.endpoint, ())).collect();
        let listed_workspaces: IndexMap<&Workspace, ()> =
            digest.workspaces.iter().map(|share| (&share.workspace, ())).collect();
        let removed_endpoints = self
            .endpoints
            .values()
            .filter(|sent| !listed_endpoints.contains_key(&sent.share.endpoint));
        let removed_workspaces = self
            .workspaces
            .values()
            .filter(|sent| !listed_workspaces.contains_key(&sent.share.workspace));
        let endpoints = digest
            .endpoints
            .iter()
            .cloned()
            .chain(removed_endpoints.map(|sent| idle_endpoint(&sent.share)));
        let workspaces = digest
            .workspaces
            .iter()
            .cloned()
            .chain(removed_workspaces.map(|sent| idle_workspace(&sent.share)));
        let endpoints = endpoints.filter_map(|share| self.endpoint_change(share, now));
        let workspaces = workspaces.filter_map(|share| self.workspace_change(share, now));
        endpoints.chain(workspaces).collect()
    }

    fn endpoint_change(&self, share: EndpointShare, now: Time) -> Option<Change> {
        let sent = self.endpoints.get(&share.endpoint);
        let effect = match sent {
            Some(sent) if sent.share == share => return None,
            Some(sent) => endpoint_effect(&sent.share, &share),
            None => endpoint_effect(&idle_endpoint(&share), &share),
        };
        let needs_refresh = sent.is_some_and(|sent| now.since(sent.at) >= REFRESH_INTERVAL);
        let is_overstated =
            sent.is_some_and(|sent| sent.share.waiting_prefill > share.waiting_prefill);
        let entry = ChangedEntry::Endpoint(share);
        (needs_refresh || effect >= MIN_EFFECT).then_some(Change { effect, is_overstated, entry })
    }

    fn workspace_change(&self, share: WorkspaceShare, now: Time) -> Option<Change> {
        let sent = self.workspaces.get(&share.workspace);
        let effect = match sent {
            Some(sent) if sent.share == share => return None,
            Some(sent) => workspace_effect(&sent.share, &share),
            None => workspace_effect(&idle_workspace(&share), &share),
        };
        let needs_refresh = sent.is_some_and(|sent| now.since(sent.at) >= REFRESH_INTERVAL);
        let is_overstated = sent.is_some_and(|sent| sent.share.waiting > share.waiting);
        let entry = ChangedEntry::Workspace(share);
        (needs_refresh || effect >= MIN_EFFECT).then_some(Change { effect, is_overstated, entry })
    }

    /// Idle entries aren't kept, so that former endpoints and workspaces take no memory.
    fn record_endpoint(&mut self, share: &EndpointShare, now: Time) {
        if *share == idle_endpoint(share) {
            self.endpoints.swap_remove(&share.endpoint);
        } else {
            let sent = SentEntry { share: share.clone(), at: now };
            self.endpoints.insert(share.endpoint.clone(), sent);
        }
    }

    fn record_workspace(&mut self, share: &WorkspaceShare, now: Time) {
        if *share == idle_workspace(share) {
            self.workspaces.swap_remove(&share.workspace);
        } else {
            let sent = SentEntry { share: share.clone(), at: now };
            self.workspaces.insert(share.workspace.clone(), sent);
        }
    }
}

impl SentTotals {
    /// Whether the totals have to be sent: the last ones are old, or a peer would choose
    /// differently with this digest (which prompts wait for several engines, how much waits in a
    /// band, what is suspected and where suspects run). Where suspects run is repeated, since
    /// receivers drop it after [`PEER_SUSPECT_TTL`].
    fn is_due(&self, digest: &LoadDigest, now: Time) -> bool {
        let reserved_parts = |digest: &LoadDigest| -> Vec<_> {
            digest.pending_reservations.iter().map(|pending| pending.parts.clone()).collect()
        };
        let bands = self.digest.queued.iter().zip(&digest.queued);
        let queue_change = bands.map(|(old, new)| difference(*old, *new)).max().unwrap_or_default();
        let must_repeat_suspects =
            !digest.suspect_endpoints.is_empty() && now.since(self.at) >= PEER_SUSPECT_TTL / 3;
        must_repeat_suspects
            || now.since(self.at) >= CONFIRM_INTERVAL
            || self.digest.long_prompts_starved != digest.long_prompts_starved
            || self.digest.suspect_endpoints != digest.suspect_endpoints
            || suspicion_keys(&self.digest) != suspicion_keys(digest)
            || reserved_parts(&self.digest) != reserved_parts(digest)
            || DEFAULT_PREFILL_RATE.duration_for(queue_change) >= MIN_EFFECT
    }
}

/// The suspicions of a digest, without their ages.
fn suspicion_keys(digest: &LoadDigest) -> Vec<SuspicionKey> {
    let entries = digest.suspicions.iter();
    entries
        .map(|entry| {
            let status = std::mem::discriminant(&entry.status);
            SuspicionKey(entry.fingerprint, entry.deaths.len(), status)
        })
        .collect()
}

#[derive(PartialEq)]
struct SuspicionKey(Fingerprint, usize, Discriminant<EntryStatus>);

struct Change {
    effect: Duration,
    /// Peers overestimate the queue.
    is_overstated: bool,
    entry: ChangedEntry,
}

impl Change {
    /// Entries with higher urgency are sent first.
    fn urgency(&self) -> Duration {
        match self.is_overstated {
            true => self.effect.saturating_mul(OVERSTATED_FACTOR),
            false => self.effect,
        }
    }
}

enum ChangedEntry {
    Endpoint(EndpointShare),
    Workspace(WorkspaceShare),
}

/// The change of a peer's predicted wait. An ejection or a new incarnation is always urgent, since
/// it changes the choice regardless of load.
fn endpoint_effect(sent: &EndpointShare, share: &EndpointShare) -> Duration {
    if sent.incarnation != share.incarnation || sent.ejected != share.ejected {
        return Duration::MAX;
    }
    let rate = if share.prefill_rate.0 > 0.0 { share.prefill_rate } else { DEFAULT_PREFILL_RATE };
    let queue = rate.duration_for(difference(sent.waiting_prefill, share.waiting_prefill));
    let memory = rate.duration_for(difference(sent.held, share.held));
    let progress =
        rate.duration_for(difference(sent.prefilled, share.prefilled)) / PROGRESS_DIVISOR;
    queue.max(memory).max(progress.min(MAX_PROGRESS_EFFECT))
}

fn workspace_effect(sent: &WorkspaceShare, share: &WorkspaceShare) -> Duration {
    let served = Tokens((sent.served.0 - share.served.0).abs() as u64);
    DEFAULT_PREFILL_RATE.duration_for(difference(sent.waiting, share.waiting).max(served))
}

fn difference(left: Tokens, right: Tokens) -> Tokens {
    Tokens(left.0.abs_diff(right.0))
}

fn idle_endpoint(share: &EndpointShare) -> EndpointShare {
    EndpointShare {
        waiting_prefill: Tokens::ZERO,
        waiting_bands: Default::default(),
        running: 0,
        held: Tokens::ZERO,
        prefill_rate: TokenRate(0.0),
        ejected: false,
        ..share.clone()
    }
}

fn idle_workspace(share: &WorkspaceShare) -> WorkspaceShare {
    WorkspaceShare { waiting: Tokens::ZERO, served: TokenRate(0.0), ..share.clone() }
}

/// Reassembles another instance's digest from its parts.
#[derive(Debug, Default)]
pub struct DigestReceiver {
    digest: Option<LoadDigest>,
}

impl DigestReceiver {
    /// Creates a receiver without a digest.
    pub fn new() -> DigestReceiver {
        DigestReceiver::default()
    }

    /// Merges a part and returns the updated digest; none if the part is older than the current
    /// state.
    pub fn merge(&mut self, part: LoadDigest) -> Option<&LoadDigest> {
        let Some(digest) = &mut self.digest else {
            return Some(self.digest.insert(part));
        };
        let (current, received) =
            ((digest.incarnation, digest.sequence), (part.incarnation, part.sequence));
        if received <= current {
            return None;
        }
        if part.incarnation > digest.incarnation {
            return Some(self.digest.insert(part));
        }
        // The ages of suspicions are relative to when they were sent, so older ones must not be
        // imported again.
        let suspicions = part.suspicions.clone();
        merge_parts(digest, part);
        digest.suspicions = suspicions;
        digest.endpoints.retain(|share| *share != idle_endpoint(share));
        digest.workspaces.retain(|share| *share != idle_workspace(share));
        self.digest.as_ref()
    }
}

/// Merges a newer part into an older one of the same incarnation.
pub fn merge_parts(older: &mut LoadDigest, newer: LoadDigest) {
    let endpoints = std::mem::take(&mut older.endpoints).into_iter().chain(newer.endpoints);
    let workspaces = std::mem::take(&mut older.workspaces).into_iter().chain(newer.workspaces);
    let by_endpoint: IndexMap<EndpointId, EndpointShare> =
        endpoints.map(|share| (share.endpoint.clone(), share)).collect();
    let by_workspace: IndexMap<Workspace, WorkspaceShare> =
        workspaces.map(|share| (share.workspace.clone(), share)).collect();
    let suspicions = match newer.suspicions.is_empty() {
        true => std::mem::take(&mut older.suspicions),
        false => newer.suspicions,
    };
    *older = LoadDigest {
        suspicions,
        endpoints: by_endpoint.into_values().collect(),
        workspaces: by_workspace.into_values().collect(),
        ..newer
    };
}
