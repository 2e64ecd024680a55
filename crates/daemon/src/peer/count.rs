//! Traffic counters of a mesh.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    task::{Context, Poll, ready},
};

use futures_lite::{AsyncRead, AsyncWrite};

use crate::peer::Traffic;

/// Counters shared by all links of a mesh.
#[derive(Debug, Default)]
pub(super) struct Counters {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    pub(super) links_established: AtomicU64,
    pub(super) links_timed_out: AtomicU64,
}

impl Counters {
    pub(super) fn read(&self) -> Traffic {
        Traffic {
            sent_bytes: self.sent_bytes.load(Relaxed),
            received_bytes: self.received_bytes.load(Relaxed),
            links_established: self.links_established.load(Relaxed),
            links_timed_out: self.links_timed_out.load(Relaxed),
        }
    }
}

/// Wraps a stream and counts the bytes read and written.
pub(super) struct CountedStream<S> {
    pub(super) stream: S,
    pub(super) counters: Arc<Counters>,
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let len = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.counters.received_bytes.fetch_add(len as u64, Relaxed);
        Poll::Ready(Ok(len))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let len = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.counters.sent_bytes.fetch_add(len as u64, Relaxed);
        Poll::Ready(Ok(len))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
