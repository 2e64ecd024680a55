//! Accepts the connections of other instances, which carry either snapshots (HTTP/2) or requests that
//! they pass on (HTTP/1.1).

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use futures_lite::FutureExt;
use smol::{
    Executor, Timer,
    io::{AsyncRead, AsyncReadExt, AsyncWrite},
    net::{TcpListener, TcpStream},
};

use crate::{
    net,
    resources::Resources,
    serve::{self, Service},
    snapshot::SnapshotServer,
};

/// Time for the first bytes of a connection.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_secs(1);

/// The first bytes of the HTTP/2 connection preface. No HTTP/1.1 request begins with them.
const HTTP2_PREFACE: [u8; 3] = *b"PRI";

/// Accepts connections until it is dropped.
pub(crate) async fn serve<S: Service>(
    listener: &TcpListener,
    snapshots: &Arc<SnapshotServer>,
    requests: &Arc<S>,
    resources: &Arc<Resources>,
    executor: &Executor<'static>,
) {
    loop {
        let max = requests.max_connections(resources);
        let (stream, registration) = serve::admit(listener, resources, max).await;
        let (snapshots, requests) = (snapshots.clone(), requests.clone());
        let connection = async move {
            net::set_connection_options(&stream);
            match first_bytes(stream).await {
                Ok(stream) if stream.first == HTTP2_PREFACE => {
                    if registration.holder().begin_service() {
                        snapshots.serve(stream).await;
                    }
                }
                Ok(stream) => serve::serve_stream(stream, None, requests, registration).await,
                Err(e) => log::debug!(cause:% = e; "peer_connection_ended"),
            }
        };
        executor.spawn(connection).detach();
    }
}

async fn first_bytes(mut stream: TcpStream) -> io::Result<PeekedStream> {
    let mut first = HTTP2_PREFACE;
    let timed_out = async {
        Timer::after(FIRST_BYTES_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    stream.read_exact(&mut first).or(timed_out).await?;
    Ok(PeekedStream { first, unread: first.len(), stream })
}

/// A connection whose first bytes have been looked at; they are read again.
pub(crate) struct PeekedStream {
    first: [u8; HTTP2_PREFACE.len()],
    /// Number of first bytes that are still to be read again.
    unread: usize,
    stream: TcpStream,
}

impl AsyncRead for PeekedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.unread == 0 {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        let len = self.unread.min(buf.len());
        let start = self.first.len() - self.unread;
        buf[..len].copy_from_slice(&self.first[start..start + len]);
        self.unread -= len;
        Poll::Ready(Ok(len))
    }
}

impl AsyncWrite for PeekedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
