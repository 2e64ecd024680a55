//! Incoming links.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use futures_lite::future::{or, pending};
use smol::{Async, Timer, net::TcpStream};
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::peer::{
    HELLO_TIMEOUT,
    count::CountedStream,
    frame::{FrameReader, FrameWriter},
    link::{self, HandshakeError, Streams},
    shared::Shared,
};

/// Incoming links that may be in their handshake at once; more would be a flood rather than peers.
const MAX_PENDING_HANDSHAKES: usize = 512;

/// Delay after a failed accept, as when the process is out of file descriptors. Also the time that
/// a connection gets to flush its data after its link has ended.
const RETRY_AND_FLUSH_DELAY: Duration = Duration::from_millis(100);

pub(super) fn bind(address: SocketAddr) -> io::Result<Async<std::net::TcpListener>> {
    Async::<std::net::TcpListener>::bind(address)
}

pub(super) async fn run(shared: Arc<Shared>, listener: Async<std::net::TcpListener>) {
    let pending_handshakes = Arc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, _)) if Arc::strong_count(&pending_handshakes) <= MAX_PENDING_HANDSHAKES => {
                let (mesh_shared, permit) = (shared.clone(), pending_handshakes.clone());
                shared.spawn(serve(mesh_shared, stream.into(), permit));
            }
            // Dropping the stream closes the connection.
            Ok(_) => log::warn!("peer_accept_flood"),
            Err(err) => {
                log::warn!(error:% = err; "peer_accept_failed");
                Timer::after(RETRY_AND_FLUSH_DELAY).await;
            }
        }
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream, permit: Arc<()>) {
    // Without TCP_NODELAY small packets wait for acknowledgements. If it can't be set, the link is
    // only slower.
    stream.set_nodelay(true).ok();
    let stream = CountedStream { stream, counters: shared.traffic.clone() };
    let Ok(mut connection) = within_hello_timeout(h2::server::handshake(stream.compat())).await
    else {
        return;
    };
    let Ok(Some(Ok((req, mut respond)))) =
        within_hello_timeout(async { Ok::<_, h2::Error>(connection.accept().await) }).await
    else {
        return;
    };
    let Ok(writer) = respond.send_response(http::Response::new(()), false) else {
        return;
    };
    // The connection only makes progress while it is polled. Further streams on it are refused.
    let drive_connection = async { while let Some(Ok(_)) = connection.accept().await {} };
    let streams = Streams {
        reader: FrameReader::new(req.into_body()),
        writer: FrameWriter::new(writer),
        dialled: false,
    };
    let run_link = async {
        if let Err(err) = handshake_and_run(&shared, streams, permit).await {
            log::debug!(error:% = err; "peer_not_linked");
        }
    };
    run_with_connection(run_link, drive_connection).await;
}

async fn handshake_and_run(
    shared: &Arc<Shared>,
    mut streams: Streams,
    permit: Arc<()>,
) -> Result<(), HandshakeError> {
    let hello = within_hello_timeout(link::accept_handshake(shared, &mut streams))
        .await
        .map_err(|err| err.unwrap_or(HandshakeError::MissingHello))?;
    drop(permit);
    link::run(shared, hello, streams).await
}

/// Runs a link concurrently with the connection that carries it. If the connection ends first, the
/// link sees the end of its stream and can clean up. If the link ends first, the connection gets a
/// short time to send what is left.
pub(super) async fn run_with_connection(
    link: impl Future<Output = ()>,
    drive_connection: impl Future<Output = ()>,
) {
    let mut drive_connection = std::pin::pin!(drive_connection);
    let mut connection_ended = false;
    let drive_until_link_ends = async {
        drive_connection.as_mut().await;
        connection_ended = true;
        pending().await
    };
    or(link, drive_until_link_ends).await;
    if !connection_ended {
        let flush_timeout = async {
            Timer::after(RETRY_AND_FLUSH_DELAY).await;
        };
        or(drive_connection, flush_timeout).await;
    }
}

/// Returns the future's output, or `Err(None)` if it isn't ready within [`HELLO_TIMEOUT`].
pub(super) async fn within_hello_timeout<T, E>(
    future: impl Future<Output = Result<T, E>>,
) -> Result<T, Option<E>> {
    let timeout = async {
        Timer::after(HELLO_TIMEOUT).await;
        Err(None)
    };
    or(async { future.await.map_err(Some) }, timeout).await
}
