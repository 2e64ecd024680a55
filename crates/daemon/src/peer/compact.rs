//! Compact encoding of load digests: each name is sent once per link and referred to by an index
//! afterwards.
//!
//! A name of 20 characters and an incarnation take up half of an entry's 58 bytes and hardly ever
//! change. With indices an entry takes some 22 bytes, so the same budget carries more than twice as
//! many entries. Both ends number the names in the order in which they are sent, which a stream
//! preserves; a new link starts with no names.

use std::hash::Hash;

use indexmap::IndexSet;
use policy::{
    BANDS, Deployment, EndpointId, Incarnation, LoadDigest, PendingReservation, TokenRate, Tokens,
    Workspace,
    quarantine::Entry,
    report::{EndpointShare, WorkspaceShare},
};
use serde::{Deserialize, Serialize};

use crate::peer::message::{Hello, PacketError};

/// Names of one kind that get an index on a link: more than twice the endpoints of the long-run
/// sizes. Further names are sent in full each time.
const MAX_INTERNED_NAMES: usize = 8_192;

/// Index of a name that isn't interned, because the table is full.
const NOT_INTERNED: u32 = u32::MAX;

/// A name on the wire: its index, and the name itself where it is sent for the first time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct InternedName<T> {
    number: u32,
    value: Option<T>,
}

/// An endpoint with its incarnation; interned as one, because most entries refer to this pair.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct EndpointIncarnation {
    endpoint: EndpointId,
    incarnation: Incarnation,
}

/// [`LoadDigest`] with interned names, and without the sender's name and incarnation, which the
/// receiver knows from the link's hello.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct CompactLoad {
    deployment: InternedName<Deployment>,
    sequence: u64,
    endpoints: Vec<CompactShare>,
    workspaces: Vec<CompactWorkspace>,
    queued: [Tokens; BANDS],
    demand: [f32; BANDS],
    pending_reservations: Vec<PendingReservation>,
    suspicions: Vec<Entry>,
    suspect_endpoints: Vec<EndpointId>,
    long_prompts_starved: bool,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct CompactShare {
    endpoint: InternedName<EndpointIncarnation>,
    waiting_prefill: Tokens,
    waiting_bands: [Tokens; BANDS],
    running: u32,
    held: Tokens,
    prefill_rate: f32,
    ejected: bool,
    prefilled: Tokens,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct CompactWorkspace {
    workspace: InternedName<Workspace>,
    waiting: Tokens,
    served: f32,
}

/// Names interned so far by the sending end of a link.
#[derive(Debug, Default)]
pub(super) struct LoadEncoder {
    deployments: IndexSet<Deployment>,
    endpoints: IndexSet<EndpointIncarnation>,
    workspaces: IndexSet<Workspace>,
}

impl LoadEncoder {
    pub(super) fn compact(&mut self, deployment: Deployment, part: LoadDigest) -> CompactLoad {
        let shares = part.endpoints.into_iter();
        let workspaces = part.workspaces.into_iter();
        CompactLoad {
            deployment: intern(&mut self.deployments, deployment),
            sequence: part.sequence,
            endpoints: shares.map(|share| compact_share(&mut self.endpoints, share)).collect(),
            workspaces: workspaces
                .map(|share| CompactWorkspace {
                    workspace: intern(&mut self.workspaces, share.workspace),
                    waiting: share.waiting,
                    served: share.served.0 as f32,
                })
                .collect(),
            queued: part.queued,
            demand: part.demand.map(|rate| rate.0 as f32),
            pending_reservations: part.pending_reservations,
            suspicions: part.suspicions,
            suspect_endpoints: part.suspect_endpoints,
            long_prompts_starved: part.long_prompts_starved,
        }
    }
}

fn compact_share(
    endpoints: &mut IndexSet<EndpointIncarnation>,
    share: EndpointShare,
) -> CompactShare {
    let endpoint = EndpointIncarnation { endpoint: share.endpoint, incarnation: share.incarnation };
    CompactShare {
        endpoint: intern(endpoints, endpoint),
        waiting_prefill: share.waiting_prefill,
        waiting_bands: share.waiting_bands,
        running: share.running,
        held: share.held,
        prefill_rate: share.prefill_rate.0 as f32,
        ejected: share.ejected,
        prefilled: share.prefilled,
    }
}

fn intern<T: Clone + Eq + Hash>(names: &mut IndexSet<T>, value: T) -> InternedName<T> {
    if let Some(number) = names.get_index_of(&value).and_then(|index| u32::try_from(index).ok()) {
        return InternedName { number, value: None };
    }
    if names.len() >= MAX_INTERNED_NAMES {
        return InternedName { number: NOT_INTERNED, value: Some(value) };
    }
    let (index, _) = names.insert_full(value.clone());
    InternedName { number: u32::try_from(index).unwrap_or(NOT_INTERNED), value: Some(value) }
}

/// Names interned so far by the receiving end of a link.
#[derive(Debug, Default)]
pub(super) struct LoadDecoder {
    deployments: Vec<Deployment>,
    endpoints: Vec<EndpointIncarnation>,
    workspaces: Vec<Workspace>,
}

/// A part of an instance's load digest for one deployment.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct LoadPart {
    pub(super) deployment: Deployment,
    pub(super) part: LoadDigest,
}

