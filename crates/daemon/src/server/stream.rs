//! The caller's socket, with a validator for the heads of requests.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, ready},
};

use futures_lite::{AsyncRead, AsyncWrite};
use router::resources::Holder;
use smol::net::TcpStream;

use crate::endpoint::lock;

/// Maximum length of a header name in an error message; longer names are cut off.
const MAX_SHOWN_NAME_BYTES: usize = 64;

/// Checks the bytes of a request's head as they are received.
///
/// Guards against a panic that would end a thread of the daemon: the HTTP library assumes that
/// header values are ASCII and panics otherwise. A head with such a byte is rejected before the
/// library parses it.
#[derive(Debug, Default)]
pub struct HeadValidator {
    is_active: bool,
    has_started: bool,
    line_number: usize,
    header_name: Vec<u8>,
    in_header_name: bool,
    /// How many bytes of the sequence `\r\n\r\n` that ends a head have been received.
    end_bytes_seen: usize,
    error: Option<String>,
}

impl HeadValidator {
    /// Starts to check a new head.
    pub fn reset(&mut self) {
        *self = HeadValidator {
            is_active: true,
            line_number: 1,
            in_header_name: true,
            ..HeadValidator::default()
        };
    }

    /// Whether any byte of the head has been received.
    pub fn has_started(&self) -> bool {
        self.has_started
    }

    /// Why the head was rejected, if it was.
    pub fn error(&self) -> Option<&str> {
        self.error.as_deref()
    }

    /// Checks the next bytes; false if the head is to be rejected.
    pub fn check(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            if !self.is_active {
                return true;
            }
            if !self.check_byte(*byte) {
                return false;
            }
        }
        true
    }

    fn check_byte(&mut self, byte: u8) -> bool {
        self.has_started = true;
        if !byte.is_ascii() || byte == 0 {
            self.error = Some(self.describe_error());
            return false;
        }
        self.end_bytes_seen = match (byte, self.end_bytes_seen) {
            (b'\r', 0 | 2) | (b'\n', 1 | 3) => self.end_bytes_seen + 1,
            (b'\r', _) => 1,
            _ => 0,
        };
        match byte {
            b'\n' => {
                self.line_number += 1;
                self.header_name.clear();
                self.in_header_name = true;
            }
            b':' => self.in_header_name = false,
            _ if self.in_header_name && self.header_name.len() < MAX_SHOWN_NAME_BYTES => {
                self.header_name.push(byte)
            }
            _ => {}
        }
        self.is_active = self.end_bytes_seen < 4;
        true
    }

    fn describe_error(&self) -> String {
        let header_name = String::from_utf8_lossy(&self.header_name);
        let position = match self.line_number {
            1 => "the request line".to_owned(),
            line_number => {
                format!("line {line_number} of the head, header `{}`", header_name.trim())
            }
        };
        format!("{position} holds a byte that isn't printable ASCII")
    }
}

/// The caller's socket, whose received bytes are validated. Clones share the same socket.
#[derive(Debug, Clone)]
pub struct CallerStream {
    inner: TcpStream,
    holder: Arc<Holder>,
    validator: Arc<Mutex<HeadValidator>>,
}

impl CallerStream {
    /// Wraps `inner` with a validator that is inactive until it is reset.
    pub fn new(inner: TcpStream, holder: Arc<Holder>) -> Self {
        CallerStream { inner, holder, validator: Arc::default() }
    }

    /// The validator of this socket's request heads.
    pub fn validator(&self) -> &Mutex<HeadValidator> {
        &self.validator
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let len = ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.holder.record_received(len);
        match lock(&self.validator).check(&buf[..len]) {
            true => Poll::Ready(Ok(len)),
            false => Poll::Ready(Err(io::ErrorKind::InvalidData.into())),
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.holder.record_sent(match &written {
            Poll::Pending => None,
            Poll::Ready(written) => Some(*written.as_ref().unwrap_or(&0)),
        });
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
