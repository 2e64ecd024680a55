//! Asks a second endpoint beside one that takes long, without giving the first one up.
//!
//! **Load pattern.** An endpoint goes silent: it died without a word, hangs, or merely reads
//! something long. From outside these look alike.
//!
//! **Without it.** Whoever gives up at the first silence cuts answers that were about to come;
//! whoever waits for certainty loses the caller's patience.
//!
//! **Rule.** After a while another endpoint is asked as well, and whichever gives the first part of
//! an answer is the one. The other is dropped only then. Only what is idempotent is asked twice,
//! within the attempts that its route and the budget of repeats allow.
//!
//! **Grounds.** The times stand with [`super::send`] and [`super::relay`].

use std::{future::Future, pin::pin, time::Duration};

use futures_lite::FutureExt;
use policy::{FailCause, placement::Placement};
use smol::Timer;

use super::{
    Refusal,
    call::{Beside, Call},
    run::Live,
};
use crate::dialect::Dialect;

/// What happened first of two things.
pub(super) enum First<A, B> {
    /// The left one.
    Left(A),
    /// The right one.
    Right(B),
}

/// Waits for the first of two.
pub(super) async fn race<A, B>(
    left: impl Future<Output = A>,
    right: impl Future<Output = B>,
) -> First<A, B> {
    let left = async { First::Left(left.await) };
    let right = async { First::Right(right.await) };
    left.or(right).await
}

/// Tries endpoints until `take` has made something of an answer. `take` says why where it couldn't.
pub(super) async fn first<D, T, F>(call: &Call<D>, beside: Beside, take: F) -> Result<T, Refusal>
where
    D: Dialect,
    F: AsyncFn(&Call<D>, Live<D>) -> Result<T, FailCause>,
{
    loop {
        let placement = call.next_place(beside)?;
        let patience = call.patience(&placement);
        let first_job = placement.job;
        let mut one = pin!(attempt(call, placement, &take));
        match race(one.as_mut(), wait(patience)).await {
            First::Left(Some(taken)) => return Ok(taken),
            First::Left(None) => continue,
            First::Right(()) => {}
        }
        let Ok(placement) = call.next_place(Beside::Another) else {
            // Nobody else may be asked, so the one that was asked gets all the time there is.
            match one.await {
                Some(taken) => return Ok(taken),
                None => continue,
            }
        };
        call.parts.metrics.hedged();
        log::info!(id = call.id(), endpoint = placement.endpoint.as_str(),
            after_ms = patience.as_millis() as u64; "hedged");
        let mut two = pin!(attempt(call, placement, &take));
        let taken = match race(one.as_mut(), two.as_mut()).await {
            First::Left(Some(taken)) => Some(taken),
            First::Right(Some(taken)) => {
                call.outrun(first_job);
                Some(taken)
            }
            First::Left(None) => two.await,
            First::Right(None) => one.await,
        };
        if let Some(taken) = taken {
            return Ok(taken);
        }
    }
}

async fn attempt<D, T, F>(call: &Call<D>, placement: Placement, take: &F) -> Option<T>
where
    D: Dialect,
    F: AsyncFn(&Call<D>, Live<D>) -> Result<T, FailCause>,
{
    let live = call.attempt(placement).await?;
    take(call, live).await.ok()
}

async fn wait(patience: Duration) {
    match patience {
        Duration::MAX => std::future::pending().await,
        patience => {
            Timer::after(patience).await;
        }
    }
}
