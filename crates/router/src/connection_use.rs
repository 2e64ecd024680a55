//! Whether a connection is in use, so that it isn't closed while a request may be in transit.

use std::{
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use http_body::{Body, Frame, SizeHint};
use smol::Timer;

use crate::{lock, signal::Signal};

/// The use of one connection.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionUse {
    state: Arc<Mutex<State>>,
    ended: Arc<Signal>,
    /// How long to wait for a request after the previous response.
    next_request_timeout: Duration,
}

#[derive(Debug)]
struct State {
    in_flight: usize,
    /// Until when a request may be in transit.
    unused_from: Instant,
}

impl ConnectionUse {
    /// Starts with a new connection.
    pub(crate) fn new(
        first_request_timeout: Duration,
        next_request_timeout: Duration,
    ) -> ConnectionUse {
        let unused_from = Instant::now() + first_request_timeout;
        ConnectionUse {
            state: Arc::new(Mutex::new(State { in_flight: 0, unused_from })),
            ended: Arc::default(),
            next_request_timeout,
        }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn begin(&self) -> InUse {
        lock(&self.state).in_flight += 1;
        InUse(self.clone())
    }

    /// Waits until no request is in flight and none has come for the timeout.
    pub(crate) async fn unused(&self) {
        loop {
            let unused_from = {
                let state = lock(&self.state);
                (state.in_flight == 0).then_some(state.unused_from)
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
}

/// Counts one request as in flight on its connection until it is dropped.
#[derive(Debug)]
pub(crate) struct InUse(ConnectionUse);

impl Drop for InUse {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.in_flight -= 1;
        state.unused_from = Instant::now() + self.0.next_request_timeout;
        drop(state);
        self.0.ended.raise();
    }
}

/// A body that keeps its connection in use until it has been sent or dropped.
#[derive(Debug)]
pub(crate) struct TrackedBody<B> {
    body: B,
    _in_use: InUse,
}

impl<B> TrackedBody<B> {
    /// Attaches the guard of the body's request.
    pub(crate) fn new(body: B, in_use: InUse) -> TrackedBody<B> {
        TrackedBody { body, _in_use: in_use }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