impl LoadDecoder {
    /// Restores the names; `hello` opened the link and identifies the sender.
    ///
    /// # Errors
    ///
    /// [`PacketError::Malformed`] if an index has no name, or a new name an unexpected index.
    pub(super) fn expand(
        &mut self,
        hello: &Hello,
        load: CompactLoad,
    ) -> Result<LoadPart, PacketError> {
        let deployment = resolve(&mut self.deployments, load.deployment)?;
        let shares = load.endpoints.into_iter();
        let endpoints = shares.map(|share| expand_share(&mut self.endpoints, share));
        let workspaces = load.workspaces.into_iter().map(|share| {
            Ok(WorkspaceShare {
                workspace: resolve(&mut self.workspaces, share.workspace)?,
                waiting: share.waiting,
                served: TokenRate(share.served.into()),
            })
        });
        let part = LoadDigest {
            instance: hello.instance.clone(),
            incarnation: hello.incarnation,
            sequence: load.sequence,
            endpoints: endpoints.collect::<Result<_, PacketError>>()?,
            workspaces: workspaces.collect::<Result<_, PacketError>>()?,
            queued: load.queued,
            demand: load.demand.map(|rate| TokenRate(rate.into())),
            pending_reservations: load.pending_reservations,
            suspicions: load.suspicions,
            suspect_endpoints: load.suspect_endpoints,
            long_prompts_starved: load.long_prompts_starved,
        };
        Ok(LoadPart { deployment, part })
    }
}

fn expand_share(
    endpoints: &mut Vec<EndpointIncarnation>,
    share: CompactShare,
) -> Result<EndpointShare, PacketError> {
    let EndpointIncarnation { endpoint, incarnation } = resolve(endpoints, share.endpoint)?;
    Ok(EndpointShare {
        endpoint,
        incarnation,
        waiting_prefill: share.waiting_prefill,
        waiting_bands: share.waiting_bands,
        running: share.running,
        held: share.held,
        prefill_rate: TokenRate(share.prefill_rate.into()),
        ejected: share.ejected,
        prefilled: share.prefilled,
    })
}

fn resolve<T: Clone>(names: &mut Vec<T>, name: InternedName<T>) -> Result<T, PacketError> {
    let number = name.number as usize;
    match name.value {
        None => names.get(number).cloned().ok_or(PacketError::Malformed),
        Some(value) if name.number == NOT_INTERNED => Ok(value),
        Some(value) if number == names.len() && number < MAX_INTERNED_NAMES => {
            names.push(value.clone());
            Ok(value)
        }
        Some(_) => Err(PacketError::Malformed),
    }
}
