//! Messages and header names of the engine protocol, used by the clients and the stand-ins.

use std::{fmt, str::FromStr};

use policy::{Incarnation, InstanceId, RequestId, Tokens};
use serde::{Deserialize, Serialize};

/// The attempt's id: `instance/incarnation/request/attempt`. Engines echo it and use it as the
/// stream's id in their listing.
pub const ATTEMPT: &str = "x-attempt";
/// How long the engine keeps the stream's memory after its connection has broken, in milliseconds.
pub const LEASE_MS: &str = "x-lease-ms";
/// Priority of the request; higher is served first.
pub const PRIORITY: &str = "x-priority";
/// Always `events`: the engine responds with server-sent events, whatever the body requests.
pub const STREAM: &str = "x-stream";
/// Reservations on other engines that hold parts of the prompt's cache: `id@address`, separated by
/// commas.
pub const KV_SHARDS: &str = "x-kv-shards";
/// In responses: the engine's incarnation.
pub const ENGINE_INCARNATION: &str = "x-engine-incarnation";
/// In responses of engines and services: asks for no new work.
pub const LEAVING: &str = "x-leaving";
/// Fencing number of a call or an order.
pub const FENCING: &str = "x-fencing";

/// The owner of memory on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Owner {
    /// The instance's name.
    pub instance: InstanceId,
    /// The instance's incarnation.
    pub incarnation: Incarnation,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.instance, self.incarnation)
    }
}

/// The text isn't a valid [`Owner`], [`AttemptId`] or [`EventId`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseIdError;

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected `instance/incarnation` or `instance/incarnation/request/attempt`")
    }
}

impl std::error::Error for ParseIdError {}

impl FromStr for Owner {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let (instance, incarnation) = text.rsplit_once('/').ok_or(ParseIdError)?;
        Ok(Owner {
            instance: instance.parse().map_err(|_| ParseIdError)?,
            incarnation: incarnation.parse().map_err(|_| ParseIdError)?,
        })
    }
}

/// Id of an attempt to run a request, unique over all incarnations of all instances.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The instance that sent the request.
    pub owner: Owner,
    /// The request's id within that incarnation.
    pub request: RequestId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.owner, self.request, self.attempt)
    }
}

impl FromStr for AttemptId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let (rest, attempt) = text.rsplit_once('/').ok_or(ParseIdError)?;
        let (owner, request) = rest.rsplit_once('/').ok_or(ParseIdError)?;
        Ok(AttemptId {
            owner: owner.parse()?,
            request: request.parse().map_err(|_| ParseIdError)?,
            attempt: attempt.parse().map_err(|_| ParseIdError)?,
        })
    }
}

macro_rules! as_text {
    ($($name:ident),*) => {$(
        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    )*};
}

as_text!(Owner, AttemptId);

/// `GET /engine/load`, and `GET /service/load` of plain services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The incarnation of the reporting process.
    pub incarnation: Incarnation,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
    /// Total memory for KV cache.
    pub kv_total: Tokens,
    /// Memory in use.
    pub kv_used: Tokens,
    /// Prompt tokens that are accepted but not yet prefilled.
    pub waiting_prefill: Tokens,
    /// Number of running and waiting requests.
    pub running: u32,
    /// Whether the reporting process asks for no new work.
    pub leaving: bool,
}

/// The kind of a held entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HeldKind {
    /// A running or waiting request.
    Stream,
    /// Memory for a part of the prompt of a request that runs on another engine.
    Reservation,
    /// KV cache exported for another engine.
    Export,
    /// KV cache imported from another engine.
    Import,
}

/// An entry of `GET /engine/held`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Held {
    /// Its id, as used in `release`; for streams the attempt's id.
    pub id: String,
    /// Its kind.
    pub kind: HeldKind,
    /// Who owns it.
    pub owner: Owner,
    /// Its size.
    pub tokens: Tokens,
    /// Milliseconds until its lease expires; absent while its connection is open.
    pub expires_ms: Option<u64>,
    /// For streams: the offset of the next token to be generated, if the engine reports it. An
    /// offset ahead of the tokens that the owner has received shows that their connection is
    /// silent.
    #[serde(default)]
    pub offset: Option<u64>,
}

