//! The caller's socket, with a guard on the heads of requests.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, ready},
};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

use crate::endpoint::lock;

/// The most of a header's name that an error repeats.
const NAME_SHOWN: usize = 64;

/// Checks the bytes of a request's head as they come.
///
/// The failure: the HTTP library takes header values for ASCII and panics on others, which would
/// end a thread of the daemon. So a head with such a byte is stopped before the library sees it.
#[derive(Debug, Default)]
pub struct HeadGuard {
    armed: bool,
    began: bool,
    line: usize,
    name: Vec<u8>,
    in_name: bool,
    /// How many bytes of the blank line that ends a head have been seen.
    ending: usize,
    finding: Option<String>,
}

impl HeadGuard {
    /// Begins to check a new head.
    pub fn arm(&mut self) {
        *self = HeadGuard { armed: true, line: 1, in_name: true, ..HeadGuard::default() };
    }

    /// Whether anything of the head has come.
    pub fn began(&self) -> bool {
        self.began
    }

    /// What was wrong with the head, if anything.
    pub fn finding(&self) -> Option<&str> {
        self.finding.as_deref()
    }

    /// Checks the next bytes; false where one of them must not pass.
    pub fn check(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            if !self.armed {
                return true;
            }
            if !self.check_byte(*byte) {
                return false;
            }
        }
        true
    }

    fn check_byte(&mut self, byte: u8) -> bool {
        self.began = true;
        if !byte.is_ascii() || byte == 0 {
            self.finding = Some(self.describe());
            return false;
        }
        self.ending = match (byte, self.ending) {
            (b'\r', 0 | 2) | (b'\n', 1 | 3) => self.ending + 1,
            (b'\r', _) => 1,
            _ => 0,
        };
        match byte {
            b'\n' => {
                self.line += 1;
                self.name.clear();
                self.in_name = true;
            }
            b':' => self.in_name = false,
            _ if self.in_name && self.name.len() < NAME_SHOWN => self.name.push(byte),
            _ => {}
        }
        self.armed = self.ending < 4;
        true
    }

    fn describe(&self) -> String {
        let name = String::from_utf8_lossy(&self.name);
        let place = match self.line {
            1 => "the request line".to_owned(),
            line => format!("line {line} of the head, header `{}`", name.trim()),
        };
        format!("{place} holds a byte that isn't printable ASCII")
    }
}

/// The caller's socket. Clones are the same socket.
#[derive(Debug, Clone)]
pub struct CallerStream {
    inner: TcpStream,
    guard: Arc<Mutex<HeadGuard>>,
}

impl CallerStream {
    /// Guards `inner`.
    pub fn new(inner: TcpStream) -> Self {
        CallerStream { inner, guard: Arc::default() }
    }

    /// The guard.
    pub fn guard(&self) -> &Mutex<HeadGuard> {
        &self.guard
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let len = ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        match lock(&self.guard).check(&buf[..len]) {
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
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
