//! Keeps an engine from losing memory: releases what this instance no longer wants, again and
//! again until the engine has confirmed that it is gone, and renews what it wants.
//!
//! What this instance let go is released by the ids that it remembers, so that a listing that
//! can't be read delays nothing. The listing finds the rest: what earlier lives of this instance
//! and instances that are gone have left.
//!
//! The failure: a release is lost on the way, or an instance dies with streams open over a link
//! that the engine doesn't see break. It shows as memory that the engine lists under an owner
//! who doesn't want it, for good. Comparing the listing with what is wanted, instead of trusting
//! that a release arrived, catches both.

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

/// Time between two sweeps when nothing was let go. A third of [`RESERVATION_LEASE`], so that two renewals
/// may fail before a reservation lapses.
const PERIOD: Duration = Duration::from_secs(5);

/// How long the engine keeps a stream without connection, or a reservation without renewal. Long
/// enough for an instance that was paused by its machine for some seconds.
pub const RESERVATION_LEASE: Duration = Duration::from_secs(15);

/// Time between two sweeps while the engine still lists what was released.
const AGAIN: Duration = Duration::from_millis(200);

/// Sweeps in a row at the shorter distance, before the engine is left to the regular ones.
const QUICK_SWEEPS: u32 = 20;

/// Ids in one call. The engine's answer may name them all, and links can break long answers.
const IDS_AT_ONCE: usize = 16;

/// Sweeps until the endpoint or the instance is gone.
pub(super) async fn run(shared: Weak<Shared>, endpoint: Weak<Endpoint>) {
    let mut quick = 0;
    loop {
        let Some(known) = endpoint.upgrade() else { return };
        let pause = if quick > 0 { Duration::ZERO } else { PERIOD };
        let pause = async {
            Timer::after(pause).await;
            false
        };
        let nudge = async {
            known.wait_for_abandoned().await;
            true
        };
        let nudged = nudge.or(pause).await;
        let Some(shared) = shared.upgrade() else { return };
        let found = sweep(&shared, &known).await;
        quick = match found {
            Ok(0) => 0,
            _ if nudged => QUICK_SWEEPS,
            _ => u32::saturating_sub(quick, 1),
        };
        drop((shared, known));
        // However many callers hang up at once, the engine is asked for its listing only so often.
        Timer::after(AGAIN).await;
    }
}

/// Releases what isn't wanted, and tells how much of it the engine hasn't shown to be gone.
async fn sweep(shared: &Shared, endpoint: &Arc<Endpoint>) -> Result<usize, EngineError> {
    let released = release_unwanted(endpoint).await;
    renew(shared, endpoint).await;
    let asked = Instant::now();
    let page = match listing::held(&endpoint.engine()).await {
        Ok(page) => page,
        Err(e) => {
            let unwanted = endpoint.holdings().abandoned().len();
            log::warn!(endpoint = endpoint.config.id.as_str(), error:% = e, unwanted; "memory_not_listed");
            return released.and(Err(e));
        }
    };
    endpoint.holdings().record_listing(&page, asked);
    let left = left_over(shared, endpoint, &page);
    release(endpoint, &left, "listing").await?;
    released.map(|()| left.len())
}

/// Releases what this instance let go, by the ids that it remembers.
async fn release_unwanted(endpoint: &Endpoint) -> Result<(), EngineError> {
    endpoint.holdings().expire(Instant::now());
    let ids = endpoint.holdings().abandoned();
    release(endpoint, &ids, "id").await
}

/// Releases `ids`. Fewer at once after an answer that broke off, because it may name them all.
async fn release(endpoint: &Endpoint, ids: &[String], by: &str) -> Result<(), EngineError> {
    let engine = endpoint.engine();
    let mut rest = ids;
    let mut most = IDS_AT_ONCE;
    while !rest.is_empty() {
        let (some, others) = rest.split_at(most.min(rest.len()));
        match engine.release(some).await {
            Ok(()) => {}
            Err(EngineError::Broken) if most > 1 => {
                most = 1;
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
    for some in ids.chunks(IDS_AT_ONCE) {
        // The next sweep renews again.
        if let Err(e) = endpoint.engine().renew(&shared.owner, some, lease_ms).await {
            log::info!(endpoint = endpoint.config.id.as_str(), error:% = e, count = some.len(); "memory_not_renewed");
        }
    }
}

/// What the engine lists and nobody wants.
fn left_over(shared: &Shared, endpoint: &Endpoint, page: &HeldPage) -> Vec<String> {
    let owner = &shared.owner;
    let foreign = super::chosen(shared, endpoint.config.id.as_str());
    // What this life wants is noted before it is sent, so that nothing which is about to be wanted
    // can look like something let go.
    let unwanted = |held: &&Held| match held.owner == *owner {
        true => !endpoint.holdings().is_wanted(&held.id),
        false => is_predecessor(owner, &held.owner) || foreign && is_gone(shared, &held.owner),
    };
    page.held.iter().filter(unwanted).map(|held| held.id.clone()).collect()
}

/// Held by an earlier life of this instance: two lives never overlap, so that one is over.
fn is_predecessor(owner: &Owner, holder: &Owner) -> bool {
    holder.instance == owner.instance && holder.incarnation < owner.incarnation
}

/// Held by an instance that is proved to be gone, see [`policy::membership::owners`].
fn is_gone(shared: &Shared, holder: &Owner) -> bool {
    let Some(mesh) = shared.mesh() else { return false };
    mesh.owner_status(&holder.instance, holder.incarnation) == OwnerStatus::Dead
}
