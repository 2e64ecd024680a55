//! Messages and header names of the engine protocol, shared by adapters and stand-ins.

use std::{fmt, str::FromStr};

use policy::{Incarnation, InstanceId, RequestId, Tokens};
use serde::{Deserialize, Serialize};

/// Names the attempt: `instance/incarnation/request/attempt`. Engines echo it, and it is the id of
/// the stream in their listing.
pub const ATTEMPT: &str = "x-attempt";
/// How long the engine keeps the stream's memory after its connection has broken, in milliseconds.
pub const LEASE_MS: &str = "x-lease-ms";
/// Priority of the request; higher is served first.
pub const PRIORITY: &str = "x-priority";
/// Always `events`: the engine answers with server-sent events whatever the body asks for.
pub const STREAM: &str = "x-stream";
/// Reservations on other engines that the prompt's cache spreads over: `id@address`, with commas.
pub const KV_SHARDS: &str = "x-kv-shards";
/// On answers: the engine's incarnation.
pub const ENGINE_INCARNATION: &str = "x-engine-incarnation";
/// On answers of engines and services: asks for no new work.
pub const LEAVING: &str = "x-leaving";
/// Fencing number of a call or an order.
pub const FENCING: &str = "x-fencing";

/// Who owns memory on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Owner {
    /// The instance.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.instance, self.incarnation)
    }
}

/// The text is not of the form that [`Owner`] or [`AttemptId`] prints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadName;

impl fmt::Display for BadName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected `instance/incarnation` or `instance/incarnation/request/attempt`")
    }
}

impl std::error::Error for BadName {}

impl FromStr for Owner {
    type Err = BadName;

    fn from_str(text: &str) -> Result<Self, BadName> {
        let (instance, incarnation) = text.rsplit_once('/').ok_or(BadName)?;
        Ok(Owner {
            instance: instance.parse().map_err(|_| BadName)?,
            incarnation: incarnation.parse().map_err(|_| BadName)?,
        })
    }
}

/// One attempt to run one request of one instance's life.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The instance that sent it.
    pub owner: Owner,
    /// The request there.
    pub request: RequestId,
    /// Counts from 1.
    pub attempt: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.owner, self.request, self.attempt)
    }
}

impl FromStr for AttemptId {
    type Err = BadName;

    fn from_str(text: &str) -> Result<Self, BadName> {
        let (rest, attempt) = text.rsplit_once('/').ok_or(BadName)?;
        let (owner, request) = rest.rsplit_once('/').ok_or(BadName)?;
        Ok(AttemptId {
            owner: owner.parse()?,
            request: request.parse().map_err(|_| BadName)?,
            attempt: attempt.parse().map_err(|_| BadName)?,
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
    /// The life that reports.
    pub incarnation: Incarnation,
    /// How old the figures are, in milliseconds.
    pub age_ms: u64,
    /// Memory for KV cache in all.
    pub kv_total: Tokens,
    /// Memory held.
    pub kv_used: Tokens,
    /// Prompt tokens accepted and not yet prefilled.
    pub waiting_prefill: Tokens,
    /// Requests running or waiting.
    pub running: u32,
    /// Asks for no new work.
    pub leaving: bool,
}

/// What a piece of held memory is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HeldKind {
    /// A running or waiting request.
    Stream,
    /// Room for a part of a prompt that another engine runs.
    Reservation,
    /// KV cache written out for another engine.
    Export,
    /// KV cache taken in from another engine.
    Import,
}

/// One entry of `GET /engine/held`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Held {
    /// Names it in `release`. For streams, the attempt.
    pub id: String,
    /// What it is.
    pub kind: HeldKind,
    /// Who owns it.
    pub owner: Owner,
    /// Its size.
    pub tokens: Tokens,
    /// Milliseconds until the engine itself releases it; absent while a connection keeps it.
    pub expires_ms: Option<u64>,
    /// For streams: the offset of the next token it will generate, where the engine says so. An
    /// offset ahead of what the owner received shows that the connection between them is silent.
    #[serde(default)]
    pub offset: Option<u64>,
}

/// `GET /engine/held`, or a part of it: `GET /engine/held?max=N&after=ID`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldPage {
    /// The life that reports.
    pub incarnation: Incarnation,
    /// All that holds memory, or the part of it that was asked for.
    pub held: Vec<Held>,
    /// The id behind which the next part begins; absent at the end of the listing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// `POST /engine/release`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// What to release.
    pub ids: Vec<String>,
}

