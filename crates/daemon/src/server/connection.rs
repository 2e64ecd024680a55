//! One caller's connection: its requests one after another, its deadline and its hang-up.

use std::{
    io,
    panic::AssertUnwindSafe,
    sync::{Arc, Mutex},
    time::Duration,
};

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
    record::CallRecord,
    server::{Service, last_words, respond, router, stream::CallerStream},
};

/// How long after a request's deadline its caller may still be taking the answer's last bytes.
/// Beyond it a caller that reads nothing would hold the connection for ever.
pub const WRITE_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// One caller's connection.
#[derive(Debug)]
pub struct Connection {
    socket: TcpStream,
    state: Mutex<State>,
    /// Closing it cuts the connection.
    cut: Sender<()>,
    was_cut: Receiver<()>,
}

#[derive(Debug)]
struct State {
    /// When the request under way is cut, whatever it does.
    cut_at: Time,
    /// The request under way; none between requests.
    record: Option<Arc<CallRecord>>,
    /// The head of the present request was read.
    was_read: bool,
    /// When the last request ended.
    idle_since: Time,
}

impl Connection {
    /// A connection that was just accepted.
    pub fn new(socket: TcpStream, now: Time) -> Arc<Connection> {
        let state = State { cut_at: Time::MAX, record: None, was_read: false, idle_since: now };
        let (cut, was_cut) = bounded(1);
        Arc::new(Connection { socket, state: Mutex::new(state), cut, was_cut })
    }

    /// Whether the other end is on this machine.
    pub fn is_local(&self) -> bool {
        self.socket.peer_addr().is_ok_and(|address| address.ip().is_loopback())
    }

    /// Notes that a request is under way, which keeps a stopping instance from closing.
    pub fn begin_request(&self, record: Arc<CallRecord>) {
        lock(&self.state).record = Some(record);
    }

    /// Cuts the connection at `time` if the request under way still is by then.
    pub fn set_cut_time(&self, time: Time) {
        lock(&self.state).cut_at = time;
    }

    /// Waits until the caller has hung up. The HTTP library notices that only when it writes,
    /// which for a long prompt is minutes too late for the engine's memory.
    pub async fn wait_for_hang_up(&self) {
        let socket: Arc<Async<std::net::TcpStream>> = self.socket.clone().into();
        let mut byte = [0];
        // The system is asked only when the socket has something to tell. `peek` of the
        // asynchronous socket would ask it each time that the request's task runs, for every token.
        while socket.readable().await.is_ok() {
            match socket.get_ref().peek(&mut byte) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Ok(0) | Err(_) => return,
                // The next request is already here, so an end behind it can't be seen. Writing
                // the answer will show it.
                Ok(_) => return std::future::pending().await,
            }
        }
    }

    /// Serves requests until one side closes.
    pub(super) async fn run(self: Arc<Self>, service: &Service) {
        // Tokens are small and must not wait for an acknowledgement of the one before.
        self.socket.set_nodelay(true).ok();
        let stream = CallerStream::new(self.socket.clone());
        let endpoint = |req| {
            lock(&self.state).was_read = true;
            router::route(service, self.clone(), req)
        };
        let mut server = Server::new(stream.clone(), endpoint);
        loop {
            lock(stream.guard()).arm();
            // On the heap once; wrapped as it is, each wrapper would hold a copy of its room.
            let one = AssertUnwindSafe(Box::pin(server.accept_one())).catch_unwind();
            let one = async { Some(one.await) };
            let cut = async {
                // Nothing is ever sent; this ends when the channel is closed.
                self.was_cut.recv().await.ok();
                None
            };
            let ended = one.or(cut).await;
            let was_read = self.finish(service.shared.clock.now());
            let began = lock(stream.guard()).began();
            match ended {
                Some(Ok(Ok(ConnectionStatus::KeepAlive))) => continue,
                Some(Ok(Err(_)) | Err(_)) if began && !was_read => {
                    return self.refuse(service, &stream).await;
                }
                _ => return,
            }
        }
    }

    /// Ends the request under way, if any, and tells whether its head was read.
    fn finish(&self, now: Time) -> bool {
        let mut state = lock(&self.state);
        state.cut_at = Time::MAX;
        state.idle_since = now;
        state.record = None;
        std::mem::take(&mut state.was_read)
    }

    /// Cuts the connection where the request under way is past its time, or where none is under
    /// way since `idle_since`.
    pub(super) fn cut_if_late(&self, now: Time, idle_since: Option<Time>) {
        let state = lock(&self.state);
        let is_idle = state.record.is_none() && idle_since.is_some_and(|t| state.idle_since <= t);
        if now >= state.cut_at || is_idle {
            self.cut.close();
        }
    }

    /// Answers a head that the HTTP library couldn't read. The library itself would only close.
    async fn refuse(&self, service: &Service, stream: &CallerStream) {
        let finding = lock(stream.guard()).finding().map(str::to_owned);
        let text = "the head of the request can't be read: it needs a method, a path, `HTTP/1.1`, \
                    a `Host` header, and at most 128 headers in 8 KB";
        let e = CallError::malformed(finding.unwrap_or_else(|| text.to_owned()));
        let record = service.shared.begin_request(None);
        record.update(|summary| (summary.status, summary.outcome) = (e.status.into(), e.code));
        let bytes = respond::raw(&e, Some(&record.request_id()));
        last_words::say(self.socket.clone(), &bytes).await;
    }
}
