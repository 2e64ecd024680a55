//! Which part of its load an instance tells the others, and when.
//!
//! **Load pattern.** Each instance has work under way on up to some hundred endpoints and tells
//! all its peers twice a second.
//!
//! **Without it.** Whole digests twice a second, of an instance with 35 busy endpoints and 15
//! peers, are 57 KB a second, where 3 KB are allowed. Telling everything less often would make the
//! view so old that the instances herd.
//!
//! **Rule.** Only entries are told whose change could alter a peer's choice: their effect on the
//! predicted wait, in seconds, since they were last told. The greatest effects go first, those
//! of queues that have become shorter before others, as many as the byte budget allows; the others
//! keep and grow. Entries whose change stays below [`SMALLEST`] are told again once they are [`REFRESH`] old. A new link begins with the whole, and
//! at least an empty part goes out each [`CONFIRM`]. The idea to stay silent where the other side's
//! choice can't change is taken from the paper named in `docs/decisions/pubsub-paper.md`.
//!
//! **Grounds.** A budget that can't follow every queue goes to those that were told: one that is told
//! once and not again looks full for seconds, which is worse than silence. [`SMALLEST`] is what
//! placement can't tell apart; `docs/decisions/membership.md` has the bytes measured with and without.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    EndpointId, Fingerprint, LoadDigest, Time, TokenRate, Tokens, Workspace,
    quarantine::PEER_SUSPECT_TTL,
    report::{EndpointShare, WorkspaceShare},
};

/// Changes of the predicted wait below this aren't worth a message by themselves.
pub const MIN_EFFECT: Duration = Duration::from_millis(10);

/// An entry that was told and has changed since, however little, is told again after this long.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// Where nothing changes, an empty part is told after this long: it confirms that the view still
/// holds, without which receivers would have to drop the load of a quiet instance as outdated.
pub const CONFIRM_INTERVAL: Duration = Duration::from_secs(2);

/// What an entry is taken to need on the wire. Numbers take 3 bytes up to 65,535 and 5 above, so it
/// is 27 bytes for a short queue and 33 for a long one; the long ones are told most.
pub const ENTRY_BYTES: usize = 32;

/// What a part needs besides its entries, with the frame that carries it.
pub const PART_OVERHEAD_BYTES: usize = 48;

/// Entries that have to be affordable before a part is told, unless one can't wait: with a small
/// budget, parts of a single entry would spend two thirds of it on themselves.
const MIN_ENTRIES: usize = 4;

/// Prefill speed assumed where none was learned, to weigh tokens against time.
const DEFAULT_PREFILL_RATE: TokenRate = TokenRate(10_000.0);

/// Work done weighs this much less than work that waits. Peers learn an engine's speed from it over
/// 5 s, so what may stay untold, 40 ms of work of each of three peers, errs by 2.4%.
const PROGRESS_DIVISOR: u32 = 4;

/// Work done never weighs more than this, however long it stays untold: with a small budget it
/// would outgrow the queues in the end and take their place.
const MAX_PROGRESS_EFFECT: Duration = Duration::from_millis(20);

/// A queue that peers take to be longer than it is weighs so many times its effect: the error lasts
/// until it is told, while a queue that they know nothing of drains by itself.
const OVERSTATED_FACTOR: u32 = 8;

/// Budget that may be saved up over a quiet time, so that a burst is told at once.
const MAX_UNSPENT_SECONDS: f64 = 2.0;

/// Chooses what to tell. One for each deployment, for all peers alike.
#[derive(Debug)]
pub struct DigestSender {
    bytes_per_second: f64,
    unspent_bytes: f64,
    refilled_at: Time,
    endpoints: IndexMap<EndpointId, SentEntry<EndpointShare>>,
    workspaces: IndexMap<Workspace, SentEntry<WorkspaceShare>>,
    totals: Option<SentTotals>,
}

