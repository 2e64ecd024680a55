//! Snapshot transfer between instances: an instance that is behind fetches the whole content that a
//! peer has read.
//!
//! Datagrams show which peer has read further ([`crate::freshness`]). The content is too long for a
//! datagram, so it is sent over HTTP/2, encoded with `bincode`, on the port number at which the
//! peer receives datagrams. Longer contents are compressed where the querying instance supports it.
//!
//! Instances of different versions exchange snapshots while a release is rolled out. Fields that an
//! older version doesn't have follow its message as an extension: `bincode` ignores bytes after the
//! message, and a message without an extension has the extension's default values.
//!
//! Guards against an instance that the log refuses: it knows that its peers have a newer version
//! which it can't read, and so refuses every request that needs a key.

mod compression;
#[cfg(test)]
mod tests;

use std::{
    convert::Infallible,
    fmt,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_lite::FutureExt;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming, client::conn::http2 as client, server::conn::http2 as server,
    service::service_fn,
};
use policy::freshness::{Freshness, Position};
use serde::{Deserialize, Serialize};
use smol::{
    Executor, Timer,
    io::{AsyncRead, AsyncWrite},
};
use smol_hyper::rt::{FuturesIo, SmolExecutor};
use xxhash_rust::xxh3::xxh3_64;

use self::compression::{CompressionCache, decompress};
use crate::{
    clock::BootTime,
    freshness::{FreshnessTracker, Source},
    lock, net,
};

/// Time limit of a transfer. Within a data centre it takes milliseconds; a peer that takes longer
/// is suspended or cut off.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(400);

/// Longer queries and snapshots are refused.
const MAX_QUERY_BYTES: usize = 64;
const MAX_SNAPSHOT_BYTES: usize = 8 << 20;

/// Longer snapshots are read from the log unless that is unreachable: on a slow link they would
/// exceed the time limit of a transfer.
pub const MAX_RELAYED_BYTES: usize = 1 << 20;

/// Bytes of snapshots that an instance sends at the same time. Peers that it refuses meanwhile take
/// the snapshot from those that have it already.
///
/// Guards against a reader that sends a snapshot to hundreds of peers at once over its own link.
const MAX_BYTES_IN_FLIGHT: usize = 512 << 10;

/// Shorter contents are sent as they are: they fit into a few packets.
const MIN_COMPRESSED_BYTES: usize = 4 << 10;

/// Time limit of a connection, after which a peer that doesn't read no longer counts.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Asks for a snapshot.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct SnapshotQuery {
    source: Source,
    /// Position that the querying instance has read up to.
    after: Position,
    max_bytes: usize,
}

/// Extension of a [`SnapshotQuery`].
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
struct QueryExtension {
    /// The querying instance can decompress the content.
    accepts_deflate: bool,
}

/// A snapshot as it is sent.
#[derive(Serialize, Deserialize)]
struct Snapshot {
    freshness: Freshness,
    /// XXH3 hash of the uncompressed content.
    checksum: u64,
    content: Bytes,
}

/// Extension of a [`Snapshot`]. Sent only to instances that accept a compressed content.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
struct SnapshotExtension {
    /// Length of the uncompressed content; none where the content isn't compressed.
    uncompressed_bytes: Option<usize>,
}

/// A peer's snapshot of a source.
#[derive(Debug)]
pub struct Transfer {
    /// Position that the peer has read up to.
    pub position: Position,
    /// Nothing acknowledged before this moment is missing.
    pub as_of: BootTime,
    /// The content, as the source's follower encoded it.
    pub content: Bytes,
}

/// Why a transfer failed.
#[derive(Debug)]
pub enum TransferError {
    /// The peer couldn't be reached, or closed the connection early.
    Unreachable(String),
    /// The peer has nothing newer, or more bytes than the query allows.
    Refused(StatusCode),
    /// The peer is sending to others.
    Busy,
    /// The reply couldn't be decoded.
    Malformed(String),
    /// The transfer exceeded its time limit.
    TimedOut,
}

impl fmt::Display for TransferError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TransferError::Unreachable(cause) => write!(f, "no answer: {cause}"),
            TransferError::Refused(status) => write!(f, "answered with status {status}"),
            TransferError::Busy => write!(f, "busy with other transfers"),
            TransferError::Malformed(what) => write!(f, "unreadable snapshot: {what}"),
            TransferError::TimedOut => write!(f, "no complete reply within {TRANSFER_TIMEOUT:?}"),
        }
    }
}

