//! Bodies of requests, whose unread rest is received before the response is sent.
//!
//! **Load pattern.** Requests with long bodies are refused by their head: the key is unknown, or the
//! instance is stopping.
//!
//! **Without it.** A connection with unread input is closed and reset behind the response, which
//! doesn't announce it. The reset may overtake the response, and the next request on the connection
//! is lost.
//!
//! **Rule.** The rest is received within [`MAX_UNREAD_BYTES`] and [`UNREAD_TIMEOUT`]. Beyond them, and
//! where the caller announces more or waits to be asked for its body, the response announces the close.

use std::{
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures_lite::FutureExt;
use http::{Request, header};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol::Timer;

use crate::lock;

/// Bytes of a body that nobody needs which are received to keep its connection.
const MAX_UNREAD_BYTES: usize = 1 << 20;

/// How long a response waits for the rest of a body that nobody needs.
const UNREAD_TIMEOUT: Duration = Duration::from_millis(500);

/// The body of a caller's request. What isn't read of it goes to its [`UnreadBody`].
#[derive(Debug)]
pub struct RequestBody {
    body: Option<Incoming>,
    unread: Arc<Mutex<Option<Incoming>>>,
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(body) = &mut self.body else { return Poll::Ready(None) };
        let polled = Pin::new(body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None | Some(Err(_)))) {
            self.body = None;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Incoming::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.as_ref().map_or(SizeHint::with_exact(0), Incoming::size_hint)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if let Some(body) = self.body.take()
            && !body.is_end_stream()
        {
            *lock(&self.unread) = Some(body);
        }
    }
}

/// The part of a request's body that its handler hasn't read.
#[derive(Debug)]
pub(crate) struct UnreadBody {
    rest: Arc<Mutex<Option<Incoming>>>,
    /// The caller waits to be asked for the body.
    is_expected: bool,
}

impl UnreadBody {
    /// Wraps the request's body, so that what its handler doesn't read can be discarded.
    pub(crate) fn track(req: Request<Incoming>) -> (Request<RequestBody>, UnreadBody) {
        let rest = Arc::new(Mutex::new(None));
        let is_expected = req.headers().contains_key(header::EXPECT);
        let unread = rest.clone();
        let req = req.map(|body| RequestBody { body: Some(body), unread });
        (req, UnreadBody { rest, is_expected })
    }

    /// Receives the rest and drops it. Returns whether the connection can be used again.
    pub(crate) async fn discard(self) -> bool {
        let Some(mut rest) = lock(&self.rest).take() else { return true };
        let announced = usize::try_from(rest.size_hint().lower()).unwrap_or(usize::MAX);
        if self.is_expected || announced > MAX_UNREAD_BYTES {
            return false;
        }
        let received = async {
            let mut len = 0;
            while len <= MAX_UNREAD_BYTES {
                match rest.frame().await {
                    Some(Ok(frame)) => len += frame.data_ref().map_or(0, Bytes::len),
                    Some(Err(_)) => return false,
                    None => return true,
                }
            }
            false
        };
        let timed_out = async {
            Timer::after(UNREAD_TIMEOUT).await;
            false
        };
        received.or(timed_out).await
    }
}