/// `POST /engine/renew`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Renew {
    /// Whose leases.
    pub owner: Owner,
    /// Which of them; all where none are named.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ids: Vec<String>,
    /// How long from now.
    pub lease_ms: u64,
}

/// `POST /engine/reserve`; answered with [`Reserved`], or 409 where there is no room.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reserve {
    /// Names the reservation; repeating it changes nothing.
    pub id: String,
    /// Who owns it.
    pub owner: Owner,
    /// Its size.
    pub tokens: Tokens,
    /// How long from now.
    pub lease_ms: u64,
}

/// The answer to [`Reserve`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reserved {
    /// The life that holds it.
    pub incarnation: Incarnation,
}

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number within the engine's life.
    pub sequence: u64,
    /// Hash of the block, as in [`policy::RequestSpec::prefix`].
    pub block: u64,
    /// Stored, or evicted.
    pub stored: bool,
}

/// `GET /engine/cache?from=N`. Events may be missing: a jump in `sequence` is a gap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachePage {
    /// The life that reports.
    pub incarnation: Incarnation,
    /// Ask from here next time.
    pub next: u64,
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// A KV cache written out by one engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KvExport {
    /// Names it in `release` on the engine that wrote it.
    pub id: String,
    /// Where it can be read.
    pub source: std::net::SocketAddr,
    /// How much of the stream it covers, prompt and output.
    pub tokens: Tokens,
    /// The prompt's block hashes that it covers.
    pub prefix: Vec<u64>,
}

/// `POST /engine/kv/export`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExportCall {
    /// The stream.
    pub stream: String,
    /// Who will own the export.
    pub owner: Owner,
    /// How long from now.
    pub lease_ms: u64,
}

/// `POST /engine/kv/import`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ImportCall {
    /// What to take in.
    pub export: KvExport,
    /// Who will own the import until a request uses it.
    pub owner: Owner,
    /// How long from now.
    pub lease_ms: u64,
}

/// What an engine is to serve. `POST /engine/orders`; 409 for an old fencing number at engines
/// that check it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The model.
    pub model: String,
    /// Its version.
    pub version: String,
    /// An adapter on top, if any.
    #[serde(default)]
    pub adapter: Option<String>,
    /// `mixed`, `prefill` or `decode`.
    pub role: String,
    /// Number of the decision: the log offset at which it was taken.
    pub fencing: u64,
}

/// `GET /engine/orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// The life that reports.
    pub incarnation: Incarnation,
    /// What it was last ordered to.
    pub order: Option<Order>,
    /// Whether it is ready to serve that.
    pub ready: bool,
}

/// The `resume` member that an attempt after the first adds to the body: the engine continues
/// after `text`, whose pieces are already with the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// Offset of the next token.
    pub from: u64,
    /// What was generated before it.
    pub text: String,
}

/// One server-sent event of an answer. Its `id:` line is `attempt:offset`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventId {
    /// The attempt it belongs to.
    pub attempt: AttemptId,
    /// Offset of the first token it carries, counted over all attempts of the request.
    pub offset: u64,
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.attempt, self.offset)
    }
}

impl FromStr for EventId {
    type Err = BadName;

    fn from_str(text: &str) -> Result<Self, BadName> {
        let (attempt, offset) = text.rsplit_once(':').ok_or(BadName)?;
        Ok(EventId { attempt: attempt.parse()?, offset: offset.parse().map_err(|_| BadName)? })
    }
}

/// The end mark of an answer's events; an answer without it isn't whole.
pub const DONE: &str = "[DONE]";
