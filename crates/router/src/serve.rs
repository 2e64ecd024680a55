//! The callers' side: accepts connections and serves requests on them.

use std::{convert::Infallible, future::Future, pin::pin, sync::Arc, time::Duration};

use futures_lite::FutureExt;

use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use smol::{
    Executor, Timer,
    net::{TcpListener, TcpStream},
};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::{filter::ResponseBody, net, signal::OneShot, state::Lifecycle};

/// Pause after a failed accept. The usual cause is that file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a new connection may stay without its first request once connections are closed.
const FIRST_REQUEST: Duration = Duration::from_secs(1);

/// The least buffer that the HTTP library takes.
const LEAST_BUFFER: usize = 8 << 10;

/// How connections are served.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// The most bytes of a head.
    pub max_head_bytes: usize,
    /// How long a connection may stay without a whole head.
    pub idle_timeout: Duration,
}

/// Answers requests.
pub trait Service: Send + Sync + 'static {
    /// Answers one request.
    fn respond(
        &self,
        req: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>> + Send;

    /// How connections are served from now on.
    fn connection_limits(&self) -> ConnectionLimits;

    /// Tells when connections are to be closed.
    fn lifecycle(&self) -> &Arc<Lifecycle>;
}

/// Accepts connections until it is dropped.
pub async fn serve<S: Service>(
    listener: TcpListener,
    service: Arc<S>,
    executor: Arc<Executor<'static>>,
) {
    loop {
        let stream = accept(&listener).await;
        executor.spawn(connection(stream, service.clone())).detach();
    }
}

/// The next connection.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(e) => {
                log::warn!(cause:% = e; "accept_failed");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<S: Service>(stream: TcpStream, service: Arc<S>) {
    net::set_connection_options(&stream);
    let limits = service.connection_limits();
    let asked = OneShot::default();
    let respond = service_fn(|req| {
        asked.set();
        let service = service.clone();
        async move { Ok::<_, Infallible>(service.respond(req).await) }
    });
    // A caller that hangs up ends the connection's future, and with it whatever works on its
    // request: the library reads on while an answer is made.
    let serving = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_head_bytes.max(LEAST_BUFFER))
        .half_close(false)
        .serve_connection(FuturesIo::new(stream), respond);
    let mut serving = pin!(serving);
    let patience = async {
        Timer::after(FIRST_REQUEST).await;
    };
    let lifecycle = service.lifecycle().clone();
    let ended = async { Some((&mut serving).await) };
    let closing = async {
        lifecycle.wait_for_closing().await;
        // A connection without a request would be closed at once, with the first one on its way.
        asked.wait().or(patience).await;
        None
    };
    let served = match ended.or(closing).await {
        Some(served) => served,
        None => {
            // Finishes what is under way on the connection, and closes an idle one.
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(e) = served {
        log::debug!(cause:% = e; "connection_ended");
    }
}