/// `GET /engine/held`, or a part of it: `GET /engine/held?max=N&after=ID`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldPage {
    /// The incarnation of the reporting process.
    pub incarnation: Incarnation,
    /// All entries that hold memory, or the requested part of them.
    pub held: Vec<Held>,
    /// The id after which the next part begins; absent at the end of the listing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// The body of `POST /engine/release`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// Ids of the entries to release.
    pub ids: Vec<String>,
}

/// The body of `POST /engine/renew`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Renew {
    /// The owner of the leases.
    pub owner: Owner,
    /// Ids of the entries to renew; all of the owner's entries if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ids: Vec<String>,
    /// Duration of the lease from now, in milliseconds.
    pub lease_ms: u64,
}

/// The body of `POST /engine/reserve`. The response is [`Reserved`], or 409 for lack of memory.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reserve {
    /// Id of the reservation; repeating the call has no effect.
    pub id: String,
    /// Who owns it.
    pub owner: Owner,
    /// Its size.
    pub tokens: Tokens,
    /// Duration of the lease from now, in milliseconds.
    pub lease_ms: u64,
}

/// The response to [`Reserve`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reserved {
    /// The engine's incarnation that holds the reservation.
    pub incarnation: Incarnation,
}

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number within the engine's incarnation.
    pub sequence: u64,
    /// Hash of the block, as in [`policy::RequestSpec::prefix`].
    pub block: u64,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
}

/// `GET /engine/cache?from=N`. Events may be missing: a jump in `sequence` is a gap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachePage {
    /// The incarnation of the reporting process.
    pub incarnation: Incarnation,
    /// Sequence number to read from next.
    pub next: u64,
    /// The events, in the order of their sequence numbers.
    pub events: Vec<CacheEvent>,
}

/// A KV cache exported by an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KvExport {
    /// Its id, as used in `release` on the engine that exported it.
    pub id: String,
    /// The address it can be read from.
    pub source: std::net::SocketAddr,
    /// Number of tokens of the stream that it covers, prompt and output.
    pub tokens: Tokens,
    /// Hashes of the prompt's blocks that it covers.
    pub prefix: Vec<u64>,
}

/// The body of `POST /engine/kv/export`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExportCall {
    /// Id of the stream to export.
    pub stream: String,
    /// The owner of the export.
    pub owner: Owner,
    /// Duration of the lease from now, in milliseconds.
    pub lease_ms: u64,
}

/// The body of `POST /engine/kv/import`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ImportCall {
    /// The export to import.
    pub export: KvExport,
    /// The owner of the import until a request uses it.
    pub owner: Owner,
    /// Duration of the lease from now, in milliseconds.
    pub lease_ms: u64,
}

/// What an engine is to serve: the body of `POST /engine/orders`. Engines that check the fencing
/// number respond to an old one with 409.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The model's name.
    pub model: String,
    /// The model's version.
    pub version: String,
    /// An adapter for the model, if any.
    #[serde(default)]
    pub adapter: Option<String>,
    /// `mixed`, `prefill` or `decode`.
    pub role: String,
    /// Fencing number: the log offset of the decision.
    pub fencing: u64,
}

/// The response to `GET /engine/orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// The incarnation of the reporting process.
    pub incarnation: Incarnation,
    /// The last order, if any.
    pub order: Option<Order>,
    /// Whether the engine is ready to serve as ordered.
    pub ready: bool,
}

/// The `resume` member that attempts after the first add to the body: the engine continues after
/// `text`, which the caller has already received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// Offset of the next token.
    pub from: u64,
    /// The text that was generated before it.
    pub text: String,
}

/// The `id:` field of a server-sent event of a response: `attempt:offset`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventId {
    /// The attempt that the event belongs to.
    pub attempt: AttemptId,
    /// Offset of its first token, counted over all attempts of the request.
    pub offset: u64,
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.attempt, self.offset)
    }
}

impl FromStr for EventId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let (attempt, offset) = text.rsplit_once(':').ok_or(ParseIdError)?;
        Ok(EventId { attempt: attempt.parse()?, offset: offset.parse().map_err(|_| ParseIdError)? })
    }
}

/// Marks the end of a response's events; a response without it is incomplete.
pub const DONE: &str = "[DONE]";
