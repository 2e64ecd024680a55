#![allow(clippy::unwrap_used)]

use std::thread;

use smol::channel::{Sender, bounded};

use super::*;

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body() })*
    };
}

const POSITION: Position = Position(7);

const QUERY: SnapshotQuery = SnapshotQuery {
    source: Source::Configuration,
    after: Position(0),
    max_bytes: MAX_RELAYED_BYTES,
};

/// A configuration whose routes differ only in their names.
fn repetitive(routes: usize) -> Bytes {
    let route = |i| {
        format!(
            r#"{{"name":"more-{i}","host":"desk.example","path":"/more-{i}/","kind":"idempotent",
            "timeout":4000,"goal":300,"priority":1,"group":"desk","attempts":2}},"#
        )
    };
    (0..routes).map(route).collect::<String>().into()
}

/// Bytes that compression doesn't shorten.
fn incompressible(len: usize) -> Bytes {
    let mut rng = fastrand::Rng::with_seed(7);
    (0..len).map(|_| rng.u8(..)).collect()
}

fn tracker(content: &Bytes) -> Arc<FreshnessTracker> {
    let (tracker, _queries) = FreshnessTracker::new(false);
    tracker.update_configuration(POSITION, BootTime::now(), Some(content.clone()));
    Arc::new(tracker)
}

fn snapshot_content(content: &Bytes) -> SnapshotContent {
    SnapshotContent { tracker: tracker(content), compressed: CompressionCache::default() }
}

/// The reply to a peer that supports compression, or to one that doesn't.
fn reply(content: &Bytes, accepts_deflate: bool) -> Bytes {
    let (status, body) =
        snapshot_content(content).reply(&QUERY, QueryExtension { accepts_deflate });
    assert_eq!(status, StatusCode::OK);
    body
}

fn is_malformed(body: &[u8]) -> bool {
    matches!(decode_snapshot(body), Err(TransferError::Malformed(_)))
}

/// An instance that serves its snapshot on a thread of its own, until it is dropped.
struct Server {
    address: SocketAddr,
    content: Arc<SnapshotContent>,
    _stop: Sender<()>,
}

impl Server {
    /// Whether a peer has asked for the compressed content.
    fn has_compressed(&self) -> bool {
        self.content.compressed.has(Source::Configuration)
    }
}

impl Server {
    fn start(content: &Bytes) -> Server {
        let listener = net::listen(([127, 0, 0, 1], 0).into()).unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = bounded::<()>(1);
        let executor = Arc::new(Executor::new());
        let server = Arc::new(SnapshotServer::new(tracker(content), executor.clone()));
        let (spawn, served) = (executor.clone(), server.content.clone());
        let accept = async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let server = server.clone();
                spawn.spawn(async move { server.serve(stream).await }).detach();
            }
        };
        thread::spawn(move || {
            let stopped = async {
                stopped.recv().await.ok();
            };
            smol::block_on(executor.run(stopped.or(accept)))
        });
        Server { address, content: served, _stop: stop }
    }
}

/// Sends a query on a connection of its own, which stays open until the returned sender is dropped.
async fn query(
    address: SocketAddr,
    query: Bytes,
    executor: &Arc<Executor<'static>>,
) -> (StatusCode, Bytes, client::SendRequest<Full<Bytes>>) {
    let stream = net::connect(address, TRANSFER_TIMEOUT).await.unwrap();
    let runtime = SmolExecutor::new(executor.clone());
    let (mut sender, connection) =
        client::handshake(runtime, FuturesIo::new(stream)).await.unwrap();
    executor.spawn(connection).detach();
    let req = Request::post(format!("http://{address}/snapshot")).body(Full::new(query)).unwrap();
    let resp = sender.send_request(req).await.unwrap();
    let status = resp.status();
    (status, resp.into_body().collect().await.unwrap().to_bytes(), sender)
}

