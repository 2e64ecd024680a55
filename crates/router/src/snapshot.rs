//! Snapshot transfer between instances: an instance that is behind fetches the whole content that a
//! peer has read.
//!
//! Datagrams show which peer has read further ([`crate::freshness`]). The content is too long for a
//! datagram, so it is sent over HTTP/2, encoded with `bincode`, on the port number at which the
//! peer receives datagrams.
//!
//! Guards against an instance that the log refuses: it knows that its peers have a newer version
//! which it can't read, and so refuses every request that needs a key.

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

/// A snapshot as it is sent.
#[derive(Serialize, Deserialize)]
struct Snapshot {
    freshness: Freshness,
    /// XXH3 hash of the content.
    checksum: u64,
    content: Bytes,
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
        let Snapshot { freshness, checksum, content } = decode(&body)?;
        if xxh3_64(&content) != checksum {
            return Err(TransferError::Malformed("the checksum differs".to_owned()));
        }
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
            .body(Full::new(encode(query)))
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
    tracker: Arc<FreshnessTracker>,
    budget: Arc<TransferBudget>,
    executor: Arc<Executor<'static>>,
}

impl SnapshotServer {
    pub(crate) fn new(
        tracker: Arc<FreshnessTracker>,
        executor: Arc<Executor<'static>>,
    ) -> SnapshotServer {
        SnapshotServer { tracker, budget: Arc::default(), executor }
    }

    /// Serves one connection.
    pub(crate) async fn serve<T>(&self, stream: T)
    where
        T: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        // What the connection sends counts until it is closed.
        let in_flight = Arc::new(Mutex::new(Vec::new()));
        let respond = service_fn(|req| {
            let (tracker, budget) = (self.tracker.clone(), self.budget.clone());
            let in_flight = in_flight.clone();
            async move {
                let (resp, reserved) = respond(req, &tracker, &budget).await;
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
    tracker: &FreshnessTracker,
    budget: &Arc<TransferBudget>,
) -> (Response<Full<Bytes>>, Option<InFlight>) {
    let body = Limited::new(req.into_body(), MAX_QUERY_BYTES).collect().await.ok();
    let query = body.and_then(|body| decode(&body.to_bytes()).ok());
    let (mut status, mut body) = match query {
        Some(query) => snapshot(&query, tracker),
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

fn snapshot(query: &SnapshotQuery, tracker: &FreshnessTracker) -> (StatusCode, Bytes) {
    let Some((freshness, content)) = tracker.content(query.source, query.after) else {
        return (StatusCode::NOT_FOUND, Bytes::new());
    };
    if content.len() > query.max_bytes {
        return (StatusCode::PAYLOAD_TOO_LARGE, Bytes::new());
    }
    let checksum = xxh3_64(&content);
    (StatusCode::OK, encode(&Snapshot { freshness, checksum, content }))
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
    let config = bincode::config::standard().with_limit::<MAX_SNAPSHOT_BYTES>();
    let decoded = bincode::serde::decode_from_slice(bytes, config);
    decoded.map(|(value, _)| value).map_err(|e| TransferError::Malformed(e.to_string()))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a reader whose link is taken up by its peers' transfers.
    #[test]
    fn bytes_in_flight_are_limited() {
        let budget: Arc<TransferBudget> = Arc::default();
        let size = MAX_BYTES_IN_FLIGHT / 4;
        let reserved: Vec<_> = (0..4).map(|_| budget.reserve(size)).collect();
        assert!(reserved.iter().all(Option::is_some));
        assert!(budget.reserve(size).is_none());
        drop(reserved);
        assert!(budget.reserve(size).is_some());
    }

    /// Guards against a snapshot that is longer than the limit and is sent to nobody.
    #[test]
    fn one_long_transfer_is_always_possible() {
        let budget: Arc<TransferBudget> = Arc::default();
        let long = budget.reserve(2 * MAX_BYTES_IN_FLIGHT);
        assert!(long.is_some());
        assert!(budget.reserve(1).is_none());
    }
}
