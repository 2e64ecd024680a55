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
const MAX_NAMES: usize = 8_192;

/// Number of a name that got none.
const SPELLED: u32 = u32::MAX;

/// A name on the wire, spelled out where it is mentioned first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct Name<T> {
    number: u32,
    spelled: Option<T>,
}

/// One life of an endpoint; what most entries are about.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct EndpointLife {
    endpoint: EndpointId,
    incarnation: Incarnation,
}

/// [`LoadDigest`] without what both ends know.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct CompactLoad {
    deployment: Name<Deployment>,
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
    life: Name<EndpointLife>,
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
    workspace: Name<Workspace>,
    waiting: Tokens,
    served: f32,
}

/// The sending end's names.
#[derive(Debug, Default)]
pub(super) struct Spoken {
    deployments: IndexSet<Deployment>,
    lives: IndexSet<EndpointLife>,
    workspaces: IndexSet<Workspace>,
}

impl Spoken {
    pub(super) fn compact(&mut self, deployment: Deployment, part: LoadDigest) -> CompactLoad {
        let shares = part.endpoints.into_iter();
        let workspaces = part.workspaces.into_iter();
        CompactLoad {
            deployment: name(&mut self.deployments, deployment),
            sequence: part.sequence,
            endpoints: shares.map(|share| compact_share(&mut self.lives, share)).collect(),
            workspaces: workspaces
                .map(|share| CompactWorkspace {
                    workspace: name(&mut self.workspaces, share.workspace),
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

fn compact_share(lives: &mut IndexSet<EndpointLife>, share: EndpointShare) -> CompactShare {
    let life = EndpointLife { endpoint: share.endpoint, incarnation: share.incarnation };
    CompactShare {
        life: name(lives, life),
        waiting_prefill: share.waiting_prefill,
        waiting_bands: share.waiting_bands,
        running: share.running,
        held: share.held,
        prefill_rate: share.prefill_rate.0 as f32,
        ejected: share.ejected,
        prefilled: share.prefilled,
    }
}

fn name<T: Clone + Eq + Hash>(names: &mut IndexSet<T>, value: T) -> Name<T> {
    if let Some(number) = names.get_index_of(&value).and_then(|index| u32::try_from(index).ok()) {
        return Name { number, spelled: None };
    }
    if names.len() >= MAX_NAMES {
        return Name { number: SPELLED, spelled: Some(value) };
    }
    let (index, _) = names.insert_full(value.clone());
    Name { number: u32::try_from(index).unwrap_or(SPELLED), spelled: Some(value) }
}

/// The receiving end's names.
#[derive(Debug, Default)]
pub(super) struct Heard {
    deployments: Vec<Deployment>,
    lives: Vec<EndpointLife>,
    workspaces: Vec<Workspace>,
}

/// A part of a peer's load in one deployment.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct PartOfLoad {
    pub(super) deployment: Deployment,
    pub(super) part: LoadDigest,
}

impl Heard {
    /// Puts back what the sender, whose `hello` opened the link, left out.
    ///
    /// # Errors
    ///
    /// [`PacketError::Malformed`] where a number has no name, or a name the wrong number.
    pub(super) fn expand(
        &mut self,
        hello: &Hello,
        load: CompactLoad,
    ) -> Result<PartOfLoad, PacketError> {
        let deployment = resolve(&mut self.deployments, load.deployment)?;
        let shares = load.endpoints.into_iter();
        let endpoints = shares.map(|share| expand_share(&mut self.lives, share));
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
        Ok(PartOfLoad { deployment, part })
    }
}

fn expand_share(
    lives: &mut Vec<EndpointLife>,
    share: CompactShare,
) -> Result<EndpointShare, PacketError> {
    let EndpointLife { endpoint, incarnation } = resolve(lives, share.life)?;
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

fn resolve<T: Clone>(names: &mut Vec<T>, name: Name<T>) -> Result<T, PacketError> {
    let number = name.number as usize;
    match name.spelled {
        None => names.get(number).cloned().ok_or(PacketError::Malformed),
        Some(value) if name.number == SPELLED => Ok(value),
        Some(value) if number == names.len() && number < MAX_NAMES => {
            names.push(value.clone());
            Ok(value)
        }
        Some(_) => Err(PacketError::Malformed),
    }
}
