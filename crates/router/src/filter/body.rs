//! Bodies of answers.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_lite::Stream;
use http_body::{Body, Frame, SizeHint};
use smol::{Task, channel::Receiver};

use crate::state::InFlightGuard;

/// The answer broke off; the caller's connection is cut, so that it can't take it for whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenOff;

impl fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the answer broke off")
    }
}

impl std::error::Error for BrokenOff {}

/// The body of an answer.
#[derive(Debug)]
pub enum ResponseBody {
    /// All of it is here.
    Whole(Option<Bytes>, Option<InFlightGuard>),
    /// It comes event by event.
    Events(EventBody),
}

/// A body that a task feeds. Dropping it ends the task, and with it the run on the endpoint: that
/// is how a caller's hang-up gets there.
#[derive(Debug)]
pub struct EventBody {
    pub(super) events: Pin<Box<Receiver<Result<Bytes, BrokenOff>>>>,
    pub(super) _feeder: Task<()>,
    pub(super) _open: Option<InFlightGuard>,
}

impl ResponseBody {
    /// A body that is here.
    pub fn whole(bytes: Bytes) -> ResponseBody {
        ResponseBody::Whole(Some(bytes), None)
    }

    /// The body, counted as under way until it is sent.
    pub fn counted(self, open: InFlightGuard) -> ResponseBody {
        match self {
            ResponseBody::Whole(bytes, _) => ResponseBody::Whole(bytes, Some(open)),
            ResponseBody::Events(body) => {
                ResponseBody::Events(EventBody { _open: Some(open), ..body })
            }
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut *self {
            ResponseBody::Whole(bytes, _) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            ResponseBody::Events(body) => {
                body.events.as_mut().poll_next(cx).map(|next| next.map(|e| e.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Whole(None, _))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(bytes, _) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Events(_) => SizeHint::default(),
        }
    }
}
