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
pub const SMALLEST: Duration = Duration::from_millis(10);

/// An entry that was told and has changed since, however little, is told again after this long.
pub const REFRESH: Duration = Duration::from_secs(10);

/// Where nothing changes, an empty part is told after this long: it confirms that the view still
/// holds, without which receivers would have to drop the load of a quiet instance as outdated.
pub const CONFIRM: Duration = Duration::from_secs(2);

/// What an entry is taken to need on the wire. Numbers take 3 bytes up to 65,535 and 5 above, so it
/// is 27 bytes for a short queue and 33 for a long one; the long ones are told most.
pub const ENTRY_BYTES: usize = 32;

/// What a part needs besides its entries, with the frame that carries it.
pub const PART_BYTES: usize = 48;

/// Entries that have to be affordable before a part is told, unless one can't wait: with a small
/// budget, parts of a single entry would spend two thirds of it on themselves.
const MIN_ENTRIES: usize = 4;

/// Prefill speed assumed where none was learned, to weigh tokens against time.
const UNKNOWN_RATE: TokenRate = TokenRate(10_000.0);

/// Work done weighs this much less than work that waits. Peers learn an engine's speed from it over
/// 5 s, so what may stay untold, 40 ms of work of each of three peers, errs by 2.4%.
const PROGRESS_WEIGHS: u32 = 4;

/// Work done never weighs more than this, however long it stays untold: with a small budget it
/// would outgrow the queues in the end and take their place.
const PROGRESS_MOST: Duration = Duration::from_millis(20);

/// A queue that peers take to be longer than it is weighs so many times its effect: the error lasts
/// until it is told, while a queue that they know nothing of drains by itself.
const OVERSTATED_WEIGHS: u32 = 8;

/// Budget that may be saved up over a quiet time, so that a burst is told at once.
const SAVED_SECONDS: f64 = 2.0;

/// Chooses what to tell. One for each deployment, for all peers alike.
#[derive(Debug)]
pub struct DigestSender {
    bytes_per_second: f64,
    saved: f64,
    last: Time,
    endpoints: IndexMap<EndpointId, Told<EndpointShare>>,
    workspaces: IndexMap<Workspace, Told<WorkspaceShare>>,
    totals: Option<Totals>,
}

/// What was last told besides the entries.
#[derive(Debug)]
struct Totals {
    digest: LoadDigest,
    at: Time,
    suspicions_at: Time,
}

#[derive(Debug)]
struct Told<T> {
    share: T,
    at: Time,
}