/// Queries a server from `peers` peers at once, and returns the snapshots that it sent while all
/// connections were open.
fn query_at_once(peers: usize, content: &Bytes, extension: QueryExtension) -> Vec<Bytes> {
    let server = Server::start(content);
    let executor = Arc::new(Executor::new());
    let queries = (0..peers).map(|_| {
        let (address, spawn) = (server.address, executor.clone());
        let bytes = encode(&(QUERY, extension));
        executor.spawn(async move { query(address, bytes, &spawn).await })
    });
    let queries: Vec<_> = queries.collect();
    let replies = smol::block_on(executor.run(async {
        let mut replies = Vec::new();
        for query in queries {
            replies.push(query.await);
        }
        replies
    }));
    let sent = replies.into_iter().filter_map(|(status, body, _)| match status {
        StatusCode::OK => Some(body),
        status => {
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
            None
        }
    });
    sent.collect()
}

cases! {
    /// Guards against a reader whose link is taken up by its peers' transfers.
    bytes_in_flight_are_limited => || {
        let budget: Arc<TransferBudget> = Arc::default();
        let size = MAX_BYTES_IN_FLIGHT / 4;
        let reserved: Vec<_> = (0..4).map(|_| budget.reserve(size)).collect();
        assert!(reserved.iter().all(Option::is_some));
        assert!(budget.reserve(size).is_none());
        drop(reserved);
        assert!(budget.reserve(size).is_some());
    };

    /// Guards against a snapshot that is longer than the limit and is sent to nobody.
    one_long_transfer_is_always_possible => || {
        let budget: Arc<TransferBudget> = Arc::default();
        let long = budget.reserve(2 * MAX_BYTES_IN_FLIGHT);
        assert!(long.is_some());
        assert!(budget.reserve(1).is_none());
    };

    /// Guards against transfers of a long configuration that take longer than the first requests
    /// wait, because it is sent uncompressed over slow links.
    a_long_snapshot_takes_a_tenth_of_its_bytes => || {
        let content = repetitive(1_200);
        let body = reply(&content, true);
        assert!(body.len() * 10 < content.len(), "{} of {} bytes", body.len(), content.len());
        let (freshness, decoded) = decode_snapshot(&body).unwrap();
        assert_eq!((freshness.position, decoded), (POSITION, content));
    };

    /// Guards against a content that the client doesn't ask for in compressed form, or that doesn't
    /// arrive as it was published.
    a_snapshot_arrives_whole => || {
        for content in [Bytes::from_static(b"short"), repetitive(1_200), incompressible(200_000)] {
            let server = Server::start(&content);
            let executor = Arc::new(Executor::new());
            let transfer = smol::block_on(executor.run(SnapshotClient::new(executor.clone()).fetch(
                server.address,
                Source::Configuration,
                Position(0),
                MAX_RELAYED_BYTES,
            )));
            assert_eq!(transfer.unwrap().content, content);
            assert_eq!(server.has_compressed(), content.len() >= MIN_COMPRESSED_BYTES);
        }
    };

    /// Guards against replies that an instance of an older version can't read.
    a_peer_without_compression_is_served => || {
        for content in [Bytes::from_static(b"short"), repetitive(1_200)] {
            let (status, body, _) = {
                let server = Server::start(&content);
                let executor = Arc::new(Executor::new());
                smol::block_on(executor.run(query(server.address, encode(&QUERY), &executor)))
            };
            assert_eq!(status, StatusCode::OK);
            let (snapshot, rest): (Snapshot, _) = decode_prefix(&body).unwrap();
            assert_eq!(snapshot.content, content);
            assert!(rest.is_empty());
        }
    };

    /// Guards against queries that an instance of an older version refuses: it decodes the fields
    /// that it has, and limits the length.
    a_peer_without_compression_reads_the_query => || {
        let long = SnapshotQuery { after: Position(u64::MAX), max_bytes: usize::MAX, ..QUERY };
        let bytes = encode(&(long, QueryExtension { accepts_deflate: true }));
        assert!(bytes.len() <= MAX_QUERY_BYTES);
        let read: SnapshotQuery = decode(&bytes).unwrap();
        assert_eq!((read.after, read.max_bytes), (long.after, long.max_bytes));
    };

    /// Guards against a reply of an older version that is taken for malformed.
    a_reply_of_a_peer_without_compression_is_read => || {
        let content = repetitive(1_200);
        let (_, decoded) = decode_snapshot(&reply(&content, false)).unwrap();
        assert_eq!(decoded, content);
    };

    /// Guards against fields of a later version that make this one refuse the query.
    further_fields_are_ignored => || {
        let bytes = encode(&(QUERY, QueryExtension { accepts_deflate: true }, "later fields"));
        let (_, extension): (SnapshotQuery, QueryExtension) = decode_extended(&bytes).unwrap();
        assert!(extension.accepts_deflate);
    };

    /// Guards against compression that costs processor time and makes the content longer.
    short_and_random_contents_are_sent_as_they_are => || {
        for content in [repetitive(5), incompressible(200_000)] {
            let body = reply(&content, true);
            let (snapshot, rest): (Snapshot, _) = decode_prefix(&body).unwrap();
            assert!(snapshot.content == content && rest.is_empty());
        }
    };

    /// Guards against a reader that compresses the same content for each of its peers, or sends an
    /// old one.
    a_version_is_compressed_once => || {
        let cache = CompressionCache::default();
        let (one, two) = (repetitive(100), repetitive(200));
        let compress = |source, content: &Bytes| {
            cache.get_or_compress(source, xxh3_64(content), content)
        };
        let first = compress(Source::Configuration, &one);
        compress(Source::Endpoints, &two);
        assert_eq!(first.as_ptr(), compress(Source::Configuration, &one).as_ptr());
        let newer = compress(Source::Configuration, &two);
        assert_eq!(decompress(&newer, two.len()).unwrap(), two);
    };

    /// Guards against a panic, or a partial configuration, where a reply was cut off.
    a_truncated_reply_is_malformed => || {
        let body = reply(&repetitive(100), true);
        for len in 0..body.len() {
            assert!(is_malformed(&body[..len]), "{len} of {} bytes", body.len());
        }
    };

    /// Guards against a panic, or another configuration, where bytes of a reply were changed.
    a_corrupt_reply_is_malformed => || {
        let content = repetitive(100);
        let body = reply(&content, true);
        for (at, bit) in (0..body.len()).flat_map(|at| (0..8).map(move |bit| (at, bit))) {
            let mut corrupt = body.to_vec();
            corrupt[at] ^= 1 << bit;
            // Some bits aren't used, and the position and age aren't part of the checksum.
            match decode_snapshot(&corrupt) {
                Ok((_, decoded)) => assert!(decoded == content, "bit {bit} of byte {at}"),
                Err(e) => assert!(matches!(e, TransferError::Malformed(_)), "{e}"),
            }
        }
    };

    /// Guards against a reply that makes an instance allocate more than a snapshot may have, whether
    /// its stated length is true or not.
    an_oversized_reply_is_malformed => || {
        let zeros = vec![0; MAX_SNAPSHOT_BYTES + 1];
        let compressed = CompressionCache::default().get_or_compress(Source::Configuration, 1, &zeros);
        for len in [zeros.len(), usize::MAX, MAX_SNAPSHOT_BYTES, 1_000, 0] {
            assert!(matches!(decompress(&compressed, len), Err(TransferError::Malformed(_))), "{len}");
        }
        let short = CompressionCache::default().get_or_compress(Source::Configuration, 1, b"short");
        for len in [0, 4, 6, MAX_SNAPSHOT_BYTES] {
            assert!(matches!(decompress(&short, len), Err(TransferError::Malformed(_))), "{len}");
        }
        assert!(decompress(&[], 0).is_err());
    };

    /// Guards against a reader that sends more at once than its link carries, and against one that
    /// refuses peers although the compressed snapshots are short.
    peers_at_once_stay_within_the_budget => || {
        let plain = QueryExtension { accepts_deflate: false };
        let compressed = QueryExtension { accepts_deflate: true };
        let content = repetitive(1_200);
        for (extension, served) in [(plain, [1, 2, 2]), (compressed, [1, 4, 50])] {
            for (peers, at_least) in [1, 4, 100].into_iter().zip(served) {
                let sent = query_at_once(peers, &content, extension);
                let bytes: usize = sent.iter().map(Bytes::len).sum();
                assert!(bytes <= MAX_BYTES_IN_FLIGHT, "{bytes} bytes to {peers} peers");
                assert!(sent.len() >= at_least, "{} of {peers} peers", sent.len());
                assert!(sent.iter().all(|body| decode_snapshot(body).unwrap().1 == content));
            }
        }
    };
}
