//! Load and cache reports from endpoints, and load digests from other instances; always delayed.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{EndpointId, Incarnation, InstanceId, Time, TokenRate, Tokens, Workspace, quarantine};

/// An endpoint's report of its load. It is delayed: `taken` determines which of this instance's
/// sends it can include.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The reporting endpoint.
    pub endpoint: EndpointId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// When the figures were taken, on the receiver's clock (time of receipt minus the stated age).
    pub taken: Time,
    /// Total KV cache memory; zero for a plain service.
    pub kv_total: Tokens,
    /// KV cache memory used by running requests, reservations, imports and exports.
    pub kv_used: Tokens,
    /// Accepted prompt tokens that aren't prefilled yet, from all instances.
    pub waiting_prefill: Tokens,
    /// Running and queued requests, from all instances.
    pub running: u32,
    /// Whether the endpoint is leaving and asks for no new requests.
    pub leaving: bool,
}

/// An engine's prefix cache events from the one numbered `from`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Id of the engine.
    pub endpoint: EndpointId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Sequence number of the first event here. A higher number than expected means a gap.
    pub from: u64,
    /// Block hashes stored (`true`) or evicted (`false`), in order.
    pub events: Vec<(u64, bool)>,
}

/// One instance's own part of the load, sent to the other instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// The sending instance.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Increases with every digest of one incarnation, so that receivers can ignore outdated ones.
    pub sequence: u64,
    /// This instance's requests in flight, by endpoint.
    pub endpoints: Vec<EndpointShare>,
    /// Waiting and recently served tokens of each workspace, for fair shares across instances. Only
    /// workspaces with recent traffic.
    pub workspaces: Vec<WorkspaceShare>,
    /// Prompt tokens queued on this instance and not yet sent to an endpoint, by prompt length
    /// band.
    pub queued: [Tokens; BANDS],
    /// Prompt tokens recently admitted here per second, by prompt length band.
    pub demand: [TokenRate; BANDS],
    /// Prompts that wait here for the memory of several engines, longest wait first.
    pub pending_reservations: Vec<PendingReservation>,
    /// Whether a long prompt of this instance is starved by short ones.
    pub long_prompts_starved: bool,
    /// Fingerprints suspected of crashing endpoints, and those refused for it; at most
    /// [`LoadDigest::MAX_ENTRIES`], so that a digest stays small.
    pub suspicions: Vec<quarantine::Entry>,
    /// Endpoints on which this instance runs a suspect, so that others don't send theirs there.
    pub suspect_endpoints: Vec<EndpointId>,
}

impl LoadDigest {
    /// Maximum number of entries of each kind in one digest.
    pub const MAX_ENTRIES: usize = 64;

    /// Creates a digest without load.
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

/// Number of prompt length bands in which load is counted, because an engine serves shorter bands
/// first. The first band holds the short prompts.
pub const BANDS: usize = 4;

/// A prompt that waits for the memory of several engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PendingReservation {
    /// How long it has waited.
    pub waited: Duration,
    /// Memory that it needs on each engine, in the order of their ids.
    pub parts: Vec<PendingReservationPart>,
}

/// Memory needed on one engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PendingReservationPart {
    /// Id of the engine.
    pub endpoint: EndpointId,
    /// KV cache memory.
    pub tokens: Tokens,
}

/// One instance's part of one endpoint's load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointShare {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Incarnation of the endpoint to which the requests were sent.
    pub incarnation: Incarnation,
    /// Prompt tokens sent and, as far as is known, not yet prefilled.
    pub waiting_prefill: Tokens,
    /// `waiting_prefill` by prompt length band.
    pub waiting_bands: [Tokens; BANDS],
    /// Requests in flight.
    pub running: u32,
    /// KV cache memory that these requests use, estimated.
    pub held: Tokens,
    /// Total prompt tokens prefilled for this instance in the endpoint's present incarnation. Its
    /// increase over all instances gives the engine's speed while it is never idle.
    pub prefilled: Tokens,
    /// Prefill speed as learned here; zero if none was learned.
    pub prefill_rate: TokenRate,
    /// Whether this instance has ejected the endpoint.
    pub ejected: bool,
}

/// One workspace's traffic on one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceShare {
    /// Id of the workspace.
    pub workspace: Workspace,
    /// Weighted tokens waiting here.
    pub waiting: Tokens,
    /// Weighted tokens recently served here per second.
    pub served: TokenRate,
}
