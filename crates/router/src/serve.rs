//! Accepts HTTP connections and serves requests on them.

use std::{
    convert::Infallible,
    future::Future,
    io::Write,
    net::{Shutdown, SocketAddr},
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use futures_lite::FutureExt;
use http::{HeaderValue, Request, Response, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use smol::{
    Async, Executor, Timer,
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::{
    connection_use::{CallerTimeouts, ConnectionUse, Overdue, TrackedBody, TrackedStream},
    filter::ResponseBody,
    net,
    request_body::{RequestBody, UnreadBody},
    resources::{Registration, Resources},
    signal::OneShot,
    state::Lifecycle,
};

/// Delay after a failed accept, whose usual cause is that file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a new connection may stay open without its first request while connections are being
/// closed.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a connection may stay open after a response that didn't announce its close while
/// connections are being closed: a round trip to a distant caller that continues at once.
const NEXT_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// Connections whose limit on heads has changed are closed over this time, so that their callers
/// don't all connect at once.
const MAX_OUTDATED_TIME: Duration = Duration::from_millis(600);

/// How long such a connection may stay open without a request. Where requests come more often, a
/// response announces the close. Both times and that of a query for changes are below the two
/// seconds within which a change has to be in force.
const OUTDATED_UNUSED_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a connection that makes room for others may take to send a response.
const EVICTION_GRACE_PERIOD: Duration = Duration::from_millis(100);

/// Connections beyond those of callers that the other listeners may accept, so that probes, metrics
/// and peers are served when callers use all of theirs.
const RESERVED_CONNECTIONS: usize = 64;

/// Sent without reading a request where no connection can be closed for a new one.
const CONNECTION_REFUSED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// The smallest read buffer that hyper accepts, and the limit of services without one of their own.
pub(crate) const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Bytes of the shortest header: a name of one byte, a colon and the end of the line.
const MIN_HEADER_BYTES: usize = 4;

/// Numbers of headers between which the limit is that of the head's size. Common callers send up to
/// the smaller one; a map of headers holds little more than the larger one.
const MIN_MAX_HEADERS: usize = 100;
const MAX_MAX_HEADERS: usize = 16 << 10;

/// Limits of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// How long a caller may take for a head from its first byte on.
    pub head_timeout: Duration,
    /// How long a connection may stay open without any byte of a head.
    pub idle_timeout: Duration,
}

impl ConnectionLimits {
    fn max_headers(&self) -> usize {
        (self.max_head_bytes / MIN_HEADER_BYTES).clamp(MIN_MAX_HEADERS, MAX_MAX_HEADERS)
    }

    fn timeouts(&self) -> CallerTimeouts {
        CallerTimeouts { head: self.head_timeout, idle: self.idle_timeout }
    }
}

/// An HTTP service.
pub trait Service: Send + Sync + 'static {
    /// Handles one request.
    fn respond(
        &self,
        req: Request<RequestBody>,
    ) -> impl Future<Output = Response<ResponseBody>> + Send;

    /// The current limits of connections.
    fn connection_limits(&self) -> ConnectionLimits;

    /// Maximum number of open connections, of all listeners, at which this one accepts another.
    fn max_connections(&self, resources: &Resources) -> usize {
        let max_head_bytes = self.connection_limits().max_head_bytes;
        resources.limits().connections(max_head_bytes) + RESERVED_CONNECTIONS
    }

    /// A flag that is set when the limits change next; never, by default.
    fn limits_changed(&self) -> Arc<OneShot> {
        Arc::default()
    }

    /// Lifecycle that says when connections have to be closed.
    fn lifecycle(&self) -> &Arc<Lifecycle>;
}

/// The address at which a request's connection was accepted, as an extension of the request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LocalAddress(pub(crate) SocketAddr);

/// Accepts connections until the future is dropped.
pub async fn serve<S: Service>(
    listener: &TcpListener,
    service: &Arc<S>,
    resources: &Arc<Resources>,
    executor: &Executor<'static>,
) {
    loop {
        let max = service.max_connections(resources);
        let (stream, registration) = admit(listener, resources, max).await;
        net::set_connection_options(&stream);
        net::limit_unsent_bytes(&stream);
        let local_address = stream.local_addr().ok().map(LocalAddress);
        let served = serve_stream(stream, local_address, service.clone(), registration);
        executor.spawn(served).detach();
    }
}

/// Accepts connections until there is room for one, where at most `max` may be open.
pub(crate) async fn admit(
    listener: &TcpListener,
    resources: &Arc<Resources>,
    max: usize,
) -> (TcpStream, Registration) {
    loop {
        let stream = accept(listener).await;
        match resources.admit(max).await {
            Some(registration) => return (stream, registration),
            None => refuse(&stream),
        }
    }
}

/// Refuses a connection whose request hasn't been read.
fn refuse(stream: &TcpStream) {
    let stream: Arc<Async<std::net::TcpStream>> = stream.clone().into();
    // The answer fits the buffer of a new connection; one that takes nothing is just closed.
    let sent = (&mut stream.get_ref()).write(CONNECTION_REFUSED);
    let closed = sent.and_then(|_| stream.get_ref().shutdown(Shutdown::Write));
    if let Err(e) = closed {
        log::debug!(cause:% = e; "refusal_not_sent");
    }
}

/// Accepts the next connection; errors are logged and retried.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(e) => {
                log::warn!(cause:% = e; "accept_failed");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the requests of one connection.
pub(crate) async fn serve_stream<S, T>(
    stream: T,
    local_address: Option<LocalAddress>,
    service: Arc<S>,
    registration: Registration,
) where
    S: Service,
    T: AsyncRead + AsyncWrite + Unpin,
{
    let limits = service.connection_limits();
    let _open = service.lifecycle().count_connection();
    let holder = registration.holder().clone();
    let connection_use = ConnectionUse::new(holder.clone());
    let is_outdated = AtomicBool::new(false);
    let handler = service_fn(|mut req: Request<Incoming>| {
        let service = service.clone();
        let in_use = connection_use.begin();
        req.extensions_mut().insert(holder.clone());
        if let Some(address) = local_address {
            req.extensions_mut().insert(address);
        }
        let (is_outdated, holder) = (&is_outdated, &holder);
        async move {
            let (req, unread) = UnreadBody::track(req);
            let mut resp = service.respond(req).await;
            let ended = async {
                service.lifecycle().wait_for_cutoff().or(holder.evicted()).await;
                false
            };
            let is_reusable = unread.discard().or(ended).await;
            let is_kept = is_reusable && holder.begin_service();
            if !is_kept || is_outdated.load(Ordering::Relaxed) {
                resp.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(resp.map(|body| TrackedBody::new(body, in_use)))
        }
    });
    // hyper keeps reading while a response is being produced, so a caller's disconnect ends the
    // connection's future and with it the work on the request. Its only timeout covers both heads and
    // idle connections, and can't change.
    let stream = TrackedStream::new(stream, connection_use.clone());
    let serving = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
        .max_header_size(limits.max_head_bytes)
        .max_headers(limits.max_headers())
        .half_close(false)
        .serve_connection(FuturesIo::new(stream), handler);
    let mut serving = pin!(serving);
    let lifecycle = service.lifecycle().clone();
    let ended = async { Event::Ended((&mut serving).await) };
    let closing = async {
        let stopping = async {
            lifecycle.wait_for_closing().await;
            NEXT_REQUEST_TIMEOUT
        };
        let outdated = async {
            wait_for_other_head_limit(&*service, &limits).await;
            Timer::after(MAX_OUTDATED_TIME.mul_f64(fastrand::f64())).await;
            is_outdated.store(true, Ordering::Relaxed);
            OUTDATED_UNUSED_TIMEOUT
        };
        let next_request = stopping.or(outdated).await;
        // Without this wait a connection would be closed while a request is in transit.
        connection_use.unused(FIRST_REQUEST_TIMEOUT, next_request).await;
        Event::Unused
    };
    let overdue = async { Event::Overdue(wait_until_overdue(&*service, &connection_use).await) };
    let evicted = async {
        holder.evicted().await;
        Event::Evicted
    };
    let result = match ended.or(closing).or(overdue).or(evicted).await {
        Event::Ended(result) => result,
        Event::Evicted => {
            // A request whose body was due is refused, and its response announces the close.
            let is_due = connection_use.is_in_flight() && holder.awaits_caller();
            let grace = if is_due { EVICTION_GRACE_PERIOD } else { Duration::ZERO };
            let closed = async {
                serving.await.ok();
            };
            let timed_out = async {
                Timer::after(grace).await;
            };
            return closed.or(timed_out).await;
        }
        Event::Overdue(Overdue::Head) => {
            log::debug!("head_overdue");
            return;
        }
        Event::Unused | Event::Overdue(Overdue::Idle) => {
            serving.as_mut().graceful_shutdown();
            // The rest of a response may wait for a caller that reads slowly.
            let evicted = async {
                holder.evicted().await;
                Ok(())
            };
            serving.or(evicted).await
        }
    };
    if let Err(e) = result {
        log::debug!(cause:% = e; "connection_ended");
    }
}

/// What ends the service of a connection.
enum Event {
    Ended(hyper::Result<()>),
    /// The connection has to be closed, and no request is in transit.
    Unused,
    Overdue(Overdue),
    /// The connection makes room for others.
    Evicted,
}

/// Waits until heads have another limit than the one that a connection was accepted with.
async fn wait_for_other_head_limit<S: Service>(service: &S, accepted: &ConnectionLimits) {
    loop {
        let changed = service.limits_changed();
        if service.connection_limits().max_head_bytes != accepted.max_head_bytes {
            return;
        }
        changed.wait().await;
    }
}

/// Waits until a caller has taken too long by the current limits.
async fn wait_until_overdue<S: Service>(service: &S, connection_use: &ConnectionUse) -> Overdue {
    loop {
        let changed = service.limits_changed();
        match connection_use.overdue_at(service.connection_limits().timeouts()) {
            Some((at, overdue)) if at <= Instant::now() => return overdue,
            Some((at, _)) => {
                let at = async {
                    Timer::at(at).await;
                };
                at.or(connection_use.changed()).or(changed.wait()).await;
            }
            None => connection_use.changed().await,
        }
    }
}