impl std::error::Error for TransferError {}

/// Fetches snapshots from peers.
#[derive(Debug, Clone)]
pub struct SnapshotClient {
    executor: Arc<Executor<'static>>,
}

impl SnapshotClient {
    /// Creates a client whose connections run on `executor`.
    pub fn new(executor: Arc<Executor<'static>>) -> SnapshotClient {
        SnapshotClient { executor }
    }

    /// Fetches what the peer at `address` has read of `source` beyond `after`.
    ///
    /// # Errors
    ///
    /// See [`TransferError`].
    pub async fn fetch(
        &self,
        address: SocketAddr,
        source: Source,
        after: Position,
        max_bytes: usize,
    ) -> Result<Transfer, TransferError> {
        let query_sent = BootTime::now();
        let timed_out = async {
            Timer::after(TRANSFER_TIMEOUT).await;
            Err(TransferError::TimedOut)
        };
        let body = self
            .exchange(address, &SnapshotQuery { source, after, max_bytes })
            .or(timed_out)
            .await?;
        let (freshness, content) = decode_snapshot(&body)?;
        // The age was computed after the query was sent, so a suspended peer can't make old content
        // look fresh.
        let as_of = BootTime::now().before(freshness.age_after(query_sent.age()));
        Ok(Transfer { position: freshness.position, as_of, content })
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        query: &SnapshotQuery,
    ) -> Result<Bytes, TransferError> {
        let unreachable = |e: &dyn fmt::Display| TransferError::Unreachable(e.to_string());
        let stream = net::connect(address, TRANSFER_TIMEOUT).await.map_err(|e| unreachable(&e))?;
        let executor = SmolExecutor::new(self.executor.clone());
        let handshake = client::handshake(executor, FuturesIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(|e| unreachable(&e))?;
        let _driver = self.executor.spawn(connection);
        let req = Request::post(format!("http://{address}/snapshot"))
            .body(Full::new(encode(&(query, QueryExtension { accepts_deflate: true }))))
            .map_err(|e| TransferError::Malformed(e.to_string()))?;
        let resp = sender.send_request(req).await.map_err(|e| unreachable(&e))?;
        match resp.status() {
            StatusCode::OK => {}
            StatusCode::SERVICE_UNAVAILABLE => return Err(TransferError::Busy),
            status => return Err(TransferError::Refused(status)),
        }
        let body = Limited::new(resp.into_body(), MAX_SNAPSHOT_BYTES).collect().await;
        Ok(body.map_err(|e| unreachable(&e))?.to_bytes())
    }
}

/// Limits the bytes that are sent at the same time.
#[derive(Debug, Default)]
struct TransferBudget(AtomicUsize);

/// Bytes being sent; they count until this is dropped.
#[derive(Debug)]
struct InFlight {
    budget: Arc<TransferBudget>,
    bytes: usize,
}

impl TransferBudget {
    /// Reserves bytes; none if others are being sent and too few are left.
    fn reserve(self: &Arc<Self>, bytes: usize) -> Option<InFlight> {
        let before = self.0.fetch_add(bytes, Ordering::AcqRel);
        let reserved = InFlight { budget: self.clone(), bytes };
        (before == 0 || before + bytes <= MAX_BYTES_IN_FLIGHT).then_some(reserved)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.budget.0.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

/// Serves snapshots to peers.
pub(crate) struct SnapshotServer {
    content: Arc<SnapshotContent>,
    budget: Arc<TransferBudget>,
    executor: Arc<Executor<'static>>,
}

impl SnapshotServer {
    pub(crate) fn new(
        tracker: Arc<FreshnessTracker>,
        executor: Arc<Executor<'static>>,
    ) -> SnapshotServer {
        let content = SnapshotContent { tracker, compressed: CompressionCache::default() };
        SnapshotServer { content: Arc::new(content), budget: Arc::default(), executor }
    }

    /// Serves one connection.
    pub(crate) async fn serve<T>(&self, stream: T)
    where
        T: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        // What the connection sends counts until it is closed.
        let in_flight = Arc::new(Mutex::new(Vec::new()));
        let respond = service_fn(|req| {
            let (content, budget) = (self.content.clone(), self.budget.clone());
            let in_flight = in_flight.clone();
            async move {
                let (resp, reserved) = respond(req, &content, &budget).await;
                lock(&in_flight).extend(reserved);
                Ok::<_, Infallible>(resp)
            }
        });
        let served = async {
            server::Builder::new(SmolExecutor::new(self.executor.clone()))
                .serve_connection(FuturesIo::new(stream), respond)
                .await
                .map_err(|e| e.to_string())
        };
        let timed_out = async {
            Timer::after(CONNECTION_TIMEOUT).await;
            Err(format!("still open after {CONNECTION_TIMEOUT:?}"))
        };
        if let Err(e) = served.or(timed_out).await {
            log::debug!(cause:% = e; "peer_connection_ended");
        }
    }
}

async fn respond(
    req: Request<Incoming>,
    content: &SnapshotContent,
    budget: &Arc<TransferBudget>,
) -> (Response<Full<Bytes>>, Option<InFlight>) {
    let body = Limited::new(req.into_body(), MAX_QUERY_BYTES).collect().await.ok();
    let query = body.and_then(|body| decode_extended(&body.to_bytes()).ok());
    let (mut status, mut body) = match query {
        Some((query, extension)) => content.reply(&query, extension),
        None => (StatusCode::BAD_REQUEST, Bytes::new()),
    };
    let reserved = budget.reserve(body.len());
    if reserved.is_none() {
        (status, body) = (StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let mut resp = Response::new(Full::new(body));
    *resp.status_mut() = status;
    (resp, reserved)
}

/// What this instance has read, as it is sent to peers.
struct SnapshotContent {
    tracker: Arc<FreshnessTracker>,
    compressed: CompressionCache,
}

impl SnapshotContent {
    fn reply(&self, query: &SnapshotQuery, extension: QueryExtension) -> (StatusCode, Bytes) {
        let Some((freshness, content)) = self.tracker.content(query.source, query.after) else {
            return (StatusCode::NOT_FOUND, Bytes::new());
        };
        if content.len() > query.max_bytes {
            return (StatusCode::PAYLOAD_TOO_LARGE, Bytes::new());
        }
        let checksum = xxh3_64(&content);
        let compressed = (extension.accepts_deflate && content.len() >= MIN_COMPRESSED_BYTES)
            .then(|| self.compressed.get_or_compress(query.source, checksum, &content))
            .filter(|compressed| compressed.len() < content.len());
        let body = match compressed {
            Some(compressed) => {
                let extension = SnapshotExtension { uncompressed_bytes: Some(content.len()) };
                encode(&(Snapshot { freshness, checksum, content: compressed }, extension))
            }
            None => encode(&Snapshot { freshness, checksum, content }),
        };
        (StatusCode::OK, body)
    }
}

/// Decodes a reply, and returns the uncompressed content.
fn decode_snapshot(body: &[u8]) -> Result<(Freshness, Bytes), TransferError> {
    let (snapshot, SnapshotExtension { uncompressed_bytes }) = decode_extended(body)?;
    let Snapshot { freshness, checksum, content } = snapshot;
    let content = match uncompressed_bytes {
        Some(len) => decompress(&content, len)?,
        None => content,
    };
    if xxh3_64(&content) != checksum {
        return Err(TransferError::Malformed("the checksum differs".to_owned()));
    }
    Ok((freshness, content))
}

/// Encodes a message of this module, or the content of a snapshot.
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    // Encoding these types can't fail.
    let bytes = bincode::serde::encode_to_vec(value, bincode::config::standard());
    Bytes::from(bytes.unwrap_or_default())
}

/// Decodes the output of [`encode`].
///
/// # Errors
///
/// [`TransferError::Malformed`] where the bytes aren't a valid encoding of `T`.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, TransferError> {
    decode_prefix(bytes).map(|(value, _)| value)
}

/// Decodes a message and its extension, which has default values where the sender doesn't have it.
fn decode_extended<T, E>(bytes: &[u8]) -> Result<(T, E), TransferError>
where
    T: for<'a> Deserialize<'a>,
    E: for<'a> Deserialize<'a> + Default,
{
    let (message, rest) = decode_prefix(bytes)?;
    let extension = if rest.is_empty() { E::default() } else { decode(rest)? };
    Ok((message, extension))
}

/// Decodes a value, and returns the bytes after it.
fn decode_prefix<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<(T, &[u8]), TransferError> {
    let config = bincode::config::standard().with_limit::<MAX_SNAPSHOT_BYTES>();
    let decoded = bincode::serde::decode_from_slice(bytes, config);
    let (value, len) = decoded.map_err(|e| TransferError::Malformed(e.to_string()))?;
    Ok((value, &bytes[len..]))
}
