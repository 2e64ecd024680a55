//! Reading server-sent events, one at a time and without waiting for more than one.

use std::fmt;

use bytes::Bytes;
use futures_lite::{AsyncBufRead, AsyncBufReadExt};

/// The longest line that is read. An event carries one token and perhaps usage figures; more than
/// this is no answer but a fault, and without a bound it would fill the memory.
pub const MAX_LINE: usize = 1 << 20;

/// One event.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SseEvent {
    /// The `event:` line; empty where there is none.
    pub event: String,
    /// The `id:` line; empty where there is none.
    pub id: String,
    /// The `data:` lines, joined by line feeds.
    pub data: Bytes,
}

/// Why no event could be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SseError {
    /// The connection broke.
    Broken,
    /// A line is longer than [`MAX_LINE`], or isn't UTF-8 where it has to be.
    Malformed,
}

impl fmt::Display for SseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SseError::Broken => "the connection broke within the events",
            SseError::Malformed => "a line of the events is too long or not UTF-8",
        })
    }
}

impl std::error::Error for SseError {}

/// Puts lines together to events.
#[derive(Debug, Default)]
pub struct SseParser {
    event: String,
    id: String,
    data: Vec<u8>,
    has_data: bool,
}

impl SseParser {
    /// Takes one line without its end, and gives the event that it completes, if any.
    ///
    /// # Errors
    ///
    /// [`SseError::Malformed`] where a name or id isn't UTF-8, or the data grows beyond
    /// [`MAX_LINE`].
    pub fn line(&mut self, line: &[u8]) -> Result<Option<SseEvent>, SseError> {
        if line.is_empty() {
            return Ok(self.finish());
        }
        let (name, value) = split(line);
        match name {
            b"data" => self.add_data(value)?,
            b"id" => self.id = text(value)?,
            b"event" => self.event = text(value)?,
            // Comments and unknown fields are ignored, as the format demands.
            _ => {}
        }
        Ok(None)
    }

    fn add_data(&mut self, value: &[u8]) -> Result<(), SseError> {
        if self.data.len() + value.len() > MAX_LINE {
            return Err(SseError::Malformed);
        }
        if self.has_data {
            self.data.push(b'\n');
        }
        self.has_data = true;
        self.data.extend_from_slice(value);
        Ok(())
    }

    fn finish(&mut self) -> Option<SseEvent> {
        let whole = std::mem::take(self);
        whole.has_data.then(|| SseEvent {
            event: whole.event,
            id: whole.id,
            data: whole.data.into(),
        })
    }
}

fn split(line: &[u8]) -> (&[u8], &[u8]) {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else { return (line, &[]) };
    let value = &line[colon + 1..];
    (&line[..colon], value.strip_prefix(b" ").unwrap_or(value))
}

fn text(value: &[u8]) -> Result<String, SseError> {
    String::from_utf8(value.to_vec()).map_err(|_| SseError::Malformed)
}

/// Reads events from a stream.
#[derive(Debug)]
pub struct SseReader<R> {
    reader: R,
    line: Vec<u8>,
    parser: SseParser,
}

impl<R: AsyncBufRead + Unpin> SseReader<R> {
    /// Events of `reader`.
    pub fn new(reader: R) -> Self {
        SseReader { reader, line: Vec::new(), parser: SseParser::default() }
    }

    /// The next event, or none at the end of the stream. The future may be dropped and called
    /// again: what was read of an event is kept.
    ///
    /// # Errors
    ///
    /// See [`SseError`].
    pub async fn next(&mut self) -> Result<Option<SseEvent>, SseError> {
        loop {
            if !self.read_line().await? {
                return Ok(None);
            }
            let mut line = std::mem::take(&mut self.line);
            trim_end(&mut line);
            let event = self.parser.line(&line)?;
            line.clear();
            self.line = line;
            if event.is_some() {
                return Ok(event);
            }
        }
    }

    async fn read_line(&mut self) -> Result<bool, SseError> {
        loop {
            let available = self.reader.fill_buf().await.map_err(|_| SseError::Broken)?;
            if available.is_empty() {
                return Ok(false);
            }
            let end = available.iter().position(|byte| *byte == b'\n');
            let len = end.map_or(available.len(), |end| end + 1);
            if self.line.len() + len > MAX_LINE {
                return Err(SseError::Malformed);
            }
            self.line.extend_from_slice(&available[..len]);
            self.reader.consume(len);
            if end.is_some() {
                return Ok(true);
            }
        }
    }
}

fn trim_end(line: &mut Vec<u8>) {
    while matches!(line.last(), Some(b'\n' | b'\r')) {
        line.pop();
    }
}
