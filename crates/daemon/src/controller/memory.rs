//! Keeps an engine from leaking memory: releases what this instance no longer needs until the
//! engine confirms it, and renews what it needs.
//!
//! What this instance has abandoned is released by the ids that it remembers, so a listing that
//! can't be read doesn't delay it. The listing finds the rest: what earlier incarnations of this
//! instance and dead instances have left.
//!
//! The fault that this guards against: a release is lost, or an instance dies with open streams
//! over a link whose failure the engine doesn't notice. The engine then lists the memory for good
//! under an owner that doesn't need it. Comparing the listing with what is needed, instead of
//! trusting that a release arrived, covers both cases.

use std::{
    sync::{Arc, Weak},
    time::{Duration, Instant},
};

use futures_lite::FutureExt;
use policy::membership::owners::OwnerStatus;
use protocols::engine::{
    Engine, EngineError, listing,
    wire::{Held, HeldPage, Owner},
};
use smol::Timer;

use crate::{endpoint::Endpoint, shared::Shared};

/// Time between sweeps when nothing was abandoned. A third of [`RESERVATION_LEASE`], so that two
/// renewals may fail before a reservation expires.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// How long the engine keeps a stream without a connection, or a reservation without renewal. Long
/// enough for an instance whose machine paused it for some seconds.
pub const RESERVATION_LEASE: Duration = Duration::from_secs(15);

/// Time between sweeps while the engine still lists what was released.
const MIN_SWEEP_INTERVAL: Duration = Duration::from_millis(200);

/// Consecutive sweeps at the shorter interval, before the regular interval applies again.
const MAX_QUICK_SWEEPS: u32 = 20;

/// Ids in one call. The engine's answer may name them all, and links can cut off long answers.
const MAX_IDS_PER_CALL: usize = 16;

/// Sweeps until the endpoint or the instance is dropped.
pub(super) async fn run(shared: Weak<Shared>, endpoint: Weak<Endpoint>) {
    let mut quick_sweeps_left = 0;
    loop {
        let Some(known) = endpoint.upgrade() else { return };
        let delay = if quick_sweeps_left > 0 { Duration::ZERO } else { SWEEP_INTERVAL };
        let delay = async {
            Timer::after(delay).await;
            false
        };
        let woken = async {
            known.wait_for_abandoned().await;
            true
        };
        let was_woken = woken.or(delay).await;
        let Some(shared) = shared.upgrade() else { return };
        let remaining = sweep(&shared, &known).await;
        quick_sweeps_left = match remaining {
            Ok(0) => 0,
            _ if was_woken => MAX_QUICK_SWEEPS,
            _ => u32::saturating_sub(quick_sweeps_left, 1),
        };
        drop((shared, known));
        // Bounds how often the engine is asked for its listing, even if many callers hang up at
        // once.
        Timer::after(MIN_SWEEP_INTERVAL).await;
    }
}

/// Releases unneeded memory, and returns how many ids the engine may still hold.
async fn sweep(shared: &Shared, endpoint: &Arc<Endpoint>) -> Result<usize, EngineError> {
    let released = release_abandoned(endpoint).await;
    renew(shared, endpoint).await;
    let queried_at = Instant::now();
    let page = match listing::held(&endpoint.engine()).await {
        Ok(page) => page,
        Err(e) => {
            let unwanted = endpoint.holdings().abandoned().len();
            log::warn!(endpoint = endpoint.config.id.as_str(), error:% = e, unwanted; "memory_not_listed");
            return released.and(Err(e));
        }
    };
    endpoint.holdings().record_listing(&page, queried_at);
    let unwanted_ids = find_unwanted(shared, endpoint, &page);
    release(endpoint, &unwanted_ids, "listing").await?;
    released.map(|()| unwanted_ids.len())
}

/// Releases what this instance has abandoned, by the ids that it remembers.
async fn release_abandoned(endpoint: &Endpoint) -> Result<(), EngineError> {
    endpoint.holdings().expire(Instant::now());
    let ids = endpoint.holdings().abandoned();
    release(endpoint, &ids, "id").await
}

/// Releases `ids`. After an answer that was cut off they are released one at a time, because the
/// answer may name all ids of a call.
async fn release(endpoint: &Endpoint, ids: &[String], by: &str) -> Result<(), EngineError> {
    let engine = endpoint.engine();
    let mut rest = ids;
    let mut max_ids = MAX_IDS_PER_CALL;
    while !rest.is_empty() {
        let (some, others) = rest.split_at(max_ids.min(rest.len()));
        match engine.release(some).await {
            Ok(()) => {}
            Err(EngineError::Broken) if max_ids > 1 => {
                max_ids = 1;
                continue;
            }
            Err(e) => {
                log::warn!(endpoint = endpoint.config.id.as_str(), error:% = e, by, unwanted = rest.len(); "memory_not_released");
                return Err(e);
            }
        }
        endpoint.holdings().record_release(some);
        rest = others;
    }
    if !ids.is_empty() {
        log::info!(endpoint = endpoint.config.id.as_str(), count = ids.len(), by; "memory_released");
    }
    Ok(())
}

async fn renew(shared: &Shared, endpoint: &Endpoint) {
    let ids = endpoint.holdings().ids_to_renew();
    let lease_ms = RESERVATION_LEASE.as_millis() as u64;
    for some in ids.chunks(MAX_IDS_PER_CALL) {
        // The next sweep renews again.
        if let Err(e) = endpoint.engine().renew(&shared.owner, some, lease_ms).await {
            log::info!(endpoint = endpoint.config.id.as_str(), error:% = e, count = some.len(); "memory_not_renewed");
        }
    }
}

/// Finds the ids that the engine lists and that no instance needs.
fn find_unwanted(shared: &Shared, endpoint: &Endpoint, page: &HeldPage) -> Vec<String> {
    let owner = &shared.owner;
    let is_responsible = super::is_responsible_for(shared, endpoint.config.id.as_str());
    // This incarnation records what it needs before sending the request, so nothing that is about
    // to be needed can look abandoned.
    let unwanted = |held: &&Held| match held.owner == *owner {
        true => !endpoint.holdings().is_wanted(&held.id),
        false => {
            is_earlier_incarnation(owner, &held.owner)
                || is_responsible && has_dead_owner(shared, &held.owner)
        }
    };
    page.held.iter().filter(unwanted).map(|held| held.id.clone()).collect()
}

/// Whether an earlier incarnation of this instance holds it. Two incarnations never overlap, so the
/// earlier one has ended.
fn is_earlier_incarnation(owner: &Owner, holder: &Owner) -> bool {
    holder.instance == owner.instance && holder.incarnation < owner.incarnation
}

/// Whether the holder is proved dead, see [`policy::membership::owners`].
fn has_dead_owner(shared: &Shared, holder: &Owner) -> bool {
    let Some(mesh) = shared.mesh() else { return false };
    mesh.owner_status(&holder.instance, holder.incarnation) == OwnerStatus::Dead
}
