//! How a connection is used, so that it stays open for a while after a response, when a request may be in
//! transit, and is closed where its caller takes too long.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, Waker, ready},
    time::{Duration, Instant},
};

use bytes::Buf;
use http_body::{Body, Frame, SizeHint};
use smol::{
    Timer,
    io::{AsyncRead, AsyncWrite},
};

use crate::{
    lock,
    resources::{CONNECTION_HEAD_BYTES, Exhausted, Holder, Permit},
    signal::Signal,
};

/// What a byte of a long head takes up: its buffer is doubled as it grows, and copied.
const HEAD_GROWTH: usize = 3;

/// Bytes that are read at once. hyper enlarges its buffer where a read fills it, up to the largest
/// head that is allowed, also for bodies.
const MAX_READ_BYTES: usize = 16 << 10;

/// Bytes of a response that wait to be written when its body isn't asked for more. What hyper has
/// taken over doesn't count towards the buffers, and it takes as much as the largest head has.
const MAX_UNWRITTEN_BYTES: usize = 64 << 10;

/// The use of one connection.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionUse {
    state: Arc<Mutex<State>>,
    ended: Arc<Signal>,
    /// Raised when a head begins or a request ends.
    changed: Arc<Signal>,
    holder: Arc<Holder>,
}

#[derive(Debug)]
struct State {
    in_flight: usize,
    has_served: bool,
    /// When the connection was opened or its last response ended.
    idle_from: Instant,
    /// When the first bytes of a head arrived whose request isn't in flight yet.
    head_from: Option<Instant>,
    /// Bytes received since then, and room for those beyond what is the connection's own.
    head_bytes: usize,
    head_permit: Permit,
    /// Bytes of bodies that hyper has taken over and not written, and who waits for it.
    unwritten_bytes: usize,
    waker: Option<Waker>,
}

/// How long callers may keep a connection waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallerTimeouts {
    /// From the first bytes of a head to its end.
    pub(crate) head: Duration,
    /// Without any byte of a head.
    pub(crate) idle: Duration,
}

/// What a caller has taken too long for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Overdue {
    /// To complete a head.
    Head,
    /// To begin one.
    Idle,
}

impl ConnectionUse {
    /// Starts with a new connection.
    pub(crate) fn new(holder: Arc<Holder>) -> ConnectionUse {
        let state = State {
            in_flight: 0,
            has_served: false,
            idle_from: Instant::now(),
            head_from: None,
            head_bytes: 0,
            head_permit: holder.permit(),
            unwritten_bytes: 0,
            waker: None,
        };
        ConnectionUse {
            state: Arc::new(Mutex::new(state)),
            ended: Arc::default(),
            changed: Arc::default(),
            holder,
        }
    }

    /// Whether a request is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        lock(&self.state).in_flight > 0
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn begin(&self) -> InUse {
        let mut state = lock(&self.state);
        state.in_flight += 1;
        state.has_served = true;
        state.head_from = None;
        state.head_bytes = 0;
        state.head_permit.shrink_to(0);
        drop(state);
        self.holder.await_caller();
        InUse(self.clone())
    }

    /// Waits until no request is in flight and none has come for `next_request`, or for
    /// `first_request` on a new connection.
    pub(crate) async fn unused(&self, first_request: Duration, next_request: Duration) {
        loop {
            let unused_from = {
                let state = lock(&self.state);
                let wait = if state.has_served { next_request } else { first_request };
                (state.in_flight == 0).then(|| state.idle_from + wait)
            };
            match unused_from {
                Some(at) if at <= Instant::now() => return,
                Some(at) => {
                    Timer::at(at).await;
                }
                None => self.ended.raised().await,
            }
        }
    }

