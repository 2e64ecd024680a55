//! Reserves memory on further engines for a prompt that needs more than one: all of it or none.
//!
//! Guards against a deadlock in which two such prompts each hold half of the memory that both need.
//! Every instance reserves in the order that the scheduler gives and releases all reservations as
//! soon as one engine refuses. Leases expire the reservations of failed instances.

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

/// The reservations of one attempt. Dropping them releases the memory.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    holdings: Vec<Holding>,
}

impl Reservations {
    /// Reserves memory for each of `shards`, in order.
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

    /// The value of `x-kv-shards`: `<id>@<address>` of each reservation, separated by commas.
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
        // The request itself hasn't been sent, even if the reservation's outcome is unknown.
        Ok(_) | Err(EngineError::NotSent | EngineError::Unknown | EngineError::Broken) => {
            Err(FailCause::NotSent)
        }
        Err(EngineError::Refused) => Err(FailCause::Rejected),
        Err(EngineError::BadAnswer) => Err(FailCause::EndpointError),
    }
}

/// Whether `incarnation` is the one that the scheduler chose. Zero stands for an unknown one and
/// matches any.
pub(super) fn is_expected(shard: &Shard, incarnation: Incarnation) -> bool {
    shard.incarnation == Incarnation(0) || shard.incarnation == incarnation
}
