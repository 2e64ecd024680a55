//! Model engines: running requests, listings of held memory and orders.

pub mod http;
pub mod listing;
pub mod piece;
pub mod run;
pub mod sse;
pub mod wire;

use std::{future::Future, net::SocketAddr};

use policy::{Incarnation, Tokens};

use crate::engine::wire::{CachePage, HeldPage, KvExport, Load, Order, OrderState, Owner};

/// Why a call to an engine's management interface failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineError {
    /// No connection: nothing was sent.
    NotSent,
    /// No response within the timeout: the call may have taken effect.
    Unknown,
    /// The connection broke before the complete response arrived: the call may have taken effect.
    Broken,
    /// The engine refused, for example for lack of memory, an old fencing number or an unknown id.
    Refused,
    /// The response is invalid.
    BadAnswer,
}

impl std::fmt::Display for EngineError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            EngineError::NotSent => "the engine can't be reached",
            EngineError::Unknown => "the engine gave no answer, so the call may have taken effect",
            EngineError::Broken => "the connection broke, so the call may have taken effect",
            EngineError::Refused => "the engine refused",
            EngineError::BadAnswer => "the engine's answer can't be read",
        })
    }
}

impl std::error::Error for EngineError {}

/// The management interface of one engine. Every call is idempotent.
pub trait Engine: Send + Sync {
    /// The address it listens on.
    fn address(&self) -> SocketAddr;

    /// Queries its load report.
    fn load(&self) -> impl Future<Output = Result<Load, EngineError>> + Send;

    /// Lists the held memory, each entry with owner and expiry.
    fn held(&self) -> impl Future<Output = Result<HeldPage, EngineError>> + Send;

    /// Lists at most `max` entries in the order of their ids, beginning after the id `after`.
    /// Engines that don't support parts return the complete listing.
    fn held_part(
        &self,
        after: Option<&str>,
        max: usize,
    ) -> impl Future<Output = Result<HeldPage, EngineError>> + Send;

    /// Releases streams, reservations, imports and exports by id; unknown ids count as released.
    fn release(&self, ids: &[String]) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Extends the leases of the entries `ids` of `owner`, or of all its entries if `ids` is empty.
    fn renew(
        &self,
        owner: &Owner,
        ids: &[String],
        lease_ms: u64,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Reserves memory under `id` until the lease expires.
    fn reserve(
        &self,
        id: &str,
        owner: &Owner,
        tokens: Tokens,
        lease_ms: u64,
    ) -> impl Future<Output = Result<Incarnation, EngineError>> + Send;

    /// Reads the prefix cache's events from the sequence number `from` on.
    fn cache_events(
        &self,
        from: u64,
    ) -> impl Future<Output = Result<CachePage, EngineError>> + Send;

    /// Exports the KV cache of a stream, so that another engine can import it.
    fn export(
        &self,
        stream: &str,
        owner: &Owner,
        lease_ms: u64,
    ) -> impl Future<Output = Result<KvExport, EngineError>> + Send;

    /// Imports an export as a cached prefix.
    fn import(
        &self,
        export: &KvExport,
        owner: &Owner,
        lease_ms: u64,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Queries the last order, with its fencing number, and whether it has been carried out.
    fn order_state(&self) -> impl Future<Output = Result<OrderState, EngineError>> + Send;

    /// Orders it to serve a model version, with adapter and role.
    fn order(&self, order: &Order) -> impl Future<Output = Result<OrderState, EngineError>> + Send;
}
