//! Bodies of requests that are partly read before they are needed.

use std::{
    collections::VecDeque,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;

/// What a frame counts for at least: its entry, and its part of the read buffer that it keeps alive.
const MIN_FRAME_BYTES: usize = 256;

/// A body whose first frames may have been read already. They are yielded first.
#[derive(Debug)]
pub struct ReadAhead<B: Body> {
    frames: VecDeque<Result<Frame<B::Data>, B::Error>>,
    /// What hasn't been read; none where the body has ended.
    rest: Option<B>,
}

impl<B: Body<Data = Bytes> + Unpin> ReadAhead<B> {
    /// Creates the body with nothing read yet.
    pub(super) fn new(body: B) -> ReadAhead<B> {
        ReadAhead { frames: VecDeque::new(), rest: Some(body) }
    }

    /// Reads until the body ends or `max_bytes` have been read, where a short frame counts as
    /// [`MIN_FRAME_BYTES`]; the last frame may exceed them. Nothing is lost if the future is dropped.
    pub(super) async fn read_ahead(&mut self, max_bytes: usize) {
        let mut bytes = 0;
        while bytes < max_bytes
            && let Some(rest) = &mut self.rest
        {
            let frame = rest.frame().await;
            if !matches!(frame, Some(Ok(_))) {
                self.rest = None;
            }
            if let Some(Ok(frame)) = &frame {
                bytes += frame.data_ref().map_or(0, Bytes::len).max(MIN_FRAME_BYTES);
            }
            self.frames.extend(frame);
        }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for ReadAhead<B>
where
    B::Error: Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        if let Some(frame) = self.frames.pop_front() {
            return Poll::Ready(Some(frame));
        }
        match &mut self.rest {
            Some(rest) => Pin::new(rest).poll_frame(cx),
            None => Poll::Ready(None),
        }
    }

    fn size_hint(&self) -> SizeHint {
        let read: usize =
            self.frames.iter().flatten().filter_map(Frame::data_ref).map(Bytes::len).sum();
        let rest = self.rest.as_ref().map_or(SizeHint::with_exact(0), Body::size_hint);
        let mut hint = SizeHint::new();
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + read as u64);
        }
        hint.set_lower(rest.lower() + read as u64);
        hint
    }
}

#[cfg(test)]
mod tests {
    #![allow(clippy::unwrap_used)]

    use std::{io, iter};

    use futures_lite::stream;
    use http_body_util::StreamBody;

    use super::*;

    const FRAME_BYTES: usize = 1_000;

    macro_rules! cases {
        ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
            $($(#[$doc])* #[test] fn $name() { $body() })*
        };
    }

    /// A body of this many frames, which breaks off after them if `is_cut`.
    fn body(
        frames: usize,
        is_cut: bool,
    ) -> ReadAhead<impl Body<Data = Bytes, Error = io::Error> + Unpin> {
        let frame = || Ok(Frame::data(Bytes::from_static(&[7; FRAME_BYTES])));
        let end = is_cut.then(|| Err(io::ErrorKind::ConnectionReset.into()));
        ReadAhead::new(StreamBody::new(stream::iter(
            iter::repeat_with(frame).take(frames).chain(end),
        )))
    }

    cases! {
        /// Guards against waiting requests whose bodies take up the instance's memory.
        no_more_is_read_than_allowed => || {
            let mut body = body(100, false);
            smol::block_on(body.read_ahead(10 * FRAME_BYTES));
            assert_eq!(body.frames.len(), 10);
        };

        /// Guards against memory that each of many short frames takes up beside its bytes.
        short_frames_count_for_more_than_their_bytes => || {
            let frame = || Ok::<_, io::Error>(Frame::data(Bytes::from_static(b"x")));
            let short = iter::repeat_with(frame).take(100_000);
            let mut body = ReadAhead::new(StreamBody::new(stream::iter(short)));
            smol::block_on(body.read_ahead(100 * MIN_FRAME_BYTES));
            assert_eq!(body.frames.len(), 100);
        };

        /// Guards against a body over the limit that is read because its stated length is lost.
        the_stated_length_is_kept => || {
            let content = Bytes::from(vec![7; 10 * FRAME_BYTES]);
            let mut body = ReadAhead::new(http_body_util::Full::new(content));
            for read in [0, 1] {
                smol::block_on(body.read_ahead(read));
                assert_eq!(body.size_hint().exact(), Some(10 * FRAME_BYTES as u64));
            }
        };

        /// Guards against a body of which a part is lost or repeated.
        every_frame_is_yielded_once => || {
            for read in [0, 1, 10 * FRAME_BYTES, usize::MAX] {
                let mut body = body(100, false);
                smol::block_on(body.read_ahead(read));
                let whole = smol::block_on(body.collect()).unwrap().to_bytes();
                assert_eq!(whole.len(), 100 * FRAME_BYTES);
            }
        };

        /// Guards against a body that broke off and is taken for complete.
        an_error_is_yielded_after_what_was_read => || {
            let mut body = body(3, true);
            smol::block_on(body.read_ahead(usize::MAX));
            assert_eq!(body.frames.len(), 4);
            assert!(smol::block_on(body.collect()).is_err());
        };
    }
}
