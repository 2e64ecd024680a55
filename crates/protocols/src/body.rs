//! Request bodies that consist of several parts and are sent without concatenating them. A resumed
//! request is the caller's bytes, which may hold a million tokens, the `resume` member and the
//! closing brace.

use std::{
    collections::VecDeque,
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{Buf, Bytes};
use futures_lite::{AsyncBufRead, AsyncRead};

/// A reader of several byte sequences in order.
#[derive(Debug, Default)]
pub struct BodyParts {
    parts: VecDeque<Bytes>,
}

impl BodyParts {
    /// Creates a body that consists of `parts`.
    pub fn body(parts: &[Bytes]) -> http_types::Body {
        let len = parts.iter().map(Bytes::len).sum();
        let parts = parts.iter().filter(|part| !part.is_empty()).cloned().collect();
        http_types::Body::from_reader(BodyParts { parts }, Some(len))
    }
}

impl AsyncRead for BodyParts {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let Some(part) = self.parts.front_mut() else { return Poll::Ready(Ok(0)) };
        let len = part.len().min(buf.len());
        part.copy_to_slice(&mut buf[..len]);
        if part.is_empty() {
            self.parts.pop_front();
        }
        Poll::Ready(Ok(len))
    }
}

impl AsyncBufRead for BodyParts {
    fn poll_fill_buf(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let part = self.get_mut().parts.front();
        Poll::Ready(Ok(part.map_or(&[], |part| &part[..])))
    }

    fn consume(mut self: Pin<&mut Self>, amt: usize) {
        let Some(part) = self.parts.front_mut() else { return };
        part.advance(amt.min(part.len()));
        if part.is_empty() {
            self.parts.pop_front();
        }
    }
}
