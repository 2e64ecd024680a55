//! Load as it goes over a link: each name once, then its number.
//!
//! A name of 20 characters and an incarnation are half of an entry's 58 bytes, and they hardly
//! ever change. With numbers an entry takes some 22 bytes, so that the same budget tells more than
//! twice as much. Both ends count the names in the order in which they are sent, which a stream
//! keeps; a new link begins with none.

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

/// The most names of one kind that get a number on one link: more than twice the endpoints of the
/// long-run sizes. Further ones are spelled out each time.
const MAX_INTERNED_NAMES: usize = 8_192;

/// Number of a name that got none.
const NOT_INTERNED: u32 = u32::MAX;

/// A name on the wire, spelled out where it is mentioned first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct InternedName<T> {
    number: u32,
    value: Option<T>,
}

/// One life of an endpoint; what most entries are about.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct EndpointIncarnation {
    endpoint: EndpointId,
    incarnation: Incarnation,
}

/// [`LoadDigest`] without what both ends know.
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

/// The sending end's names.
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

/// The receiving end's names.
#[derive(Debug, Default)]
pub(super) struct LoadDecoder {
    deployments: Vec<Deployment>,
    endpoints: Vec<EndpointIncarnation>,
    workspaces: Vec<Workspace>,
}

/// A part of a peer's load in one deployment.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct LoadPart {
    pub(super) deployment: Deployment,
    pub(super) part: LoadDigest,
}

impl LoadDecoder {
    /// Puts back what the sender, whose `hello` opened the link, left out.
    ///
    /// # Errors
    ///
    /// [`PacketError::Malformed`] where a number has no name, or a name the wrong number.
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
