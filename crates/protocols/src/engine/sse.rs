//! Reads server-sent events; each is returned as soon as it is complete.

use std::fmt;

use bytes::Bytes;
use futures_lite::{AsyncBufRead, AsyncBufReadExt};

/// Maximum length of a line. An event carries one token and perhaps usage counts, so a longer line
/// is a fault of the engine; without a limit it would exhaust the memory.
pub const MAX_LINE_BYTES: usize = 1 << 20;

/// A server-sent event.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SseEvent {
    /// The `event:` field; empty if absent.
    pub event: String,
    /// The `id:` field; empty if absent.
    pub id: String,
    /// The `data:` fields, joined by line feeds.
    pub data: Bytes,
}

/// Why an event couldn't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SseError {
    /// The connection broke.
    Broken,
    /// A line is longer than [`MAX_LINE_BYTES`], or a name or id isn't UTF-8.
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

/// Assembles events from lines.
#[derive(Debug, Default)]
pub struct SseParser {
    event: String,
    id: String,
    data: Vec<u8>,
    has_data: bool,
}

impl SseParser {
    /// Adds a line without its line end. Returns the event that it completes, if any.
    ///
    /// # Errors
    ///
    /// [`SseError::Malformed`] if a name or id isn't UTF-8, or the data grows beyond
    /// [`MAX_LINE_BYTES`].
    pub fn line(&mut self, line: &[u8]) -> Result<Option<SseEvent>, SseError> {
        if line.is_empty() {
            return Ok(self.finish());
        }
        let (name, value) = split(line);
        match name {
            b"data" => self.add_data(value)?,
            b"id" => self.id = text(value)?,
            b"event" => self.event = text(value)?,
            // The format requires that comments and unknown fields are ignored.
            _ => {}
        }
        Ok(None)
    }

    fn add_data(&mut self, value: &[u8]) -> Result<(), SseError> {
        if self.data.len() + value.len() > MAX_LINE_BYTES {
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
        let parsed = std::mem::take(self);
        parsed.has_data.then(|| SseEvent {
            event: parsed.event,
            id: parsed.id,
            data: parsed.data.into(),
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

/// Reads events from a byte stream.
#[derive(Debug)]
pub struct SseReader<R> {
    reader: R,
    line: Vec<u8>,
    parser: SseParser,
}

impl<R: AsyncBufRead + Unpin> SseReader<R> {
    /// Creates a reader of the events in `reader`.
    pub fn new(reader: R) -> Self {
        SseReader { reader, line: Vec::new(), parser: SseParser::default() }
    }

    /// Reads the next event; `None` at the end of the stream. The future may be dropped and created
    /// again: the partly read event is kept.
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
            if self.line.len() + len > MAX_LINE_BYTES {
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