/// What was last told besides the entries.
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
    /// Tells at most so many bytes a second, averaged over some seconds.
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

    /// Takes over another budget, as links come and go.
    pub fn set_budget(&mut self, bytes_per_second: u32) {
        self.bytes_per_second = f64::from(bytes_per_second);
    }

    /// The part of `digest` to tell now; it holds the entries that have changed. An endpoint or a
    /// workspace that the digest no longer has is told once, as idle. None where nothing is worth
    /// telling.
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

    /// All that was told, for a peer whose link is new.
    pub fn full_digest(&self, digest: &LoadDigest) -> LoadDigest {
        LoadDigest {
            endpoints: self.endpoints.values().map(|sent| sent.share.clone()).collect(),
            workspaces: self.workspaces.values().map(|sent| sent.share.clone()).collect(),
            ..digest.clone()
        }
    }

    /// Takes note of the part's totals. Suspicions are left out of it while they are unchanged:
    /// their receivers keep them, and up to 64 of them would outweigh the load itself.
    fn record_totals(&mut self, part: &mut LoadDigest, now: Time) {
        let known = self.totals.as_ref().filter(|sent| {
            suspicion_keys(&sent.digest) == suspicion_keys(part)
                && now.since(sent.suspicions_at) < REFRESH_INTERVAL
        });
        let suspicions_at = known.map(|sent| sent.suspicions_at);
        let digest = part.clone();
        if suspicions_at.is_some() {
            part.suspicions.clear();
        }
        let suspicions_at = suspicions_at.unwrap_or(now);
        self.totals = Some(SentTotals { digest, at: now, suspicions_at });
    }

    fn affordable_entries(&self) -> usize {
        // A negative share of bytes becomes zero.
        ((self.unspent_bytes - PART_OVERHEAD_BYTES as f64) / ENTRY_BYTES as f64) as usize
    }

    fn refill(&mut self, now: Time) {
        let earned = now.since(self.refilled_at).as_secs_f64() * self.bytes_per_second;
        let least = (PART_OVERHEAD_BYTES + MIN_ENTRIES * ENTRY_BYTES) as f64;
        let most = (self.bytes_per_second * MAX_UNSPENT_SECONDS).max(least);
        self.unspent_bytes = (self.unspent_bytes + earned).min(most);
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
        let stale = sent.is_some_and(|sent| now.since(sent.at) >= REFRESH_INTERVAL);
        let is_overstated =
            sent.is_some_and(|sent| sent.share.waiting_prefill > share.waiting_prefill);
        let entry = ChangedEntry::Endpoint(share);
        (stale || effect >= MIN_EFFECT).then_some(Change { effect, is_overstated, entry })
    }

    fn workspace_change(&self, share: WorkspaceShare, now: Time) -> Option<Change> {
        let sent = self.workspaces.get(&share.workspace);
        let effect = match sent {
            Some(sent) if sent.share == share => return None,
            Some(sent) => workspace_effect(&sent.share, &share),
            None => workspace_effect(&idle_workspace(&share), &share),
        };
        let stale = sent.is_some_and(|sent| now.since(sent.at) >= REFRESH_INTERVAL);
        let is_overstated = sent.is_some_and(|sent| sent.share.waiting > share.waiting);
        let entry = ChangedEntry::Workspace(share);
        (stale || effect >= MIN_EFFECT).then_some(Change { effect, is_overstated, entry })
    }

    /// What is idle isn't remembered, so that endpoints and workspaces of the past take no room.
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
    /// Whether the totals have to be told: what is known is old, or a peer's choice would be
    /// another with what stands in the digest: which prompts wait for several
    /// engines, how much waits in a band, what is suspected and where suspects run. The last is
    /// repeated while it lasts, since receivers forget it soon.
    fn is_due(&self, digest: &LoadDigest, now: Time) -> bool {
        let reserved_parts = |digest: &LoadDigest| -> Vec<_> {
            digest.pending_reservations.iter().map(|pending| pending.parts.clone()).collect()
        };
        let bands = self.digest.queued.iter().zip(&digest.queued);
        let shifted = bands.map(|(old, new)| difference(*old, *new)).max().unwrap_or_default();
        let repeat =
            !digest.suspect_endpoints.is_empty() && now.since(self.at) >= PEER_SUSPECT_TTL / 3;
        repeat
            || now.since(self.at) >= CONFIRM_INTERVAL
            || self.digest.long_prompts_starved != digest.long_prompts_starved
            || self.digest.suspect_endpoints != digest.suspect_endpoints
            || suspicion_keys(&self.digest) != suspicion_keys(digest)
            || reserved_parts(&self.digest) != reserved_parts(digest)
            || DEFAULT_PREFILL_RATE.span(shifted) >= MIN_EFFECT
    }
}

