//! Model engines: running requests, and the orders and listings that go with them.

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
    /// No answer in time: it may have taken effect.
    Unknown,
    /// The connection broke before the whole answer came: it may have taken effect.
    Broken,
    /// The engine refused (no room, an old fencing number, an unknown id).
    Refused,
    /// The answer made no sense.
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

/// The management side of one engine. Every call is idempotent.
pub trait Engine: Send + Sync {
    /// Where it listens.
    fn address(&self) -> SocketAddr;

    /// Its own load report.
    fn load(&self) -> impl Future<Output = Result<Load, EngineError>> + Send;

    /// What holds its memory, each entry with owner and expiry.
    fn held(&self) -> impl Future<Output = Result<HeldPage, EngineError>> + Send;

    /// At most `max` entries of the same listing in the order of their ids, from the first behind
    /// `after` on. Engines that know no parts answer with the whole listing.
    fn held_part(
        &self,
        after: Option<&str>,
        max: usize,
    ) -> impl Future<Output = Result<HeldPage, EngineError>> + Send;

    /// Releases streams, reservations, imports and exports by id; unknown ids count as released.
    fn release(&self, ids: &[String]) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Extends the leases of what `owner` holds under `ids`.
    fn renew(
        &self,
        owner: &Owner,
        ids: &[String],
        lease_ms: u64,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Reserves memory under `id`, for `lease_ms` at a time.
    fn reserve(
        &self,
        id: &str,
        owner: &Owner,
        tokens: Tokens,
        lease_ms: u64,
    ) -> impl Future<Output = Result<Incarnation, EngineError>> + Send;

    /// Cache events from the sequence number `from` on.
    fn cache_events(
        &self,
        from: u64,
    ) -> impl Future<Output = Result<CachePage, EngineError>> + Send;

    /// Writes out the KV cache of a stream, so that another engine can import it.
    fn export(
        &self,
        stream: &str,
        owner: &Owner,
        lease_ms: u64,
    ) -> impl Future<Output = Result<KvExport, EngineError>> + Send;

    /// Takes in an export as cached prefix.
    fn import(
        &self,
        export: &KvExport,
        owner: &Owner,
        lease_ms: u64,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// What it has loaded and under which fencing number.
    fn order_state(&self) -> impl Future<Output = Result<OrderState, EngineError>> + Send;

    /// Orders it to a model, adapter, version and role.
    fn order(&self, order: &Order) -> impl Future<Output = Result<OrderState, EngineError>> + Send;
}