impl DigestSender {
    /// Tells at most so many bytes a second, averaged over some seconds.
    pub fn new(bytes_per_second: u32, now: Time) -> DigestSender {
        let bytes_per_second = f64::from(bytes_per_second);
        DigestSender {
            bytes_per_second,
            saved: bytes_per_second * SAVED_SECONDS,
            last: now,
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
    pub fn part(&mut self, digest: &LoadDigest, now: Time) -> Option<LoadDigest> {
        self.save_up(now);
        let mut changes = self.changes(digest, now);
        changes.sort_by_key(|change| std::cmp::Reverse(change.urgency()));
        let news = self.totals.as_ref().is_none_or(|told| told.differ(digest, now));
        let urgent = changes.first().is_some_and(|change| change.effect == Duration::MAX);
        let affordable = self.affordable_entries();
        if (changes.is_empty() && !news) || (affordable < MIN_ENTRIES && !urgent) {
            return None;
        }
        changes.truncate(affordable.max(1));
        self.saved -= (PART_BYTES + changes.len() * ENTRY_BYTES) as f64;
        let mut part = LoadDigest { endpoints: vec![], workspaces: vec![], ..digest.clone() };
        self.tell_totals(&mut part, now);
        for change in changes {
            match change.entry {
                Entry::Endpoint(share) => {
                    self.told_endpoint(&share, now);
                    part.endpoints.push(share);
                }
                Entry::Workspace(share) => {
                    self.told_workspace(&share, now);
                    part.workspaces.push(share);
                }
            }
        }
        Some(part)
    }

    /// All that was told, for a peer whose link is new.
    pub fn whole(&self, digest: &LoadDigest) -> LoadDigest {
        LoadDigest {
            endpoints: self.endpoints.values().map(|told| told.share.clone()).collect(),
            workspaces: self.workspaces.values().map(|told| told.share.clone()).collect(),
            ..digest.clone()
        }
    }

    /// Takes note of the part's totals. Suspicions are left out of it while they are unchanged:
    /// their receivers keep them, and up to 64 of them would outweigh the load itself.
    fn tell_totals(&mut self, part: &mut LoadDigest, now: Time) {
        let known = self.totals.as_ref().filter(|told| {
            suspected(&told.digest) == suspected(part) && now.since(told.suspicions_at) < REFRESH
        });
        let suspicions_at = known.map(|told| told.suspicions_at);
        let digest = part.clone();
        if suspicions_at.is_some() {
            part.suspicions.clear();
        }
        let suspicions_at = suspicions_at.unwrap_or(now);
        self.totals = Some(Totals { digest, at: now, suspicions_at });
    }

    fn affordable_entries(&self) -> usize {
        // A negative share of bytes becomes zero.
        ((self.saved - PART_BYTES as f64) / ENTRY_BYTES as f64) as usize
    }

    fn save_up(&mut self, now: Time) {
        let earned = now.since(self.last).as_secs_f64() * self.bytes_per_second;
        let least = (PART_BYTES + MIN_ENTRIES * ENTRY_BYTES) as f64;
        let most = (self.bytes_per_second * SAVED_SECONDS).max(least);
        self.saved = (self.saved + earned).min(most);
        self.last = self.last.max(now);
    }

    fn changes(&self, digest: &LoadDigest, now: Time) -> Vec<Change> {
        let listed: IndexMap<&EndpointId, ()> =
            digest.endpoints.iter().map(|share| (&share.endpoint, ())).collect();
        let hungry: IndexMap<&Workspace, ()> =
            digest.workspaces.iter().map(|share| (&share.workspace, ())).collect();
        let gone =
            self.endpoints.values().filter(|told| !listed.contains_key(&told.share.endpoint));
        let sated =
            self.workspaces.values().filter(|told| !hungry.contains_key(&told.share.workspace));
        let endpoints = digest.endpoints.iter().cloned().chain(gone.map(|told| idle(&told.share)));
        let workspaces =
            digest.workspaces.iter().cloned().chain(sated.map(|told| fed(&told.share)));
        let endpoints = endpoints.filter_map(|share| self.endpoint_change(share, now));
        let workspaces = workspaces.filter_map(|share| self.workspace_change(share, now));
        endpoints.chain(workspaces).collect()
    }

    fn endpoint_change(&self, share: EndpointShare, now: Time) -> Option<Change> {
        let told = self.endpoints.get(&share.endpoint);
        let effect = match told {
            Some(told) if told.share == share => return None,
            Some(told) => endpoint_effect(&told.share, &share),
            None => endpoint_effect(&idle(&share), &share),
        };
        let stale = told.is_some_and(|told| now.since(told.at) >= REFRESH);
        let is_overstated =
            told.is_some_and(|told| told.share.waiting_prefill > share.waiting_prefill);
        let entry = Entry::Endpoint(share);
        (stale || effect >= SMALLEST).then_some(Change { effect, is_overstated, entry })
    }

    fn workspace_change(&self, share: WorkspaceShare, now: Time) -> Option<Change> {
        let told = self.workspaces.get(&share.workspace);
        let effect = match told {
            Some(told) if told.share == share => return None,
            Some(told) => workspace_effect(&told.share, &share),
            None => workspace_effect(&fed(&share), &share),
        };
        let stale = told.is_some_and(|told| now.since(told.at) >= REFRESH);
        let is_overstated = told.is_some_and(|told| told.share.waiting > share.waiting);
        let entry = Entry::Workspace(share);
        (stale || effect >= SMALLEST).then_some(Change { effect, is_overstated, entry })
    }

    /// What is idle isn't remembered, so that endpoints and workspaces of the past take no room.
    fn told_endpoint(&mut self, share: &EndpointShare, now: Time) {
        if *share == idle(share) {
            self.endpoints.swap_remove(&share.endpoint);
        } else {
            let told = Told { share: share.clone(), at: now };
            self.endpoints.insert(share.endpoint.clone(), told);
        }
    }

    fn told_workspace(&mut self, share: &WorkspaceShare, now: Time) {
        if *share == fed(share) {
            self.workspaces.swap_remove(&share.workspace);
        } else {
            let told = Told { share: share.clone(), at: now };
            self.workspaces.insert(share.workspace.clone(), told);
        }
    }
}

impl Totals {
    /// Whether the totals have to be told: what is known is old, or a peer's choice would be
    /// another with what stands in the digest: which prompts wait for several
    /// engines, how much waits in a band, what is suspected and where suspects run. The last is
    /// repeated while it lasts, since receivers forget it soon.
    fn differ(&self, digest: &LoadDigest, now: Time) -> bool {
        let wishes = |digest: &LoadDigest| -> Vec<_> {
            digest.wishes.iter().map(|wish| wish.parts.clone()).collect()
        };
        let bands = self.digest.queued.iter().zip(&digest.queued);
        let shifted = bands.map(|(old, new)| difference(*old, *new)).max().unwrap_or_default();
        let repeat = !digest.suspects_at.is_empty() && now.since(self.at) >= PEER_SUSPECT_TTL / 3;
        repeat
            || now.since(self.at) >= CONFIRM
            || self.digest.longs_late != digest.longs_late
            || self.digest.suspects_at != digest.suspects_at
            || suspected(&self.digest) != suspected(digest)
            || wishes(&self.digest) != wishes(digest)
            || UNKNOWN_RATE.span(shifted) >= SMALLEST
    }
}

/// What a digest says of suspicions apart from their ages.
fn suspected(digest: &LoadDigest) -> Vec<Suspected> {
    let entries = digest.suspicions.iter();
    entries.map(|entry| Suspected(entry.fingerprint, entry.deaths, entry.refused_ms > 0)).collect()
}

#[derive(PartialEq)]
struct Suspected(Fingerprint, u32, bool);

struct Change {
    effect: Duration,
    /// Peers take the queue to be longer than it is.
    is_overstated: bool,
    entry: Entry,
}

impl Change {
    /// What is told first.
    fn urgency(&self) -> Duration {
        match self.is_overstated {
            true => self.effect.saturating_mul(OVERSTATED_WEIGHS),
            false => self.effect,
        }
    }
}

enum Entry {
    Endpoint(EndpointShare),
    Workspace(WorkspaceShare),
}

/// How much later a peer would see the endpoint free. An ejection or a new life is worth a
/// message at once, since it turns the choice whatever the load.
fn endpoint_effect(told: &EndpointShare, share: &EndpointShare) -> Duration {
    if told.incarnation != share.incarnation || told.ejected != share.ejected {
        return Duration::MAX;
    }
    let rate = if share.prefill_rate.0 > 0.0 { share.prefill_rate } else { UNKNOWN_RATE };
    let queue = rate.span(difference(told.waiting_prefill, share.waiting_prefill));
    let memory = rate.span(difference(told.held, share.held));
    let progress = rate.span(difference(told.prefilled, share.prefilled)) / PROGRESS_WEIGHS;
    queue.max(memory).max(progress.min(PROGRESS_MOST))
}

fn workspace_effect(told: &WorkspaceShare, share: &WorkspaceShare) -> Duration {
    let served = Tokens((told.served.0 - share.served.0).abs() as u64);
    UNKNOWN_RATE.span(difference(told.waiting, share.waiting).max(served))
}

fn difference(one: Tokens, other: Tokens) -> Tokens {
    Tokens(one.0.abs_diff(other.0))
}

fn idle(share: &EndpointShare) -> EndpointShare {
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

fn fed(share: &WorkspaceShare) -> WorkspaceShare {
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
        let (known, news) =
            ((whole.incarnation, whole.sequence), (part.incarnation, part.sequence));
        if news <= known {
            return None;
        }
        if part.incarnation > whole.incarnation {
            return Some(self.whole.insert(part));
        }
        // Suspicions state ages as of their sending, so old ones mustn't be taken in again.
        let suspicions = part.suspicions.clone();
        merge_parts(whole, part);
        whole.suspicions = suspicions;
        whole.endpoints.retain(|share| *share != idle(share));
        whole.workspaces.retain(|share| *share != fed(share));
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