    /// When the caller is overdue unless it sends more; none while a request is in flight.
    pub(crate) fn overdue_at(&self, timeouts: CallerTimeouts) -> Option<(Instant, Overdue)> {
        let state = lock(&self.state);
        match state.head_from {
            _ if state.in_flight > 0 => None,
            Some(from) => Some((from + timeouts.head, Overdue::Head)),
            None => Some((state.idle_from + timeouts.idle, Overdue::Idle)),
        }
    }

    /// Waits until a head begins or a request ends.
    pub(crate) async fn changed(&self) {
        self.changed.raised().await;
    }

    fn record_written(&self, written: &Poll<io::Result<usize>>) {
        let len = match written {
            Poll::Pending => None,
            Poll::Ready(written) => Some(*written.as_ref().unwrap_or(&0)),
        };
        self.holder.record_sent(len);
        let mut state = lock(&self.state);
        // Heads are written too, and count as if they were of a body.
        state.unwritten_bytes = state.unwritten_bytes.saturating_sub(len.unwrap_or(0));
        if state.unwritten_bytes < MAX_UNWRITTEN_BYTES
            && let Some(waker) = state.waker.take()
        {
            drop(state);
            waker.wake();
        }
    }

    /// Waits until less of a body has to be written.
    fn poll_write_room(&self, cx: &Context<'_>) -> Poll<()> {
        let mut state = lock(&self.state);
        if state.unwritten_bytes < MAX_UNWRITTEN_BYTES {
            return Poll::Ready(());
        }
        state.waker = Some(cx.waker().clone());
        Poll::Pending
    }

    fn record_unwritten(&self, bytes: usize) {
        lock(&self.state).unwritten_bytes += bytes;
    }

    /// Records received bytes. Fails where they are of a long head for which there is no room.
    fn record_bytes(&self, len: usize) -> Result<(), Exhausted> {
        let mut state = lock(&self.state);
        if state.in_flight > 0 {
            return Ok(());
        }
        state.head_bytes += len;
        let missing = state.head_bytes.saturating_sub(CONNECTION_HEAD_BYTES).min(len);
        if missing > 0 {
            state.head_permit.try_grow(HEAD_GROWTH * missing)?;
        }
        if state.head_from.is_none() {
            state.head_from = Some(Instant::now());
            drop(state);
            self.holder.await_caller();
            self.changed.raise();
        }
        Ok(())
    }
}

/// Counts one request as in flight on its connection until it is dropped.
#[derive(Debug)]
pub(crate) struct InUse(ConnectionUse);

impl Drop for InUse {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.in_flight -= 1;
        state.idle_from = Instant::now();
        drop(state);
        self.0.holder.await_caller();
        self.0.ended.raise();
        self.0.changed.raise();
    }
}

/// A connection that records when its caller sends something.
#[derive(Debug)]
pub(crate) struct TrackedStream<T> {
    stream: T,
    connection_use: ConnectionUse,
}

impl<T> TrackedStream<T> {
    /// Records what is read from `stream`.
    pub(crate) fn new(stream: T, connection_use: ConnectionUse) -> TrackedStream<T> {
        TrackedStream { stream, connection_use }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for TrackedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let len = buf.len().min(MAX_READ_BYTES);
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..len]);
        if let Poll::Ready(Ok(len)) = read
            && len > 0
        {
            self.connection_use.holder.record_received(len);
            if let Err(Exhausted) = self.connection_use.record_bytes(len) {
                return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
            }
        }
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for TrackedStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.connection_use.record_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.connection_use.record_written(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// A body that keeps its connection in use until it has been sent or dropped.
#[derive(Debug)]
pub(crate) struct TrackedBody<B> {
    body: B,
    in_use: InUse,
}

impl<B> TrackedBody<B> {
    /// Attaches the guard of the body's request.
    pub(crate) fn new(body: B, in_use: InUse) -> TrackedBody<B> {
        TrackedBody { body, in_use }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        ready!(self.in_use.0.poll_write_room(cx));
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            self.in_use.0.record_unwritten(frame.data_ref().map_or(0, Buf::remaining));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
