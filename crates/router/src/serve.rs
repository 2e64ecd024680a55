//! Accepts HTTP connections and serves requests on them.

use std::{convert::Infallible, future::Future, pin::pin, sync::Arc, time::Duration};

use futures_lite::FutureExt;
use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use smol::{
    Executor, Timer,
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::{
    connection_use::{ConnectionUse, TrackedBody},
    filter::ResponseBody,
    net,
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

/// The smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Limits of a connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// How long a connection may take to send a complete head; also the idle time between requests.
    pub idle_timeout: Duration,
}

/// An HTTP service.
pub trait Service: Send + Sync + 'static {
    /// Handles one request.
    fn respond(
        &self,
        req: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>> + Send;

    /// Limits of connections accepted from now on.
    fn connection_limits(&self) -> ConnectionLimits;

    /// Lifecycle that says when connections have to be closed.
    fn lifecycle(&self) -> &Arc<Lifecycle>;
}

/// Accepts connections until the future is dropped.
pub async fn serve<S: Service>(
    listener: &TcpListener,
    service: &Arc<S>,
    executor: &Executor<'static>,
) {
    loop {
        let stream = accept(listener).await;
        net::set_connection_options(&stream);
        executor.spawn(serve_stream(stream, service.clone())).detach();
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
pub(crate) async fn serve_stream<S, T>(stream: T, service: Arc<S>)
where
    S: Service,
    T: AsyncRead + AsyncWrite + Unpin,
{
    let limits = service.connection_limits();
    let _open = service.lifecycle().count_connection();
    let connection_use = ConnectionUse::new(FIRST_REQUEST_TIMEOUT, NEXT_REQUEST_TIMEOUT);
    let handler = service_fn(|req| {
        let service = service.clone();
        let in_use = connection_use.begin();
        async move {
            let resp = service.respond(req).await;
            Ok::<_, Infallible>(resp.map(|body| TrackedBody::new(body, in_use)))
        }
    });
    // hyper keeps reading while a response is being produced, so a caller's disconnect ends the
    // connection's future and with it the work on the request.
    let serving = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
        .half_close(false)
        .serve_connection(FuturesIo::new(stream), handler);
    let mut serving = pin!(serving);
    let lifecycle = service.lifecycle().clone();
    let ended = async { Some((&mut serving).await) };
    let closing = async {
        lifecycle.wait_for_closing().await;
        // Without this wait a connection would be closed while a request is in transit.
        connection_use.unused().await;
        None
    };
    let result = match ended.or(closing).await {
        Some(result) => result,
        None => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(e) = result {
        log::debug!(cause:% = e; "connection_ended");
    }
}
