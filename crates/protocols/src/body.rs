//! Bodies made of several parts that are sent one after another, without being copied together: a
//! resumed million-token prompt is the caller's bytes, the `resume` member and the last brace.

use std::{
    collections::VecDeque,
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{Buf, Bytes};
use futures_lite::{AsyncBufRead, AsyncRead};

/// Reads its parts in order.
#[derive(Debug, Default)]
pub struct Parts {
    parts: VecDeque<Bytes>,
}

impl Parts {
    /// A body of these parts.
    pub fn body(parts: &[Bytes]) -> http_types::Body {
        let len = parts.iter().map(Bytes::len).sum();
        let parts = parts.iter().filter(|part| !part.is_empty()).cloned().collect();
        http_types::Body::from_reader(Parts { parts }, Some(len))
    }
}

impl AsyncRead for Parts {
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

impl AsyncBufRead for Parts {
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