/// What a digest says of suspicions apart from their ages.
fn suspicion_keys(digest: &LoadDigest) -> Vec<SuspicionKey> {
    let entries = digest.suspicions.iter();
    entries
        .map(|entry| SuspicionKey(entry.fingerprint, entry.deaths, entry.refused_ms > 0))
        .collect()
}

#[derive(PartialEq)]
struct SuspicionKey(Fingerprint, u32, bool);

struct Change {
    effect: Duration,
    /// Peers take the queue to be longer than it is.
    is_overstated: bool,
    entry: ChangedEntry,
}

impl Change {
    /// What is told first.
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

/// How much later a peer would see the endpoint free. An ejection or a new life is worth a
/// message at once, since it turns the choice whatever the load.
fn endpoint_effect(sent: &EndpointShare, share: &EndpointShare) -> Duration {
    if sent.incarnation != share.incarnation || sent.ejected != share.ejected {
        return Duration::MAX;
    }
    let rate = if share.prefill_rate.0 > 0.0 { share.prefill_rate } else { DEFAULT_PREFILL_RATE };
    let queue = rate.span(difference(sent.waiting_prefill, share.waiting_prefill));
    let memory = rate.span(difference(sent.held, share.held));
    let progress = rate.span(difference(sent.prefilled, share.prefilled)) / PROGRESS_DIVISOR;
    queue.max(memory).max(progress.min(MAX_PROGRESS_EFFECT))
}

fn workspace_effect(sent: &WorkspaceShare, share: &WorkspaceShare) -> Duration {
    let served = Tokens((sent.served.0 - share.served.0).abs() as u64);
    DEFAULT_PREFILL_RATE.span(difference(sent.waiting, share.waiting).max(served))
}

fn difference(one: Tokens, other: Tokens) -> Tokens {
    Tokens(one.0.abs_diff(other.0))
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

/// Puts the parts of another instance's digest together again.
#[derive(Debug, Default)]
pub struct DigestReceiver {
    whole: Option<LoadDigest>,
}

impl DigestReceiver {
    /// Nothing was heard yet.
    pub fn new() -> DigestReceiver {
        DigestReceiver::default()
    }

    /// Takes in a part and gives the whole as known now; none where the part is older than what is
    /// known.
    pub fn merge(&mut self, part: LoadDigest) -> Option<&LoadDigest> {
        let Some(whole) = &mut self.whole else {
            return Some(self.whole.insert(part));
        };
        let (current, received) =
            ((whole.incarnation, whole.sequence), (part.incarnation, part.sequence));
        if received <= current {
            return None;
        }
        if part.incarnation > whole.incarnation {
            return Some(self.whole.insert(part));
        }
        // Suspicions state ages as of their sending, so old ones mustn't be taken in again.
        let suspicions = part.suspicions.clone();
        merge_parts(whole, part);
        whole.suspicions = suspicions;
        whole.endpoints.retain(|share| *share != idle_endpoint(share));
        whole.workspaces.retain(|share| *share != idle_workspace(share));
        self.whole.as_ref()
    }
}

/// Lays a newer part over an older one of the same life.
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
