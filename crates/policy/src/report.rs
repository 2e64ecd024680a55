//! What endpoints and other instances tell about load, always late.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{EndpointId, Incarnation, InstanceId, Time, TokenRate, Tokens, Workspace, quarantine};

/// An endpoint's own report of its load. It lags: `taken` says which of our sends it can include.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Who reports.
    pub endpoint: EndpointId,
    /// The life of the endpoint that reports.
    pub incarnation: Incarnation,
    /// When the figures were taken, on the receiver's clock (receipt less the stated age).
    pub taken: Time,
    /// Memory for KV cache in all; zero for a plain service.
    pub kv_total: Tokens,
    /// Memory held by running requests, reservations, imports and exports.
    pub kv_used: Tokens,
    /// Prompt tokens accepted but not yet prefilled, from all instances.
    pub waiting_prefill: Tokens,
    /// Requests running or waiting there, from all instances.
    pub running: u32,
    /// The endpoint asks for no new work.
    pub leaving: bool,
}

/// What an engine says about prefixes in its cache since the event numbered `from`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The engine.
    pub endpoint: EndpointId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Sequence number of the first event here. A number above the one expected is a gap.
    pub from: u64,
    /// Block hashes stored (`true`) or evicted (`false`), in order.
    pub events: Vec<(u64, bool)>,
}

/// One instance's own part of the load, told to the other instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// Who tells.
    pub instance: InstanceId,
    /// The life of the instance that tells.
    pub incarnation: Incarnation,
    /// Rises with every digest of one incarnation; an older one that arrives late is ignored.
    pub sequence: u64,
    /// What this instance has under way on each endpoint.
    pub endpoints: Vec<EndpointShare>,
    /// What each workspace has waiting and what it was served here, for fair shares across
    /// instances. Only workspaces with recent traffic.
    pub workspaces: Vec<WorkspaceShare>,
    /// Prompt tokens that wait on this instance and weren't sent yet, by band of prompt length.
    pub queued: [Tokens; BANDS],
    /// Prompt tokens a second admitted here of late, by band of prompt length.
    pub demand: [TokenRate; BANDS],
    /// Prompts that wait here for the memory of several engines, longest wait first.
    pub pending_reservations: Vec<PendingReservation>,
    /// Whether a long prompt of this instance is starved by short ones.
    pub long_prompts_starved: bool,
    /// Fingerprints under suspicion of crashing endpoints, and those refused for it; at most
    /// [`LoadDigest::MAX_ENTRIES`], so that a digest stays small.
    pub suspicions: Vec<quarantine::Entry>,
    /// Where this instance runs a suspect, so that others keep theirs away.
    pub suspect_endpoints: Vec<EndpointId>,
}

impl LoadDigest {
    /// The most entries of each kind that one digest tells.
    pub const MAX_ENTRIES: usize = 64;

    /// A digest that tells of no load.
    pub fn idle(instance: InstanceId, incarnation: Incarnation, sequence: u64) -> LoadDigest {
        LoadDigest {
            instance,
            incarnation,
            sequence,
            endpoints: Vec::new(),
            workspaces: Vec::new(),
            queued: Default::default(),
            demand: Default::default(),
            pending_reservations: Vec::new(),
            long_prompts_starved: false,
            suspicions: Vec::new(),
            suspect_endpoints: Vec::new(),
        }
    }
}

/// Bands of prompt length that load is counted in, because an engine serves shorter bands first.
/// The first band holds the short prompts.
pub const BANDS: usize = 4;

/// A prompt that waits for the memory of several engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PendingReservation {
    /// How long it has waited.
    pub waited: Duration,
    /// What it needs of which engine, in the order of their ids.
    pub parts: Vec<PendingReservationPart>,
}

/// Memory wished for on one engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PendingReservationPart {
    /// The engine.
    pub endpoint: EndpointId,
    /// How much.
    pub tokens: Tokens,
}

/// One instance's part of one endpoint's load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointShare {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The life it was sent to.
    pub incarnation: Incarnation,
    /// Prompt tokens sent and, as far as is known, not yet prefilled.
    pub waiting_prefill: Tokens,
    /// The same by band of prompt length.
    pub waiting_bands: [Tokens; BANDS],
    /// Requests under way.
    pub running: u32,
    /// Estimated memory that they hold.
    pub held: Tokens,
    /// Prompt tokens that were prefilled there for this instance in the endpoint's present life,
    /// ever. Their rise over all instances gives the engine's speed while it is never idle.
    pub prefilled: Tokens,
    /// Prefill speed as learned here; zero where nothing was learned.
    pub prefill_rate: TokenRate,
    /// Whether this instance has ejected the endpoint.
    pub ejected: bool,
}

/// One workspace's traffic on one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceShare {
    /// The workspace.
    pub workspace: Workspace,
    /// Weighted tokens that wait here.
    pub waiting: Tokens,
    /// Weighted tokens a second served here of late.
    pub served: TokenRate,
}
