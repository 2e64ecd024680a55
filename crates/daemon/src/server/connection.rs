//! A caller's connection: serves its requests in sequence, enforces their deadlines and detects
//! that the caller has hung up.

use std::{
    io,
    panic::AssertUnwindSafe,
    sync::{Arc, Mutex},
    time::Duration,
};

use ::router::{net::limit_unsent_bytes, resources::Holder};
use async_h1::server::{ConnectionStatus, Server};
use futures_lite::FutureExt;
use policy::Time;
use smol::{
    Async,
    channel::{Receiver, Sender, bounded},
    net::TcpStream,
};

use crate::{
    endpoint::lock,
    error::CallError,
    filter::receive,
    record::CallRecord,
    server::{ListenerContext, final_response, refuse, respond, router, stream::CallerStream},
};

/// How long after a request's deadline its caller may still receive the rest of the response.
/// Without this limit a caller that doesn't read would keep the connection open for ever.
pub const WRITE_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// A connection of a caller or an operator.
#[derive(Debug)]
pub struct Connection {
    socket: TcpStream,
    holder: Arc<Holder>,
    state: Mutex<State>,
    /// Closing this channel ends [`Connection::run`], which closes the connection.
    cut_tx: Sender<()>,
    cut_rx: Receiver<()>,
}

#[derive(Debug)]
struct State {
    /// When the connection is closed even if a request is in flight.
    cut_at: Time,
    /// The request in flight; `None` between requests.
    record: Option<Arc<CallRecord>>,
    /// Whether the head of the current request was parsed.
    head_was_read: bool,
    /// When the last request ended, or the connection was accepted.
    idle_since: Time,
}

impl Connection {
    /// Wraps a socket that was accepted at `now`.
    pub fn new(socket: TcpStream, holder: Arc<Holder>, now: Time) -> Arc<Connection> {
        let state =
            State { cut_at: Time::MAX, record: None, head_was_read: false, idle_since: now };
        let (cut_tx, cut_rx) = bounded(1);
        Arc::new(Connection { socket, holder, state: Mutex::new(state), cut_tx, cut_rx })
    }

    /// What the instance holds for the connection.
    pub fn holder(&self) -> &Arc<Holder> {
        &self.holder
    }

    /// Whether the peer is a process on this machine.
    pub fn is_loopback(&self) -> bool {
        self.socket.peer_addr().is_ok_and(|address| address.ip().is_loopback())
    }

    /// Marks the connection as busy, so that a shutdown doesn't close it as idle.
    pub fn begin_request(&self, record: Arc<CallRecord>) {
        lock(&self.state).record = Some(record);
        self.holder.await_caller();
    }

    /// Sets the time at which the connection is closed if the current request hasn't ended.
    pub fn set_cut_time(&self, time: Time) {
        lock(&self.state).cut_at = time;
    }

    /// Waits until the caller has closed its connection. The HTTP library notices that only when it
    /// writes; for a long prompt that is minutes later, and the engine's memory stays allocated
    /// until then.
    pub async fn wait_for_hang_up(&self) {
        let socket: Arc<Async<std::net::TcpStream>> = self.socket.clone().into();
        let mut byte = [0];
        // Waits for readiness first, so that the system call is made only when the socket's state
        // has changed. `peek` of the asynchronous socket would make one each time the request's
        // task is polled, which is for every token.
        while socket.readable().await.is_ok() {
            match socket.get_ref().peek(&mut byte) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Ok(0) | Err(_) => return,
                // The next request has already arrived, so the end of the stream behind it can't
                // be detected here. Writing the response will fail instead.
                Ok(_) => return std::future::pending().await,
            }
        }
    }

    /// Serves requests until either side closes the connection.
    pub(super) async fn run(self: Arc<Self>, context: &ListenerContext) {
        // Disables Nagle's algorithm: tokens are small packets and mustn't wait until the previous
        // one is acknowledged.
        self.socket.set_nodelay(true).ok();
        limit_unsent_bytes(&self.socket);
        let stream = CallerStream::new(self.socket.clone(), self.holder.clone());
        let handler = |req| {
            lock(&self.state).head_was_read = true;
            router::route(context, self.clone(), req)
        };
        let mut server = Server::new(stream.clone(), handler);
        loop {
            lock(stream.validator()).reset();
            // Boxed once here; otherwise every wrapping future would contain its full size.
            let accept = AssertUnwindSafe(Box::pin(server.accept_one())).catch_unwind();
            let accept = async { Some(accept.await) };
            let evicted = async {
                self.holder.evicted().await;
                None
            };
            let cut = async {
                // Nothing is ever sent; this completes when the channel is closed.
                self.cut_rx.recv().await.ok();
                None
            };
            let outcome = accept.or(cut).or(evicted).await;
            if outcome.is_none()
                && let Some(record) = self.evicted_request()
            {
                let e = receive::busy();
                record.update(|summary| {
                    (summary.status, summary.outcome) = (e.status.into(), e.code);
                });
                let bytes = respond::raw_error(&e, Some(&record.request_id()));
                return refuse(&context.shared, self.socket.clone(), bytes);
            }
            let head_was_read = self.finish(context.shared.clock.now());
            let head_has_started = lock(stream.validator()).has_started();
            match outcome {
                Some(Ok(Ok(ConnectionStatus::KeepAlive))) => continue,
                Some(Ok(Err(_)) | Err(_)) if head_has_started && !head_was_read => {
                    return self.answer_malformed_head(context, &stream).await;
                }
                _ => return,
            }
        }
    }

    /// The request whose body is due, if the connection makes room for others.
    fn evicted_request(&self) -> Option<Arc<CallRecord>> {
        let is_due = self.holder.is_evicted() && self.holder.awaits_caller();
        lock(&self.state).record.clone().filter(|_| is_due)
    }

    /// Clears the state of the current request, if any. Returns whether its head was parsed.
    fn finish(&self, now: Time) -> bool {
        let mut state = lock(&self.state);
        state.cut_at = Time::MAX;
        state.idle_since = now;
        state.record = None;
        self.holder.await_caller();
        std::mem::take(&mut state.head_was_read)
    }

    /// Closes the connection if the current request is past its time limit, or if no request has
    /// been in flight since `idle_since`.
    pub(super) fn cut_if_overdue(&self, now: Time, idle_since: Option<Time>) {
        let state = lock(&self.state);
        let is_idle = state.record.is_none() && idle_since.is_some_and(|t| state.idle_since <= t);
        if now >= state.cut_at || is_idle {
            self.cut_tx.close();
        }
    }

    /// Sends an error response for a head that the HTTP library couldn't parse. The library itself
    /// would only close the connection.
    async fn answer_malformed_head(&self, context: &ListenerContext, stream: &CallerStream) {
        let error = lock(stream.validator()).error().map(str::to_owned);
        let text = "the head of the request can't be read: it needs a method, a path, `HTTP/1.1`, \
                    a `Host` header, and at most 128 headers in 8 KB";
        let e = CallError::malformed(error.unwrap_or_else(|| text.to_owned()));
        let record = context.shared.begin_request(None);
        record.update(|summary| (summary.status, summary.outcome) = (e.status.into(), e.code));
        let bytes = respond::raw_error(&e, Some(&record.request_id()));
        final_response::send(self.socket.clone(), &bytes).await;
    }
}
