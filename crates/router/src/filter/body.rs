//! Bodies of responses to callers.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_lite::Stream;
use http_body::{Body, Frame, SizeHint};
use smol::{Task, channel::Receiver};

use crate::{payload::PayloadBody, state::InFlightGuard};

/// A response that broke off. Its connection to the caller is cut, so that the caller can't take it
/// for complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TruncatedResponse;

impl fmt::Display for TruncatedResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the response broke off")
    }
}

impl std::error::Error for TruncatedResponse {}

/// Body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// A complete body, until it has been sent.
    Whole(PayloadBody, Option<InFlightGuard>),
    /// A body that arrives event by event.
    Events(EventBody),
}

/// A body that a task feeds. Dropping it cancels the task and with it the run on the endpoint; this
/// is how a caller's disconnect ends the run.
#[derive(Debug)]
pub struct EventBody {
    pub(super) events: Pin<Box<Receiver<Result<Bytes, TruncatedResponse>>>>,
    pub(super) _feeder: Task<()>,
    pub(super) _guard: Option<InFlightGuard>,
}

impl ResponseBody {
    /// A complete body.
    pub fn whole(body: impl Into<PayloadBody>) -> ResponseBody {
        ResponseBody::Whole(body.into(), None)
    }

    /// Attaches the guard that counts the request as in flight until the body is sent or dropped.
    pub fn with_guard(self, guard: InFlightGuard) -> ResponseBody {
        match self {
            ResponseBody::Whole(body, _) => ResponseBody::Whole(body, Some(guard)),
            ResponseBody::Events(body) => {
                ResponseBody::Events(EventBody { _guard: Some(guard), ..body })
            }
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        match &mut *self {
            ResponseBody::Whole(body, _) => {
                let Poll::Ready(next) = Pin::new(body).poll_frame(cx) else { return Poll::Pending };
                Poll::Ready(next.map(|frame| frame.map_err(|never| match never {})))
            }
            ResponseBody::Events(body) => {
                body.events.as_mut().poll_next(cx).map(|next| next.map(|e| e.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Whole(body, _) if body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(body, _) => body.size_hint(),
            ResponseBody::Events(_) => SizeHint::default(),
        }
    }
}
