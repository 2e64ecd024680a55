//! Keeps an engine from losing memory: releases what this instance no longer wants, again and
//! again until the engine's own listing shows that it is gone, and renews what it wants.
//!
//! The failure: a release is lost on the way, or an instance dies with streams open over a link
//! that the engine doesn't see break. It shows as memory that the engine lists under an owner
//! who doesn't want it, for good. Comparing the listing with what is wanted, instead of trusting
//! that a release arrived, catches both.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use futures_lite::FutureExt;
use policy::membership::owners::OwnerLife;
use protocols::engine::{
    Engine, EngineError,
    wire::{Held, Owner},
};
use smol::Timer;

use crate::{endpoint::Endpoint, shared::Shared};

/// Time between two sweeps when nothing was let go. A third of [`LEASE`], so that two renewals
/// may fail before a reservation lapses.
const PERIOD: Duration = Duration::from_secs(5);

/// How long the engine keeps a stream without connection, or a reservation without renewal. Long
/// enough for an instance that was paused by its machine for some seconds.
pub const LEASE: Duration = Duration::from_secs(15);

/// Time between two sweeps while the engine still lists what was released.
const AGAIN: Duration = Duration::from_millis(200);

/// Sweeps in a row at the shorter distance, before the engine is left to the regular ones.
const QUICK_SWEEPS: u32 = 20;

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
            known.nudged().await;
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

/// Releases what isn't wanted and tells how much that was.
async fn sweep(shared: &Shared, endpoint: &Arc<Endpoint>) -> Result<usize, EngineError> {
    let owner = &shared.owner;
    let engine = endpoint.engine();
    // What this life wants is noted before it is sent, so that nothing which is about to be wanted
    // can look like something let go.
    if endpoint.holds_any() {
        // A failure shows in the listing; the next sweep renews again.
        engine.renew(owner, LEASE.as_millis() as u64).await.ok();
    }
    let page = engine.held().await?;
    let foreign = super::chosen(shared, endpoint.place.id.as_str());
    let unwanted = |held: &&Held| match held.owner == *owner {
        true => !endpoint.wants(&held.id),
        false => is_predecessor(owner, &held.owner) || foreign && is_gone(shared, &held.owner),
    };
    let ids: Vec<_> = page.held.iter().filter(unwanted).map(|held| held.id.clone()).collect();
    if !ids.is_empty() {
        log::info!(endpoint = endpoint.place.id.as_str(), count = ids.len(); "memory_released");
        engine.release(&ids).await?;
    }
    Ok(ids.len())
}

/// Held by an earlier life of this instance: two lives never overlap, so that one is over.
fn is_predecessor(owner: &Owner, holder: &Owner) -> bool {
    holder.instance == owner.instance && holder.incarnation < owner.incarnation
}

/// Held by an instance that is proved to be gone, see [`policy::membership::owners`].
fn is_gone(shared: &Shared, holder: &Owner) -> bool {
    let Some(mesh) = shared.mesh() else { return false };
    mesh.owner(&holder.instance, holder.incarnation) == OwnerLife::Gone
}
