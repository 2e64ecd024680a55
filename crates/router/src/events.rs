//! Splits a byte stream into whole server-sent events.
//!
//! Guards against an endpoint that stops in the middle of an event: its caller would take the
//! partial event for complete, and the endpoint that resumes sends the event again. Only whole
//! events are returned, each with its id, so that the next endpoint can be asked to resume after
//! it.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum size of an event. Events usually have a few hundred bytes; an event without an end must
/// not use up all memory.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The buffer of a longer event isn't kept for the next one, which may be long in coming.
const MAX_KEPT_BYTES: usize = 8 << 10;

/// One whole event, including the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The event as received.
    pub bytes: Bytes,
    /// The event's id, if it is a number.
    pub id: Option<u64>,
}

/// An event is longer than [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// Incremental parser: buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventParser {
    buf: BytesMut,
    searched_bytes: usize,
}

impl EventParser {
    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] if the buffered bytes would exceed the maximum size of an event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        if self.buf.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        let len = self.buf.len() + bytes.len();
        if len > MAX_KEPT_BYTES && len > self.buf.capacity() {
            // Growing in place would double the buffer.
            let part = std::mem::replace(&mut self.buf, BytesMut::with_capacity(len));
            self.buf.extend_from_slice(&part);
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the next whole event, if one is buffered.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = match find_end(&self.buf, self.searched_bytes) {
            Some(end) => end,
            None => {
                // The end marker may be split: with carriage returns it has up to four bytes.
                self.searched_bytes = self.buf.len().saturating_sub(3);
                return None;
            }
        };
        self.searched_bytes = 0;
        // A slice would keep the whole buffer alive, and have it allocated anew.
        let bytes = Bytes::copy_from_slice(&self.buf[..end]);
        self.buf.advance(end);
        if end > MAX_KEPT_BYTES {
            self.buf = BytesMut::from(&self.buf[..]);
        }
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Number of buffered bytes, which are those after the last whole event once all were returned.
    pub fn remaining(&self) -> usize {
        self.buf.remaining()
    }
}

fn find_end(buf: &[u8], from: usize) -> Option<usize> {
    let end_at = |at: usize| -> Option<usize> {
        let rest = &buf[at..];
        if rest.starts_with(b"\n\n") {
            return Some(at + 2);
        }
        (rest.starts_with(b"\n\r\n")).then_some(at + 3)
    };
    (from..buf.len()).find_map(|at| if buf[at] == b'\n' { end_at(at) } else { None })
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
