//! Links dialled by others.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use futures_lite::future::{or, pending};
use smol::{Async, Timer, net::TcpStream};
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::peer::{
    HELLO_TIMEOUT,
    count::Counted,
    frame::{FrameReader, FrameWriter},
    link::{self, HelloError, Streams},
    shared::Shared,
};

/// The most links that may be in their hello at once; more would be a flood, not peers.
const MAX_GREETING: usize = 512;

/// Pause after a failed accept, as when the process is out of file descriptors.
const PAUSE: Duration = Duration::from_millis(100);

pub(super) fn bind(address: SocketAddr) -> io::Result<Async<std::net::TcpListener>> {
    Async::<std::net::TcpListener>::bind(address)
}

pub(super) async fn run(shared: Arc<Shared>, listener: Async<std::net::TcpListener>) {
    let greeting = Arc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, _)) if Arc::strong_count(&greeting) <= MAX_GREETING => {
                let (mesh, permit) = (shared.clone(), greeting.clone());
                shared.spawn(serve(mesh, stream.into(), permit));
            }
            // Dropping the stream closes it.
            Ok(_) => log::warn!("peer_accept_flood"),
            Err(err) => {
                log::warn!(error:% = err; "peer_accept_failed");
                Timer::after(PAUSE).await;
            }
        }
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream, permit: Arc<()>) {
    // Without it small packets wait for acknowledgements; a socket that refuses is just slower.
    stream.set_nodelay(true).ok();
    let stream = Counted { stream, counters: shared.traffic.clone() };
    let Ok(mut connection) = within(h2::server::handshake(stream.compat())).await else {
        return;
    };
    let Ok(Some(Ok((req, mut respond)))) =
        within(async { Ok::<_, h2::Error>(connection.accept().await) }).await
    else {
        return;
    };
    let Ok(writer) = respond.send_response(http::Response::new(()), false) else {
        return;
    };
    // The connection moves bytes only while it is polled; further streams on it are refused.
    let driven = async { while let Some(Ok(_)) = connection.accept().await {} };
    let streams = Streams {
        reader: FrameReader::new(req.into_body()),
        writer: FrameWriter::new(writer),
        dialled: false,
    };
    let linked = async {
        if let Err(err) = greet_and_run(&shared, streams, permit).await {
            log::debug!(error:% = err; "peer_not_linked");
        }
    };
    run_beside(linked, driven).await;
}

async fn greet_and_run(
    shared: &Arc<Shared>,
    mut streams: Streams,
    permit: Arc<()>,
) -> Result<(), HelloError> {
    let hello = within(link::greet_back(shared, &mut streams))
        .await
        .map_err(|late| late.unwrap_or(HelloError::NoHello))?;
    drop(permit);
    link::run(shared, hello, streams).await
}

/// Runs a link beside the connection that carries it. A connection that breaks ends the link
/// through its stream, so that the link can clean up. After the link's end the connection may
/// still have bytes to send, and gets a moment for them.
pub(super) async fn run_beside(link: impl Future<Output = ()>, driven: impl Future<Output = ()>) {
    let mut driven = std::pin::pin!(driven);
    let mut broken = false;
    let driving = async {
        driven.as_mut().await;
        broken = true;
        pending().await
    };
    or(link, driving).await;
    if !broken {
        let moment = async {
            Timer::after(PAUSE).await;
        };
        or(driven, moment).await;
    }
}

/// The future's output if it comes within [`HELLO_TIMEOUT`]; an error without content where it
/// doesn't.
pub(super) async fn within<T, E>(
    future: impl Future<Output = Result<T, E>>,
) -> Result<T, Option<E>> {
    let limit = async {
        Timer::after(HELLO_TIMEOUT).await;
        Err(None)
    };
    or(async { future.await.map_err(Some) }, limit).await
}
