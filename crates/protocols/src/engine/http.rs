//! HTTP client of an engine's management interface.

use std::{net::SocketAddr, time::Duration};

use policy::{Incarnation, Tokens};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    engine::{
        Engine, EngineError,
        wire::{
            CachePage, ExportCall, HeldPage, ImportCall, KvExport, Load, Order, OrderState, Owner,
            Release, Renew, Reserve, Reserved,
        },
    },
    http::{HttpAnswer, HttpCall, HttpError},
};

/// Timeout of listings and small changes. They need no work on the engine; a call that takes longer
/// has met a silent connection or a stalled process.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of KV cache exports and imports: a million tokens take tens of gigabytes.
const KV_TRANSFER_TIMEOUT: Duration = Duration::from_secs(30);

/// Client of one engine.
#[derive(Debug, Clone, Copy)]
pub struct HttpEngine {
    address: SocketAddr,
}

impl HttpEngine {
    /// Creates a client of the engine at `address`.
    pub fn new(address: SocketAddr) -> Self {
        HttpEngine { address }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, EngineError> {
        let call = HttpCall::get(self.address, path, CALL_TIMEOUT);
        parse_json(check_response(call.send().await)?)
    }

    async fn post<T: Serialize>(
        &self,
        path: &str,
        content: &T,
        timeout: Duration,
    ) -> Result<HttpAnswer, EngineError> {
        let call = HttpCall::post_json(self.address, path, content, timeout)
            .map_err(|_| EngineError::BadAnswer)?;
        check_response(call.send().await)
    }
}

impl Engine for HttpEngine {
    fn address(&self) -> SocketAddr {
        self.address
    }

    async fn load(&self) -> Result<Load, EngineError> {
        self.get("/engine/load").await
    }

    async fn held(&self) -> Result<HeldPage, EngineError> {
        self.get("/engine/held").await
    }

    async fn held_part(&self, after: Option<&str>, max: usize) -> Result<HeldPage, EngineError> {
        let after = after.map(|id| format!("&after={id}")).unwrap_or_default();
        self.get(&format!("/engine/held?max={max}{after}")).await
    }

    async fn release(&self, ids: &[String]) -> Result<(), EngineError> {
        let content = Release { ids: ids.to_vec() };
        self.post("/engine/release", &content, CALL_TIMEOUT).await.map(drop)
    }

    async fn renew(&self, owner: &Owner, ids: &[String], lease_ms: u64) -> Result<(), EngineError> {
        let content = Renew { owner: owner.clone(), ids: ids.to_vec(), lease_ms };
        self.post("/engine/renew", &content, CALL_TIMEOUT).await.map(drop)
    }

    async fn reserve(
        &self,
        id: &str,
        owner: &Owner,
        tokens: Tokens,
        lease_ms: u64,
    ) -> Result<Incarnation, EngineError> {
        let content = Reserve { id: id.to_owned(), owner: owner.clone(), tokens, lease_ms };
        let answer = self.post("/engine/reserve", &content, CALL_TIMEOUT).await?;
        parse_json::<Reserved>(answer).map(|reserved| reserved.incarnation)
    }

    async fn cache_events(&self, from: u64) -> Result<CachePage, EngineError> {
        self.get(&format!("/engine/cache?from={from}")).await
    }

    async fn export(
        &self,
        stream: &str,
        owner: &Owner,
        lease_ms: u64,
    ) -> Result<KvExport, EngineError> {
        let content = ExportCall { stream: stream.to_owned(), owner: owner.clone(), lease_ms };
        parse_json(self.post("/engine/kv/export", &content, KV_TRANSFER_TIMEOUT).await?)
    }

    async fn import(
        &self,
        export: &KvExport,
        owner: &Owner,
        lease_ms: u64,
    ) -> Result<(), EngineError> {
        let content = ImportCall { export: export.clone(), owner: owner.clone(), lease_ms };
        self.post("/engine/kv/import", &content, KV_TRANSFER_TIMEOUT).await.map(drop)
    }

    async fn order_state(&self) -> Result<OrderState, EngineError> {
        self.get("/engine/orders").await
    }

    async fn order(&self, order: &Order) -> Result<OrderState, EngineError> {
        parse_json(self.post("/engine/orders", order, CALL_TIMEOUT).await?)
    }
}

fn check_response(answer: Result<HttpAnswer, HttpError>) -> Result<HttpAnswer, EngineError> {
    match answer {
        Ok(answer) if answer.is_success() => Ok(answer),
        Ok(_) => Err(EngineError::Refused),
        Err(HttpError::NotSent) => Err(EngineError::NotSent),
        Err(HttpError::Silent) => Err(EngineError::Unknown),
        Err(HttpError::Broken) => Err(EngineError::Broken),
        Err(HttpError::TooLong | HttpError::Unreadable) => Err(EngineError::BadAnswer),
    }
}

fn parse_json<T: DeserializeOwned>(answer: HttpAnswer) -> Result<T, EngineError> {
    answer.json().map_err(|_| EngineError::BadAnswer)
}
