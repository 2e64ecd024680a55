//! Hedges a slow attempt: sends the request to a second endpoint without giving up the first.
//!
//! **Load pattern.** An endpoint falls silent: it has died without closing its connections, hangs,
//! or is merely prefilling a long prompt. From outside these look the same.
//!
//! **Without it.** Giving up at the first silence cuts off answers that were about to come; waiting
//! for certainty exceeds the caller's timeout.
//!
//! **Rule.** After a delay the request is sent to another endpoint as well, and the first response
//! that can be used wins. Only then is the other attempt dropped. Only idempotent requests are
//! hedged, within their route's maximum number of attempts and the retry budget.
//!
//! **Grounds.** The delays are explained in [`super::send`] and [`super::relay`].

use std::{future::Future, pin::pin, time::Duration};

use futures_lite::FutureExt;
use policy::FailCause;
use smol::Timer;

use super::{
    Refusal,
    call::{Call, OtherAttempt, Target},
    run::ActiveResponse,
};
use crate::dialect::Dialect;

/// The output of the future that completed first.
pub(super) enum Either<A, B> {
    /// Output of the left future.
    Left(A),
    /// Output of the right future.
    Right(B),
}

/// Waits for the first of two futures; the left one wins if both are ready.
pub(super) async fn race<A, B>(
    left: impl Future<Output = A>,
    right: impl Future<Output = B>,
) -> Either<A, B> {
    let left = async { Either::Left(left.await) };
    let right = async { Either::Right(right.await) };
    left.or(right).await
}

/// Sends attempts, and hedges where they are slow, until `accept` has accepted a response. `accept`
/// returns the failure cause of a response that it rejects, after ending its run.
pub(super) async fn first_accepted<D, T, F>(
    call: &Call<D>,
    other: OtherAttempt,
    accept: F,
) -> Result<T, Refusal>
where
    D: Dialect,
    F: AsyncFn(&Call<D>, ActiveResponse<D>) -> Result<T, FailCause>,
{
    loop {
        let target = call.target_or_wait(other).await?;
        let delay = call.hedge_delay(&target);
        let first_job = target.job();
        let mut first = pin!(attempt(call, target, &accept));
        match race(first.as_mut(), wait(delay)).await {
            Either::Left(Some(accepted)) => return Ok(accepted),
            Either::Left(None) => continue,
            Either::Right(()) => {}
        }
        let Ok(target) = call.next_target(OtherAttempt::InFlight) else {
            // No other endpoint may get the request, so the first one gets all the remaining time.
            match first.await {
                Some(accepted) => return Ok(accepted),
                None => continue,
            }
        };
        call.context.metrics.hedged();
        log::info!(id = call.id(), endpoint = target.name(),
            after_ms = delay.as_millis() as u64; "hedged");
        let mut second = pin!(attempt(call, target, &accept));
        let accepted = match race(first.as_mut(), second.as_mut()).await {
            Either::Left(Some(accepted)) => Some(accepted),
            Either::Right(Some(accepted)) => {
                if let Some(job) = first_job {
                    call.hedge_won(job);
                }
                Some(accepted)
            }
            Either::Left(None) => second.await,
            Either::Right(None) => first.await,
        };
        if let Some(accepted) = accepted {
            return Ok(accepted);
        }
    }
}

async fn attempt<D, T, F>(call: &Call<D>, target: Target, accept: &F) -> Option<T>
where
    D: Dialect,
    F: AsyncFn(&Call<D>, ActiveResponse<D>) -> Result<T, FailCause>,
{
    let active = match target {
        Target::Endpoint(placement) => call.attempt(placement).await?,
        Target::Peer(peer) => call.forward(peer).await?,
    };
    accept(call, active).await.ok()
}

async fn wait(delay: Duration) {
    match delay {
        Duration::MAX => std::future::pending().await,
        delay => {
            Timer::after(delay).await;
        }
    }
}
