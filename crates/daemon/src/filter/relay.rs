//! Relays an answer to the caller, as events or as one document.
//!
//! The channel between the driver and the caller's connection is bounded, so that back-pressure
//! from a slow caller slows only its own stream: the driver stops reading, and the engine stops
//! sending.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures_lite::{AsyncBufRead, AsyncRead, Stream};
use protocols::engine::wire::DONE;
use smol::channel::Receiver;

use crate::{error::CallError, filter::CompleteAnswer, record::CallRecord};

/// Maximum number of events queued for a slow caller: about a second of a fast model's output.
pub const MAX_QUEUED_EVENTS: usize = 64;

/// A message from a request's driver to the caller's connection.
#[derive(Debug, Clone, PartialEq)]
pub enum RelayMessage {
    /// The data of one server-sent event.
    Event(Bytes),
    /// All events have been sent.
    Done,
    /// The complete answer, for callers that didn't ask for a stream.
    Complete(CompleteAnswer),
    /// The request failed; no complete answer follows.
    Failed(CallError),
}

/// A body of server-sent events. It ends normally only after [`RelayMessage::Done`] or
/// [`RelayMessage::Failed`]. Where the driver ends without either, reading fails and the connection
/// is cut, so that a truncated answer never looks complete.
#[derive(Debug)]
pub struct EventBody {
    messages: Pin<Box<Receiver<RelayMessage>>>,
    frame: Bytes,
    ended: bool,
    // Keeps a stopping instance from exiting before the last byte is read.
    _record: Arc<CallRecord>,
}

impl EventBody {
    /// A body that starts with `first`, followed by `messages`.
    pub fn new(
        first: &RelayMessage,
        messages: Receiver<RelayMessage>,
        record: Arc<CallRecord>,
    ) -> Self {
        let mut body = EventBody {
            messages: Box::pin(messages),
            frame: Bytes::new(),
            ended: false,
            _record: record,
        };
        body.set_frame(first);
        body
    }

    fn set_frame(&mut self, message: &RelayMessage) {
        self.frame = match message {
            RelayMessage::Event(data) => encode_event(None, data),
            RelayMessage::Done => encode_event(None, DONE.as_bytes()),
            RelayMessage::Failed(e) => encode_event(Some("error"), &e.to_json()),
            RelayMessage::Complete(answer) => encode_event(None, &answer.body),
        };
        self.ended = !matches!(message, RelayMessage::Event(_));
    }
}

/// Encodes one server-sent event. Each line of `data` gets a `data:` field of its own.
pub fn encode_event(event: Option<&str>, data: &[u8]) -> Bytes {
    let mut buf = BytesMut::with_capacity(data.len() + 32);
    if let Some(event) = event {
        buf.put_slice(b"event: ");
        buf.put_slice(event.as_bytes());
        buf.put_u8(b'\n');
    }
    for line in data.split(|byte| *byte == b'\n') {
        buf.put_slice(b"data: ");
        buf.put_slice(line);
        buf.put_u8(b'\n');
    }
    buf.put_u8(b'\n');
    buf.freeze()
}

impl AsyncBufRead for EventBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.frame.is_empty() && !this.ended {
            match ready!(this.messages.as_mut().poll_next(cx)) {
                Some(message) => this.set_frame(&message),
                None => return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
            }
        }
        Poll::Ready(Ok(&this.frame))
    }

    fn consume(mut self: Pin<&mut Self>, amt: usize) {
        let amt = amt.min(self.frame.len());
        self.frame.advance(amt);
    }
}

impl AsyncRead for EventBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(cx))?;
        let len = available.len().min(buf.len());
        buf[..len].copy_from_slice(&available[..len]);
        self.consume(len);
        Poll::Ready(Ok(len))
    }
}
