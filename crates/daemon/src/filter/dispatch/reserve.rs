//! Memory on further engines for a prompt that needs more than one: all of it or none.
//!
//! The failure: two such prompts each hold half of what both need, and neither ever starts. Every
//! instance reserves in the order that the scheduler gives, and lets go of everything as soon as
//! one engine refuses; a lease ends what a dead instance had reserved.

use std::{fmt::Write, sync::Arc};

use policy::{FailCause, Incarnation, Shard};
use protocols::engine::{
    Engine, EngineError,
    wire::{AttemptId, HeldKind},
};

use crate::{
    active::ActiveConfig,
    controller::RESERVATION_LEASE,
    endpoint::{Endpoint, Holding},
};

/// What is reserved for one attempt. Dropping it releases all of it.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    holdings: Vec<Holding>,
}

impl Reservations {
    /// Reserves on each of `shards` in order.
    pub(super) async fn reserve_all(
        active: &ActiveConfig,
        attempt: &AttemptId,
        shards: &[Shard],
    ) -> Result<Reservations, FailCause> {
        let mut reservations = Reservations::default();
        for (index, shard) in shards.iter().enumerate() {
            let endpoint = active.endpoints.get(&shard.endpoint).ok_or(FailCause::NotSent)?;
            let id = format!("{attempt}/{}", index + 1);
            let holding = endpoint.hold(id, HeldKind::Reservation);
            let result = reserve(endpoint, holding.id(), attempt, shard).await;
            reservations.holdings.push(holding);
            result?;
        }
        Ok(reservations)
    }

    /// The value of `x-kv-shards`.
    pub(super) fn header(&self) -> String {
        let mut text = String::new();
        for holding in &self.holdings {
            let comma = if text.is_empty() { "" } else { "," };
            // Writing to a string can't fail.
            write!(text, "{comma}{}@{}", holding.id(), holding.endpoint().config.address).ok();
        }
        text
    }
}

async fn reserve(
    endpoint: &Arc<Endpoint>,
    id: &str,
    attempt: &AttemptId,
    shard: &Shard,
) -> Result<(), FailCause> {
    let lease = RESERVATION_LEASE.as_millis() as u64;
    let engine = endpoint.engine();
    match engine.reserve(id, &attempt.owner, shard.tokens, lease).await {
        Ok(incarnation) if is_expected(shard, incarnation) => Ok(()),
        // Nothing of the request was sent, whatever became of the reservation.
        Ok(_) | Err(EngineError::NotSent | EngineError::Unknown | EngineError::Broken) => {
            Err(FailCause::NotSent)
        }
        Err(EngineError::Refused) => Err(FailCause::Rejected),
        Err(EngineError::BadAnswer) => Err(FailCause::EndpointError),
    }
}

/// Whether `life` is the one that the scheduler chose; it chooses zero where it knows none.
pub(super) fn is_expected(shard: &Shard, incarnation: Incarnation) -> bool {
    shard.incarnation == Incarnation(0) || shard.incarnation == incarnation
}
