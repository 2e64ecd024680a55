//! Bodies of responses to callers.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use futures_lite::Stream;
use http_body::{Body, Frame, SizeHint};
use smol::{Task, channel::Receiver};

use crate::{
    payload::{MAX_FRAME_BYTES, PayloadBody},
    resources::Permit,
    state::InFlightGuard,
};

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
    events: Pin<Box<Receiver<Result<QueuedEvent, TruncatedResponse>>>>,
    /// The event that is being sent.
    current: Option<QueuedEvent>,
    _feeder: Task<()>,
    _guard: Option<InFlightGuard>,
}

/// An event that waits for its caller, with its room in the buffers.
#[derive(Debug)]
pub(super) struct QueuedEvent {
    pub(super) bytes: Bytes,
    pub(super) _permit: Permit,
}

impl EventBody {
    /// A body of the events that `feeder` sends.
    pub(super) fn new(
        events: Receiver<Result<QueuedEvent, TruncatedResponse>>,
        feeder: Task<()>,
    ) -> EventBody {
        EventBody { events: Box::pin(events), current: None, _feeder: feeder, _guard: None }
    }

    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        let mut event = match self.current.take() {
            Some(event) => event,
            None => match ready!(self.events.as_mut().poll_next(cx)) {
                Some(Ok(event)) => event,
                Some(Err(e)) => return Poll::Ready(Some(Err(e))),
                None => return Poll::Ready(None),
            },
        };
        let frame = event.bytes.split_to(event.bytes.len().min(MAX_FRAME_BYTES));
        self.current = (!event.bytes.is_empty()).then_some(event);
        Poll::Ready(Some(Ok(Frame::data(frame))))
    }
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
            ResponseBody::Events(body) => body.poll_frame(cx),
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
