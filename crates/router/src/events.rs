//! Cuts a stream of bytes into whole events.
//!
//! Guards against an endpoint that stops in the middle of an event: its caller would take the half
//! for the whole, and the endpoint that goes on sends the event again. Only whole events leave
//! here, and the id of each is known, so that the next endpoint can be asked to go on behind it.

use bytes::{Buf, Bytes, BytesMut};

/// The longest event that is collected, in bytes. Events here hold a few hundred; one without an
/// end must not take all memory.
const MAX_EVENT: usize = 1 << 20;

/// One whole event with the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes.
    pub bytes: Bytes,
    /// Its id, where it has one that is a number.
    pub id: Option<u64>,
}

/// An event is longer than [`MAX_EVENT`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct EventParser {
    buf: BytesMut,
    searched: usize,
}

impl EventParser {
    /// Adds bytes.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] where an event has no end.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        if self.buf.len() + bytes.len() > MAX_EVENT {
            return Err(EventTooLong);
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = match find_end(&self.buf, self.searched) {
            Some(end) => end,
            None => {
                // The end may be cut: a blank line with carriage returns has four bytes.
                self.searched = self.buf.len().saturating_sub(3);
                return None;
            }
        };
        self.searched = 0;
        let bytes = self.buf.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Bytes behind the last whole event.
    pub fn remaining(&self) -> usize {
        self.buf.remaining()
    }
}

fn find_end(buf: &[u8], from: usize) -> Option<usize> {
    let ends = |at: usize| -> Option<usize> {
        let rest = &buf[at..];
        if rest.starts_with(b"\n\n") {
            return Some(at + 2);
        }
        (rest.starts_with(b"\n\r\n")).then_some(at + 3)
    };
    (from..buf.len()).find_map(|at| if buf[at] == b'\n' { ends(at) } else { None })
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
